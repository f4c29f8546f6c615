#include "moortack/relay/endpoint_owner.h"

#include <string.h>
#include <xxhash.h>

/** A daemon's place in the order for one endpoint: by rendezvous hashing, those
 * of the endpoint's zone first. */
typedef struct owner_rank {
	bool near;
	uint64_t weight;
} owner_rank_t;

static owner_rank_t
rank_of(
    const char *name, const char *zone, const char *wanted, uint32_t endpoint)
{
	return (owner_rank_t){strcmp(zone, wanted) == 0,
	    XXH3_64bits_withSeed(name, strlen(name), endpoint)};
}

static bool
before(const owner_rank_t *a, const owner_rank_t *b)
{
	if (a->near != b->near)
		return a->near;
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
		best = rank_of(self->name, self->zone, zone, endpoint);
	for (const member_t *one = members->members; one != NULL;
	     one = one->hh.next) {
		owner_rank_t rank =
		    rank_of(one->name, one->zone, zone, endpoint);

		if (!before(&rank, &best) ||
		    !gossip_peer_available(members, one))
			continue;
		owner = one;
		best = rank;
	}
	return owner;
}
