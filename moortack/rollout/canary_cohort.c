#include "moortack/rollout/canary_cohort.h"

#include "common/clock_source.h"

#define COHORT_MS 1000
/* Time after its last request from which on a cohort is judged. */
#define SETTLING_MS 500

static void
cohorts_advance(canary_cohorts_t *cohorts, struct timespec now)
{
	int64_t newest = timespec_to_ms(now) / COHORT_MS;
	int64_t steps = newest - cohorts->newest;

	if (steps <= 0)
		return;
	if (steps > CANARY_COHORTS)
		steps = CANARY_COHORTS;
	for (int64_t i = 0; i < steps; i++)
		cohorts->cohorts[(newest - i) % CANARY_COHORTS] =
		    (canary_cohort_t){0};
	cohorts->newest = newest;
}

canary_cohort_t *
canary_cohorts_find(
    canary_cohorts_t *cohorts, struct timespec sent_at, struct timespec now)
{
	int64_t number = timespec_to_ms(sent_at) / COHORT_MS;

	cohorts_advance(cohorts, now);
	if (number > cohorts->newest ||
	    number <= cohorts->newest - CANARY_COHORTS)
		return NULL;
	return &cohorts->cohorts[number % CANARY_COHORTS];
}

/* The number of the first cohort that is not judged yet. */
static int64_t
first_unsettled(struct timespec now)
{
	return (timespec_to_ms(now) - SETTLING_MS) / COHORT_MS;
}

struct timespec
canary_cohorts_settled_at(struct timespec now)
{
	return timespec_from_ms(first_unsettled(now) * COHORT_MS);
}

void
canary_cohort_merge(canary_cohort_t *sum, const canary_cohort_t *more)
{
	sum->responses += more->responses;
	sum->failed += more->failed;
	sum->late += more->late;
	sum->unanswered += more->unanswered;
	sum->gapless += more->gapless;
	latency_histogram_merge(&sum->gaps, &more->gaps);
}

void
canary_cohorts_add_settled(
    canary_cohorts_t *cohorts, struct timespec now, canary_cohort_t *sum)
{
	int64_t end = first_unsettled(now);

	cohorts_advance(cohorts, now);
	for (int64_t number = cohorts->newest - CANARY_COHORTS + 1;
	     number < end; number++) {
		if (number >= 0)
			canary_cohort_merge(
			    sum, &cohorts->cohorts[number % CANARY_COHORTS]);
	}
}
