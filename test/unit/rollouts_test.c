/**
 * @file
 * Roll-outs at one daemon: orders, rows of states and the store's clock arrive
 * in any sequence, orders follow each other, members report and go down, and
 * the store is restored from an older copy.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../support/rollout_fixture.h"
#include "../support/silent_store.h"
#include "moortack/replication/era_version.h"

/* In the last step of a roll-out. */
#define ELAPSED_MS 12000

/** What a daemon receives. */
typedef enum input {
	INPUT_ORDER,
	INPUT_STATE,
	INPUT_CLOCK,
} input_t;

static void
input_apply(rollouts_t *rollouts, input_t input)
{
	static char text[128];
	rollout_order_t order = {
	    .service = "s", .to_version = "v2", .duration_ms = DURATION_MS};
	row_t row = {.key = ROLLOUT_PREFIX "s", .value = text, .version = 9};

	switch (input) {
	case INPUT_ORDER:
		order.number = ORDER;
		rollouts_apply_order(rollouts, &order);
		break;
	case INPUT_STATE:
		snprintf(text, sizeof(text),
		    "{\"order\":%d,\"to\":\"v2\",\"base\":\"v1\","
		    "\"state\":\"in_progress\",\"began_ms\":%d,"
		    "\"accepted_ms\":%d}",
		    ORDER, STORE_NOW_MS - ELAPSED_MS, ELAPSED_MS / 2);
		row.value_len = strlen(text);
		rollouts_apply_state_row(rollouts, &row, NULL);
		break;
	case INPUT_CLOCK:
		rollouts_set_store_clock(rollouts, STORE_NOW_MS);
		break;
	}
}

/* The share of requests that go to the new version after three inputs, in
 * percent. */
static int
share_after(input_t first, input_t second, input_t third)
{
	manual_clock_t clock = {{&manual_clock_ops}, {1000, 0}};
	event_log_t log;
	row_watch_t watch = {.clock = &clock.source};
	membership_t members = {0};
	rollouts_t rollouts = {.clock = &clock.source,
	    .members = &members,
	    .orders_watch = &watch,
	    .states_watch = &watch,
	    .log = &log};
	int share = 0;

	event_log_init(&log, &clock.source, 1);
	row_watch_advance(&watch, 1, clock.now);
	input_apply(&rollouts, first);
	input_apply(&rollouts, second);
	input_apply(&rollouts, third);
	for (int i = 0; i < 100; i++) {
		const rollout_request_t request = {
		    .hash = UINT64_MAX / 100 * (uint64_t)i};

		share += rollout_prefers_new(
		    rollouts_find(&rollouts, "s"), &request);
	}
	rollouts_clear(&rollouts);
	return share;
}

static void
start_time_is_independent_of_arrival_order(void **state)
{
	(void)state;
	assert_int_equal(
	    share_after(INPUT_CLOCK, INPUT_ORDER, INPUT_STATE), 100);
	assert_int_equal(
	    share_after(INPUT_CLOCK, INPUT_STATE, INPUT_ORDER), 100);
	assert_int_equal(
	    share_after(INPUT_STATE, INPUT_ORDER, INPUT_CLOCK), 100);
	assert_int_equal(
	    share_after(INPUT_ORDER, INPUT_STATE, INPUT_CLOCK), 100);
}

#define NEXT_ORDER (ORDER + 3)
#define WAIT_MS 1500

static bool
is_reverted(const fixture_t *fixture, const char *version)
{
	endpoint_t endpoint = {0};

	strcpy(endpoint.info.version, version);
	return rollout_is_reverted_version(fixture->rollout, &endpoint);
}

/* The version that the next order replaces depends on how the one before ended,
 * whichever of the two is received first. */
static void
next_order_replaces_version_of_last_end(void **state)
{
	static const char *const ends[] = {"reverted", "completed"};
	static const char *const bases[] = {"v1", "v2"};

	(void)state;
	for (int end = 0; end < 2; end++) {
		for (int order_first = 0; order_first < 2; order_first++) {
			fixture_t fixture;

			fixture_init(&fixture);
			if (order_first)
				order_apply(&fixture, NEXT_ORDER, "v3");
			state_apply(&fixture, ORDER, "v2", "v1", ends[end], 12);
			if (!order_first)
				order_apply(&fixture, NEXT_ORDER, "v3");
			assert_int_equal(
			    fixture.rollout->order.number, NEXT_ORDER);
			assert_string_equal(
			    rollout_base_version(fixture.rollout), bases[end]);
			assert_int_equal(is_reverted(&fixture, "v2"), end == 0);
			/* The state that another daemon writes agrees. */
			state_apply(&fixture, NEXT_ORDER, "v3", bases[end],
			    "in_progress", 15);
			assert_string_equal(
			    rollout_base_version(fixture.rollout), bases[end]);
			rollouts_clear(&fixture.rollouts);
		}
	}
}

