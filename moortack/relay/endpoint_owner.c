#include "moortack/relay/endpoint_owner.h"

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
