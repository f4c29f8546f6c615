/**
 * @file
 * Structured event log on standard output: one line per decision, limited in
 * rate and never blocking. Dropped lines are counted, and the next line that is
 * written reports the count.
 */
#ifndef COMMON_EVENT_LOG_H
#define COMMON_EVENT_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock_source.h"

/** Kinds of events that come in bursts in a large fleet: when a daemon starts,
 * one for each endpoint and each daemon. */
typedef enum event_throttle_kind {
	EVENT_THROTTLED_ENDPOINT,
	EVENT_THROTTLED_ENDPOINT_REMOVED,
	EVENT_THROTTLED_MEMBER,
	EVENT_THROTTLED_MEMBER_REMOVED,
	EVENT_THROTTLED_SUSPECT,
	EVENT_THROTTLED_LONG_TURN,
	EVENT_THROTTLED_LATE_TICK,
	EVENT_THROTTLE_COUNT /* count */
} event_throttle_kind_t;

/** Lines of one such kind in the current window of a second. */
typedef struct event_throttle {
	struct timespec window_start;
	uint32_t lines; /**< written */
	uint32_t suppressed;
} event_throttle_t;

typedef struct event_log {
	const clock_source_t *clock;
	double tokens;		     /**< lines that may be written now */
	struct timespec refilled_at; /**< when tokens was last refilled */
	uint64_t written;
	uint64_t dropped;
	uint64_t dropped_reported;
	double lines_per_s;
	event_throttle_t throttles[EVENT_THROTTLE_COUNT];
} event_log_t;

/** Also makes standard output non-blocking.
 * @param lines_per_s lines a second that may be written */
void event_log_init(event_log_t *, const clock_source_t *, double lines_per_s);

/** Write a line: the name of the event, then fields as key=value. */
void event_log_write(event_log_t *, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** Write a line of an event that comes in bursts: only the first few in each
 * second are written, the others are counted. */
void event_log_write_throttled(event_log_t *, event_throttle_kind_t,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));
/** Report how many lines were suppressed in windows that have ended, by one
 * event `left_out` for each kind. Called a few times a second. */
void event_log_tick(event_log_t *);

#endif
