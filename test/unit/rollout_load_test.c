/**
 * @file
 * How a new version is put under load during a roll-out: how the load is
 * determined and stored, and which requests it takes at which time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "../support/rollout_fixture.h"

/* The part of all requests that the new version gets before its share grows to
 * one half. */
static double
exposure_under_load(const rollout_load_input_t *input)
{
	rollout_snapshot_t snapshot = {.state = ROLLOUT_IN_PROGRESS,
	    .duration_ms = 10000,
	    .accepted_ms = 3000};
	double exposed = 0;

	snapshot.load.routes[0] = 1;
	snapshot.load.routes_len = 1;
	rollout_plan_load(&snapshot.load, input);
	for (snapshot.elapsed_ms = 0; rollout_plan_share(&snapshot) < 0.4;
	     snapshot.elapsed_ms += 10)
		exposed += 10.0 / 10000 *
		    (input->route_part *
			    rollout_plan_route_share(&snapshot, 1) +
			(1 - input->route_part) *
			    rollout_plan_route_share(&snapshot, 2));
	return exposed;
}

/* Whatever the load, the new version gets less than the users allow a bad one,
 * which leaves some requests for the time until its failures are known. */
static void
new_version_under_load_is_exposed_within_the_bound(void **state)
{
	static const double bounds[] = {0.08, 0.0975, 0.15, 0.3};
	const rollout_snapshot_t trial = {.duration_ms = 10000};

	(void)state;
	for (size_t i = 0; i < sizeof(bounds) / sizeof(bounds[0]); i++) {
		for (int part = 5; part <= 100; part += 5) {
			for (uint32_t in_flight = 0; in_flight < 2000;
			     in_flight += 13) {
				const rollout_load_input_t input = {
				    .in_flight = in_flight,
				    .route_part = part / 100.0,
				    .trial_exposure =
					rollout_plan_trial_exposure(&trial),
				    .slots = 48,
				    .exposure_max = bounds[i]};

				assert_true(exposure_under_load(&input) <=
				    bounds[i] * 0.8);
			}
		}
	}
}

/* With enough requests, the share fills most of the endpoints' slots. */
static void
load_fills_most_of_the_slots(void **state)
{
	rollout_load_t load = {0};
	rollout_load_input_t input = {.in_flight = 72,
	    .route_part = 0.5,
	    .slots = 64,
	    .exposure_max = 0.15};

	(void)state;
	rollout_plan_load(&load, &input);
	assert_int_equal(load.endpoints, 1);
	assert_float_equal(load.share, 0.8, 0.001);
	input.in_flight = 1000;
	rollout_plan_load(&load, &input);
	assert_int_equal(load.endpoints, 2);
	assert_float_equal(load.share, 0.115, 0.001);
	input.in_flight = 20;
	input.exposure_max = 0.3;
	rollout_plan_load(&load, &input);
	assert_float_equal(load.share, 1, 0.001);
}

static void
load_ends_with_the_rollout_and_while_stale(void **state)
{
	rollout_snapshot_t snapshot = {.state = ROLLOUT_IN_PROGRESS,
	    .elapsed_ms = 5500,
	    .duration_ms = 10000,
	    .accepted_ms = 3000,
	    .load = {.share = 0.4,
		.fill_share = 0.8,
		.endpoints = 2,
		.routes = {7},
		.routes_len = 1}};

	(void)state;
	assert_float_equal(rollout_plan_route_share(&snapshot, 7), 0.4, 0.001);
	assert_float_equal(rollout_plan_route_share(&snapshot, 8), 0.1, 0.001);
	assert_int_equal(rollout_plan_endpoints(&snapshot), 2);
	snapshot.stale = true;
	assert_true(
	    rollout_plan_route_share(&snapshot, 7) == ROLLOUT_FIRST_SHARE);
	snapshot.stale = false;
	snapshot.stopped = true;
	assert_true(rollout_plan_route_share(&snapshot, 7) == 0);
	snapshot.stopped = false;
	snapshot.elapsed_ms = 4500;
	assert_true(
	    rollout_plan_route_share(&snapshot, 7) == ROLLOUT_FIRST_SHARE);
	snapshot.elapsed_ms = 7100;
	assert_true(rollout_plan_route_share(&snapshot, 7) == 1);
	assert_int_equal(rollout_plan_endpoints(&snapshot), 2);
	snapshot.elapsed_ms = 9000;
	assert_false(rollout_plan_loads(&snapshot, 7));
}

