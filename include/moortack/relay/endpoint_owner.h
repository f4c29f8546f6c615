/**
 * @file
 * Which daemon tracks the prompts sent to an endpoint, in fleets that are too
 * large for each daemon to be notified of each prompt. A pure function that
 * gives the same result at all daemons.
 */
#ifndef MOORTACK_RELAY_ENDPOINT_OWNER_H
#define MOORTACK_RELAY_ENDPOINT_OWNER_H

#include "moortack/relay/gossip_peers.h"

/** The daemon that owns the endpoint; one of its zone if there is any. If a
 * daemon joins or leaves, only the endpoints that it owns move.
 * @param zone the endpoint's
 * @param endpoint hash of its id
 * @return NULL: this daemon */
const member_t *
endpoint_owner_find(const membership_t *, const char *zone, uint32_t endpoint);
/** Whether this daemon serves and is the owner. Looks at few members on
 * average, as most endpoints have another owner. */
bool endpoint_owner_is_self(
    const membership_t *, const char *zone, uint32_t endpoint);

#endif
