#include "relay_brittle.h"

#include <inttypes.h>

#include "relay_rate_limit.h"
#include "relay_warmup.h"

/* A load report counts for this long. */
#define REPORT_MAX_AGE_MS 300
/* For this long after a refusal no room is taken for free: the requests that
 * led to it are not in any report yet. */
#define REFUSED_MS 1000
/* Part of the slots that counts as room, and of the room what is given out.
 * The rest, and the endpoint's queue, are for requests that the last report
 * does not show: other daemons go by other reports. */
#define ROOM_PERCENT 90
#define PERCENT 100
#define ROOM_GIVEN_OUT 2
/* Reports that are older, or from the future, are not believed. */
#define REPORT_AGE_MAX_MS 5000
/* Separates the order of daemons from that for rate limits. */
#define HASH_SALT UINT64_C(0x62726974746c6521)

/* Requests that the endpoint can take beside those that it last reported, as
 * far as they are given out. */
static uint32_t
endpoint_room(const endpoint_t *endpoint)
{
	const endpoint_load_t *load = &endpoint->load;
	uint32_t slots = endpoint->info.slots * ROOM_PERCENT / PERCENT;
	uint32_t held = load->running + load->waiting;
	struct timespec now = clock_boottime(endpoint->set->clock);

	if (!endpoint->load_reported ||
	    timespec_ms_between(endpoint->load_reported_at, now) >
		REPORT_MAX_AGE_MS)
		return 0;
	if (endpoint->refused_at.tv_sec != 0 &&
	    timespec_ms_between(endpoint->refused_at, now) <= REFUSED_MS)
		return 0;
	return held < slots ? (slots - held) / ROOM_GIVEN_OUT : 0;
}

bool
relay_brittle_has_room(const endpoint_t *endpoint)
{
	return endpoint_brittle_milli(endpoint) < 0 ||
	    endpoint_room(endpoint) * ROOM_GIVEN_OUT * 2 >=
	    endpoint->info.slots;
}

/* @return false: the daemon's place among the others is not known */
static bool
share_update(relay_t *relay, endpoint_t *endpoint, int64_t slot)
{
	refusal_share_t *share = &endpoint->refusal_share;

	if (share->slot == slot)
		return true;
	if (!relay_rate_computation_acquire(relay, slot))
		return false;
	*share = (refusal_share_t){.slot = slot};
	if (!warmup_rank(&relay->warmup_daemons, endpoint->hash ^ HASH_SALT,
		slot, &share->rank, &share->daemons))
		share->daemons = 0;
	return true;
}

/* @param own requests that count besides those counted so far */
static bool
share_allows(relay_t *relay, endpoint_t *endpoint, int64_t slot, uint32_t own)
{
	int64_t milli = endpoint_brittle_milli(endpoint);
	uint32_t quota;

	if (milli < 0)
		return true;
	if (slot < 0 || !share_update(relay, endpoint, slot))
		return false;
	quota =
	    refusal_quota(milli, endpoint->hash, slot, endpoint_room(endpoint));
	return refusal_share_used(
		   &endpoint->refusal_share, endpoint->unresolved + own) <=
	    refusal_share_of(&endpoint->refusal_share, quota);
}

bool
relay_brittle_allows(relay_t *relay, endpoint_t *endpoint, int64_t slot)
{
	return share_allows(relay, endpoint, slot, 1);
}

bool
relay_brittle_acquire(relay_request_t *req)
{
	attempt_t *attempt = &req->attempt;
	uint32_t own = attempt->unresolved ? 0 : 1;

	if (!share_allows(req->relay, attempt->endpoint,
		relay_rate_slot(req->relay), own))
		return false;
	attempt->endpoint->unresolved += own;
	attempt->unresolved = true;
	return true;
}

/* Other daemons learn of it before their requests arrive there. It is not
 * passed on: in a large fleet few daemons know the endpoint's room. */
static void
refusal_spread(relay_t *relay, const endpoint_t *endpoint)
{
	const gossip_message_t message = {.kind = GOSSIP_BRITTLE,
	    .endpoint_hash = endpoint->short_hash,
	    .service_hash = endpoint->group->service_hash,
	    .rate_limited = true,
	    .rate_milli = (uint32_t)endpoint_brittle_milli(endpoint),
	    .noticed_ms = (uint64_t)relay_store_now_ms(relay)};

	if (relay_store_now_ms(relay) > 0)
		gossip_spread(relay->gossip, &message);
}