/* Long prompts with short responses occupy an endpoint's prefill before its
 * slots, so they are left out unless there is nothing else. */
static void
routes_with_short_prompts_load_the_new_version(void **state)
{
	canary_analysis_t analysis = {0};
	canary_observation_t observation = {.signal = CANARY_FIRST_BYTE,
	    .stream = true,
	    .repeatable = true,
	    .ms = 60};
	const struct timespec now = {100, 0};
	uint64_t routes[2];

	(void)state;
	assert_int_equal(canary_analysis_long_routes(&analysis, routes, 2), 0);
	observation.route = 9;
	observation.repeatable = false;
	canary_analysis_observe(&analysis, &observation, now);
	assert_int_equal(canary_analysis_long_routes(&analysis, routes, 2), 0);
	observation.repeatable = true;
	observation.route = 1;
	observation.token_ratio = 120;
	canary_analysis_observe(&analysis, &observation, now);
	observation.route = 2;
	observation.token_ratio = 30;
	canary_analysis_observe(&analysis, &observation, now);
	assert_int_equal(canary_analysis_long_routes(&analysis, routes, 2), 1);
	assert_int_equal(routes[0], 2);
	for (uint64_t i = 3; i < 6; i++) {
		observation.route = i;
		observation.token_ratio = 4;
		canary_analysis_observe(&analysis, &observation, now);
	}
	assert_int_equal(canary_analysis_long_routes(&analysis, routes, 2), 2);
	assert_int_equal(routes[0], 3);
	assert_int_equal(routes[1], 4);
}

/* A hash in the share of the second step but not of the first. */
#define SECOND_STEP_HASH (UINT64_MAX / 100 * 7)
/* In the share of the load only. */
#define LOAD_HASH (UINT64_MAX / 100 * 42)
#define LOAD_ROUTE 0xaa
/* When the new version was found to be as good, after the order. */
#define ACCEPTED_MS 3000
/* After this the load may be determined again. */
#define RETRY_MS 1500

static void
time_pass_to(fixture_t *fixture, double part)
{
	fixture->clock.now = (struct timespec){1000, 0};
	fixture->clock.now =
	    timespec_add_ms(fixture->clock.now, (int64_t)(part * DURATION_MS));
	row_watch_advance(&fixture->watch, 2, fixture->clock.now);
}

static void
load_apply(fixture_t *fixture, const char *load, uint64_t version)
{
	char text[256];
	row_t row = {
	    .key = ROLLOUT_PREFIX "s", .value = text, .version = version};

	row.value_len = (size_t)snprintf(text, sizeof(text),
	    "{\"order\":%d,\"to\":\"v2\",\"base\":\"v1\",\"state\":"
	    "\"in_progress\",\"began_ms\":%d,\"accepted_ms\":%d,%s}",
	    ORDER, STORE_NOW_MS, ACCEPTED_MS, load);
	assert_true(rollouts_apply_state_row(&fixture->rollouts, &row, NULL));
}

/* A session outside the first step's share may have been served by the old
 * version at any daemon without being reported, so it must not move while
 * sessions are pinned, also if the new version's load is known by then. */
