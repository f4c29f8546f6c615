/**
 * @file
 * This daemon's share of a service's retry budget over a sliding window: a
 * fixed number of retries divided by the daemons, and a ratio of the requests
 * that this daemon received.
 */
#ifndef MOORTACK_RELAY_RETRY_SHARE_H
#define MOORTACK_RELAY_RETRY_SHARE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/** Slices whose counts are kept; the window is one slice shorter. */
#define RETRY_SLICES 20

/** Retry budget of a service. */
typedef struct retry_bounds {
	double ratio;	    /**< retries per request */
	int64_t window_ms;  /**< window in which both are counted */
	double min_retries; /**< in a window, of all daemons, even without
			       requests */
} retry_bounds_t;

/** Counts of one service by slices of the window; all zeros at first. */
typedef struct retry_share {
	int64_t slice; /**< number of the newest slice */
	uint32_t requests[RETRY_SLICES];
	uint32_t retries[RETRY_SLICES];
} retry_share_t;

/** What a daemon may spend, and has spent, in the present window. */
typedef struct retry_usage {
	uint32_t requests;
	uint32_t retries;
	double earned; /**< retries allowed by its requests */
	double fixed;  /**< retries allowed besides */
} retry_usage_t;

/** Count a request. */
void retry_share_add_request(
    retry_share_t *, const retry_bounds_t *, struct timespec now);

/** Spend one retry.
 * @param daemons among which min_retries is divided
 * @return false: none is left */
bool retry_share_spend(retry_share_t *, const retry_bounds_t *,
    uint32_t daemons, struct timespec now);

/** Part of this daemon's budget that is left, at most 1; 0: less than one retry
 * is left. */
double retry_share_remaining(retry_share_t *, const retry_bounds_t *,
    uint32_t daemons, struct timespec now);

retry_usage_t retry_share_usage(retry_share_t *, const retry_bounds_t *,
    uint32_t daemons, struct timespec now);

#endif
