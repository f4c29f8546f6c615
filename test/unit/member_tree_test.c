/**
 * @file
 * Daemons as one of them knows the others: whom each follows, who counts as
 * silent, and who may say so.
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

/* Each third daemon stands in one zone. */
static void
zones_deal(membership_t *self, int own)
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
	manual_clock_t clock = {{&manual_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_ops};
	int parents[DAEMONS], followers[DAEMONS] = {0}, roots = 0;
	int firsts = 0;

	(void)state;
	for (int i = 0; i < DAEMONS; i++) {
		membership_t self;

		membership_init_with_members(
		    &self, &store, &clock.source, i, DAEMONS);
		parents[i] = parent_number(&self);
		firsts += membership_near_root(&self);
		membership_finish(&self);
	}
	/* The first, its followers, and nobody who follows these. */
	assert_in_range(firsts, 2, 1 + 2 * 8);
	for (int i = 0; i < DAEMONS; i++) {
		int at = i, steps = 0;

		roots += parents[i] < 0;
		if (parents[i] >= 0)
			followers[parents[i]]++;
		while (parents[at] >= 0) {
			at = parents[at];
			assert_true(++steps <= 2);
		}
	}
	assert_int_equal(roots, 1);
	for (int i = 0; i < DAEMONS; i++) {
		assert_true(followers[i] <= 8);
		/* What costs most is done by the strong ones. */
		assert_true(followers[i] == 0 || daemon_strength(i) > 0.25);
	}
	event_base_free(base);
}

/* With daemons in three zones, as many links as one level of the tree has
 * cross between zones, however many daemons there are. */
