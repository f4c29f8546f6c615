/**
 * @file
 * Estimates how long ago a caller first tried from the deadline that it sends:
 * a caller that was refused and retries has less time left than the other
 * callers of its route. A pure, exponentially decaying estimate for one route.
 */
#ifndef MOORTACK_RELAY_FIRST_TRY_H
#define MOORTACK_RELAY_FIRST_TRY_H

#include <stdint.h>

typedef struct retry_age {
	double longest_ms;   /**< longest deadline; decays */
	double near_longest; /**< share of callers whose deadline is near the
				longest; moving average */
} retry_age_t;

/** Records a request whose caller waits for @p deadline_ms from now.
 * @return milliseconds since the caller's first try; 0 if the route's callers
 * have differing deadlines or send none, or if too few requests have come yet
 */
double retry_age_observe(retry_age_t *, int64_t deadline_ms);
/** The same without recording it, and also while so many callers retry that
 * the estimate above is 0: the caller's first try may be that long ago. */
double retry_age_possible(const retry_age_t *, int64_t deadline_ms);

#endif