static void
no_session_moves_while_sessions_are_pinned(void **state)
{
	const rollout_request_t without_session = {
	    .hash = SECOND_STEP_HASH, .route = LOAD_ROUTE};
	const rollout_request_t of_session = {
	    .hash = SECOND_STEP_HASH, .route = LOAD_ROUTE, .session = true};
	fixture_t fixture;
	rollout_t *rollout;

	(void)state;
	fixture_init(&fixture);
	rollout = rollouts_find(&fixture.rollouts, "s");
	load_apply(&fixture,
	    "\"load_share\":0.6,\"load_fill\":0.9,\"load_endpoints\":1,"
	    "\"load_routes\":[\"00000000000000aa\"]",
	    10);
	for (double part = 0.2; part < 0.52; part += 0.02) {
		time_pass_to(&fixture, part);
		assert_true(rollout_plan_pins_sessions(
		    &(rollout_snapshot_t){.state = ROLLOUT_IN_PROGRESS,
			.elapsed_ms = (int64_t)(part * DURATION_MS),
			.duration_ms = DURATION_MS}));
		assert_false(rollout_prefers_new(rollout, &of_session));
	}
	time_pass_to(&fixture, 0.53);
	assert_true(rollout_prefers_new(rollout, &without_session));
	assert_true(rollout_prefers_new(rollout, &of_session));
	rollouts_clear(&fixture.rollouts);
}

/* Guards against moving a session when its caller tries again after all daemons
 * were lost: what was known of its version is lost with them. */
static void
retry_from_before_the_daemons_start_moves_no_session(void **state)
{
	rollout_request_t retry = {.hash = 1, .session = true};
	int64_t elapsed_ms;
	fixture_t fixture;
	rollout_t *rollout;

	(void)state;
	fixture_init(&fixture);
	rollout = rollouts_find(&fixture.rollouts, "s");
	for (double part = 0.3; part < 0.52; part += 0.02) {
		time_pass_to(&fixture, part);
		elapsed_ms = (int64_t)(part * DURATION_MS);
		retry.tried_ms_ago = 0;
		assert_true(rollout_prefers_new(rollout, &retry));
		/* Before the order, and before its first share. */
		retry.tried_ms_ago = elapsed_ms + 1000;
		assert_false(rollout_prefers_new(rollout, &retry));
		retry.tried_ms_ago =
		    elapsed_ms - ROLLOUT_SESSION_EXCHANGE_MS + 100;
		assert_false(rollout_prefers_new(rollout, &retry));
		retry.tried_ms_ago =
		    elapsed_ms - ROLLOUT_SESSION_EXCHANGE_MS - 100;
		assert_true(rollout_prefers_new(rollout, &retry));
	}
	time_pass_to(&fixture, 0.53);
	retry.tried_ms_ago = DURATION_MS;
	assert_true(rollout_prefers_new(rollout, &retry));
	rollouts_clear(&fixture.rollouts);
}

/* The load is in the state's row, so that all daemons put the same requests to
 * the same endpoints. What can't be one is left out. */
static void
load_is_taken_from_the_stored_state(void **state)
{
	const rollout_request_t loading = {
	    .hash = LOAD_HASH, .route = LOAD_ROUTE, .session = true};
	const rollout_request_t other = {
	    .hash = LOAD_HASH, .route = LOAD_ROUTE + 1, .session = true};
	fixture_t fixture;
	rollout_t *rollout;

	(void)state;
	fixture_init(&fixture);
	rollout = rollouts_find(&fixture.rollouts, "s");
	time_pass_to(&fixture, 0.6);
	assert_false(rollout_prefers_new(rollout, &loading));
	load_apply(&fixture,
	    "\"load_share\":7,\"load_fill\":7,\"load_endpoints\":1,"
	    "\"load_routes\":[\"00000000000000aa\"]",
	    10);
	assert_false(rollout_prefers_new(rollout, &loading));
	load_apply(&fixture,
	    "\"load_share\":0.6,\"load_fill\":0.9,\"load_endpoints\":2,"
	    "\"load_routes\":[\"00000000000000aa\",3]",
	    11);
	assert_true(rollout_prefers_new(rollout, &loading));
	assert_false(rollout_prefers_new(rollout, &other));
	assert_int_equal(rollout_endpoints(rollout), 2);
	rollouts_clear(&fixture.rollouts);
}

