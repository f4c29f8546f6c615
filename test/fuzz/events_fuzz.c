/**
 * @file
 * The same events are found in a stream however it is split into pieces, and no
 * byte is lost or added.
 */
#include <string.h>

#include "input.h"
#include "moortack/relay/event_scan.h"

#define OUT_MAX 8192
#define EVENTS_MAX 1024

typedef struct result {
	char text[OUT_MAX];
	size_t len;
	int64_t ids[EVENTS_MAX];
	size_t events;
	bool incomplete;
} result_t;

static void
scan_in_pieces(const uint8_t *bytes, size_t len, size_t piece, result_t *result)
{
	scanned_event_t event;
	event_scan_t scan;

	result->len = 0;
	result->events = 0;
	FUZZ_CHECK(event_scan_init(&scan));
	for (size_t at = 0; at < len; at += piece) {
		size_t part = len - at < piece ? len - at : piece;

		FUZZ_CHECK(
		    event_scan_add(&scan, (const char *)bytes + at, part));
		while (event_scan_next(&scan, &event)) {
			evbuffer_remove(scan.partial,
			    result->text + result->len, event.len);
			result->len += event.len;
			FUZZ_CHECK(result->events < EVENTS_MAX);
			result->ids[result->events++] =
			    event.has_id ? event.id : -1;
		}
	}
	result->incomplete = event_scan_has_partial(&scan);
	event_scan_finish(&scan);
	FUZZ_CHECK(memcmp(result->text, bytes, result->len) == 0);
	FUZZ_CHECK(result->incomplete == (result->len < len));
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	static result_t unsplit, pieces;

	if (len < 2 || len > EVENTS_MAX)
		return 0;
	scan_in_pieces(bytes + 1, len - 1, len, &unsplit);
	scan_in_pieces(bytes + 1, len - 1, 1 + bytes[0] % 7, &pieces);
	FUZZ_CHECK(unsplit.events == pieces.events);
	FUZZ_CHECK(unsplit.len == pieces.len);
	FUZZ_CHECK(unsplit.incomplete == pieces.incomplete);
	FUZZ_CHECK(memcmp(unsplit.ids, pieces.ids,
		       unsplit.events * sizeof(unsplit.ids[0])) == 0);
	return 0;
}
