/**
 * @file
 * Finds complete events and their ids in an event stream (text/event-stream)
 * without changing a byte.
 */
#ifndef MOORTACK_RELAY_EVENT_SCAN_H
#define MOORTACK_RELAY_EVENT_SCAN_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

/** Bytes of unprocessed data, and so of one event; more are an error. */
#define EVENT_SIZE_MAX (1U << 20)

typedef struct event_scan {
	struct evbuffer *partial; /**< data after the last event taken out */
} event_scan_t;

/** One complete event. */
typedef struct scanned_event {
	size_t len; /**< bytes at the front of the partial buffer */
	bool has_id;
	int64_t id; /**< valid if has_id */
} scanned_event_t;

/** @return false: out of memory */
bool event_scan_init(event_scan_t *);
void event_scan_finish(event_scan_t *);
/** Discard all data: another stream begins. */
void event_scan_reset(event_scan_t *);
/** Append data of the stream.
 * @return false: more than EVENT_SIZE_MAX, or out of memory */
bool event_scan_add(event_scan_t *, const char *bytes, size_t len);
/** Find the next complete event. The caller removes its bytes from the partial
 * buffer.
 * @return false: there is none yet */
bool event_scan_next(event_scan_t *, scanned_event_t *);
/** Whether there is data of an incomplete event. */
bool event_scan_has_partial(const event_scan_t *);

#endif