/* The next order's version may have other endpoints and other requests. */
static void
load_of_an_earlier_order_is_not_stored_for_the_next(void **state)
{
	fixture_t fixture;
	rollout_t *rollout;
	char *text;

	(void)state;
	fixture_init(&fixture);
	rollout = rollouts_find(&fixture.rollouts, "s");
	load_apply(&fixture,
	    "\"load_share\":0.6,\"load_fill\":0.9,\"load_endpoints\":2,"
	    "\"load_routes\":[\"00000000000000aa\"]",
	    10);
	text = rollout_state_encode(rollout, ROLLOUT_COMPLETED);
	assert_non_null(strstr(text, "load_share"));
	free(text);
	state_apply(&fixture, ORDER, "v2", "v1", "completed", 11);
	order_apply(&fixture, ORDER + 20, "v3");
	rollout->load = (rollout_load_t){.share = 0.6, .endpoints = 2};
	text = rollout_state_encode(rollout, ROLLOUT_IN_PROGRESS);
	assert_null(strstr(text, "load_share"));
	free(text);
	rollouts_clear(&fixture.rollouts);
}

static uint32_t
eight_slots(const void *relay, const rollout_t *rollout)
{
	(void)relay;
	(void)rollout;
	return 8;
}

static uint32_t
ten_on_old(const void *relay, const rollout_t *rollout, uint64_t route)
{
	(void)relay;
	(void)rollout;
	(void)route;
	return 10;
}

/* A daemon that does not know the others' requests would take its own for all
 * and choose a share that is far too large. */
static void
load_is_determined_only_with_reports_of_the_others(void **state)
{
	const canary_observation_t observation = {.signal = CANARY_FIRST_BYTE,
	    .route = LOAD_ROUTE,
	    .stream = true,
	    .repeatable = true,
	    .ms = 50,
	    .token_ratio = 3};
	fixture_t fixture;
	rollout_t *rollout;
	member_t member;

	(void)state;
	fixture_init(&fixture);
	fixture.rollouts.old_in_flight = ten_on_old;
	fixture.rollouts.new_version_slots = eight_slots;
	fixture.rollouts.exposure_max = 0.15;
	fixture.members.clock = &fixture.clock.source;
	rollout = rollouts_find(&fixture.rollouts, "s");
	canary_analysis_observe(
	    &rollout->canary, &observation, fixture.clock.now);
	reporting_daemon(&member, &fixture.members);
	json_object_clear(member.report);
	assert_false(rollout_load_propose(rollout));
	fixture.clock.now = timespec_add_ms(fixture.clock.now, RETRY_MS);
	json_decref(member.report);
	HASH_DEL(fixture.members.members, &member);
	reporting_daemon(&member, &fixture.members);
	json_array_append_new(
	    json_array_get(
		json_object_get(
		    json_object_get(
			json_object_get(member.report, "rollouts"), "s"),
		    "tally"),
		0),
	    json_integer(62));
	assert_true(rollout_load_propose(rollout));
	assert_int_equal(rollout->load_proposed.endpoints, 1);
	assert_float_equal(rollout->load_proposed.share, 0.9 * 8 / 72, 0.001);
	HASH_DEL(fixture.members.members, &member);
	json_decref(member.report);
	rollouts_clear(&fixture.rollouts);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		new_version_under_load_is_exposed_within_the_bound),
	    cmocka_unit_test(load_fills_most_of_the_slots),
	    cmocka_unit_test(load_ends_with_the_rollout_and_while_stale),
	    cmocka_unit_test(routes_with_short_prompts_load_the_new_version),
	    cmocka_unit_test(no_session_moves_while_sessions_are_pinned),
	    cmocka_unit_test(
		retry_from_before_the_daemons_start_moves_no_session),
	    cmocka_unit_test(load_is_taken_from_the_stored_state),
	    cmocka_unit_test(
		load_of_an_earlier_order_is_not_stored_for_the_next),
	    cmocka_unit_test(
		load_is_determined_only_with_reports_of_the_others),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
