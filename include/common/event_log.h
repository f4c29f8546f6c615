/**
 * @file
 * Structured lines on standard output: one a decision, bounded in rate, never
 * blocking. What is dropped is counted, and the count is told.
 */
#ifndef COMMON_EVENT_LOG_H
#define COMMON_EVENT_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock_source.h"

/** Events of which many come at once in a large fleet: at a start one for each
 * endpoint and each daemon. */
typedef enum event_throttle_kind {
	EVENT_THROTTLED_ENDPOINT,
	EVENT_THROTTLED_ENDPOINT_REMOVED,
	EVENT_THROTTLED_MEMBER,
	EVENT_THROTTLED_MEMBER_REMOVED,
	EVENT_THROTTLED_SUSPECT,
	EVENT_THROTTLE_COUNT /* count */
} event_throttle_kind_t;

/** Lines of such an event in the time that is counted now. */
typedef struct event_throttle {
	struct timespec window_start;
	uint32_t lines;
	uint32_t suppressed;
} event_throttle_t;

typedef struct event_log {
	const clock_source_t *clock;
	double tokens;		     /**< lines that may be written now */
	struct timespec refilled_at; /**< when room was last refilled */
	uint64_t written;
	uint64_t dropped;
	uint64_t dropped_reported;
	double lines_per_s; /**< lines */
	event_throttle_t throttles[EVENT_THROTTLE_COUNT];
} event_log_t;

/** @param per_s lines a second that may be written */
void event_log_init(event_log_t *, const clock_source_t *, double per_s);

/** Write one line: the kind of event, then fields as key=value. */
void event_log_write(event_log_t *, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** Write a line of an event that may come many at once: the first few of a
 * second are written, the others counted. */
void event_log_write_throttled(event_log_t *, event_throttle_kind_t,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));
/** Tell how many lines were left out in the seconds that are over: one line
 * `left_out` a kind; called a few times a second. */
void event_log_tick(event_log_t *);

#endif
