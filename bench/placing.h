/**
 * @file
 * One run of the placing experiment: prompts of several daemons go to endpoints
 * that read them one after the other and keep what they read.
 */
#ifndef BENCH_PLACING_H
#define BENCH_PLACING_H

#include "experiment.h"

typedef enum placing_policy {
	PLACING_TOLD,  /**< the product: expected time, sends told */
	PLACING_ALONE, /**< expected time by a daemon's own sends */
	PLACING_HASH,  /**< the first in the order for what is shared */
	PLACING_LEAST, /**< where the fewest wait, by a report 200 ms old */
	PLACING_RANDOM,
	PLACING_POLICIES /* count */
} placing_policy_t;

typedef enum placing_kind {
	PLACING_LONG,
	PLACING_SHORT,
	PLACING_KINDS /* count */
} placing_kind_t;

typedef struct placing_result {
	double asked[PLACING_KINDS];
	double in_time[PLACING_KINDS]; /**< first event within the objective */
	samples_t first_ms[PLACING_KINDS];
	double tokens_read;
} placing_result_t;

/** @param per_s requests a second of all daemons
 * @param out its samples are the caller's to finish */
void placing_run(
    placing_policy_t, double per_s, uint64_t seed, placing_result_t *out);

#endif
