#include "moortack/exchange/sse.h"

#include <string.h>

static const char event_end[] = "\n\n";
static const char done_mark[] = "data: [DONE]";
static const char token_mark[] = "\"delta\"";

bool
sse_init(sse_t *sse)
{
	*sse = (sse_t){.partial = evbuffer_new()};
	return sse->partial != NULL;
}

void
sse_finish(sse_t *sse)
{
	if (sse->partial != NULL)
		evbuffer_free(sse->partial);
	sse->partial = NULL;
}

void
sse_partial_discard(sse_t *sse)
{
	evbuffer_drain(sse->partial, evbuffer_get_length(sse->partial));
}

static bool
starts_with(struct evbuffer *buffer, const char *text)
{
	char head[sizeof(done_mark)];
	ev_ssize_t len = evbuffer_copyout(buffer, head, strlen(text));

	return len == (ev_ssize_t)strlen(text) &&
	    memcmp(head, text, (size_t)len) == 0;
}

static bool
holds_token(struct evbuffer *buffer, const struct evbuffer_ptr *end)
{
	struct evbuffer_ptr found = evbuffer_search_range(
	    buffer, token_mark, sizeof(token_mark) - 1, NULL, end);

	return found.pos >= 0;
}

void
sse_feed(sse_t *sse, struct evbuffer *in, struct evbuffer *out)
{
	evbuffer_add_buffer(sse->partial, in);
	while (!sse->done) {
		struct evbuffer_ptr end = evbuffer_search(
		    sse->partial, event_end, sizeof(event_end) - 1, NULL);

		if (end.pos < 0)
			break;
		if (starts_with(sse->partial, done_mark)) {
			sse->done = true;
			return;
		}
		if (holds_token(sse->partial, &end))
			sse->tokens++;
		evbuffer_remove_buffer(
		    sse->partial, out, (size_t)end.pos + sizeof(event_end) - 1);
	}
	if (evbuffer_get_length(sse->partial) > SSE_EVENT_MAX)
		sse->event_too_long = true;
}
