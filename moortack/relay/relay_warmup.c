#include "relay_warmup.h"

/* A daemon that has not read the rows of the daemons for this long may be
 * considered down by the others, which then divide its share. */
#define MEMBERS_STALE_MS 20000

static bool
members_stale(const relay_t *relay)
{
	return relay->rollouts != NULL &&
	    relay->rollouts->states_watch != NULL &&
	    row_watch_age_ms(relay->rollouts->states_watch) > MEMBERS_STALE_MS;
}

int64_t
relay_store_now_ms(const relay_t *relay)
{
	const membership_t *members = relay->members;

	/* No share can be computed before the daemons are known. */
	if (members == NULL || !members->rows_read ||
	    !members->store_clock_known)
		return -1;
	return timespec_to_ms(clock_boottime(relay->clock)) +
	    members->store_clock_offset_ms;
}

static int64_t
store_now_ms(const relay_t *relay)
{
	return members_stale(relay) ? -1 : relay_store_now_ms(relay);
}

static void
snapshot_fill(const relay_t *relay, const relay_config_t *config,
    const char *name, warmup_snapshot_t *snapshot)
{
	const relay_service_t *service =
	    relay_config_find_service(config, name);
	int64_t store_ms = store_now_ms(relay);

	*snapshot = (warmup_snapshot_t){.now = clock_boottime(relay->clock)};
	if (service == NULL || service->warmup_per_s <= 0)
		return;
	snapshot->wall_ms = timespec_to_ms(clock_wall(relay->clock));
	snapshot->warmup_ms = service->warmup_ms;
	snapshot->slot = store_ms >= 0 ? store_ms / WARMUP_SLOT_MS : -1;
	snapshot->quota =
	    warmup_slot_quota(&relay->bounds.warmup, service->warmup_per_s);
}

void
relay_warmup_snapshot(const relay_request_t *req, warmup_snapshot_t *snapshot)
{
	snapshot_fill(req->relay, req->config, req->service, snapshot);
}

static int64_t
max_ms(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* Remaining warm-up after the start of the process, by the wall clocks. */
static int64_t
left_after_start_ms(
    const endpoint_t *endpoint, const warmup_snapshot_t *snapshot)
{
	int64_t age_ms = snapshot->wall_ms - endpoint->info.started_ms;

	if (endpoint->info.started_ms == 0 || age_ms < 0)
		return 0;
	return max_ms(snapshot->warmup_ms - age_ms, 0);
}

/* Remaining warm-up after the evacuation of its zone. It counts from when this
 * daemon learned of the end, so it is never too short. */
static int64_t
left_after_evacuation_ms(
    const endpoint_t *endpoint, const warmup_snapshot_t *snapshot)
{
	const struct timespec *ended = &endpoint->zone->evacuation_ended_at;

	if (ended->tv_sec == 0)
		return 0;
	return max_ms(
	    snapshot->warmup_ms - timespec_ms_between(*ended, snapshot->now),
	    0);
}

int64_t
endpoint_cold_ms(const endpoint_t *endpoint, const warmup_snapshot_t *snapshot)
{
	int64_t left_ms;

	if (snapshot->warmup_ms == 0)
		return 0;
	left_ms = timespec_ms_between(snapshot->now, endpoint->cold_until);
	left_ms = max_ms(left_ms, left_after_start_ms(endpoint, snapshot));
	return max_ms(left_ms, left_after_evacuation_ms(endpoint, snapshot));
}

bool
relay_warmup_allows(const relay_t *relay, endpoint_t *endpoint,
    const warmup_snapshot_t *snapshot)
{
	if (endpoint_cold_ms(endpoint, snapshot) == 0)
		return true;
	if (snapshot->slot < 0)
		return false;
	if (endpoint->warmup_slot != snapshot->slot) {
		endpoint->warmup_slot = snapshot->slot;
		endpoint->warmup_share_left =
		    warmup_share(&relay->warmup_daemons, endpoint->hash,
			snapshot->slot, snapshot->quota);
	}
	return endpoint->warmup_share_left > 0;
}

bool
relay_warmup_acquire(relay_request_t *req)
{
	attempt_t *attempt = &req->attempt;
	endpoint_t *endpoint = attempt->endpoint;
	warmup_snapshot_t snapshot;

	relay_warmup_snapshot(req, &snapshot);
	if (endpoint_cold_ms(endpoint, &snapshot) == 0)
		return true;
	/* Already counted in this slot, before the connection was up. */
	if (attempt->warmup_acquired && attempt->warmup_slot == snapshot.slot)
		return true;
	if (!relay_warmup_allows(req->relay, endpoint, &snapshot))
		return false;
	endpoint->warmup_share_left--;
	attempt->warmup_acquired = true;
	attempt->warmup_slot = snapshot.slot;
	stats_add(&req->relay->stats, STAT_COLD_SENDS, 1);
	return true;
}

void
relay_warmup_connect_failed(const relay_request_t *req)
{
	warmup_snapshot_t snapshot;

	relay_warmup_snapshot(req, &snapshot);
	endpoint_mark_cold(req->attempt.endpoint, snapshot.warmup_ms);
}

int64_t
relay_warmup_next_slot_ms(const relay_t *relay)
{
	int64_t store_ms = store_now_ms(relay);

	return store_ms >= 0 ? WARMUP_SLOT_MS - store_ms % WARMUP_SLOT_MS
			     : WARMUP_SLOT_MS;
}

uint32_t
relay_cold_endpoints(const relay_t *relay)
{
	const endpoint_group_t *group = relay->endpoints->groups;
	uint32_t count = 0;

	for (; group != NULL && relay->config != NULL; group = group->hh.next) {
		warmup_snapshot_t snapshot;

		snapshot_fill(relay, relay->config, group->service, &snapshot);
		for (size_t i = 0; i < group->len && snapshot.warmup_ms > 0;
		     i++)
			count +=
			    endpoint_cold_ms(group->ring[i], &snapshot) > 0;
	}
	return count;
}

void
relay_warmup_tick(relay_t *relay, bool first_read)
{
	struct timespec now = clock_boottime(relay->clock);

	for (const member_t *member = relay->members->members; member != NULL;
	     member = member->hh.next)
		warmup_daemons_mark_seen(
		    &relay->warmup_daemons, member->name, now);
	warmup_daemons_expire(&relay->warmup_daemons, now);
	warmup_daemons_update_own(&relay->warmup_daemons,
	    relay->members->stored_record.body != NULL, first_read, now);
}
