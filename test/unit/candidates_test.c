/**
 * @file
 * Candidates of a request if there are more endpoints than CANDIDATES_MAX. They
 * were the last 256 endpoints that a daemon had learned of, which differed
 * between daemons. Shared prefixes were thus prefilled at more endpoints than
 * necessary, and the endpoints that were known first got no requests.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../../moortack/relay/relay_candidates.h"
#include "../support/manual_clock.h"

#define ENDPOINTS 1000
#define PROMPTS 60
#define NEW 160 /* endpoints of a new version */
#define ORDER_MS 20000

/** A daemon, as far as it chooses endpoints. */
typedef struct daemon {
	manual_clock_t clock;
	endpoint_set_t endpoints;
	rollouts_t rollouts;
	relay_t relay;
	relay_request_t request;
	candidates_t candidates;
} daemon_t;

static void
version_learn(daemon_t *daemon, int number, const char *version)
{
	endpoint_info_t info = {.service = "lm",
	    .zone = "a",
	    .slots = 8,
	    .address = {"10.0.0.1", 80}};

	snprintf(info.id, sizeof(info.id), "i-%d", number);
	strcpy(info.version, version);
	endpoint_set_update(&daemon->endpoints, &info);
}

static void
endpoint_learn(daemon_t *daemon, int number)
{
	version_learn(daemon, number, "v1");
}

/* Two daemons learn of endpoints in different orders. */
static daemon_t *
daemon_new(bool backwards, int endpoints)
{
	daemon_t *daemon = calloc(1, sizeof(*daemon));

	daemon->clock = (manual_clock_t){{&manual_clock_ops}, {100, 0}};
	endpoint_set_init(&daemon->endpoints, &daemon->clock.source);
	for (int i = 0; i < endpoints; i++)
		endpoint_learn(daemon, backwards ? endpoints - 1 - i : i);
	daemon->relay = (relay_t){.clock = &daemon->clock.source,
	    .endpoints = &daemon->endpoints,
	    .rollouts = &daemon->rollouts,
	    .daemons_max_seen = 2};
	daemon->request = (relay_request_t){.relay = &daemon->relay,
	    .config = relay_config_new(1),
	    .service = "lm"};
	return daemon;
}

static void
daemon_free(daemon_t *daemon)
{
	relay_config_release(daemon->request.config);
	endpoint_set_finish(&daemon->endpoints);
	free(daemon);
}

/* Hash of the prefix that some prompts share. */
static uint64_t
prefix_hash(uint64_t prompts)
{
	return XXH3_64bits(&prompts, sizeof(prompts));
}

static size_t
candidates_count(daemon_t *daemon, uint64_t shared)
{
	const char *why;

	daemon->request.shared_prefix_hash = shared;
	assert_true(
	    candidates_collect(&daemon->request, &daemon->candidates, &why));
	return daemon->candidates.len;
}

static bool
is_candidate(const daemon_t *daemon, uint64_t hash)
{
	for (size_t i = 0; i < daemon->candidates.len; i++) {
		if (daemon->candidates.inputs[i].hash == hash)
			return true;
	}
	return false;
}

static void
all_daemons_have_the_same_candidates_for_a_prefix(void **state)
{
	daemon_t *forwards = daemon_new(false, ENDPOINTS);
	daemon_t *backwards = daemon_new(true, ENDPOINTS);

	(void)state;
	for (uint64_t i = 1; i <= PROMPTS; i++) {
		size_t len = candidates_count(forwards, prefix_hash(i));

		assert_int_equal(len, CANDIDATES_MAX);
		assert_int_equal(
		    candidates_count(backwards, prefix_hash(i)), len);
		for (size_t j = 0; j < len; j++)
			assert_true(is_candidate(
			    backwards, forwards->candidates.inputs[j].hash));
	}
	daemon_free(forwards);
	daemon_free(backwards);
}

