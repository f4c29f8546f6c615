/**
 * @file
 * The membership of a daemon: which daemon each one follows, which count as
 * silent or down, and which daemon makes the liveness summary.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#include "../support/manual_clock.h"
#include "../support/many_members.h"
#include "../support/silent_store.h"
#include "moortack/replication/membership.h"

#define DAEMONS 40
#define STEP_MS 250

/* Distributes the daemons over three zones by their numbers. */
static void
zones_assign(membership_t *self, int own)
{
	snprintf(self->settings.zone, sizeof(self->settings.zone), "zone-%d",
	    own % 3);
	for (member_t *member = self->members; member != NULL;
	     member = member->hh.next) {
		int number;

		assert_int_equal(
		    sscanf(member->name, "10.0.0.%d:", &number), 1);
		snprintf(
		    member->zone, sizeof(member->zone), "zone-%d", number % 3);
	}
}

static int
parent_number(membership_t *self)
{
	const member_t *parent = membership_parent(self);
	int number;

	if (parent == NULL)
		return -1;
	assert_int_equal(sscanf(parent->name, "10.0.0.%d:", &number), 1);
	return number;
}

static void
followers_form_a_tree(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_store_ops};
	int parents[DAEMONS], followers[DAEMONS] = {0}, roots = 0;
	int near_root = 0;

	(void)state;
	for (int i = 0; i < DAEMONS; i++) {
		membership_t self;

		membership_init_with_members(
		    &self, &store, &clock.source, i, DAEMONS);
		parents[i] = parent_number(&self);
		near_root += membership_near_root(&self);
		membership_finish(&self);
	}
	/* The root and its followers, but none of their followers. */
	assert_in_range(near_root, 2, 1 + 2 * 8);
	for (int i = 0; i < DAEMONS; i++) {
		int ancestor = i, depth = 0;

		roots += parents[i] < 0;
		if (parents[i] >= 0)
			followers[parents[i]]++;
		while (parents[ancestor] >= 0) {
			ancestor = parents[ancestor];
			assert_true(++depth <= 2);
		}
	}
	assert_int_equal(roots, 1);
	for (int i = 0; i < DAEMONS; i++) {
		assert_true(followers[i] <= 8);
		/* Followers cost most, so only strong daemons have any. */
		assert_true(followers[i] == 0 || daemon_strength(i) > 0.25);
	}
	event_base_free(base);
}

/* With daemons in three zones, only about as many links cross between zones as
 * the first level of the tree has, however many daemons there are. */
static void
few_links_of_the_tree_cross_between_zones(void **state)
{
	enum { LARGE = 90, FOLLOWERS_MAX = 16, CROSS_ZONE_MAX = 12 };
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_store_ops};
	int followers[LARGE] = {0}, cross_zone = 0;

	(void)state;
	for (int i = 0; i < LARGE; i++) {
		membership_t self;
		const member_t *parent;
		int number;

		membership_init_with_members(
		    &self, &store, &clock.source, i, LARGE);
		zones_assign(&self, i);
		parent = membership_parent(&self);
		if (parent != NULL) {
			assert_int_equal(
			    sscanf(parent->name, "10.0.0.%d:", &number), 1);
			followers[number]++;
			cross_zone +=
			    strcmp(parent->zone, self.settings.zone) != 0;
		}
		membership_finish(&self);
	}
	assert_true(cross_zone <= CROSS_ZONE_MAX);
	for (int i = 0; i < LARGE; i++)
		assert_true(followers[i] <= FOLLOWERS_MAX);
	event_base_free(base);
}

enum { FLEET = 985, FLEET_ZONES = 6, FLEET_STRONG = 60, FLEET_STEP = 7 };

/* The members of a daemon of a large fleet, of which one is gone.
 * @param gone -1: none */