static void
refusal_record(relay_t *relay, endpoint_t *endpoint)
{
	struct timespec now = clock_boottime(relay->clock);
	bool news = timespec_ms_between(endpoint->refused_at, now) > REFUSED_MS;

	share_update(relay, endpoint, relay_rate_slot(relay));
	endpoint->refusal_share.refused++;
	endpoint->refused_at = now;
	stats_add(&relay->stats, STAT_BRITTLE_REFUSALS, 1);
	if (news && endpoint->group != NULL)
		refusal_spread(relay, endpoint);
}

void
relay_brittle_resolve(relay_request_t *req, bool refused)
{
	attempt_t *attempt = &req->attempt;

	if (!attempt->unresolved)
		return;
	attempt->unresolved = false;
	attempt->endpoint->unresolved--;
	if (refused && endpoint_brittle_milli(attempt->endpoint) >= 0)
		refusal_record(req->relay, attempt->endpoint);
}

int64_t
relay_brittle_wait_ms(relay_t *relay, endpoint_t *endpoint)
{
	if (relay_brittle_allows(relay, endpoint, relay_rate_slot(relay)))
		return 0;
	return relay_warmup_next_slot_ms(relay);
}

/* @return whether it is news for the service */
static bool
notice_apply(
    relay_t *relay, endpoint_group_t *group, int64_t milli, struct timespec at)
{
	brittle_notice_t *known = &group->brittle;
	bool held = brittle_notice_holds(known, clock_boottime(relay->clock));
	bool news = brittle_notice_apply(known, milli, at);

	if (!held && news)
		event_log_write(relay->log, "service_brittle",
		    "service=%s endpoints=%zu per_s=%.3f", group->service,
		    group->len, (double)milli / RATE_MILLI);
	return news;
}

/* @param at of the notice, or of its end */
static void
notice_spread(relay_t *relay, const endpoint_group_t *group, bool brittle,
    struct timespec at)
{
	int64_t store_ms = relay_store_now_ms(relay) -
	    timespec_ms_between(at, clock_boottime(relay->clock));
	const gossip_message_t message = {.kind = GOSSIP_BRITTLE,
	    .service_hash = group->service_hash,
	    .rate_limited = brittle,
	    .rate_milli = (uint32_t)group->brittle.milli,
	    .noticed_ms = (uint64_t)store_ms};

	if (store_ms > 0)
		gossip_spread(relay->gossip, &message);
}

void
relay_brittle_apply(relay_request_t *req)
{
	const attempt_t *attempt = &req->attempt;
	const endpoint_notice_t *notice = &attempt->response.notice;
	endpoint_group_t *group = attempt->endpoint->group;
	struct timespec now = clock_boottime(req->relay->clock);

	if (group == NULL)
		return;
	switch (notice->brittle) {
	case RATE_LIMITED:
		if (notice_apply(req->relay, group, notice->brittle_milli, now))
			notice_spread(req->relay, group, true, now);
		break;
	case RATE_NOT_LIMITED:
		if (brittle_notice_end(&group->brittle, attempt->sent_at))
			notice_spread(
			    req->relay, group, false, attempt->sent_at);
		break;
	case RATE_UNREADABLE:
		break;
	}
}

bool
relay_brittle_receive(void *arg, const gossip_message_t *message)
{
	relay_t *relay = arg;
	endpoint_group_t *group =
	    relay_group_find(relay, message->service_hash);
	endpoint_t *refusing = endpoint_set_find_by_short_hash(
	    relay->endpoints, message->endpoint_hash);
	int64_t store_ms = relay_store_now_ms(relay);
	struct timespec at;
	int64_t age_ms;

	if (group == NULL || store_ms < 0 || message->noticed_ms > INT64_MAX)
		return false;
	age_ms = store_ms - (int64_t)message->noticed_ms;
	if (age_ms < -REPORT_AGE_MAX_MS || age_ms > REPORT_AGE_MAX_MS)
		return false;
	if (refusing != NULL)
		refusing->refused_at = clock_boottime(relay->clock);
	at = timespec_add_ms(
	    clock_boottime(relay->clock), age_ms > 0 ? -age_ms : 0);
	return message->rate_limited
	    ? notice_apply(relay, group, message->rate_milli, at)
	    : brittle_notice_end(&group->brittle, at);
}
