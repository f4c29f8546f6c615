/**
 * @file
 * A token bucket: requests a second of one organisation at one daemon.
 */
#ifndef MOORTACK_LIMIT_RATE_H
#define MOORTACK_LIMIT_RATE_H

#include <stdbool.h>

#include "common/clock_source.h"

typedef struct rate_limiter {
	double tokens;
	struct timespec refilled_at;
	bool initialized;
} rate_limiter_t;

/**
 * Take one token.
 * @param per_s refill, and the burst of one second; 0: no limit
 * @param wait_ms receives how long until there is one again
 * @return false when there is none
 */
bool rate_limiter_acquire(
    rate_limiter_t *, double per_s, struct timespec now, int64_t *wait_ms);

#endif