static void
fleet_members_init(membership_t *self, row_store_t *store,
    const clock_source_t *clock, int own, int gone)
{
	membership_settings_t settings = {
	    .strength = own < FLEET_STRONG ? 1 : 0.12,
	    .liveness = {.silence_timeout_ms = SILENCE_TIMEOUT_MS}};

	snprintf(settings.name, sizeof(settings.name), "10.0.0.%d:80", own);
	snprintf(
	    settings.zone, sizeof(settings.zone), "zone-%d", own % FLEET_ZONES);
	membership_init(self, store, clock, NULL, &settings);
	self->state = MEMBER_READY;
	for (int i = 0; i < FLEET; i++) {
		char key[64], value[160];
		row_t row = {.key = key, .value = value, .version = 10};

		if (i == own || i == gone)
			continue;
		snprintf(key, sizeof(key), MEMBER_PREFIX "10.0.0.%d:80", i);
		row.value_len = (size_t)snprintf(value, sizeof(value),
		    "{\"place\":\"zone-%d\",\"peer\":\"10.0.0.%d:81\","
		    "\"state\":\"ready\",\"strength\":%g,\"beat\":1}",
		    i % FLEET_ZONES, i, i < FLEET_STRONG ? 1 : 0.12);
		membership_apply_row(self, &row);
	}
}

/* Of all daemons that do not follow it, how many change their parent when one
 * is gone, in per cent of a sample. */
static int
moved_by_departure_percent(int gone)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	row_store_t store = {.ops = &silent_store_ops};
	int others = 0, moved = 0;

	for (int i = 0; i < FLEET; i += FLEET_STEP) {
		membership_t with, without;
		int before;

		if (i == gone)
			continue;
		fleet_members_init(&with, &store, &clock.source, i, -1);
		fleet_members_init(&without, &store, &clock.source, i, gone);
		before = parent_number(&with);
		others += before != gone;
		moved += before != gone && before != parent_number(&without);
		membership_finish(&with);
		membership_finish(&without);
	}
	return 100 * moved / others;
}

/* The parent of a daemon depended on how many daemons were before it in the
 * order: each departure and each start moved most of those after it. */
static void
departure_moves_only_followers(void **state)
{
	(void)state;
	/* One that nobody follows, and one of those that others follow. */
	assert_int_equal(moved_by_departure_percent(FLEET_STRONG + 1), 0);
	assert_in_range(moved_by_departure_percent(1), 0, 5);
	assert_in_range(moved_by_departure_percent(20), 0, 5);
}

static void
a_daemon_that_failed_is_not_followed_for_a_time(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_store_ops};
	membership_t self;
	const member_t *first, *second;

	(void)state;
	membership_init_with_members(&self, &store, &clock.source, 1, DAEMONS);
	first = membership_parent(&self);
	assert_non_null(first);
	membership_back_off(&self, first->name, 3000);
	second = membership_parent(&self);
	assert_true(second != first);
	clock.now.tv_sec += 4;
	assert_true(membership_parent(&self) == first);
	membership_finish(&self);
	event_base_free(base);
}

/* The first daemon in the order may follow the next one, while the store is
 * unavailable to it; no other daemon follows one after it. */
static void
the_first_daemon_may_follow_the_second(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_store_ops};
	int roots = 0;

	(void)state;
	for (int i = 0; i < DAEMONS; i++) {
		membership_t self;
		const member_t *next;

		membership_init_with_members(
		    &self, &store, &clock.source, i, DAEMONS);
		next = membership_next_member(&self);
		if (membership_parent(&self) == NULL) {
			roots++;
			assert_non_null(next);
			membership_back_off(&self, next->name, 3000);
			assert_true(membership_next_member(&self) != next);
		}
		assert_true(next == NULL || next->sort_key > self.sort_key);
		membership_finish(&self);
	}
	assert_int_equal(roots, 1);
	event_base_free(base);
}

/* Lets time pass for a daemon to which another sends a request at each
 * step. */
static void
run_with_requests(membership_t *self, manual_clock_t *clock, int64_t ms)
{
	for (int64_t elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += STEP_MS) {
		clock->now = timespec_add_ms(clock->now, STEP_MS);
		membership_record_request(self, "10.0.0.2:80", NULL);
		membership_tick(self, false);
	}
}

