#include "moortack/relay/endpoint_owner.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/** A daemon's rank for an endpoint by rendezvous hashing; daemons in the
 * endpoint's zone rank first. */
typedef struct owner_rank {
	bool same_zone;
	uint64_t weight;
} owner_rank_t;

static owner_rank_t
owner_rank(const char *name, const char *zone, const char *endpoint_zone,
    uint32_t endpoint)
{
	return (owner_rank_t){strcmp(zone, endpoint_zone) == 0,
	    XXH3_64bits_withSeed(name, strlen(name), endpoint)};
}

static bool
ranks_before(const owner_rank_t *a, const owner_rank_t *b)
{
	if (a->same_zone != b->same_zone)
		return a->same_zone;
	return a->weight > b->weight;
}

const member_t *
endpoint_owner_find(
    const membership_t *members, const char *zone, uint32_t endpoint)
{
	const membership_settings_t *self = &members->settings;
	const member_t *owner = NULL;
	owner_rank_t best = {0};

	if (members->state == MEMBER_READY)
		best = owner_rank(self->name, self->zone, zone, endpoint);
	for (const member_t *member = members->members; member != NULL;
	     member = member->hh.next) {
		owner_rank_t rank =
		    owner_rank(member->name, member->zone, zone, endpoint);

		if (!ranks_before(&rank, &best) ||
		    !gossip_peer_available(members, member))
			continue;
		owner = member;
		best = rank;
	}
	return owner;
}

bool
endpoint_owner_is_self(
    const membership_t *members, const char *zone, uint32_t endpoint)
{
	const membership_settings_t *self = &members->settings;
	owner_rank_t own = owner_rank(self->name, self->zone, zone, endpoint);

	if (members->state != MEMBER_READY)
		return false;
	for (const member_t *member = members->members; member != NULL;
	     member = member->hh.next) {
		owner_rank_t rank =
		    owner_rank(member->name, member->zone, zone, endpoint);

		if (ranks_before(&rank, &own) &&
		    gossip_peer_available(members, member))
			return false;
	}
	return true;
}

static bool
zone_listed(const owned_endpoints_t *owned, const char *zone)
{
	for (size_t i = 0; i < owned->zones_len; i++) {
		if (strcmp(owned->zones[i], zone) == 0)
			return true;
	}
	return false;
}

static void
member_add(owned_endpoints_t *owned, const member_t *member)
{
	if (strcmp(member->zone, owned->members->settings.zone) == 0)
		owned->rivals[owned->rivals_len++] = member;
	else if (owned->zones_len < OWNED_ZONES_MAX &&
	    !zone_listed(owned, member->zone))
		owned->zones[owned->zones_len++] = member->zone;
}

void
owned_endpoints_init(owned_endpoints_t *owned, const membership_t *members)
{
	size_t count = HASH_COUNT(members->members);

	*owned = (owned_endpoints_t){.members = members,
	    .rivals = calloc(count + 1, sizeof(*owned->rivals))};
	if (owned->rivals == NULL)
		return;
	for (const member_t *member = members->members; member != NULL;
	     member = member->hh.next) {
		if (gossip_peer_available(members, member))
			member_add(owned, member);
	}
}

void
owned_endpoints_finish(owned_endpoints_t *owned)
{
	free(owned->rivals);
	owned->rivals = NULL;
}

bool
owned_endpoints_has(
    const owned_endpoints_t *owned, const char *zone, uint32_t endpoint)
{
	const membership_settings_t *self = &owned->members->settings;
	owner_rank_t own = owner_rank(self->name, self->zone, zone, endpoint);

	if (owned->members->state != MEMBER_READY)
		return false;
	if (!own.same_zone && zone_listed(owned, zone))
		return false;
	if (!own.same_zone || owned->rivals == NULL)
		return endpoint_owner_is_self(owned->members, zone, endpoint);
	for (size_t i = 0; i < owned->rivals_len; i++) {
		owner_rank_t rank = owner_rank(owned->rivals[i]->name,
		    owned->rivals[i]->zone, zone, endpoint);

		if (ranks_before(&rank, &own))
			return false;
	}
	return true;
}
