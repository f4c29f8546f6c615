/**
 * @file
 * This daemon's share of a service's retry budget: a floor divided by the
 * daemons, and a part of the requests taken here, both over a sliding window.
 */
#ifndef MOORTACK_RELAY_RETRY_SHARE_H
#define MOORTACK_RELAY_RETRY_SHARE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define RETRY_SLICES 20

typedef struct retry_bounds {
	double ratio;	    /**< retries for each request */
	int64_t window_ms;  /**< in which both are counted */
	double min_retries; /**< retries of all daemons without any request */
} retry_bounds_t;

/** Counts of one service in slices of the window. */
typedef struct retry_share {
	int64_t slice; /**< number of the newest slice */
	uint32_t requests[RETRY_SLICES];
	uint32_t retries[RETRY_SLICES];
} retry_share_t;

void retry_share_add_request(
    retry_share_t *, const retry_bounds_t *, struct timespec now);

/** Spend one retry. @param daemons that share the floor
 * @return false when there is none left */
bool retry_share_spend(retry_share_t *, const retry_bounds_t *,
    uint32_t daemons, struct timespec now);

/** Part of the budget that is left, 0 to 1. */
double retry_share_remaining(retry_share_t *, const retry_bounds_t *,
    uint32_t daemons, struct timespec now);

#endif