static void
next_order_waits_for_end_of_current(void **state)
{
	fixture_t fixture;

	(void)state;
	fixture_init(&fixture);
	order_apply(&fixture, NEXT_ORDER, "v3");
	assert_int_equal(fixture.rollout->order.number, ORDER);
	fixture.clock.now = timespec_add_ms(fixture.clock.now, WAIT_MS);
	order_apply(&fixture, NEXT_ORDER, "v3");
	state_apply(&fixture, ORDER, "v2", "v1", "in_progress", 13);
	assert_int_equal(fixture.rollout->order.number, ORDER);
	/* The states were read after the next order and show no end: the
	 * operator has replaced an order that had not ended. */
	row_watch_advance(&fixture.watch, 14, fixture.clock.now);
	state_apply(&fixture, ORDER, "v2", "v1", "in_progress", 14);
	assert_int_equal(fixture.rollout->order.number, NEXT_ORDER);
	assert_string_equal(rollout_base_version(fixture.rollout), "v1");
	rollouts_clear(&fixture.rollouts);
}

static bool
write_unexpected(row_store_t *store, const row_change_t *expected,
    size_t expected_len, const row_change_t *changes, size_t changes_len,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	(void)store;
	(void)expected;
	(void)expected_len;
	(void)changes;
	(void)changes_len;
	(void)timeout_ms;
	(void)done;
	(void)arg;
	fail_msg("the state of a later order is overwritten");
	return false;
}

static bool
status_encode(const rollout_order_t *order, rollout_state_t state, char **table,
    char **key, char **value)
{
	(void)order;
	(void)state;
	*table = strdup("t");
	*key = strdup("k");
	*value = strdup("v");
	return true;
}

/* Guards against a daemon that has read the state of a later order, but not
 * that order itself, and overwrites it with the state of its own order. */