static void
few_links_of_the_tree_cross_between_zones(void **state)
{
	enum { LARGE = 90, FOLLOWERS_MOST = 16, FAR_MOST = 12 };
	manual_clock_t clock = {{&manual_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_ops};
	int followers[LARGE] = {0}, far = 0;

	(void)state;
	for (int i = 0; i < LARGE; i++) {
		membership_t self;
		const member_t *parent;
		int number;

		membership_init_with_members(
		    &self, &store, &clock.source, i, LARGE);
		zones_deal(&self, i);
		parent = membership_parent(&self);
		if (parent != NULL) {
			assert_int_equal(
			    sscanf(parent->name, "10.0.0.%d:", &number), 1);
			followers[number]++;
			far += strcmp(parent->zone, self.settings.zone) != 0;
		}
		membership_finish(&self);
	}
	assert_true(far <= FAR_MOST);
	for (int i = 0; i < LARGE; i++)
		assert_true(followers[i] <= FOLLOWERS_MOST);
	event_base_free(base);
}

static void
a_daemon_that_failed_is_not_followed_for_a_time(void **state)
{
	manual_clock_t clock = {{&manual_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_ops};
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

/* One that the store does not answer, and that stands first, follows the next;
 * nobody else follows downwards. */
static void
the_first_may_follow_the_second(void **state)
{
	manual_clock_t clock = {{&manual_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_ops};
	int firsts = 0;

	(void)state;
	for (int i = 0; i < DAEMONS; i++) {
		membership_t self;
		const member_t *next;

		membership_init_with_members(
		    &self, &store, &clock.source, i, DAEMONS);
		next = membership_next_member(&self);
		if (membership_parent(&self) == NULL) {
			firsts++;
			assert_non_null(next);
			membership_back_off(&self, next->name, 3000);
			assert_true(membership_next_member(&self) != next);
		}
		assert_true(next == NULL || next->sort_key > self.sort_key);
		membership_finish(&self);
	}
	assert_int_equal(firsts, 1);
	event_base_free(base);
}

/* Time passes for a daemon that one other asks twice a second. */
static void
pass_asked(membership_t *self, manual_clock_t *clock, int64_t ms)
{
	for (int64_t past = 0; past < ms; past += STEP_MS) {
		clock->now = timespec_after_ms(clock->now, STEP_MS);
		membership_record_request(self, "10.0.0.2:80", NULL);
		membership_tick(self, false);
	}
}

static void
a_silent_member_counts_as_dead(void **state)
{
	manual_clock_t clock = {{&manual_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_ops};
	membership_t self;

	(void)state;
	membership_init_with_members(&self, &store, &clock.source, 1, DAEMONS);
	membership_set_rows_read(&self);
	assert_int_equal(membership_alive_count(&self), DAEMONS);
	membership_record_request(&self, "10.0.0.3:80", NULL);
	/* Silent ones are not yet taken for dead. */
	pass_asked(&self, &clock, 2000);
	assert_int_equal(membership_alive_count(&self), DAEMONS);
	pass_asked(&self, &clock, SILENT_MS - 2000);
	assert_int_equal(membership_alive_count(&self), 3);
	pass_asked(&self, &clock, 5000);
	assert_int_equal(membership_alive_count(&self), 2);
	/* Another daemon knows better. */
	clock.now.tv_sec++;
	assert_true(membership_apply_liveness(&self, clock.now, NULL));
	assert_int_equal(membership_alive_count(&self), DAEMONS);
	membership_finish(&self);
	event_base_free(base);
}

/* What a daemon hears of those below it says how long ago that was, over any
 * number of daemons in between. */
static void
those_below_are_heard_of_with_their_age(void **state)
{
	manual_clock_t clock = {{&manual_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_ops};
	membership_t leaf_parent, between, first;
	const member_t *leaf;
	json_t *below;

	(void)state;
	membership_init_with_members(
	    &leaf_parent, &store, &clock.source, 3, DAEMONS);
	membership_init_with_members(
	    &between, &store, &clock.source, 2, DAEMONS);
	membership_init_with_members(&first, &store, &clock.source, 1, DAEMONS);
	membership_record_request(&leaf_parent, "10.0.0.9:80", NULL);
	clock.now.tv_sec += 2;
	below = membership_subtree(&leaf_parent);
	membership_apply_subtree(&between, below);
	json_decref(below);
	below = membership_subtree(&between);
	membership_apply_subtree(&first, below);
	json_decref(below);
	HASH_FIND_STR(first.members, "10.0.0.9:80", leaf);
	assert_non_null(leaf);
	assert_true(
	    liveness_is_fresh(&first.liveness, &leaf->liveness, clock.now));
	clock.now.tv_sec += 3;
	/* It was heard of 5 s ago, though only just told. */
	below = membership_subtree(&between);
	assert_null(below);
	assert_false(
	    liveness_is_fresh(&first.liveness, &leaf->liveness, clock.now));
	membership_finish(&leaf_parent);
	membership_finish(&between);
	membership_finish(&first);
	event_base_free(base);
}

/* A daemon that started in an outage of the store had read no rows, and was
 * asked by others that had lost whom they followed: it knew nobody, so all that
 * it knew were fresh, and its word that all live named those that were off for
 * longer than the users' bound. Found by fuzz_lives (corpus/lives/found11). */
static void
who_knows_no_rows_speaks_for_nobody(void **state)
{
	manual_clock_t clock = {{&manual_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_ops};
	membership_t self;

	(void)state;
	membership_init_with_members(&self, &store, &clock.source, 0, 1);
	for (int i = 0; i < 20; i++) {
		clock.now = timespec_after_ms(clock.now, 200);
		membership_record_request(&self, "10.0.0.5:80", NULL);
		membership_tick(&self, false);
	}
	assert_int_equal(membership_liveness_age_ms(&self), -1);
	membership_set_rows_read(&self);
	clock.now = timespec_after_ms(clock.now, 200);
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
	    cmocka_unit_test(a_daemon_that_failed_is_not_followed_for_a_time),
	    cmocka_unit_test(the_first_may_follow_the_second),
	    cmocka_unit_test(a_silent_member_counts_as_dead),
	    cmocka_unit_test(those_below_are_heard_of_with_their_age),
	    cmocka_unit_test(who_knows_no_rows_speaks_for_nobody),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
