#include "moortack/relay/warmup_share.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/clock_source.h"

/* Slots that any one second may overlap. */
#define OVERLAPPING_SLOTS 2
/* Requests a second that are held back for clock skew, and for daemons whose
 * views of the membership differ. */
#define SAFETY_MARGIN 2.0
/* How long a daemon that is no longer seen keeps its share: longer than the
 * partition after which the others consider it down. */
#define EXPIRY_MS 30000
/* A row that was written reaches all daemons within this time. */
#define ROW_PROPAGATION_MS 3000

uint32_t
warmup_slot_quota(const warmup_bounds_t *bounds, double rate_per_s)
{
	double limit = rate_per_s * bounds->overshoot + bounds->tolerance;
	double quota = (limit - SAFETY_MARGIN) / OVERLAPPING_SLOTS;

	/* What the bounds allow beyond the endpoint's rate is a margin. */
	if (quota > rate_per_s && rate_per_s >= 1)
		quota = rate_per_s;
	if (quota >= 1)
		return (uint32_t)quota;
	return limit >= OVERLAPPING_SLOTS ? 1 : 0;
}

static uint64_t
name_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

void
warmup_daemons_init(warmup_daemons_t *daemons, const char *own_name)
{
	*daemons = (warmup_daemons_t){.own_hash = name_hash(own_name)};
}

static void
daemon_free(warmup_daemons_t *daemons, warmup_daemon_t *daemon)
{
	HASH_DEL(daemons->others, daemon);
	free(daemon);
}

void
warmup_daemons_finish(warmup_daemons_t *daemons)
{
	warmup_daemon_t *daemon, *next;

	HASH_ITER(hh, daemons->others, daemon, next)
	daemon_free(daemons, daemon);
}

void
warmup_daemons_mark_seen(
    warmup_daemons_t *daemons, const char *name, struct timespec now)
{
	uint64_t hash = name_hash(name);
	warmup_daemon_t *daemon;

	HASH_FIND(hh, daemons->others, &hash, sizeof(hash), daemon);
	if (daemon == NULL && hash != daemons->own_hash) {
		daemon = calloc(1, sizeof(*daemon));
		if (daemon == NULL)
			return;
		daemon->hash = hash;
		HASH_ADD(
		    hh, daemons->others, hash, sizeof(daemon->hash), daemon);
	}
	if (daemon != NULL)
		daemon->last_seen = now;
}

void
warmup_daemons_expire(warmup_daemons_t *daemons, struct timespec now)
{
	warmup_daemon_t *daemon, *next;

	HASH_ITER(hh, daemons->others, daemon, next)
	{
		if (timespec_ms_between(daemon->last_seen, now) > EXPIRY_MS)
			daemon_free(daemons, daemon);
	}
}

void
warmup_daemons_update_own(warmup_daemons_t *daemons, bool in_store,
    bool at_start, struct timespec now)
{
	if (daemons->own_counted)
		return;
	if (!in_store)
		daemons->own_stored_at = (struct timespec){0};
	else if (daemons->own_stored_at.tv_sec == 0)
		daemons->own_stored_at = now;
	daemons->own_counted = in_store &&
	    (at_start ||
		timespec_ms_between(daemons->own_stored_at, now) >=
		    ROW_PROPAGATION_MS);
}

/* @param seed hash of the endpoint and the slot */
static uint64_t
rendezvous_weight(uint64_t daemon_hash, uint64_t seed)
{
	return XXH3_64bits_withSeed(&daemon_hash, sizeof(daemon_hash), seed);
}

bool
warmup_rank(const warmup_daemons_t *daemons, uint64_t endpoint_hash,
    int64_t slot, uint32_t *rank, uint32_t *count)
{
	uint64_t seed =
	    XXH3_64bits_withSeed(&slot, sizeof(slot), endpoint_hash);
	uint64_t own = rendezvous_weight(daemons->own_hash, seed);

	if (!daemons->own_counted)
		return false;
	*count = 1 + HASH_COUNT(daemons->others);
	*rank = 0;
	for (const warmup_daemon_t *daemon = daemons->others; daemon != NULL;
	     daemon = daemon->hh.next)
		*rank += rendezvous_weight(daemon->hash, seed) < own;
	return true;
}

uint32_t
warmup_share(const warmup_daemons_t *daemons, uint64_t endpoint_hash,
    int64_t slot, uint32_t quota)
{
	uint32_t rank, count;

	if (!warmup_rank(daemons, endpoint_hash, slot, &rank, &count))
		return 0;
	return quota / count + (rank < quota % count);
}
