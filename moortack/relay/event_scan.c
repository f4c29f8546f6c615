#include "moortack/relay/event_scan.h"

#include <stdlib.h>
#include <string.h>

bool
event_scan_init(event_scan_t *scan)
{
	scan->partial = evbuffer_new();
	return scan->partial != NULL;
}

void
event_scan_finish(event_scan_t *scan)
{
	if (scan->partial != NULL)
		evbuffer_free(scan->partial);
}

void
event_scan_reset(event_scan_t *scan)
{
	evbuffer_drain(scan->partial, evbuffer_get_length(scan->partial));
}

bool
event_scan_add(event_scan_t *scan, const char *bytes, size_t len)
{
	if (evbuffer_get_length(scan->partial) + len > EVENT_SIZE_MAX)
		return false;
	return evbuffer_add(scan->partial, bytes, len) == 0;
}

/* Length of the line's end at @p at: 1, 2, or 0 if there is none. */
static size_t
line_end(const char *text, size_t at, size_t len)
{
	if (at < len && text[at] == '\n')
		return 1;
	if (at + 1 < len && text[at] == '\r' && text[at + 1] == '\n')
		return 2;
	return 0;
}

static void
id_read(const char *line, size_t len, scanned_event_t *event)
{
	static const char name[] = "id:";
	char text[24];
	size_t from = sizeof(name) - 1;
	char *end;

	if (len < from || memcmp(line, name, from) != 0)
		return;
	if (from < len && line[from] == ' ')
		from++;
	if (len - from >= sizeof(text) || len == from)
		return;
	memcpy(text, line + from, len - from);
	text[len - from] = '\0';
	event->id = strtoll(text, &end, 10);
	event->has_id = end != text && (*end == '\0' || *end == '\r');
}

bool
event_scan_next(event_scan_t *scan, scanned_event_t *event)
{
	size_t len = evbuffer_get_length(scan->partial);
	const char *text =
	    (const char *)evbuffer_pullup(scan->partial, (ev_ssize_t)len);
	size_t line = 0;

	*event = (scanned_event_t){0};
	while (line < len) {
		size_t ended = line_end(text, line, len);
		const char *stop;

		if (ended > 0 && line > 0) {
			event->len = line + ended;
			return true;
		}
		stop = memchr(text + line, '\n', len - line);
		if (stop == NULL)
			return false;
		id_read(text + line, (size_t)(stop - text) - line, event);
		line = (size_t)(stop - text) + 1;
	}
	return false;
}

bool
event_scan_has_partial(const event_scan_t *scan)
{
	return evbuffer_get_length(scan->partial) > 0;
}
