#include "relay_candidates.h"
#include "relay_brittle.h"
#include "relay_rate_limit.h"
#include "relay_warmup.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define CONNECTIONS_MIN 2
/* Part of the slots of an endpoint that is put under load that may be in use.
 * Faults under load show from half of them on, as far as they are known. */
#define LOAD_MAX 0.8
/* Part of a request's latency objective that it may spend in the queue of an
 * endpoint that is put under load. */
#define LOAD_WAIT_PART 0.5

/* How long the new version has to be the only one before it gets all requests.
 */
#define NEW_ALONE_MS 5000

/* Endpoints of the new version that a small share of the requests goes to at
 * least, since a version is not judged by few of its endpoints. */
#define NEW_ENDPOINTS_MIN 8

/** Which versions a request may go to. */
typedef enum version_class {
	VERSION_ANY,
	VERSION_OLD, /**< the version that is replaced */
	VERSION_NEW,
	VERSION_OTHER, /**< neither the new version nor one that was rolled back
			*/
} version_class_t;

static bool
was_tried(const relay_request_t *req, const endpoint_t *endpoint)
{
	for (size_t i = 0; i < req->tried_endpoints_len; i++) {
		if (req->tried_endpoints[i] == endpoint->hash)
			return true;
	}
	return false;
}

/* This daemon's share of the connections that an endpoint accepts. */
static uint32_t
connections_share(const relay_request_t *req)
{
	const relay_service_t *service =
	    relay_config_find_service(req->config, req->service);
	uint32_t share;

	if (service == NULL)
		return CONNECTIONS_MIN;
	share = service->connections_max / req->relay->daemons_max_seen;
	return share > CONNECTIONS_MIN ? share : CONNECTIONS_MIN;
}

static bool
version_matches(const endpoint_group_t *group, const rollout_t *rollout,
    const char *base_version, version_class_t wanted,
    const endpoint_t *endpoint)
{
	const char *version = endpoint->info.version;

	switch (wanted) {
	case VERSION_ANY:
		return strcmp(group->base_version, version) == 0;
	case VERSION_OLD:
		return strcmp(base_version, version) == 0;
	case VERSION_NEW:
		return rollout_is_new_version(rollout, endpoint);
	case VERSION_OTHER:
		break;
	}
	return !rollout_is_new_version(rollout, endpoint) &&
	    !rollout_is_reverted_version(rollout, endpoint);
}

/* Both the route and the organisation may restrict the regions. */
static bool
region_allowed(const relay_request_t *req, const endpoint_t *endpoint)
{
	const char *region = endpoint->zone->region;

	return (req->route == NULL ||
		   region_list_allows(&req->route->regions, region)) &&
	    (req->organisation == NULL ||
		region_list_allows(&req->organisation->regions, region));
}

static bool
endpoint_eligible(const relay_request_t *req, const endpoint_t *endpoint,
    uint32_t connections)
{
	return endpoint_accepts_requests(endpoint) &&
	    region_allowed(req, endpoint) && !was_tried(req, endpoint) &&
	    (endpoint->idle_connections != NULL ||
		endpoint->connections < connections);
}

static void
hold_back(candidates_t *out, endpoint_t *endpoint)
{
	if (out->held_back_len < HELD_BACK_MAX)
		out->held_back[out->held_back_len++] = endpoint;
}

/* If there are more endpoints than CANDIDATES_MAX, takes those that follow the
 * hash of the shared prefix in the ring: all daemons consider the same
 * endpoints for the same prefix. */
