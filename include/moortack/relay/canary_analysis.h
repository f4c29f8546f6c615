/**
 * @file
 * Compares the answers of a service's new version with those of the old one,
 * for each route, over a sliding window: a pure decision.
 */
#ifndef MOORTACK_RELAY_CANARY_ANALYSIS_H
#define MOORTACK_RELAY_CANARY_ANALYSIS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#define CANARY_ROUTES_MAX 12
/** Seconds of the window: with a twentieth of 26 requests a second, which one
 * of the users' sheets has, 15 answers of the new version come in it. */
#define CANARY_SLICES 12
#define CANARY_LATENCIES_MAX 96

/** Answers of one version on one route. */
typedef struct canary_counts {
	uint32_t responses;
	uint32_t failed;
	uint32_t late;		/**< begun several times later than usual */
	uint32_t gaps_measured; /**< of whose events the pace is known */
	uint32_t gaps_slow; /**< of these, several times slower than usual */
} canary_counts_t;

/** What is counted of one route, here or by all daemons together. */
typedef struct canary_tally {
	uint64_t route;		    /**< hash of its name */
	canary_counts_t new_counts; /**< of the new version */
	canary_counts_t old_counts; /**< of the old one */
} canary_tally_t;

/** How long something of one route and model usually takes. */
typedef struct canary_latency {
	uint64_t key;
	double log_mean; /**< of milliseconds */
	uint32_t samples;
} canary_latency_t;

typedef struct canary_route {
	uint64_t route;
	canary_counts_t new_slices[CANARY_SLICES];
	canary_counts_t old_slices[CANARY_SLICES];
	int64_t last_slice;
} canary_route_t;

typedef struct canary_analysis {
	canary_route_t routes[CANARY_ROUTES_MAX];
	size_t routes_len;
	canary_latency_t latencies[CANARY_LATENCIES_MAX];
	size_t latencies_len;
} canary_analysis_t;

/** What an answer has shown. */
typedef enum canary_signal {
	CANARY_FIRST_BYTE, /**< its first byte came */
	CANARY_OVERDUE,	   /**< it has not come yet */
	CANARY_EVENT_GAP,  /**< its events come */
	CANARY_FAILED,
} canary_signal_t;

/** One sign of an answer. */
typedef struct canary_observation {
	canary_signal_t signal;
	uint64_t route;
	uint64_t model; /**< hash of the model's name; 0: none */
	bool is_new;	/**< of the new version */
	bool stream;	/**< of events */
	bool counted;	/**< a sign of it was taken before */
	double ms;	/**< until its first byte, or between its events */
} canary_observation_t;

/** Forget the new version's answers: another order came. */
void canary_analysis_reset(canary_analysis_t *);

/** @return whether it was counted: an answer that is overdue counts only once
 * it is several times later than usual */
bool canary_analysis_observe(
    canary_analysis_t *, const canary_observation_t *, struct timespec now);

/** Counts of the window. @return how many rows were filled */
size_t canary_analysis_tally(
    canary_analysis_t *, struct timespec now, canary_tally_t *out, size_t cap);

/** Whether a route's answers show that the new version is worse. */
bool canary_tally_is_bad(const canary_tally_t *);

/** Add the counts of @p more to @p sum. */
void canary_counts_add(canary_counts_t *sum, const canary_counts_t *more);

/** Add a tally to those of the same route. */
void canary_tally_add(
    canary_tally_t *sums, size_t *len, size_t cap, const canary_tally_t *);

#endif
