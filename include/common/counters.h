/**
 * @file
 * The project's own counters, written out in the Prometheus text format.
 */
#ifndef COMMON_COUNTERS_H
#define COMMON_COUNTERS_H

#include <event2/buffer.h>
#include <stdint.h>

#include "common/err.h"

/** Counters without a label. The order is that of the table in counters.c. */
typedef enum counter {
	COUNTER_REQUESTS,
	COUNTER_ANSWERS,
	COUNTER_ATTEMPTS,
	COUNTER_RETRIES,
	COUNTER_RESUMES,
	COUNTER_STREAMS_CUT,
	COUNTER_CALLERS_GONE,
	COUNTER_TOKENS,
	COUNTER_LATE_REPLIES,
	COUNTER_BILLS_RECORDED,
	COUNTER_BILLS_ALONE,
	COUNTER_BILLS_HELD,
	COUNTER_BILLS_FLUSHED,
	COUNTER_TICKETS_GO,
	COUNTER_TICKETS_KILLED,
	COUNTER_PEER_SENT,
	COUNTER_PEER_RECEIVED,
	COUNTER_PEER_BYTES_SENT,
	COUNTER_STORE_CALLS,
	COUNTER_STORE_FAILURES,
	COUNTER_REVISIONS_TAKEN,
	COUNTER_STALE_PAUSES,
	COUNTER_STORE_BEHIND,
	COUNTER_GUARD_STOPS,
	COUNTER_EJECTIONS,
	COUNTER_CASCADE_UPS,
	COUNTER_DEFERRED_ACCEPTED,
	COUNTER_DEFERRED_DONE,
	COUNTER_DEFERRED_LOST,
	COUNTERS /* count */
} counter_t;

typedef struct counters {
	uint64_t values[COUNTERS];
	uint64_t refusals[ERR_CODES]; /**< by failure type */
} counters_t;

void counter_add(counters_t *, counter_t, uint64_t by);
void counter_refusal(counters_t *, err_code_t);

/** Append all counters to @p out in the Prometheus text format. */
void counters_write(const counters_t *, struct evbuffer *out);

#endif
