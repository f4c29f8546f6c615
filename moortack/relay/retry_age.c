#include "moortack/relay/retry_age.h"

/* Callers that wait at least this part of the longest time are at their first
 * try: making a connection takes the rest. */
#define NEAR_PART 0.97
/* Part of a route's callers that has to wait alike, so that a shorter time
 * tells of an earlier try. The estimate starts at 0 and exceeds this after 14
 * requests in a row that wait alike, so that a new daemon infers no earlier
 * try from the first requests of a route. */
#define ALIKE_MIN 0.5
/* Weight of the newest request, and by which the longest time fades: a time
 * that no caller has any more is forgotten after some thousand requests. */
#define NEAR_WEIGHT 0.05
#define MOST_FADING 0.9999

double
retry_age_observe(retry_age_t *self, int64_t deadline_ms)
{
	double ms = (double)deadline_ms;
	double is_near;

	if (deadline_ms <= 0)
		return 0;
	self->longest_ms *= MOST_FADING;
	if (ms > self->longest_ms)
		self->longest_ms = ms;
	is_near = ms >= NEAR_PART * self->longest_ms ? 1 : 0;
	self->near_longest += NEAR_WEIGHT * (is_near - self->near_longest);
	if (is_near > 0 || self->near_longest < ALIKE_MIN)
		return 0;
	return self->longest_ms - ms;
}
