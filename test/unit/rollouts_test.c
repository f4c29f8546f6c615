/**
 * @file
 * Roll-outs as a daemon learns of them: in whatever order the operator's order,
 * the state's row and the store's clock arrive, the time since the order is the
 * same.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../moortack/relay/rollouts_priv.h"
#include "../support/manual_clock.h"
#include "moortack/replication/era_version.h"

#define ORDER 5
#define DURATION_MS 16000
/* Of the store's clock. */
#define STORE_NOW_MS 900000
/* Well into the last steps of a roll-out. */
#define ELAPSED_MS 11000

/* The one roll-out that a test has. */
static void
rollouts_forget(rollouts_t *rollouts)
{
	rollout_t *one = rollouts->all;

	HASH_DEL(rollouts->all, one);
	free(one);
}

/** What a daemon learns. */
typedef enum news {
	NEWS_ORDER,
	NEWS_STATE,
	NEWS_CLOCK,
} news_t;

static void
news_tell(rollouts_t *rollouts, news_t news)
{
	static char text[128];
	rollout_order_t order = {
	    .service = "s", .to = "v2", .duration_ms = DURATION_MS};
	row_t row = {.key = ROLLOUT_PREFIX "s", .value = text, .version = 9};

	switch (news) {
	case NEWS_ORDER:
		order.number = ORDER;
		rollouts_order(rollouts, &order);
		break;
	case NEWS_STATE:
		snprintf(text, sizeof(text),
		    "{\"order\":%d,\"to\":\"v2\",\"base\":\"v1\","
		    "\"state\":\"in_progress\",\"began_ms\":%d}",
		    ORDER, STORE_NOW_MS - ELAPSED_MS);
		row.value_len = strlen(text);
		rollouts_row(rollouts, &row, NULL);
		break;
	case NEWS_CLOCK:
		rollouts_store_clock(rollouts, STORE_NOW_MS);
		break;
	}
}

/* The share of requests that go to the new version, in percent. */
static int
share_after(news_t first, news_t second, news_t third)
{
	manual_clock_t clock = {{&manual_clock_ops}, {1000, 0}};
	event_log_t log;
	row_watch_t watch = {.clock = &clock.source};
	membership_t members = {0};
	rollouts_t rollouts = {.clock = &clock.source,
	    .members = &members,
	    .orders = &watch,
	    .states = &watch,
	    .log = &log};
	int share = 0;

	event_log_init(&log, &clock.source, 1);
	row_watch_vouch(&watch, 1, clock.now);
	news_tell(&rollouts, first);
	news_tell(&rollouts, second);
	news_tell(&rollouts, third);
	for (int i = 0; i < 100; i++)
		share += rollout_prefers_new(rollouts_find(&rollouts, "s"),
		    UINT64_MAX / 100 * (uint64_t)i, false);
	rollouts_forget(&rollouts);
	return share;
}

static void
the_time_of_an_order_is_known_in_whatever_order_it_is_told(void **state)
{
	(void)state;
	assert_int_equal(share_after(NEWS_CLOCK, NEWS_ORDER, NEWS_STATE), 100);
	assert_int_equal(share_after(NEWS_CLOCK, NEWS_STATE, NEWS_ORDER), 100);
	assert_int_equal(share_after(NEWS_STATE, NEWS_ORDER, NEWS_CLOCK), 100);
	assert_int_equal(share_after(NEWS_ORDER, NEWS_STATE, NEWS_CLOCK), 100);
}

#define NEXT (ORDER + 3)
#define WAIT_MS 1500

/** A service with a first version v1, and an order for v2 that is under way. */
typedef struct first_order {
	manual_clock_t clock;
	event_log_t log;
	row_watch_t watch;
	membership_t members;
	rollouts_t rollouts;
	const rollout_t *rollout;
} first_order_t;

static const char *
first_version(const void *relay, const char *service)
{
	(void)relay;
	(void)service;
	return "v1";
}

