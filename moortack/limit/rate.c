#include "moortack/limit/rate.h"

#define MS_PER_SEC 1000.0
#define US_PER_SEC 1e6

bool
rate_limiter_acquire(
    rate_limiter_t *rate, double per_s, struct timespec now, int64_t *wait_ms)
{
	double burst = per_s > 1 ? per_s : 1;

	*wait_ms = 0;
	if (per_s <= 0)
		return true;
	if (!rate->initialized) {
		rate->initialized = true;
		rate->tokens = burst;
		rate->refilled_at = now;
	}
	rate->tokens += (double)timespec_us_between(rate->refilled_at, now) /
	    US_PER_SEC * per_s;
	rate->refilled_at = now;
	if (rate->tokens > burst)
		rate->tokens = burst;
	if (rate->tokens < 1) {
		*wait_ms =
		    (int64_t)((1 - rate->tokens) / per_s * MS_PER_SEC) + 1;
		return false;
	}
	rate->tokens -= 1;
	return true;
}
