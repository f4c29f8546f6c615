#include "relay_candidates.h"
#include "relay_warmup.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define CONNECTIONS_MIN 2
/* Part of an endpoint's slots that a roll-out's first endpoints are to have
 * taken for a time. A version that is bad under load only fails, on the users'
 * sheets, from half of them on; with as many endpoints as the share of the
 * requests, 4 to 8 of 16 to 64 are taken on calm days, and it got 0.4 of all
 * requests unnoticed. With this it is stopped on sheets with 16 and 24 slots
 * (two seeds each, 0.6: one of four was not); with 48 and 64 their traffic does
 * not fill half of an endpoint. */
#define TRIAL_PART 0.75

/** Which versions are asked for. */
typedef enum version_class {
	VERSION_ANY,
	VERSION_OLD, /**< the one that is replaced */
	VERSION_NEW,
	VERSION_OTHER, /**< any but the new one, and one that was taken back */
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

/* This daemon's part of the connections that an endpoint accepts. */
static uint32_t
connections_share(const relay_request_t *req)
{
	const relay_service_t *service =
	    relay_config_service(req->config, req->service);
	uint32_t share;

	if (service == NULL)
		return CONNECTIONS_MIN;
	share = service->connections_max / req->relay->daemons_max_seen;
	return share > CONNECTIONS_MIN ? share : CONNECTIONS_MIN;
}

static bool
version_fits(const endpoint_group_t *group, const rollout_t *rollout,
    version_class_t wanted, const endpoint_t *endpoint)
{
	const char *version = endpoint->facts.version;

	switch (wanted) {
	case VERSION_ANY:
		return strcmp(group->base_version, version) == 0;
	case VERSION_OLD:
		return strcmp(rollout_base(rollout), version) == 0;
	case VERSION_NEW:
		return rollout_is_new(rollout, endpoint);
	case VERSION_OTHER:
		break;
	}
	return !rollout_is_new(rollout, endpoint) &&
	    !rollout_taken_back(rollout, endpoint);
}

/* Both the route and the organisation may restrict the regions. */
static bool
region_fits(const relay_request_t *req, const endpoint_t *endpoint)
{
	const char *region = endpoint->zone->region;

	return (req->route == NULL ||
		   region_list_allows(&req->route->regions, region)) &&
	    (req->organisation == NULL ||
		region_list_allows(&req->organisation->regions, region));
}

static bool
endpoint_fits(const relay_request_t *req, const endpoint_t *endpoint,
    uint32_t connections)
{
	return endpoint_accepts_requests(endpoint) &&
	    region_fits(req, endpoint) && !was_tried(req, endpoint) &&
	    (endpoint->idle != NULL || endpoint->connections < connections);
}

/* Of more endpoints than are weighed, those that follow in the ring on what the
 * prompt shares: all daemons weigh the same ones for the same part. */
static void
candidates_find(const relay_request_t *req, const endpoint_group_t *group,
    const rollout_t *rollout, version_class_t wanted, candidates_t *out)
{
	const relay_t *relay = req->relay;
	uint32_t connections = connections_share(req);
	warmup_snapshot_t warmup;
	size_t from = endpoint_group_from(group,
	    req->shared_prefix_hash != 0 ? req->shared_prefix_hash
					 : req->split_hash);

	out->len = 0;
	relay_warmup_snapshot(req, &warmup);
	for (size_t i = 0; i < group->len && out->len < CANDIDATES_MAX; i++) {
		endpoint_t *one = group->ring[(from + i) % group->len];

		if (!endpoint_fits(req, one, connections) ||
		    !version_fits(group, rollout, wanted, one))
			continue;
		if (!relay_warmup_allows(relay, one, &warmup)) {
			out->cold++;
			continue;
		}
		out->endpoints[out->len] = one;
		out->seen[out->len++] = (choose_candidate_t){.hash = one->hash,
		    .load = endpoint_load_now(one, relay->daemons_max_seen),
		    .slots = one->facts.slots,
		    .same_zone = strcmp(one->facts.zone, relay->zone) == 0,
		    .ejected = endpoint_ejected(one)};
	}
}

void
candidates_keep(candidates_t *set, const bool *kept)
{
	size_t len = 0;

	for (size_t i = 0; i < set->len; i++) {
		if (!kept[i])
			continue;
		set->seen[len] = set->seen[i];
		set->endpoints[len] = set->endpoints[i];
		len++;
	}
	set->len = len;
}

/* The candidate's place in an order that changes with each roll-out. */
static uint64_t
narrow_weight(const choose_candidate_t *candidate, const rollout_t *rollout)
{
	return XXH3_64bits_withSeed(
	    &candidate->hash, sizeof(candidate->hash), rollout->order.number);
}

/* How many of them a share of the requests fills up to where faults under load
 * show. */
static size_t
trial_size(const relay_request_t *req, const endpoint_group_t *group,
    const candidates_t *set, double share)
{
	double under_way = group->in_flight_mean * req->relay->daemons_max_seen;
	double each = TRIAL_PART * set->seen[0].slots;

	return each > 0 ? (size_t)ceil(under_way * share / each) : set->len;
}

/* A small share of the requests goes to as small a share of the endpoints, so
 * that these are as busy as they will be later, and for a time to fewer. */
static void
candidates_narrow(const relay_request_t *req, const endpoint_group_t *group,
    const rollout_t *rollout, candidates_t *set)
{
	static bool kept[CANDIDATES_MAX];
	size_t keep = (size_t)ceil((double)set->len * rollout->share);
	size_t filled;

	if (rollout->share >= 1.0 || keep == 0)
		return;
	if (rollout_on_trial(rollout)) {
		filled = trial_size(req, group, set, rollout->share);
		if (filled < keep)
			keep = filled > 0 ? filled : 1;
	}
	for (size_t i = 0; i < set->len; i++) {
		uint64_t weight = narrow_weight(&set->seen[i], rollout);
		size_t before = 0;

		for (size_t j = 0; j < set->len; j++)
			before +=
			    narrow_weight(&set->seen[j], rollout) > weight;
		kept[i] = before < keep;
	}
	candidates_keep(set, kept);
}

static version_class_t
class_wanted(const relay_request_t *req, rollout_t *rollout)
{
	if (rollout == NULL || rollout->order.number == 0)
		return VERSION_ANY;
	return rollout_prefers_new(
		   rollout, req->split_hash, req->arrival.session != NULL)
	    ? VERSION_NEW
	    : VERSION_OLD;
}

static bool
group_has(const endpoint_group_t *group, const char *version)
{
	for (size_t i = 0; i < group->len; i++) {
		if (strcmp(group->ring[i]->facts.version, version) == 0)
			return true;
	}
	return false;
}

/* Endpoints of the version that is replaced, or, if there is none of it, or it
 * isn't known, of any that may be it. */
static void
candidates_old(const relay_request_t *req, const endpoint_group_t *group,
    const rollout_t *rollout, candidates_t *out)
{
	version_class_t wanted = group_has(group, rollout_base(rollout))
	    ? VERSION_OLD
	    : VERSION_OTHER;

	candidates_find(req, group, rollout, wanted, out);
}

bool
candidates_of(const relay_request_t *req, candidates_t *out, const char **why)
{
	endpoint_group_t *group;
	rollout_t *rollout;
	version_class_t wanted;

	out->len = 0;
	out->cold = 0;
	*why = "no_pool";
	if (req->service == NULL)
		return false;
	*why = "no_endpoints";
	group = endpoint_set_group(req->relay->endpoints, req->service);
	if (group == NULL)
		return false;
	rollout = rollouts_find(req->relay->rollouts, req->service);
	wanted = class_wanted(req, rollout);
	if (wanted == VERSION_ANY)
		endpoint_group_learn(group);
	if (wanted == VERSION_OLD)
		candidates_old(req, group, rollout, out);
	else
		candidates_find(req, group, rollout, wanted, out);
	if (wanted == VERSION_NEW)
		candidates_narrow(req, group, rollout, out);
	/* None of the wanted version can take it. */
	if (out->len == 0 && wanted == VERSION_NEW &&
	    rollout_old_allowed(rollout))
		candidates_old(req, group, rollout, out);
	if (out->len == 0 && out->cold > 0)
		*why = "warming_up";
	return out->len > 0;
}
