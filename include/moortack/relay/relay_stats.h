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

#define STATS_BUCKETS 14

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
	STATS /* count */
} relay_counter_t;

/** Requests by the time they took. */
typedef struct stats_histogram {
	uint64_t counts[STATS_BUCKETS + 1];
	double sum_ms;
} stats_histogram_t;

#define STATS_ENDS_MAX 64

/** How requests ended, and why. */
typedef struct stats_end {
	const char *outcome; /**< static */
	const char *why;     /**< static */
	uint64_t count;
	uint64_t late; /**< of these, begun after the route's objective */
} stats_end_t;

typedef struct relay_stats {
	uint64_t values[STATS];
	uint64_t failures[ERR_CODE_COUNT]; /**< by type */
	stats_end_t ends[STATS_ENDS_MAX];
	size_t ends_len;
	stats_histogram_t first_ms; /**< until the answer's first byte */
	stats_histogram_t whole_ms; /**< until its last */
	stats_histogram_t added_ms; /**< from the whole request to its send */
} relay_stats_t;

void stats_add(relay_stats_t *, relay_counter_t, uint64_t by);
/** A request has ended. Texts are static; beyond STATS_ENDS_MAX pairs of them
 * none is told apart. */
void
stats_end(relay_stats_t *, const char *outcome, const char *why, bool late);
void stats_observe(stats_histogram_t *, double ms);
void stats_write(const relay_stats_t *, struct evbuffer *out);

#endif