static void
candidates_find(const relay_request_t *req, const endpoint_group_t *group,
    const rollout_t *rollout, version_class_t wanted, candidates_t *out)
{
	const relay_t *relay = req->relay;
	uint32_t connections = connections_share(req);
	warmup_snapshot_t warmup;
	int64_t rate_slot = relay_rate_slot(relay);
	size_t start = endpoint_group_lower_bound(group,
	    req->shared_prefix_hash != 0 ? req->shared_prefix_hash
					 : req->split_hash);

	const char *base_version =
	    wanted == VERSION_OLD ? rollout_base_version(rollout) : NULL;

	out->len = 0;
	relay_warmup_snapshot(req, &warmup);
	for (size_t i = 0; i < group->len && out->len < CANDIDATES_MAX; i++) {
		endpoint_t *endpoint = group->ring[(start + i) % group->len];

		if (!endpoint_eligible(req, endpoint, connections) ||
		    !version_matches(
			group, rollout, base_version, wanted, endpoint))
			continue;
		if (endpoint_restrictions_backoff_ms(
			&endpoint->restrictions, warmup.now) > 0) {
			out->backoff_skipped++;
			hold_back(out, endpoint);
			continue;
		}
		if (!relay_warmup_allows(relay, endpoint, &warmup)) {
			out->cold_skipped++;
			hold_back(out, endpoint);
			continue;
		}
		if (!relay_rate_limit_allows(req->relay, endpoint, rate_slot)) {
			out->limited_skipped++;
			hold_back(out, endpoint);
			continue;
		}
		if (!relay_brittle_allows(req->relay, endpoint, rate_slot)) {
			out->brittle_skipped++;
			hold_back(out, endpoint);
			continue;
		}
		out->endpoints[out->len] = endpoint;
		out->inputs[out->len++] = (endpoint_candidate_t){
		    .hash = endpoint->hash,
		    .load = endpoint_estimate_load(
			endpoint, relay->daemons_max_seen),
		    .slots = endpoint->info.slots,
		    .same_zone = strcmp(endpoint->info.zone, relay->zone) == 0,
		    .ejected = endpoint_is_ejected(endpoint)};
	}
}

void
candidates_filter(candidates_t *set, const bool *keep)
{
	size_t len = 0;

	for (size_t i = 0; i < set->len; i++) {
		if (!keep[i])
			continue;
		set->inputs[len] = set->inputs[i];
		set->endpoints[len] = set->endpoints[i];
		len++;
	}
	set->len = len;
}

/* Rank of the candidate in an order that differs for each roll-out. */
static uint64_t
rollout_weight(const endpoint_candidate_t *candidate, const rollout_t *rollout)
{
	return XXH3_64bits_withSeed(
	    &candidate->hash, sizeof(candidate->hash), rollout->order.number);
}

static uint64_t
request_route_hash(const relay_request_t *req)
{
	return req->route != NULL ? relay_route_hash(req->route) : 0;
}

/* Whether the request may be sent there to put the endpoint under load. It may
 * not once that is under load, or if most of the request's latency objective
 * would pass in its queue. */
static bool
load_allowed(const relay_request_t *req, const endpoint_t *endpoint,
    const endpoint_candidate_t *candidate)
{
	int64_t now_ms = timespec_to_ms(clock_boottime(req->relay->clock));

	return candidate->load < LOAD_MAX * candidate->slots &&
	    prefill_queue_wait_ms(&endpoint->prefill_queue, (double)now_ms) <=
	    LOAD_WAIT_PART * (double)req->route->latency_objective_ms;
}

/* Select candidates in the order of the roll-out.
 * @param skip how many are left out first
 * @param count how many follow
 * @param allowed those that may be selected
 * @return whether any is selected */
static bool
candidates_select(const rollout_t *rollout, candidates_t *set, size_t skip,
    size_t count, const bool *allowed)
{
	static uint64_t weights[CANDIDATES_MAX];
	static bool selected[CANDIDATES_MAX];
	bool any = false;

	for (size_t i = 0; i < set->len; i++)
		weights[i] = rollout_weight(&set->inputs[i], rollout);
	for (size_t i = 0; i < set->len; i++) {
		size_t ahead = 0;

		for (size_t j = 0; j < set->len; j++)
			ahead += allowed[j] && weights[j] > weights[i];
		selected[i] =
		    allowed[i] && ahead >= skip && ahead - skip < count;
		any |= selected[i];
	}
	if (any)
		candidates_filter(set, selected);
	return any;
}

