/**
 * @file
 * One run of the placing experiment: several daemons send prompts to endpoints,
 * which prefill one prompt at a time and cache its prefixes.
 */
#ifndef BENCH_PLACING_H
#define BENCH_PLACING_H

#include "experiment.h"

typedef enum placing_policy {
	/** The product in a small fleet: expected time, with every send
	 * broadcast to all daemons. */
	PLACING_BROADCAST,
	/** The product in a large fleet: expected time at the endpoints that
	 * rank first by affinity, estimated by the daemons that own them. */
	PLACING_OWNERS_QUERIED,
	/** Expected time, estimated from the daemon's own sends only. */
	PLACING_OWN_SENDS,
	/** The endpoint that ranks first by affinity with the shared prefix. */
	PLACING_AFFINITY_HASH,
	/** The endpoint with the fewest waiting prompts, by a report that is up
	 * to 200 ms old. */
	PLACING_LEAST_REPORTED,
	PLACING_RANDOM,
	PLACING_POLICIES /* count */
} placing_policy_t;

typedef enum placing_prompt_kind {
	PLACING_LONG_PROMPT,
	PLACING_SHORT_PROMPT,
	PLACING_PROMPT_KINDS /* count */
} placing_prompt_kind_t;

typedef struct placing_fleet {
	int daemons;
	int endpoints;
	int shared_prefixes; /**< number of distinct ones, for each kind of
				prompt */
} placing_fleet_t;

/** Fleets of the sizes of two of the users' deployments. */
extern const placing_fleet_t placing_small_fleet, placing_large_fleet;

typedef struct placing_result {
	double requests[PLACING_PROMPT_KINDS];
	/** First event within the objective. */
	double in_time[PLACING_PROMPT_KINDS];
	samples_t first_event_ms[PLACING_PROMPT_KINDS];
	double tokens_prefilled;
} placing_result_t;

/**
 * Runs one simulation.
 * @param requests_per_s requests a second for each twelve endpoints
 * @param out the caller finishes its samples
 */
void placing_run(const placing_fleet_t *, placing_policy_t,
    double requests_per_s, uint64_t seed, placing_result_t *out);

#endif
