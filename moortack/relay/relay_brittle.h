/**
 * @file
 * Admission of requests to endpoints that are brittle: those that an endpoint
 * has to refuse for want of room are bounded for all daemons together.
 */
#ifndef MOORTACK_RELAY_RELAY_BRITTLE_H
#define MOORTACK_RELAY_RELAY_BRITTLE_H

#include "relay_request.h"

/** Whether this daemon may send one more request to the endpoint now.
 * @param slot see relay_rate_slot() */
bool relay_brittle_allows(relay_t *, endpoint_t *, int64_t slot);

/** Whether the endpoint is not brittle, or half of its slots are known to be
 * free. */
bool relay_brittle_has_room(const endpoint_t *);

/** Count the attempt among those that its endpoint may still refuse, and check
 * that it may be sent.
 * @return false: it may not */
bool relay_brittle_acquire(relay_request_t *);

/** The attempt can't be refused any more, or was.
 * @param refused for want of room */
void relay_brittle_resolve(relay_request_t *, bool refused);

/** Apply what the attempt's response says of the endpoint. */
void relay_brittle_apply(relay_request_t *);

/** Milliseconds until another share of the endpoint's quota; 0: it is not
 * brittle, or may be sent to at once. */
int64_t relay_brittle_wait_ms(relay_t *, endpoint_t *);

#endif
