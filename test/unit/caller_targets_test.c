/**
 * @file
 * Callers of a large fleet: an answer holds 64 addresses, and all daemons gave
 * the 64 that they had learned of first, the same ones nearly everywhere, so
 * that the other 27 of 91 VMs got no caller, and of 810 nine in ten.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <event2/event.h>
#include <stdlib.h>

#include "../support/manual_clock.h"
#include "../support/many_members.h"
#include "../support/silent_store.h"
#include "moortack/relay/caller_targets.h"

#define DAEMONS 300
#define MOST 64
#define ANSWERS 300

typedef struct world {
	manual_clock_t clock;
	struct event_base *base;
	row_store_t store;
} world_t;

static int
number_of(const caller_target_t *target)
{
	int number;

	assert_int_equal(sscanf(target->address, "10.0.0.%d:", &number), 1);
	return number;
}

static int
world_begin(void **state)
{
	world_t *world = calloc(1, sizeof(*world));

	world->clock = (manual_clock_t){{&manual_ops}, {100, 0}};
	world->base = event_base_new();
	world->store = (row_store_t){.ops = &silent_ops};
	*state = world;
	return 0;
}

static int
world_end(void **state)
{
	world_t *world = *state;

	event_base_free(world->base);
	free(world);
	return 0;
}

static void
daemon_begin(world_t *world, membership_t *self, int number, int daemons)
{
	membership_init_with_members(
	    self, &world->store, &world->clock.source, number, daemons);
	membership_set_rows_read(self);
}

/* How often each daemon is told, over the answers of all. */
static void
told_count(world_t *world, int told[DAEMONS])
{
	for (int i = 0; i < ANSWERS; i++) {
		caller_target_t targets[MOST];
		membership_t self;

		daemon_begin(world, &self, i, DAEMONS);
		assert_int_equal(
		    caller_targets_fill(&self, true, NULL, targets, MOST),
		    MOST);
		for (int j = 0; j < MOST; j++)
			told[number_of(&targets[j])]++;
		membership_finish(&self);
	}
}

static void
each_is_told_by_some_and_the_strong_more_often(void **state)
{
	int told[DAEMONS] = {0};
	int strong = 0, weak = 0;

	told_count(*state, told);
	for (int i = 0; i < DAEMONS; i++) {
		assert_in_range(told[i], 1, ANSWERS);
		if (daemon_strength(i) > 0.25)
			strong += told[i];
		else
			weak += told[i];
	}
	assert_true(strong > 2 * weak);
}

static void
a_small_fleet_is_told_whole(void **state)
{
	caller_target_t targets[MOST];
	membership_t self;

	daemon_begin(*state, &self, 1, 9);
	assert_int_equal(
	    caller_targets_fill(&self, true, NULL, targets, MOST), 9);
	assert_int_equal(
	    caller_targets_fill(&self, false, NULL, targets, MOST), 8);
	assert_int_equal(caller_targets_count(&self, true), 9);
	membership_finish(&self);
}

/* Callers give up connections to who is told no longer. */
static void
who_goes_changes_no_other(void **state)
{
	caller_target_t before[MOST], after[MOST];
	membership_t self;
	int gone, same = 0;

	daemon_begin(*state, &self, 1, DAEMONS);
	caller_targets_fill(&self, true, NULL, before, MOST);
	gone = number_of(&before[MOST / 2]);
	membership_apply_member_row(&self, gone, "leaving");
	assert_int_equal(
	    caller_targets_fill(&self, true, NULL, after, MOST), MOST);
	for (int i = 0; i < MOST; i++) {
		assert_int_not_equal(number_of(&after[i]), gone);
		for (int j = 0; j < MOST; j++)
			same += after[i].address == before[j].address;
	}
	assert_int_equal(same, MOST - 1);
	membership_finish(&self);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		each_is_told_by_some_and_the_strong_more_often, world_begin,
		world_end),
	    cmocka_unit_test_setup_teardown(
		a_small_fleet_is_told_whole, world_begin, world_end),
	    cmocka_unit_test_setup_teardown(
		who_goes_changes_no_other, world_begin, world_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
