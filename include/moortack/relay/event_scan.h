/**
 * @file
 * Finds whole events in a stream of them (text/event-stream), and their ids,
 * without changing a byte.
 */
#ifndef MOORTACK_RELAY_EVENT_SCAN_H
#define MOORTACK_RELAY_EVENT_SCAN_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

/** Bytes of one event; a longer one is an error. */
#define EVENT_SIZE_MAX (1U << 20)

typedef struct event_scan {
	struct evbuffer *partial; /**< the event that is not whole yet */
} event_scan_t;

/** One whole event. */
typedef struct scanned_event {
	size_t len; /**< bytes at the front of the partial buffer */
	bool has_id;
	int64_t id;
} scanned_event_t;

bool event_scan_init(event_scan_t *);
void event_scan_finish(event_scan_t *);
void event_scan_reset(event_scan_t *);
bool event_scan_add(event_scan_t *, const char *bytes, size_t len);
/** The next whole event; its bytes are still in the partial buffer. */
bool event_scan_next(event_scan_t *, scanned_event_t *);
/** Whether an event was begun and is not whole. */
bool event_scan_has_partial(const event_scan_t *);

#endif