/* Restricts a small share of the requests to as small a share of the endpoints,
 * if these are enough, so that they are as busy as they will be later. Those
 * that put the new version under load go to the first ones, the others to those
 * that follow. */
static void
candidates_narrow(
    const relay_request_t *req, const rollout_t *rollout, candidates_t *set)
{
	static bool allowed[CANDIDATES_MAX];
	size_t count = (size_t)ceil((double)set->len * rollout->share);
	size_t loaded = rollout_endpoints(rollout);

	if (loaded > 0 && rollout_loads(rollout, request_route_hash(req))) {
		for (size_t i = 0; i < set->len; i++)
			allowed[i] = load_allowed(
			    req, set->endpoints[i], &set->inputs[i]);
		if (candidates_select(rollout, set, 0, loaded, allowed))
			return;
	}
	if (count == 0 || (rollout->share >= 1.0 && loaded == 0))
		return;
	if (count < NEW_ENDPOINTS_MIN)
		count = NEW_ENDPOINTS_MIN;
	for (size_t i = 0; i < set->len; i++)
		allowed[i] = true;
	candidates_select(rollout, set,
	    loaded < set->len ? loaded : set->len - 1, count, allowed);
}

static version_class_t
version_class_for(const relay_request_t *req, rollout_t *rollout)
{
	rollout_request_t request;

	if (rollout == NULL || rollout->order.number == 0)
		return VERSION_ANY;
	request = (rollout_request_t){.hash = req->split_hash,
	    .route = request_route_hash(req),
	    .session = req->arrival.session != NULL,
	    .tried_ms_ago = relay_tried_before_start_ms(req)};
	return rollout_prefers_new(rollout, &request) ? VERSION_NEW
						      : VERSION_OLD;
}

static bool
group_has_version(const endpoint_group_t *group, const char *version)
{
	for (size_t i = 0; i < group->len; i++) {
		if (strcmp(group->ring[i]->info.version, version) == 0)
			return true;
	}
	return false;
}

/* Whether the new version has been the only one for so long that the endpoints
 * of the one that it replaces are gone: after an outage of the store their
 * entries may come back later than those of the new ones. */
static bool
new_version_is_alone(const relay_request_t *req, endpoint_group_t *group,
    const rollout_t *rollout)
{
	struct timespec now = clock_boottime(req->relay->clock);

	for (size_t i = 0; i < group->len; i++) {
		if (rollout_is_new_version(rollout, group->ring[i]))
			continue;
		group->new_alone_since = (struct timespec){0};
		return false;
	}
	if (group->new_alone_since.tv_sec == 0)
		group->new_alone_since = now;
	return req->relay->endpoint_watch->synced_once &&
	    rollout_is_active(rollout) && !rollout->stopped &&
	    timespec_ms_between(group->new_alone_since, now) >= NEW_ALONE_MS;
}

/* Endpoints of the version that is replaced; if it is unknown or has no
 * endpoints, those of any version that may be it. */
static void
candidates_find_old(const relay_request_t *req, const endpoint_group_t *group,
    const rollout_t *rollout, candidates_t *out)
{
	const char *base_version = rollout_base_version(rollout);
	version_class_t wanted = group_has_version(group, base_version)
	    ? VERSION_OLD
	    : VERSION_OTHER;

	candidates_find(req, group, rollout, wanted, out);
}

static const char *
held_back_why(const candidates_t *set)
{
	if (set->limited_skipped > 0)
		return "rate_limited";
	if (set->brittle_skipped > 0)
		return "brittle";
	return set->backoff_skipped > 0 ? "back_off" : "warming_up";
}

