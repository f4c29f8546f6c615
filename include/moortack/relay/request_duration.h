/**
 * @file
 * How long the requests of a route take, as estimated from those that were
 * answered, and whether one can still be answered before the daemon stops. Pure
 * functions.
 */
#ifndef MOORTACK_RELAY_REQUEST_DURATION_H
#define MOORTACK_RELAY_REQUEST_DURATION_H

#include <stdbool.h>
#include <stdint.h>

/** Moving averages; all zeros: nothing was observed. */
typedef struct request_duration {
	double mean_ms;
	double deviation_ms; /**< mean absolute deviation */
	bool known;
} request_duration_t;

/** Input of the decision about a request at a daemon that stops. */
typedef struct stop_input {
	int64_t remaining_ms; /**< until the daemon stops */
	int64_t limit_ms;     /**< after which the request has ended in any case
			       */
	bool repeatable;      /**< a caller may send it again if it is cut */
	bool certain_only;    /**< so late that a request that might be cut is
				 refused whatever is expected of it */
} stop_input_t;

void request_duration_observe(request_duration_t *, double ms);

/** Whether a daemon that stops should take the request. */
bool request_duration_allows(const request_duration_t *, const stop_input_t *);

#endif
