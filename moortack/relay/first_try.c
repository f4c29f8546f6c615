#include "moortack/relay/first_try.h"

/* Callers whose deadline is at least this share of the longest one are at their
 * first try; the rest of the time goes into opening the connection. */
#define NEAR_RATIO 0.97
/* Minimum share of a route's callers with deadlines near the longest one for a
 * shorter deadline to indicate an earlier try. The estimate starts at 0 and
 * exceeds this after 14 requests in a row with nearly equal deadlines, so that
 * a new daemon infers no earlier try from the first requests of a route. */
#define NEAR_SHARE_MIN 0.5
/* The same for an earlier try to be possible: many callers may retry at once.
 */
#define NEAR_SHARE_POSSIBLE 0.2
/* Weight of the newest request, and factor by which the longest deadline decays
 * with each request: a deadline that no caller has any more is forgotten after
 * some thousand requests. */
#define SAMPLE_WEIGHT 0.05
#define LONGEST_DECAY 0.9999

double
retry_age_observe(retry_age_t *self, int64_t deadline_ms)
{
	double ms = (double)deadline_ms;
	double is_near;

	if (deadline_ms <= 0)
		return 0;
	self->longest_ms *= LONGEST_DECAY;
	if (ms > self->longest_ms)
		self->longest_ms = ms;
	is_near = ms >= NEAR_RATIO * self->longest_ms ? 1 : 0;
	self->near_longest += SAMPLE_WEIGHT * (is_near - self->near_longest);
	if (is_near > 0 || self->near_longest < NEAR_SHARE_MIN)
		return 0;
	return self->longest_ms - ms;
}

double
retry_age_possible(const retry_age_t *self, int64_t deadline_ms)
{
	double ms = (double)deadline_ms;

	if (deadline_ms <= 0 || self->near_longest < NEAR_SHARE_POSSIBLE ||
	    ms >= NEAR_RATIO * self->longest_ms)
		return 0;
	return self->longest_ms - ms;
}