bool
candidates_collect(
    const relay_request_t *req, candidates_t *out, const char **why)
{
	endpoint_group_t *group;
	rollout_t *rollout;
	version_class_t wanted;

	out->len = 0;
	out->cold_skipped = 0;
	out->limited_skipped = 0;
	out->backoff_skipped = 0;
	out->brittle_skipped = 0;
	out->held_back_len = 0;
	*why = "no_pool";
	if (req->service == NULL)
		return false;
	*why = "no_endpoints";
	group = endpoint_set_find_group(req->relay->endpoints, req->service);
	if (group == NULL)
		return false;
	rollout = rollouts_find(req->relay->rollouts, req->service);
	wanted = version_class_for(req, rollout);
	if (wanted == VERSION_ANY)
		endpoint_group_learn_base_version(group);
	if (wanted == VERSION_OLD)
		candidates_find_old(req, group, rollout, out);
	else
		candidates_find(req, group, rollout, wanted, out);
	if (wanted == VERSION_NEW)
		candidates_narrow(req, rollout, out);
	/* No endpoint of the preferred version can accept the request. */
	if (out->len == 0 && wanted == VERSION_NEW &&
	    rollout_allows_old_version(rollout))
		candidates_find_old(req, group, rollout, out);
	if (wanted == VERSION_OLD && out->len > 0)
		group->new_alone_since = (struct timespec){0};
	if (wanted == VERSION_OLD && out->len == 0 &&
	    new_version_is_alone(req, group, rollout))
		candidates_find(req, group, rollout, VERSION_NEW, out);
	if (out->len == 0 && out->held_back_len > 0)
		*why = held_back_why(out);
	return out->len > 0;
}

err_code_t
candidates_refusal(const candidates_t *set)
{
	if (set->limited_skipped > 0 || set->backoff_skipped > 0 ||
	    set->brittle_skipped > 0)
		return ERR_THROTTLED;
	return set->cold_skipped > 0 ? ERR_WARMING_UP : ERR_NO_ENDPOINT;
}

static int64_t
held_back_ms(relay_request_t *req, endpoint_t *endpoint)
{
	relay_t *relay = req->relay;
	warmup_snapshot_t warmup;
	int64_t wait_ms = relay_rate_limit_wait_ms(relay, endpoint);

	if (relay_brittle_wait_ms(relay, endpoint) > wait_ms)
		wait_ms = relay_brittle_wait_ms(relay, endpoint);
	if (endpoint_backoff_ms(endpoint) > wait_ms)
		wait_ms = endpoint_backoff_ms(endpoint);
	relay_warmup_snapshot(req, &warmup);
	if (!relay_warmup_allows(relay, endpoint, &warmup) &&
	    relay_warmup_next_slot_ms(relay) > wait_ms)
		wait_ms = relay_warmup_next_slot_ms(relay);
	return wait_ms;
}

int64_t
relay_time_to_endpoint_ms(relay_request_t *req)
{
	static candidates_t candidates;
	int64_t earliest_ms = 0;
	const char *why;

	req->tried_endpoints_len = 0;
	if (candidates_collect(req, &candidates, &why))
		return 0;
	for (size_t i = 0; i < candidates.held_back_len; i++) {
		int64_t ms = held_back_ms(req, candidates.held_back[i]);

		if (i == 0 || ms < earliest_ms)
			earliest_ms = ms;
	}
	return earliest_ms;
}

bool
relay_has_unlimited_endpoint(relay_request_t *req)
{
	static candidates_t candidates;
	const char *why;

	if (relay_reach_verdict(req) != REACH_OK)
		return false;
	candidates_collect(req, &candidates, &why);
	for (size_t i = 0; i < candidates.len; i++) {
		const endpoint_t *endpoint = candidates.endpoints[i];

		if (!endpoint->restrictions.rate_limited &&
		    relay_brittle_has_room(endpoint))
			return true;
	}
	return false;
}