static void
a_silent_member_counts_as_down(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_store_ops};
	membership_t self;

	(void)state;
	membership_init_with_members(&self, &store, &clock.source, 1, DAEMONS);
	membership_set_rows_read(&self);
	assert_int_equal(membership_alive_count(&self), DAEMONS);
	membership_record_request(&self, "10.0.0.3:80", NULL);
	/* Silent ones don't count as down yet. */
	run_with_requests(&self, &clock, 2000);
	assert_int_equal(membership_alive_count(&self), DAEMONS);
	run_with_requests(&self, &clock, SILENCE_TIMEOUT_MS - 2000);
	assert_int_equal(membership_alive_count(&self), 3);
	run_with_requests(&self, &clock, 5000);
	assert_int_equal(membership_alive_count(&self), 2);
	/* Another daemon's summary replaces this. */
	clock.now.tv_sec++;
	assert_true(membership_apply_liveness(&self, clock.now, NULL));
	assert_int_equal(membership_alive_count(&self), DAEMONS);
	membership_finish(&self);
	event_base_free(base);
}

/* Requests of daemons below in the tree are passed on with their age, over any
 * number of daemons in between. */
static void
requests_in_a_subtree_keep_their_age(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_store_ops};
	membership_t leaf_parent, between, first;
	const member_t *leaf;
	json_t *subtree;

	(void)state;
	membership_init_with_members(
	    &leaf_parent, &store, &clock.source, 3, DAEMONS);
	membership_init_with_members(
	    &between, &store, &clock.source, 2, DAEMONS);
	membership_init_with_members(&first, &store, &clock.source, 1, DAEMONS);
	membership_record_request(&leaf_parent, "10.0.0.9:80", NULL);
	clock.now.tv_sec += 2;
	subtree = membership_subtree(&leaf_parent);
	membership_apply_subtree(&between, subtree);
	json_decref(subtree);
	subtree = membership_subtree(&between);
	membership_apply_subtree(&first, subtree);
	json_decref(subtree);
	HASH_FIND_STR(first.members, "10.0.0.9:80", leaf);
	assert_non_null(leaf);
	assert_true(
	    liveness_is_fresh(&first.liveness, &leaf->liveness, clock.now));
	clock.now.tv_sec += 3;
	/* Its request was 5 s ago, although it was passed on later. */
	subtree = membership_subtree(&between);
	assert_null(subtree);
	assert_false(
	    liveness_is_fresh(&first.liveness, &leaf->liveness, clock.now));
	membership_finish(&leaf_parent);
	membership_finish(&between);
	membership_finish(&first);
	event_base_free(base);
}

/* A daemon that started in an outage of the store had read no rows, and got
 * requests of others that had lost their parent. It knew of no members, so all
 * of them were fresh, and its summary that all are alive kept daemons that were
 * off available for longer than the users' time limit. Found by fuzz_lives
 * (corpus/lives/found11). */
static void
a_daemon_without_rows_makes_no_summary(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_store_ops};
	membership_t self;

	(void)state;
	membership_init_with_members(&self, &store, &clock.source, 0, 1);
	for (int i = 0; i < 20; i++) {
		clock.now = timespec_add_ms(clock.now, 200);
		membership_record_request(&self, "10.0.0.5:80", NULL);
		membership_tick(&self, false);
	}
	assert_int_equal(membership_liveness_age_ms(&self), -1);
	membership_set_rows_read(&self);
	clock.now = timespec_add_ms(clock.now, 200);
	membership_record_request(&self, "10.0.0.5:80", NULL);
	membership_tick(&self, false);
	assert_int_equal(membership_liveness_age_ms(&self), 0);
	membership_finish(&self);
	event_base_free(base);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(followers_form_a_tree),
	    cmocka_unit_test(few_links_of_the_tree_cross_between_zones),
	    cmocka_unit_test(departure_moves_only_followers),
	    cmocka_unit_test(a_daemon_that_failed_is_not_followed_for_a_time),
	    cmocka_unit_test(the_first_daemon_may_follow_the_second),
	    cmocka_unit_test(a_silent_member_counts_as_down),
	    cmocka_unit_test(requests_in_a_subtree_keep_their_age),
	    cmocka_unit_test(a_daemon_without_rows_makes_no_summary),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
