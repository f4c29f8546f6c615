#include "moortack/exchange/sse.h"

#include <string.h>

static const char event_separator[] = "\n\n";
static const char done_prefix[] = "data: [DONE]";
static const char delta_key[] = "\"delta\"";

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
event_starts_with(struct evbuffer *buffer, const char *text)
{
	char head[sizeof(done_prefix)];
	ev_ssize_t len = evbuffer_copyout(buffer, head, strlen(text));

	return len == (ev_ssize_t)strlen(text) &&
	    memcmp(head, text, (size_t)len) == 0;
}

static bool
event_has_token(struct evbuffer *buffer, const struct evbuffer_ptr *end)
{
	struct evbuffer_ptr found = evbuffer_search_range(
	    buffer, delta_key, sizeof(delta_key) - 1, NULL, end);

	return found.pos >= 0;
}

void
sse_feed(sse_t *sse, struct evbuffer *in, struct evbuffer *out)
{
	evbuffer_add_buffer(sse->partial, in);
	while (!sse->done) {
		struct evbuffer_ptr end = evbuffer_search(sse->partial,
		    event_separator, sizeof(event_separator) - 1, NULL);

		if (end.pos < 0)
			break;
		if (event_starts_with(sse->partial, done_prefix)) {
			sse->done = true;
			return;
		}
		if (event_has_token(sse->partial, &end))
			sse->tokens++;
		evbuffer_remove_buffer(sse->partial, out,
		    (size_t)end.pos + sizeof(event_separator) - 1);
	}
	if (evbuffer_get_length(sse->partial) > SSE_EVENT_MAX)
		sse->event_too_long = true;
}
