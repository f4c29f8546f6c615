/**
 * @file
 * This daemon's share of a service's retry budget: a token bucket. Requests
 * earn retries, a fixed number of retries is divided by the daemons, and only
 * so many can be saved that daemons that start again at any time, and know
 * nothing of what was spent before, stay within the budget of all
 * (docs/design/retry-budget.md).
 */
#ifndef MOORTACK_RELAY_RETRY_SHARE_H
#define MOORTACK_RELAY_RETRY_SHARE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/** Slices of the window in which requests are counted. */
#define RETRY_SLICES 20

/** Retry budget of a service. */
typedef struct retry_bounds {
	double ratio;	    /**< retries per request */
	int64_t window_ms;  /**< window in which both are counted */
	double min_retries; /**< in a window, of all daemons, even without
			       requests */
} retry_bounds_t;

/** Bucket of one service; all zeros at first. */
typedef struct retry_share {
	int64_t slice; /**< number of the newest slice */
	uint32_t requests[RETRY_SLICES];
	double saved;	     /**< retries that can be made */
	bool started;	     /**< the part for the start was added */
	int64_t refilled_ms; /**< until then the fixed part was added */
} retry_share_t;

/** Balance of the bucket. */
typedef struct retry_balance {
	uint32_t requests; /**< in the window */
	double saved;	   /**< retries that can be made */
	double saved_max;  /**< retries that can be saved at present */
} retry_balance_t;

/** Count a request. */
void retry_share_add_request(
    retry_share_t *, const retry_bounds_t *, struct timespec now);

/** Spend one retry.
 * @param daemons among which min_retries is divided
 * @return false: none is left */
bool retry_share_spend(retry_share_t *, const retry_bounds_t *,
    uint32_t daemons, struct timespec now);

/** Whether a retry is left besides those that are reserved for failures. */
bool retry_share_has_spare(retry_share_t *, const retry_bounds_t *,
    uint32_t daemons, struct timespec now);

retry_balance_t retry_share_balance(retry_share_t *, const retry_bounds_t *,
    uint32_t daemons, struct timespec now);

#endif
