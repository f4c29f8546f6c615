#include "moortack/limit/rate.h"

#define MS_PER_SEC 1000.0
#define US_PER_SEC 1e6

bool
rate_limiter_acquire(rate_limiter_t *limiter, double per_s, struct timespec now,
    int64_t *wait_ms)
{
	double burst = per_s > 1 ? per_s : 1;

	*wait_ms = 0;
	if (per_s <= 0)
		return true;
	if (!limiter->initialized) {
		limiter->initialized = true;
		limiter->tokens = burst;
		limiter->refilled_at = now;
	}
	limiter->tokens +=
	    (double)timespec_us_between(limiter->refilled_at, now) /
	    US_PER_SEC * per_s;
	limiter->refilled_at = now;
	if (limiter->tokens > burst)
		limiter->tokens = burst;
	if (limiter->tokens < 1) {
		*wait_ms =
		    (int64_t)((1 - limiter->tokens) / per_s * MS_PER_SEC) + 1;
		return false;
	}
	limiter->tokens -= 1;
	return true;
}
