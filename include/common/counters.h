/**
 * @file
 * The daemon's counters, exported in the Prometheus text format.
 */
#ifndef COMMON_COUNTERS_H
#define COMMON_COUNTERS_H

#include <event2/buffer.h>
#include <stdint.h>

#include "common/err.h"

/** Counters without a label, in the order of the table in counters.c. */
typedef enum counter {
	COUNTER_REQUESTS,
	COUNTER_RESPONSES,
	COUNTER_ATTEMPTS,
	COUNTER_RETRIES,
	COUNTER_RESUMES,
	COUNTER_STREAMS_TRUNCATED,
	COUNTER_CALLERS_DISCONNECTED,
	COUNTER_TOKENS,
	COUNTER_LATE_RESPONSES,
	COUNTER_BILLS_RECORDED,
	COUNTER_BILLS_UNREPLICATED,
	COUNTER_BILLS_HELD,
	COUNTER_BILLS_FLUSHED,
	COUNTER_TICKETS_GRANTED,
	COUNTER_TICKETS_REVOKED,
	COUNTER_PEER_SENT,
	COUNTER_PEER_RECEIVED,
	COUNTER_PEER_BYTES_SENT,
	COUNTER_STORE_CALLS,
	COUNTER_STORE_FAILURES,
	COUNTER_REVISIONS_APPLIED,
	COUNTER_STALE_PAUSES,
	COUNTER_STORE_OUTDATED_READS,
	COUNTER_GUARD_STOPS,
	COUNTER_EJECTIONS,
	COUNTER_CASCADE_ESCALATIONS,
	COUNTER_DEFERRED_ACCEPTED,
	COUNTER_DEFERRED_DONE,
	COUNTER_DEFERRED_CLAIMS_LOST,
	COUNTER_COUNT /* count */
} counter_t;

typedef struct counters {
	uint64_t values[COUNTER_COUNT];
	uint64_t failures[ERR_CODE_COUNT]; /**< by failure type */
} counters_t;

void counter_add(counters_t *, counter_t, uint64_t by);
void counter_add_failure(counters_t *, err_code_t);

/** Append all counters to @p out in the Prometheus text format. */
void counters_write(const counters_t *, struct evbuffer *out);

#endif
