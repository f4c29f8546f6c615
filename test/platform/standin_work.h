/**
 * @file
 * The work of a fake replica whose capacity is limited. Faults: "work_ms" is
 * the time that a request takes that is no stream, "slots" how many are
 * processed at once, "queue" how many wait; the rest is refused as not run.
 * "no_load" omits the load from responses.
 */
#ifndef TEST_PLATFORM_STANDIN_WORK_H
#define TEST_PLATFORM_STANDIN_WORK_H

#include "standin/fake.h"

/** Times of the latest events, in milliseconds. */
#define RATE_TIMES_MAX 256

typedef struct rate_window {
	int64_t times[RATE_TIMES_MAX];
	size_t next;
} rate_window_t;

/** Adds an event.
 * @return the number of events in the last second */
int64_t rate_window_add(rate_window_t *, int64_t now_ms);

typedef struct work_item work_item_t;

typedef struct work {
	void (*started)(struct evhttp_request *);
	void (*done)(struct evhttp_request *);
	work_item_t *first; /**< the one that arrived first */
	int64_t running;
	int64_t waiting;
	int64_t left; /**< callers that left while theirs was processed, or
			 before the response was complete */
} work_t;

/** Whether the request takes a time. */
bool work_wanted(const json_t *faults, const char *uri);
/** Processes the request, now or later.
 * @return false: there is no room for it */
bool work_add(
    work_t *, struct fake *, const json_t *faults, struct evhttp_request *);
/** Adds the load header to a response.
 * @param streams in progress, which have slots too */
void work_load_add(const work_t *, const json_t *faults, int64_t streams,
    struct evhttp_request *);

#endif
