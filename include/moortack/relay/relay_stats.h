/**
 * @file
 * Counters and latency histograms of the relay, in the Prometheus text format.
 */
#ifndef MOORTACK_RELAY_RELAY_STATS_H
#define MOORTACK_RELAY_RELAY_STATS_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/http_syntax.h"

/** Buckets with an upper bound. */
#define STATS_BUCKETS 14

/** Each has an entry of counter_infos in relay_stats.c. */
typedef enum relay_counter {
	STAT_REQUESTS,
	STAT_ANSWERED,
	STAT_REFUSED,
	STAT_FAILED,
	STAT_CALLERS_GONE,
	STAT_ATTEMPTS,
	STAT_REPEATS,
	STAT_REPEATS_DENIED,
	STAT_NOT_RUN,
	STAT_WRONG_ENDPOINT,
	STAT_STRAY_ANSWERS,
	STAT_CONNECTIONS,
	STAT_CONNECTS_FAILED,
	STAT_BROKEN,
	STAT_RESUMED,
	STAT_STREAMS_CUT,
	STAT_EVENTS,
	STAT_BAD_MESSAGES,
	STAT_ESCALATED,
	STAT_SUSPECTS_STOPPED,
	STAT_CRASH_PROBES,
	STAT_COLD_SENDS,
	STAT_COLD_PASSED_OVER,
	STAT_RATE_LIMITED_SENDS,
	STAT_RATE_LIMITED_PASSED_OVER,
	STAT_BACKOFF_PASSED_OVER,
	STAT_UNREADABLE_NOTICES,
	STAT_BRITTLE_REFUSALS,
	STAT_BRITTLE_PASSED_OVER,
	STAT_REPORT_WAITS,
	STAT_FORWARDS,
	STAT_FORWARDS_SERVED,
	STAT_FORWARDS_FAILED,
	STAT_FORWARDS_ACCEPTED,
	STAT_CONTENTS_CALLS,
	STAT_CONTENTS_LISTS,
	STAT_CONTENTS_EVENTS,
	STAT_CONTENTS_GAPS,
	STAT_CONTENTS_FAILED,
	STAT_CONTENTS_INVALID,
	STAT_CONTENTS_ANSWERS,
	STAT_WAITED,
	STAT_ADMITTED_AFTER_WAIT,
	STAT_REFUSED_ABOVE_SHARE,
	STAT_REFUSED_RANK,
	STAT_REFUSED_LATE,
	STAT_REFUSED_QUEUE_FULL,
	STAT_ESCALATIONS_WITHHELD,
	RELAY_COUNTERS /* number of counters */
} relay_counter_t;

/** Requests by duration; the last count is of those beyond all bounds. */
typedef struct stats_histogram {
	uint64_t counts[STATS_BUCKETS + 1];
	double sum_ms;
} stats_histogram_t;

/** Distinct pairs of outcome and cause. */
#define STATS_OUTCOMES_MAX 64

/** Requests that ended with one outcome and cause. */
typedef struct stats_outcome {
	const char *outcome; /**< static text */
	const char *why;     /**< static text */
	uint64_t count;
	uint64_t late; /**< of these, with a response later than the route's
			  objective */
} stats_outcome_t;

typedef struct relay_stats {
	uint64_t counters[RELAY_COUNTERS];
	uint64_t failures[ERR_CODE_COUNT]; /**< error responses by err_code_t */
	uint64_t bad_responses[HTTP_DEFECTS];
	stats_outcome_t outcomes[STATS_OUTCOMES_MAX];
	size_t outcomes_len;
	/* Milliseconds since a request was received. */
	stats_histogram_t first_byte_ms; /**< to the first byte */
	stats_histogram_t complete_ms;	 /**< to the end */
	stats_histogram_t added_ms;	 /**< to the first send */
	stats_histogram_t waited_ms;	 /**< of a wait for a place */
} relay_stats_t;

void stats_add(relay_stats_t *, relay_counter_t, uint64_t by);
/** Count a response that is not valid HTTP, or was cut. */
void stats_count_defect(relay_stats_t *, http_defect_t);
/** Count a request that has ended. The texts are static. Once there are
 * STATS_OUTCOMES_MAX pairs of outcome and cause, further pairs are not counted.
 * @param late the response started after the route's objective, counted from
 * the caller's first try */
void stats_count_outcome(
    relay_stats_t *, const char *outcome, const char *why, bool late);
/** Add a duration. */
void stats_observe(stats_histogram_t *, double ms);
/** Append everything in the Prometheus text format. */
void stats_write(const relay_stats_t *, struct evbuffer *out);

#endif