static void
state_told(first_order_t *told, int order, const char *to, const char *base,
    const char *state, uint64_t version)
{
	char text[160];
	row_t row = {
	    .key = ROLLOUT_PREFIX "s", .value = text, .version = version};

	row.value_len = (size_t)snprintf(text, sizeof(text),
	    "{\"order\":%d,\"to\":\"%s\",\"base\":\"%s\",\"state\":\"%s\","
	    "\"began_ms\":%d}",
	    order, to, base, state, STORE_NOW_MS);
	rollouts_row(&told->rollouts, &row, NULL);
}

static void
order_told(first_order_t *told, uint64_t number, const char *to)
{
	rollout_order_t order = {
	    .service = "s", .duration_ms = DURATION_MS, .number = number};

	strcpy(order.to, to);
	rollouts_order(&told->rollouts, &order);
}

static void
first_order_init(first_order_t *told)
{
	memset(told, 0, sizeof(*told));
	told->clock = (manual_clock_t){{&manual_clock_ops}, {1000, 0}};
	told->watch =
	    (row_watch_t){.clock = &told->clock.source, .suspended = true};
	told->rollouts = (rollouts_t){.clock = &told->clock.source,
	    .members = &told->members,
	    .orders = &told->watch,
	    .states = &told->watch,
	    .log = &told->log,
	    .first_version = first_version};
	event_log_init(&told->log, &told->clock.source, 1);
	row_watch_vouch(&told->watch, 1, told->clock.now);
	rollouts_store_clock(&told->rollouts, STORE_NOW_MS);
	order_told(told, ORDER, "v2");
	told->rollout = rollouts_find(&told->rollouts, "s");
	assert_string_equal(rollout_base(told->rollout), "v1");
	state_told(told, ORDER, "v2", "v1", "in_progress", 9);
}

static uint32_t
none_on_old(const void *relay, const rollout_t *rollout)
{
	(void)relay;
	(void)rollout;
	return 0;
}

static bool
is_taken_back(const first_order_t *told, const char *version)
{
	endpoint_t endpoint = {0};

	strcpy(endpoint.facts.version, version);
	return rollout_taken_back(told->rollout, &endpoint);
}

/* What the next order replaces depends on how the one before ended, whichever
 * of the two is told first. */
static void
the_next_order_replaces_what_the_one_before_left(void **state)
{
	static const char *const ends[] = {"reverted", "completed"};
	static const char *const bases[] = {"v1", "v2"};

	(void)state;
	for (int end = 0; end < 2; end++) {
		for (int order_first = 0; order_first < 2; order_first++) {
			first_order_t told;

			first_order_init(&told);
			if (order_first)
				order_told(&told, NEXT, "v3");
			state_told(&told, ORDER, "v2", "v1", ends[end], 12);
			if (!order_first)
				order_told(&told, NEXT, "v3");
			assert_int_equal(told.rollout->order.number, NEXT);
			assert_string_equal(
			    rollout_base(told.rollout), bases[end]);
			assert_int_equal(is_taken_back(&told, "v2"), end == 0);
			/* Another daemon's word on it is the same. */
			state_told(
			    &told, NEXT, "v3", bases[end], "in_progress", 15);
			assert_string_equal(
			    rollout_base(told.rollout), bases[end]);
			rollouts_forget(&told.rollouts);
		}
	}
}

static void
the_next_order_waits_for_the_end_of_the_one_before(void **state)
{
	first_order_t told;

	(void)state;
	first_order_init(&told);
	order_told(&told, NEXT, "v3");
	assert_int_equal(told.rollout->order.number, ORDER);
	told.clock.now = timespec_add_ms(told.clock.now, WAIT_MS);
	order_told(&told, NEXT, "v3");
	state_told(&told, ORDER, "v2", "v1", "in_progress", 13);
	assert_int_equal(told.rollout->order.number, ORDER);
	/* The states are read after it, and tell of no end: the operator has
	 * replaced one that had not ended. */
	row_watch_vouch(&told.watch, 14, told.clock.now);
	state_told(&told, ORDER, "v2", "v1", "in_progress", 14);
	assert_int_equal(told.rollout->order.number, NEXT);
	assert_string_equal(rollout_base(told.rollout), "v1");
	rollouts_forget(&told.rollouts);
}

