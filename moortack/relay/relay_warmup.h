/**
 * @file
 * Admission of requests to cold endpoints. For a short time after its start,
 * or after the evacuation of its zone ended, an endpoint is cold and tolerates
 * few requests a second.
 */
#ifndef MOORTACK_RELAY_RELAY_WARMUP_H
#define MOORTACK_RELAY_RELAY_WARMUP_H

#include "relay_request.h"

/** The time by the store's clock; negative: it is unknown, or the daemons are.
 */
int64_t relay_store_now_ms(const relay_t *);

/** Warm-up parameters of a service, and the time at which they apply. */
typedef struct warmup_snapshot {
	struct timespec now;
	int64_t wall_ms;
	int64_t warmup_ms; /**< 0: endpoints are never cold */
	int64_t slot;	   /**< negative: the store's clock is unknown */
	uint32_t quota;	   /**< requests in a slot, all daemons together */
} warmup_snapshot_t;

void relay_warmup_snapshot(const relay_request_t *, warmup_snapshot_t *);

/** How long the endpoint stays cold; 0: it is warm. */
int64_t endpoint_cold_ms(const endpoint_t *, const warmup_snapshot_t *);

/** Whether this daemon may send one more request to the endpoint. */
bool
relay_warmup_allows(const relay_t *, endpoint_t *, const warmup_snapshot_t *);

/** Count the request against this daemon's share if the attempt's endpoint is
 * cold; an attempt is counted once per slot.
 * @return false: no share is left in this slot */
bool relay_warmup_acquire(relay_request_t *);

/** The connection to the attempt's endpoint failed: treat the endpoint as cold,
 * since it may be restarting. */
void relay_warmup_connect_failed(const relay_request_t *);

/** Time until the next slot. */
int64_t relay_warmup_next_slot_ms(const relay_t *);

#endif
