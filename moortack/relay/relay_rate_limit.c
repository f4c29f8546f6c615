#include "relay_rate_limit.h"

#include "relay_warmup.h"

/* How far ahead a slot with a share is searched for. Callers come back after a
 * third of the time that they have left, which is a few seconds. */
#define WAIT_SLOTS_MAX 8

int64_t
relay_rate_slot(const relay_t *relay)
{
	int64_t store_ms = relay_store_now_ms(relay);

	return store_ms >= 0 ? store_ms / WARMUP_SLOT_MS : -1;
}

bool
relay_rate_computation_acquire(relay_t *relay, int64_t now)
{
	rate_computations_t *computations = &relay->rate_computations;

	if (computations->slot != now)
		*computations = (rate_computations_t){.slot = now};
	if (computations->count == RATE_SHARES_COMPUTED_MAX)
		return false;
	computations->count++;
	return true;
}

static uint32_t
share_compute(const relay_t *relay, const endpoint_t *endpoint, int64_t slot)
{
	uint32_t quota = rate_slot_quota(
	    endpoint->restrictions.rate_milli, endpoint->hash, slot);

	if (quota == 0)
		return 0;
	return warmup_share(
	    &relay->warmup_daemons, endpoint->hash, slot, quota);
}

/* Computes the endpoint's share unless that was done for the slot and its
 * limit. */
static bool
share_update(relay_t *relay, endpoint_t *endpoint, int64_t slot)
{
	rate_share_t *share = &endpoint->rate_share;
	int64_t rate_milli = endpoint->restrictions.rate_milli;

	if (share->slot == slot && share->rate_milli == rate_milli)
		return true;
	if (!relay_rate_computation_acquire(relay, slot))
		return false;
	if (share->slot != slot)
		share->used = 0;
	share->slot = slot;
	share->rate_milli = rate_milli;
	share->requests = share_compute(relay, endpoint, slot);
	return true;
}

bool
relay_rate_limit_allows(relay_t *relay, endpoint_t *endpoint, int64_t slot)
{
	const rate_share_t *share = &endpoint->rate_share;

	if (!endpoint->restrictions.rate_limited)
		return true;
	return slot >= 0 && share_update(relay, endpoint, slot) &&
	    share->used < share->requests;
}

bool
relay_rate_limit_acquire(relay_request_t *req)
{
	attempt_t *attempt = &req->attempt;
	endpoint_t *endpoint = attempt->endpoint;
	int64_t slot;

	if (!endpoint->restrictions.rate_limited)
		return true;
	slot = relay_rate_slot(req->relay);
	/* Already counted in this slot, before the connection was up. */
	if (attempt->rate_acquired && attempt->rate_slot == slot)
		return true;
	if (!relay_rate_limit_allows(req->relay, endpoint, slot))
		return false;
	endpoint->rate_share.used++;
	attempt->rate_acquired = true;
	attempt->rate_slot = slot;
	stats_add(&req->relay->stats, STAT_RATE_LIMITED_SENDS, 1);
	return true;
}

/* The first slot after the present one in which this daemon has a share, or
 * where the search ends. */
static int64_t
next_share_slot(relay_t *relay, const endpoint_t *endpoint, int64_t now)
{
	int64_t slot = now + 1;

	while (slot < now + WAIT_SLOTS_MAX &&
	    relay_rate_computation_acquire(relay, now) &&
	    share_compute(relay, endpoint, slot) == 0)
		slot++;
	return slot;
}

int64_t
relay_rate_limit_wait_ms(relay_t *relay, endpoint_t *endpoint)
{
	int64_t now = relay_rate_slot(relay);
	rate_share_t *share = &endpoint->rate_share;

	if (now < 0)
		return WARMUP_SLOT_MS;
	if (relay_rate_limit_allows(relay, endpoint, now))
		return 0;
	if (share->next_slot <= now ||
	    share->next_rate_milli != endpoint->restrictions.rate_milli) {
		share->next_slot = next_share_slot(relay, endpoint, now);
		share->next_rate_milli = endpoint->restrictions.rate_milli;
	}
	return share->next_slot * WARMUP_SLOT_MS - relay_store_now_ms(relay);
}
