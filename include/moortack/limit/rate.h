/**
 * @file
 * A token bucket that limits the requests per second of one organisation at one
 * daemon.
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
 * Acquires one token.
 * @param per_s tokens added per second, and the size of the bucket, which holds
 * at least 1; 0: no limit
 * @param wait_ms receives how long until there is one again, milliseconds
 * @return false if there is none
 */
bool rate_limiter_acquire(
    rate_limiter_t *, double per_s, struct timespec now, int64_t *wait_ms);

#endif