static bool
write_refuse(row_store_t *store, const row_change_t *expected,
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
	fail_msg("the state of a later order is written over");
	return false;
}

static bool
tell_nothing(const rollout_order_t *order, rollout_state_t state, char **table,
    char **key, char **value)
{
	(void)order;
	(void)state;
	*table = strdup("t");
	*key = strdup("k");
	*value = strdup("v");
	return true;
}

/* A daemon that has read the state of a later order, and not that order itself,
 * wrote the state of its own order over it. */
static void
the_state_of_a_later_order_stays(void **state)
{
	static const row_store_ops_t refusing = {NULL, NULL, write_refuse};
	static const rollout_dialect_t dialect = {tell_nothing};
	row_store_t store = {.ops = &refusing};
	struct event_base *base = event_base_new();
	first_order_t told;

	(void)state;
	first_order_init(&told);
	told.rollouts.store = &store;
	told.rollouts.dialect = &dialect;
	assert_true(rollouts_init(&told.rollouts, base));
	state_told(&told, NEXT, "v3", "v2", "in_progress", 12);
	for (int i = 0; i < 20; i++) {
		told.clock.now = timespec_add_ms(told.clock.now, 200);
		event_active(told.rollouts.timer, EV_TIMEOUT, 0);
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
	rollouts_finish(&told.rollouts);
	event_base_free(base);
}

/* A daemon that starts knows the newest order only, and the last state. */
static void
who_starts_learns_what_is_replaced(void **state)
{
	first_order_t told;

	(void)state;
	first_order_init(&told);
	rollouts_forget(&told.rollouts);
	order_told(&told, NEXT, "v3");
	told.rollout = rollouts_find(&told.rollouts, "s");
	state_told(&told, ORDER, "v2", "v0", "reverted", 12);
	assert_string_equal(rollout_base(told.rollout), "v0");
	assert_true(is_taken_back(&told, "v2"));
	rollouts_forget(&told.rollouts);
}

/* Silent for longer than a daemon that stands still for a moment. */
#define GONE_MS 5000

/* Another daemon that has counted a bad new version, and sends half of its
 * requests there. */
static void
reporting_daemon(member_t *member, membership_t *members)
{
	*member = (member_t){.name = "b", .state = MEMBER_READY};
	member->report =
	    json_pack("{s:{s:{s:i, s:f, s:i, s:[[s, i, i, i, i, i, i, i, i, "
		      "i, i]]}}}",
		"rollouts", "s", "order", ORDER, "share", 0.5, "old", 1,
		"tally", "00000000000000aa", 50, 50, 0, 0, 0, 50, 0, 0, 0, 0);
	HASH_ADD_STR(members->members, name, member);
}

/* What a daemon reported counts for as long as it may be at work, and neither
 * stops a roll-out nor holds it up after that. */
static void
the_report_of_a_daemon_ends_when_it_is_gone(void **state)
{
	first_order_t told;
	rollout_t *rollout;
	member_t member;

	(void)state;
	first_order_init(&told);
	rollout = rollouts_find(&told.rollouts, "s");
	told.rollouts.on_old = none_on_old;
	told.members.clock = &told.clock.source;
	reporting_daemon(&member, &told.members);
	assert_true(rollout_found_bad(rollout));
	assert_false(rollout_settled(rollout));
	life_set_silent(&member.life, true, told.clock.now);
	assert_true(rollout_found_bad(rollout));
	told.clock.now = timespec_add_ms(told.clock.now, GONE_MS);
	assert_false(rollout_found_bad(rollout));
	assert_true(rollout_settled(rollout));
	HASH_DEL(told.members.members, &member);
	json_decref(member.report);
	rollouts_forget(&told.rollouts);
}

/* The rows of the copy, in whatever order they are read. */
static void
copy_told(first_order_t *told, bool order_first, const char *state)
{
	if (order_first)
		order_told(told, era_version_of(1, ORDER), "v2");
	state_told(told, ORDER, "v2", "v1", state, era_version_of(1, 9));
	if (!order_first)
		order_told(told, era_version_of(1, ORDER), "v2");
}

static void
an_older_copy_of_the_store_begins_no_roll_out_again(void **state)
{
	(void)state;
	for (int order_first = 0; order_first < 2; order_first++) {
		first_order_t told;

		first_order_init(&told);
		state_told(&told, ORDER, "v2", "v1", "reverted", 12);
		copy_told(&told, order_first, "in_progress");
		assert_int_equal(
		    told.rollout->order.number, era_version_of(1, ORDER));
		assert_false(rollout_under_way(told.rollout));
		assert_int_equal(told.rollout->state, ROLLOUT_REVERTED);
		/* It is to be written again. */
		assert_true(told.rollout->state_spoilt);
		/* The operator gives a new one. */
		order_told(&told, era_version_of(1, NEXT), "v3");
		assert_true(rollout_under_way(told.rollout));
		assert_string_equal(told.rollout->order.to, "v3");
		assert_string_equal(rollout_base(told.rollout), "v1");
		rollouts_forget(&told.rollouts);
	}
}

static void
an_order_before_the_copy_stays_replaced(void **state)
{
	first_order_t told;

	(void)state;
	first_order_init(&told);
	state_told(&told, ORDER, "v2", "v1", "completed", 12);
	order_told(&told, NEXT, "v3");
	state_told(&told, NEXT, "v3", "v2", "in_progress", 15);
	copy_told(&told, true, "completed");
	assert_string_equal(told.rollout->order.to, "v3");
	assert_true(rollout_under_way(told.rollout));
	assert_string_equal(rollout_base(told.rollout), "v2");
	/* Written again, with a version that v2's order once had. */
	order_told(&told, era_version_of(1, ORDER + 1), "v3");
	assert_int_equal(
	    told.rollout->order.number, era_version_of(1, ORDER + 1));
	assert_true(rollout_under_way(told.rollout));
	assert_int_equal(told.rollout->began_ms, STORE_NOW_MS);
	rollouts_forget(&told.rollouts);
}

static void
who_starts_after_it_begins_none_that_is_over(void **state)
{
	first_order_t told;

	(void)state;
	first_order_init(&told);
	rollouts_forget(&told.rollouts);
	copy_told(&told, true, "completed");
	told.rollout = rollouts_find(&told.rollouts, "s");
	assert_false(rollout_under_way(told.rollout));
	rollouts_forget(&told.rollouts);
}

/* Fraction of the duration: in the second step, while sessions are pinned. */
#define SECOND_STEP_TIME 0.45
/* A hash that the second step takes and the first does not. */
#define SECOND_STEP_HASH (UINT64_MAX / 100 * 7)

/* A session above the first step's share may have been served by the old
 * version at any daemon, and is not reported: it must not move in the first
 * half. */
static void
the_second_step_moves_no_session(void **state)
{
	first_order_t told;
	rollout_t *rollout;

	(void)state;
	first_order_init(&told);
	rollout = rollouts_find(&told.rollouts, "s");
	told.clock.now = timespec_add_ms(
	    told.clock.now, (int64_t)(SECOND_STEP_TIME * DURATION_MS));
	row_watch_vouch(&told.watch, 2, told.clock.now);
	assert_true(rollout_prefers_new(rollout, SECOND_STEP_HASH, false));
	assert_false(rollout_prefers_new(rollout, SECOND_STEP_HASH, true));
	rollouts_forget(&told.rollouts);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		the_time_of_an_order_is_known_in_whatever_order_it_is_told),
	    cmocka_unit_test(the_next_order_replaces_what_the_one_before_left),
	    cmocka_unit_test(
		the_next_order_waits_for_the_end_of_the_one_before),
	    cmocka_unit_test(who_starts_learns_what_is_replaced),
	    cmocka_unit_test(the_state_of_a_later_order_stays),
	    cmocka_unit_test(the_report_of_a_daemon_ends_when_it_is_gone),
	    cmocka_unit_test(
		an_older_copy_of_the_store_begins_no_roll_out_again),
	    cmocka_unit_test(an_order_before_the_copy_stays_replaced),
	    cmocka_unit_test(who_starts_after_it_begins_none_that_is_over),
	    cmocka_unit_test(the_second_step_moves_no_session),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