static void
state_of_later_order_is_not_overwritten(void **state)
{
	static const row_store_ops_t refusing = {NULL, NULL, write_unexpected};
	static const rollout_status_encoder_t encoder = {status_encode};
	row_store_t store = {.ops = &refusing};
	struct event_base *base = event_base_new();
	fixture_t fixture;

	(void)state;
	fixture_init(&fixture);
	fixture.rollouts.store = &store;
	fixture.rollouts.status_encoder = &encoder;
	assert_true(rollouts_init(&fixture.rollouts, base));
	state_apply(&fixture, NEXT_ORDER, "v3", "v2", "in_progress", 12);
	for (int i = 0; i < 20; i++) {
		fixture.clock.now = timespec_add_ms(fixture.clock.now, 200);
		event_active(fixture.rollouts.timer, EV_TIMEOUT, 0);
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
	rollouts_finish(&fixture.rollouts);
	event_base_free(base);
}

static row_done_t written;
static void *written_arg;

static bool
write_unanswered(row_store_t *store, const row_change_t *expected,
    size_t expected_len, const row_change_t *changes, size_t changes_len,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	written = done;
	written_arg = arg;
	return silent_store_write(store, expected, expected_len, changes,
	    changes_len, timeout_ms, done, arg);
}

/* Guards against the use of freed memory when a daemon stops while the store
 * has not answered a write, which is cancelled afterwards. */
static void
write_may_be_answered_after_the_end(void **state)
{
	static const row_store_ops_t unanswered = {
	    NULL, NULL, write_unanswered};
	static const rollout_status_encoder_t encoder = {status_encode};
	static const row_store_response_t no_response = {
	    .result = ROW_NO_RESPONSE};
	row_store_t store = {.ops = &unanswered};
	struct event_base *base = event_base_new();
	fixture_t fixture;

	(void)state;
	fixture_init(&fixture);
	fixture.rollouts.store = &store;
	fixture.rollouts.status_encoder = &encoder;
	assert_true(rollouts_init(&fixture.rollouts, base));
	order_apply(&fixture, NEXT_ORDER, "v3");
	state_apply(&fixture, ORDER, "v2", "v1", "reverted", 12);
	for (int i = 0; i < 20 && written == NULL; i++) {
		fixture.clock.now = timespec_add_ms(fixture.clock.now, 200);
		event_active(fixture.rollouts.timer, EV_TIMEOUT, 0);
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
	assert_non_null(written);
	rollouts_finish(&fixture.rollouts);
	written(written_arg, &no_response);
	event_base_free(base);
}

/* A daemon that starts receives only the newest order and the last state. */
static void
starting_daemon_learns_replaced_version(void **state)
{
	fixture_t fixture;

	(void)state;
	fixture_init(&fixture);
	rollouts_clear(&fixture.rollouts);
	order_apply(&fixture, NEXT_ORDER, "v3");
	fixture.rollout = rollouts_find(&fixture.rollouts, "s");
	state_apply(&fixture, ORDER, "v2", "v0", "reverted", 12);
	assert_string_equal(rollout_base_version(fixture.rollout), "v0");
	assert_true(is_reverted(&fixture, "v2"));
	rollouts_clear(&fixture.rollouts);
}

/* Guards against good versions that complete too late, as the time in which all
 * daemons were lost was not counted. */
static void
order_found_at_the_start_completes_earlier(void **state)
{
	fixture_t fixture;
	rollout_snapshot_t snapshot;

	(void)state;
	fixture_init(&fixture);
	assert_int_equal(rollout_take_snapshot(fixture.rollout).late_ms, 0);
	rollouts_clear(&fixture.rollouts);
	fixture.watch.synced_once = false;
	order_apply(&fixture, NEXT_ORDER, "v2");
	fixture.rollout = rollouts_find(&fixture.rollouts, "s");
	snapshot = rollout_take_snapshot(fixture.rollout);
	assert_int_equal(snapshot.elapsed_ms, 0);
	assert_int_equal(snapshot.late_ms, DURATION_MS / 8);
	snapshot = (rollout_snapshot_t){.state = ROLLOUT_IN_PROGRESS,
	    .elapsed_ms = DURATION_MS * 81 / 100,
	    .duration_ms = DURATION_MS,
	    .late_ms = DURATION_MS / 8,
	    .accepted_ms = DURATION_MS / 2};
	assert_true(rollout_plan_may_complete(&snapshot, false));
	snapshot.late_ms = 0;
	assert_false(rollout_plan_may_complete(&snapshot, false));
	/* No session moves earlier, and no trial begins. */
	snapshot.late_ms = DURATION_MS / 8;
	snapshot.elapsed_ms = DURATION_MS * 51 / 100;
	assert_true(rollout_plan_pins_sessions(&snapshot));
	assert_true(rollout_plan_share(&snapshot) < 0.1);
	snapshot.elapsed_ms = 1900;
	assert_true(rollout_plan_share(&snapshot) == 0);
	rollouts_clear(&fixture.rollouts);
}

/* All daemons take over what the first one has stored. */
static void
time_before_the_order_was_known_is_stored(void **state)
{
	fixture_t fixture;
	rollout_t *rollout;
	row_t row = {.key = ROLLOUT_PREFIX "s", .version = 13};
	char *text;

	(void)state;
	fixture_init(&fixture);
	rollout = rollouts_find(&fixture.rollouts, "s");
	rollout->state_late_ms = 1700;
	text = rollout_state_encode(rollout, ROLLOUT_IN_PROGRESS);
	rollout->state_late_ms = 0;
	row.value = text;
	row.value_len = strlen(text);
	assert_true(rollouts_apply_state_row(&fixture.rollouts, &row, NULL));
	free(text);
	assert_int_equal(rollout_late_ms(rollout), 1700);
	rollouts_clear(&fixture.rollouts);
}

/* Silent for longer than a daemon that is paused for a moment. */
#define DOWN_MS 5000

/* The report of a daemon counts for as long as the daemon may be alive. After
 * that it neither stops a roll-out nor delays its completion. */
static void
report_expires_when_daemon_is_down(void **state)
{
	fixture_t fixture;
	rollout_t *rollout;
	member_t member;

	(void)state;
	fixture_init(&fixture);
	rollout = rollouts_find(&fixture.rollouts, "s");
	fixture.rollouts.old_in_flight = none_on_old;
	fixture.members.clock = &fixture.clock.source;
	reporting_daemon(&member, &fixture.members);
	assert_true(rollout_new_version_is_bad(rollout));
	assert_false(rollout_is_drained(rollout));
	liveness_set_silent(&member.liveness, true, fixture.clock.now);
	assert_true(rollout_new_version_is_bad(rollout));
	fixture.clock.now = timespec_add_ms(fixture.clock.now, DOWN_MS);
	assert_false(rollout_new_version_is_bad(rollout));
	assert_true(rollout_is_drained(rollout));
	HASH_DEL(fixture.members.members, &member);
	json_decref(member.report);
	rollouts_clear(&fixture.rollouts);
}

static void
responses_count(rollout_t *rollout, bool is_new, int sound, int failed)
{
	canary_observation_t observation = {
	    .route = 0xaa, .is_new = is_new, .ms = 20};

	for (int i = 0; i < sound + failed; i++) {
		observation.signal =
		    i < sound ? CANARY_FIRST_BYTE : CANARY_FAILED;
		canary_analysis_observe(&rollout->canary, &observation,
		    clock_boottime(rollout->owner->clock));
	}
}

/* Guards against taking a good version back by what one of many daemons has
 * seen: once the decision is due, less evidence is enough only for all. */
static void
daemon_without_reports_does_not_judge_by_less_evidence(void **state)
{
	fixture_t fixture;
	rollout_t *rollout;
	member_t member = {.name = "b", .state = MEMBER_READY};

	(void)state;
	fixture_init(&fixture);
	rollout = rollouts_find(&fixture.rollouts, "s");
	fixture.members.clock = &fixture.clock.source;
	fixture.clock.now =
	    timespec_add_ms(fixture.clock.now, DURATION_MS * 85 / 100);
	responses_count(rollout, false, 29, 5);
	responses_count(rollout, true, 1, 3);
	HASH_ADD_STR(fixture.members.members, name, &member);
	assert_false(rollout_new_version_is_bad(rollout));
	HASH_DEL(fixture.members.members, &member);
	assert_true(rollout_new_version_is_bad(rollout));
	rollouts_clear(&fixture.rollouts);
}

/* Applies the rows of a restored store, the order or the state first. */
static void
restored_rows_apply(fixture_t *fixture, bool order_first, const char *state)
{
	if (order_first)
		order_apply(fixture, era_version_make(1, ORDER), "v2");
	state_apply(fixture, ORDER, "v2", "v1", state, era_version_make(1, 9));
	if (!order_first)
		order_apply(fixture, era_version_make(1, ORDER), "v2");
}

static void
restored_store_restarts_no_rollout(void **state)
{
	(void)state;
	for (int order_first = 0; order_first < 2; order_first++) {
		fixture_t fixture;

		fixture_init(&fixture);
		state_apply(&fixture, ORDER, "v2", "v1", "reverted", 12);
		restored_rows_apply(&fixture, order_first, "in_progress");
		assert_int_equal(
		    fixture.rollout->order.number, era_version_make(1, ORDER));
		assert_false(rollout_is_active(fixture.rollout));
		assert_int_equal(fixture.rollout->state, ROLLOUT_REVERTED);
		/* The state must be written again. */
		assert_true(fixture.rollout->state_rewrite_needed);
		/* The operator gives a new order. */
		order_apply(&fixture, era_version_make(1, NEXT_ORDER), "v3");
		assert_true(rollout_is_active(fixture.rollout));
		assert_string_equal(fixture.rollout->order.to_version, "v3");
		assert_string_equal(
		    rollout_base_version(fixture.rollout), "v1");
		rollouts_clear(&fixture.rollouts);
	}
}

static void
restored_order_stays_replaced(void **state)
{
	fixture_t fixture;

	(void)state;
	fixture_init(&fixture);
	state_apply(&fixture, ORDER, "v2", "v1", "completed", 12);
	order_apply(&fixture, NEXT_ORDER, "v3");
	state_apply(&fixture, NEXT_ORDER, "v3", "v2", "in_progress", 15);
	restored_rows_apply(&fixture, true, "completed");
	assert_string_equal(fixture.rollout->order.to_version, "v3");
	assert_true(rollout_is_active(fixture.rollout));
	assert_string_equal(rollout_base_version(fixture.rollout), "v2");
	/* The order for v3 is written again. Within the new era its number is
	 * lower than before. */
	order_apply(&fixture, era_version_make(1, ORDER + 1), "v3");
	assert_int_equal(
	    fixture.rollout->order.number, era_version_make(1, ORDER + 1));
	assert_true(rollout_is_active(fixture.rollout));
	assert_int_equal(fixture.rollout->started_ms, STORE_NOW_MS);
	rollouts_clear(&fixture.rollouts);
}

static void
daemon_started_after_restore_starts_no_ended_rollout(void **state)
{
	fixture_t fixture;

	(void)state;
	fixture_init(&fixture);
	rollouts_clear(&fixture.rollouts);
	restored_rows_apply(&fixture, true, "completed");
	fixture.rollout = rollouts_find(&fixture.rollouts, "s");
	assert_false(rollout_is_active(fixture.rollout));
	rollouts_clear(&fixture.rollouts);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(start_time_is_independent_of_arrival_order),
	    cmocka_unit_test(order_found_at_the_start_completes_earlier),
	    cmocka_unit_test(time_before_the_order_was_known_is_stored),
	    cmocka_unit_test(next_order_replaces_version_of_last_end),
	    cmocka_unit_test(next_order_waits_for_end_of_current),
	    cmocka_unit_test(starting_daemon_learns_replaced_version),
	    cmocka_unit_test(state_of_later_order_is_not_overwritten),
	    cmocka_unit_test(write_may_be_answered_after_the_end),
	    cmocka_unit_test(report_expires_when_daemon_is_down),
	    cmocka_unit_test(
		daemon_without_reports_does_not_judge_by_less_evidence),
	    cmocka_unit_test(restored_store_restarts_no_rollout),
	    cmocka_unit_test(restored_order_stays_replaced),
	    cmocka_unit_test(
		daemon_started_after_restore_starts_no_ended_rollout),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
