/**
 * @file
 * Canary analysis during a roll-out: compares the responses of a service's new
 * version with those of the old one, for each route, over a sliding window.
 * Performs no I/O and reads no clock.
 */
#ifndef MOORTACK_ROLLOUT_CANARY_ANALYSIS_H
#define MOORTACK_ROLLOUT_CANARY_ANALYSIS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "moortack/rollout/canary_cohort.h"
#include "moortack/rollout/latency_histogram.h"

#define CANARY_ROUTES_MAX 12
/** Groups of a version's endpoints, by hash. */
#define CANARY_GROUPS 12
/** Slices of the window, of 1 s each. One of the users' workloads has 26
 * requests a second; a twentieth of them is 15 responses of the new version in
 * a window. */
#define CANARY_SLICES 12
#define CANARY_LATENCIES_MAX 96

/** Responses of one version on one route. */
typedef struct canary_counts {
	uint32_t responses;
	uint32_t failed;
	/** Responses whose first byte was several times later than usual. */
	uint32_t late;
	/** Responses whose gap between events is known. */
	uint32_t gaps_measured;
	/** Of these, responses whose gap is several times longer than usual. */
	uint32_t gaps_slow;
} canary_counts_t;

/** The counts of one route, of this daemon or summed over all daemons. */
typedef struct canary_tally {
	uint64_t route;		    /**< hash of its name */
	canary_counts_t new_counts; /**< of the new version */
	canary_counts_t old_counts; /**< of the old one */
	uint32_t old_in_flight;	    /**< requests at the old one */
} canary_tally_t;

/** The usual latency of one route and model, until the first byte or between
 * events. */
typedef struct canary_latency {
	uint64_t key;
	double log_mean; /**< mean of the logarithms of milliseconds */
	uint32_t samples;
} canary_latency_t;

/** Responses by the shortest of their first gaps between events, or by their
 * latency if they are not streams. A gap is longer while the endpoint prefills
 * another prompt, the shortest one seldom is. */
typedef struct canary_gaps {
	latency_histogram_t old_gaps;
	latency_histogram_t new_gaps[CANARY_GROUPS]; /**< by endpoints */
} canary_gaps_t;

/** The counts of one route in the window. */
typedef struct canary_route {
	uint64_t route; /**< hash of its name */
	canary_counts_t new_slices[CANARY_SLICES];
	canary_counts_t old_slices[CANARY_SLICES];
	int64_t last_slice; /**< number of the newest slice */
	bool repeatable;    /**< its requests may be sent again */
	/** Mean of the logarithms of tokens in per token out. */
	double log_token_ratio;
	uint32_t token_ratio_samples;
} canary_route_t;

typedef struct canary_analysis {
	canary_route_t routes[CANARY_ROUTES_MAX];
	size_t routes_len;
	canary_latency_t latencies[CANARY_LATENCIES_MAX];
	size_t latencies_len;
	canary_gaps_t gaps_slices[CANARY_SLICES];
	uint32_t gaps_counts[CANARY_SLICES]; /**< gaps in each slice */
	int64_t gaps_last_slice;	     /**< number of the newest slice */
	canary_cohorts_t cohorts;
} canary_analysis_t;

/** What was observed of a response. */
typedef enum canary_signal {
	CANARY_FIRST_BYTE,   /**< its first byte came */
	CANARY_OVERDUE,	     /**< its first byte has not come yet */
	CANARY_EVENT_GAP,    /**< the time between its events is known */
	CANARY_SHORTEST_GAP, /**< the shortest of its first gaps is known, or
				the latency of one that is no stream */
	CANARY_FAILED,
} canary_signal_t;

/** One observation of a response. */
typedef struct canary_observation {
	canary_signal_t signal;
	uint64_t route;		 /**< hash of its name */
	uint64_t model;		 /**< hash of the model's name; 0: none */
	bool is_new;		 /**< the response is of the new version */
	bool stream;		 /**< it is a stream of events */
	bool repeatable;	 /**< the request may be sent again */
	bool counted;		 /**< an earlier signal of it was counted */
	uint64_t endpoint;	 /**< its hash */
	struct timespec sent_at; /**< the request */
	double ms;	    /**< until its first byte, or between its events */
	double token_ratio; /**< tokens in per token out expected; 0: not known
			     */
} canary_observation_t;

/** @return the group of an endpoint with this hash */
size_t canary_group(uint64_t endpoint);

/** Discard the counts of the new version, for another order. */
void canary_analysis_reset(canary_analysis_t *);

/** Count an observation.
 * @return whether it was counted: an overdue response is counted only once it
 * is several times later than usual */
bool canary_analysis_observe(
    canary_analysis_t *, const canary_observation_t *, struct timespec now);

/** Sum up the window for each route.
 * @return the number of entries written to @p out */
size_t canary_analysis_tally(
    canary_analysis_t *, struct timespec now, canary_tally_t *out, size_t cap);

/** Add the gaps in the window. */
void canary_analysis_add_gaps(
    canary_analysis_t *, struct timespec now, canary_gaps_t *sum);

/** Routes whose responses take long compared with their prompts, so that many
 * of them run at an endpoint at a time before its prefill is the limit; the
 * best one in any case. Requests without a prompt need no prefill. Routes whose
 * requests can't be sent again are left out.
 * @param out hashes of their names
 * @return how many */
size_t canary_analysis_long_routes(
    const canary_analysis_t *, uint64_t *out, size_t cap);

void canary_gaps_merge(canary_gaps_t *sum, const canary_gaps_t *more);

/** Add the counts of @p more to @p sum. */
void canary_counts_add(canary_counts_t *sum, const canary_counts_t *more);

/** Add a tally to the entry of its route; dropped if @p sums is full. */
void canary_tally_add(
    canary_tally_t *sums, size_t *len, size_t cap, const canary_tally_t *);

#endif