static void
each_endpoint_is_a_candidate_for_some_prompt(void **state)
{
	daemon_t *daemon = daemon_new(false, ENDPOINTS);
	const endpoint_group_t *group =
	    endpoint_set_find_group(&daemon->endpoints, "lm");
	bool seen[ENDPOINTS] = {false};

	(void)state;
	for (uint64_t i = 1; i <= PROMPTS; i++) {
		candidates_count(daemon, prefix_hash(i));
		for (size_t j = 0; j < group->len; j++)
			seen[j] |= is_candidate(daemon, group->ring[j]->hash);
	}
	for (int i = 0; i < ENDPOINTS; i++)
		assert_true(seen[i]);
	daemon_free(daemon);
}

static void
few_endpoints_are_all_candidates(void **state)
{
	daemon_t *daemon = daemon_new(false, CANDIDATES_MAX);

	(void)state;
	assert_int_equal(
	    candidates_count(daemon, prefix_hash(1)), CANDIDATES_MAX);
	daemon_free(daemon);
}

/* Without a load report, other daemons are assumed to have as many requests at
 * an endpoint as this daemon has on average. One request of its own was counted
 * as one of each of 91 daemons, so that a daemon sent no second prompt to the
 * endpoint that had prefilled the first. */
static void
other_daemons_are_assumed_to_have_equal_load(void **state)
{
	enum { FEW = 10, DAEMONS = 91 };
	daemon_t *daemon = daemon_new(false, FEW);
	endpoint_group_t *group =
	    endpoint_set_find_group(&daemon->endpoints, "lm");
	endpoint_t *used = group->ring[3];

	(void)state;
	endpoint_request_started(used);
	assert_float_equal(
	    endpoint_estimate_load(used, DAEMONS), 1 + 90.0 / FEW, 0.01);
	assert_float_equal(
	    endpoint_estimate_load(group->ring[4], DAEMONS), 90.0 / FEW, 0.01);
	endpoint_request_ended(used);
	assert_float_equal(endpoint_estimate_load(used, DAEMONS), 0, 0.01);
	/* Requests at a removed endpoint no longer count. */
	endpoint_request_started(used);
	endpoint_hold(used);
	endpoint_set_remove(&daemon->endpoints, used);
	assert_int_equal(group->in_flight, 0);
	endpoint_request_ended(used);
	assert_int_equal(group->in_flight, 0);
	endpoint_release(used);
	daemon_free(daemon);
}

/* A roll-out of v2 of which this part of its duration has passed. */
static rollout_t *
rollout_add(daemon_t *daemon, row_watch_t *watch, double part)
{
	static rollout_t rollout;
	static event_log_t log;

	event_log_init(&log, &daemon->clock.source, 1e-9);
	*watch = (row_watch_t){.clock = &daemon->clock.source,
	    .synced_once = true,
	    .synced_at = daemon->clock.now};
	daemon->rollouts = (rollouts_t){.clock = &daemon->clock.source,
	    .orders_watch = watch,
	    .states_watch = watch,
	    .log = &log};
	rollout = (rollout_t){.owner = &daemon->rollouts,
	    .order = {.service = "lm",
		.to_version = "v2",
		.number = 5,
		.duration_ms = ORDER_MS},
	    .state = ROLLOUT_IN_PROGRESS,
	    .state_order = 5,
	    .accepted_ms = 1,
	    .order_seen_at = timespec_add_ms(
		daemon->clock.now, -(int64_t)(part * ORDER_MS))};
	HASH_ADD_KEYPTR(hh, daemon->rollouts.by_service, rollout.order.service,
	    strlen(rollout.order.service), &rollout);
	return &rollout;
}

/* Requests of the first put a new version under load. */
static const relay_route_t long_route = {
    .name = "long", .latency_objective_ms = 1000};
static const relay_route_t other_route = {
    .name = "other", .latency_objective_ms = 1000};

#define LOADED 4 /* endpoints under load */

static daemon_t *
daemon_in_rollout(double part, bool load_known, row_watch_t *watch)
{
	daemon_t *daemon = daemon_new(false, 0);
	rollout_t *rollout;

	for (int i = 0; i < NEW; i++)
		version_learn(daemon, i, "v2");
	rollout = rollout_add(daemon, watch, part);
	if (load_known)
		rollout->load = (rollout_load_t){.share = 0.2,
		    .fill_share = 0.2,
		    .endpoints = LOADED,
		    .routes = {relay_route_hash(&long_route)},
		    .routes_len = 1};
	daemon->relay.daemons_max_seen = 1;
	return daemon;
}

