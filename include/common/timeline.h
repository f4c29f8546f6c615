/**
 * @file
 * The timeline: a ring buffer of the latest typed events of a process.
 */
#ifndef COMMON_TIMELINE_H
#define COMMON_TIMELINE_H

#include <stdint.h>

#include "common/clock_source.h"
#include "common/hlc.h"

#define TIMELINE_EVENTS 4096
#define TIMELINE_SUBJECT_SIZE 48
#define TIMELINE_NOTE_SIZE 48

/** Event types, in the order of the table in timeline.c. */
typedef enum event_type {
	EVENT_STARTED,
	EVENT_DRAINING,
	EVENT_STOPPED,
	EVENT_PEER_SEEN,
	EVENT_PEER_LOST,
	EVENT_PLAN_MADE,
	EVENT_PLAN_CONFIRMED,
	EVENT_PLAN_REFUSED,
	EVENT_REVISION_APPLIED,
	EVENT_STALE,
	EVENT_FRESH,
	EVENT_STORE_UNAVAILABLE,
	EVENT_STORE_AVAILABLE,
	EVENT_STORE_OUTDATED_READ,
	EVENT_ENDPOINT_SEEN,
	EVENT_ENDPOINT_LEAVING,
	EVENT_ENDPOINT_EJECTED,
	EVENT_REQUEST_ACCEPTED,
	EVENT_REQUEST_REFUSED,
	EVENT_ATTEMPT_SENT,
	EVENT_ATTEMPT_FAILED,
	EVENT_STREAM_RESUMED,
	EVENT_RESPONSE_COMPLETED,
	EVENT_RESPONSE_TRUNCATED,
	EVENT_TICKET_GRANTED,
	EVENT_TICKET_REVOKED,
	EVENT_BILL_HELD,
	EVENT_BILL_FLUSHED,
	EVENT_GUARD_STOPPED,
	EVENT_ORDER_SENT,
	EVENT_TYPE_COUNT /* count */
} event_type_t;

typedef struct timeline_event {
	uint64_t stamp; /**< of the hybrid logical clock */
	event_type_t type;
	char subject[TIMELINE_SUBJECT_SIZE]; /**< request, plan, endpoint ... */
	char note[TIMELINE_NOTE_SIZE];
} timeline_event_t;

typedef struct timeline {
	const clock_source_t *clock;
	hlc_t hlc;
	uint64_t event_count; /**< added so far, including overwritten ones */
	timeline_event_t events[TIMELINE_EVENTS];
} timeline_t;

void timeline_init(timeline_t *, const clock_source_t *);

/** Add an event, overwriting the oldest one once the ring is full.
 * @param subject what it concerns
 * @param fmt a short note */
void timeline_add(timeline_t *, event_type_t, const char *subject,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/** The event @p back places before the newest one, or NULL if there is none or
 * it was overwritten. */
const timeline_event_t *timeline_get(const timeline_t *, uint64_t back);

const char *event_type_name(event_type_t);

#endif
