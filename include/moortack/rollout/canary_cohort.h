/**
 * @file
 * Responses of a new version by the time at which their requests were sent.
 * Slow responses are observed later than fast ones; what was observed until now
 * would make a slower version look as good. So a version is accepted only by
 * requests that were sent some time ago, and by how many of them still wait.
 * Performs no I/O and reads no clock.
 */
#ifndef MOORTACK_ROLLOUT_CANARY_COHORT_H
#define MOORTACK_ROLLOUT_CANARY_COHORT_H

#include <stdint.h>
#include <time.h>

#include "moortack/rollout/latency_histogram.h"

/** Cohorts that are kept, of 1 s each. */
#define CANARY_COHORTS 12

/** Outcomes of the requests of one or more cohorts. */
typedef struct canary_cohort {
	uint32_t responses;
	uint32_t failed;
	/** Responses whose first byte was several times later than usual. */
	uint32_t late;
	latency_histogram_t gaps; /**< the shortest of each response */
	uint32_t unanswered;	  /**< requests without a response so far */
	uint32_t gapless; /**< streams of which no gap is known so far */
} canary_cohort_t;

typedef struct canary_cohorts {
	canary_cohort_t cohorts[CANARY_COHORTS];
	int64_t newest; /**< number of the newest cohort */
} canary_cohorts_t;

/** The cohort of a request sent at this time.
 * @return NULL: it is too old */
canary_cohort_t *canary_cohorts_find(
    canary_cohorts_t *, struct timespec sent_at, struct timespec now);

/** Until when requests were sent whose responses may be judged. */
struct timespec canary_cohorts_settled_at(struct timespec now);

/** Add the cohorts that may be judged. */
void canary_cohorts_add_settled(
    canary_cohorts_t *, struct timespec now, canary_cohort_t *sum);

void canary_cohort_merge(canary_cohort_t *sum, const canary_cohort_t *more);

#endif