static void
daemon_in_rollout_free(daemon_t *daemon)
{
	HASH_CLEAR(hh, daemon->rollouts.by_service);
	daemon_free(daemon);
}

static size_t
new_candidates_count(double part, const relay_route_t *route, bool load_known)
{
	row_watch_t watch;
	daemon_t *daemon = daemon_in_rollout(part, load_known, &watch);
	size_t len;

	daemon->request.route = route;
	len = candidates_count(daemon, 0);
	daemon_in_rollout_free(daemon);
	return len;
}

/* A twentieth of the requests goes to a twentieth of the new version's
 * endpoints. Then for a time requests of some routes go to so few that most of
 * their slots are in use, and then all to all. */
static void
new_version_is_put_under_load_at_few_endpoints(void **state)
{
	(void)state;
	assert_int_equal(
	    new_candidates_count(0.2, &long_route, true), NEW / 20);
	assert_int_equal(
	    new_candidates_count(0.45, &long_route, true), NEW / 20);
	assert_int_equal(new_candidates_count(0.55, &long_route, true), LOADED);
	assert_int_equal(
	    new_candidates_count(0.55, &other_route, true), NEW / 10);
	assert_int_equal(
	    new_candidates_count(0.55, &long_route, false), NEW / 10);
	assert_int_equal(new_candidates_count(0.8, &long_route, true), NEW);
}

/* One endpoint that is slow or fails for a reason of its own would be taken for
 * the version. */
static void
small_share_goes_to_several_endpoints(void **state)
{
	row_watch_t watch;
	daemon_t *daemon = daemon_new(false, 0);

	(void)state;
	for (int i = 0; i < 12; i++)
		version_learn(daemon, i, "v2");
	rollout_add(daemon, &watch, 0.2);
	daemon->relay.daemons_max_seen = 1;
	daemon->request.route = &other_route;
	assert_int_equal(candidates_count(daemon, 0), 8);
	daemon_in_rollout_free(daemon);
}

/* Prompts of other requests would take the time of the endpoints under load. */
static void
other_requests_avoid_the_endpoints_under_load(void **state)
{
	row_watch_t watch;
	daemon_t *daemon = daemon_in_rollout(0.55, true, &watch);
	uint64_t loaded[LOADED];

	(void)state;
	daemon->request.route = &long_route;
	assert_int_equal(candidates_count(daemon, 0), LOADED);
	for (size_t i = 0; i < LOADED; i++)
		loaded[i] = daemon->candidates.inputs[i].hash;
	daemon->request.route = &other_route;
	candidates_count(daemon, 0);
	for (size_t i = 0; i < LOADED; i++)
		assert_false(is_candidate(daemon, loaded[i]));
	daemon_in_rollout_free(daemon);
}

/* An endpoint whose slots are nearly all in use is under load already, and more
 * requests would wait there. */
static void
full_endpoint_is_not_loaded_further(void **state)
{
	row_watch_t watch;
	daemon_t *daemon = daemon_in_rollout(0.55, true, &watch);
	endpoint_t *full;

	(void)state;
	daemon->request.route = &long_route;
	candidates_count(daemon, 0);
	full = daemon->candidates.endpoints[0];
	for (uint32_t i = 0; i + 1 < full->info.slots; i++)
		endpoint_request_started(full);
	assert_int_equal(candidates_count(daemon, 0), LOADED);
	assert_false(is_candidate(daemon, full->hash));
	daemon_in_rollout_free(daemon);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(all_daemons_have_the_same_candidates_for_a_prefix),
	    cmocka_unit_test(each_endpoint_is_a_candidate_for_some_prompt),
	    cmocka_unit_test(few_endpoints_are_all_candidates),
	    cmocka_unit_test(other_daemons_are_assumed_to_have_equal_load),
	    cmocka_unit_test(new_version_is_put_under_load_at_few_endpoints),
	    cmocka_unit_test(small_share_goes_to_several_endpoints),
	    cmocka_unit_test(other_requests_avoid_the_endpoints_under_load),
	    cmocka_unit_test(full_endpoint_is_not_loaded_further),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
