/**
 * @file
 * One run of the placing experiment: prompts of several daemons go to endpoints
 * that read them one after the other and keep what they read.
 */
#ifndef BENCH_PLACING_H
#define BENCH_PLACING_H

#include "experiment.h"

typedef enum placing_policy {
	PLACING_BROADCAST, /**< the product in a small fleet: expected time,
			 sends told to all */
	PLACING_OWNERS_QUERIED, /**< the product in a large one: expected time
			  at those that stand first, by what their owners know
			*/
	PLACING_OWN_SENDS,	/**< expected time by a daemon's own sends */
	PLACING_AFFINITY_HASH, /**< the first in the order for what is shared */
	PLACING_LEAST_REPORTED, /**< where the fewest wait, by a report 200 ms
				   old */
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
	int shared_prefixes; /**< that long prompts are about */
} placing_fleet_t;

/** Of the sizes of two of the users' sheets. */
extern const placing_fleet_t placing_small_fleet, placing_large_fleet;

typedef struct placing_result {
	double requests[PLACING_PROMPT_KINDS];
	double in_time[PLACING_PROMPT_KINDS]; /**< first event within the
						 objective */
	samples_t first_event_ms[PLACING_PROMPT_KINDS];
	double tokens_prefilled;
} placing_result_t;

/** @param per_s requests a second for each twelve endpoints
 * @param out its samples are the caller's to finish */
void placing_run(const placing_fleet_t *, placing_policy_t, double per_s,
    uint64_t seed, placing_result_t *out);

#endif
