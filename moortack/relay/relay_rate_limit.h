/**
 * @file
 * Admission of requests to endpoints that have named a rate limit. The limit is
 * for all daemons together: time is divided into slots by the store's clock,
 * and the quota of each slot among the daemons.
 */
#ifndef MOORTACK_RELAY_RELAY_RATE_LIMIT_H
#define MOORTACK_RELAY_RELAY_RATE_LIMIT_H

#include "relay_request.h"

/** Shares that are computed in a slot. One takes time in proportion to the
 * number of daemons; it is kept for the rest of its slot. */
#define RATE_SHARES_COMPUTED_MAX 256

/** Number of the present slot; negative: the store's clock is unknown. */
int64_t relay_rate_slot(const relay_t *);

/** Count a computation of a share in the present slot.
 * @return false: too many were made in it */
bool relay_rate_computation_acquire(relay_t *, int64_t slot);

/** Whether this daemon may send one more request to the endpoint in the present
 * slot. */
bool relay_rate_limit_allows(relay_t *, endpoint_t *, int64_t slot);

/** Count the request against this daemon's share if the attempt's endpoint has
 * a rate limit; an attempt is counted once per slot.
 * @return false: no share is left in this slot */
bool relay_rate_limit_acquire(relay_request_t *);

/** Milliseconds until this daemon may send to the endpoint, as far as it is
 * searched for; 0: it may at once. */
int64_t relay_rate_limit_wait_ms(relay_t *, endpoint_t *);

#endif
