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

/* Length of the line terminator at @p at: 1, 2, or 0 if there is none. */
static size_t
line_end_len(const char *text, size_t at, size_t len)
{
	if (at < len && text[at] == '\n')
		return 1;
	if (at + 1 < len && text[at] == '\r' && text[at + 1] == '\n')
		return 2;
	return 0;
}

static void
id_parse(const char *line, size_t len, scanned_event_t *event)
{
	static const char prefix[] = "id:";
	char text[24];
	size_t start = sizeof(prefix) - 1;
	char *end;

	if (len < start || memcmp(line, prefix, start) != 0)
		return;
	if (start < len && line[start] == ' ')
		start++;
	if (len - start >= sizeof(text) || len == start)
		return;
	memcpy(text, line + start, len - start);
	text[len - start] = '\0';
	event->id = strtoll(text, &end, 10);
	event->has_id = end != text && (*end == '\0' || *end == '\r');
}

bool
event_scan_next(event_scan_t *scan, scanned_event_t *event)
{
	size_t len = evbuffer_get_length(scan->partial);
	const char *text =
	    (const char *)evbuffer_pullup(scan->partial, (ev_ssize_t)len);
	size_t line_start = 0;

	*event = (scanned_event_t){0};
	while (line_start < len) {
		size_t end_len = line_end_len(text, line_start, len);
		const char *newline;

		if (end_len > 0 && line_start > 0) {
			event->len = line_start + end_len;
			return true;
		}
		newline = memchr(text + line_start, '\n', len - line_start);
		if (newline == NULL)
			return false;
		id_parse(text + line_start,
		    (size_t)(newline - text) - line_start, event);
		line_start = (size_t)(newline - text) + 1;
	}
	return false;
}

bool
event_scan_has_partial(const event_scan_t *scan)
{
	return evbuffer_get_length(scan->partial) > 0;
}
