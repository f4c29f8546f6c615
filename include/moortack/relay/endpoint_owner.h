/**
 * @file
 * Which daemon tracks the prompts sent to an endpoint, in fleets that are too
 * large for each daemon to be notified of each prompt. A pure function that
 * gives the same result at all daemons.
 */
#ifndef MOORTACK_RELAY_ENDPOINT_OWNER_H
#define MOORTACK_RELAY_ENDPOINT_OWNER_H

#include "moortack/relay/gossip_peers.h"

/** Of more zones, members are searched for each endpoint. */
#define OWNED_ZONES_MAX 32

/** The daemon that owns the endpoint; one of its zone if there is any. If a
 * daemon joins or leaves, only the endpoints that it owns move.
 * @param zone the endpoint's
 * @param endpoint hash of its id
 * @return NULL: this daemon */
const member_t *
endpoint_owner_find(const membership_t *, const char *zone, uint32_t endpoint);
/** Whether this daemon serves and is the owner. */
bool endpoint_owner_is_self(
    const membership_t *, const char *zone, uint32_t endpoint);

/** The members among which endpoints have owners, collected once to decide for
 * many endpoints whether this daemon owns them. */
typedef struct owned_endpoints {
	const membership_t *members;
	const member_t **rivals; /**< available members of its zone; NULL: not
				    known */
	size_t rivals_len;
	/** Zones of other available members. */
	const char *zones[OWNED_ZONES_MAX];
	size_t zones_len;
} owned_endpoints_t;

/** Looks at the members; they must not change until
 * owned_endpoints_finish(). */
void owned_endpoints_init(owned_endpoints_t *, const membership_t *);
void owned_endpoints_finish(owned_endpoints_t *);
/** Same as endpoint_owner_is_self(). */
bool owned_endpoints_has(
    const owned_endpoints_t *, const char *zone, uint32_t endpoint);

#endif
