/**
 * @file
 * The daemons that callers of a large fleet are sent to. A response holds 64
 * addresses. When all daemons listed the 64 that they had learned of first,
 * nearly the same ones everywhere, the other 27 of 91 VMs, or nine in ten of
 * 810, got no callers.
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
#define TARGETS_MAX 64
#define RESPONSES 300

typedef struct fixture {
	manual_clock_t clock;
	struct event_base *base;
	row_store_t store;
} fixture_t;

static int
daemon_number(const caller_target_t *target)
{
	int number;

	assert_int_equal(sscanf(target->address, "10.0.0.%d:", &number), 1);
	return number;
}

static int
fixture_setup(void **state)
{
	fixture_t *fixture = calloc(1, sizeof(*fixture));

	fixture->clock = (manual_clock_t){{&manual_clock_ops}, {100, 0}};
	fixture->base = event_base_new();
	fixture->store = (row_store_t){.ops = &silent_store_ops};
	*state = fixture;
	return 0;
}

static int
fixture_teardown(void **state)
{
	fixture_t *fixture = *state;

	event_base_free(fixture->base);
	free(fixture);
	return 0;
}

static void
membership_start(
    fixture_t *fixture, membership_t *self, int number, int daemons)
{
	membership_init_with_members(
	    self, &fixture->store, &fixture->clock.source, number, daemons);
	membership_set_rows_read(self);
}

/* How often each daemon is listed, over the responses of all. */
static void
selections_count(fixture_t *fixture, int selected[DAEMONS])
{
	for (int i = 0; i < RESPONSES; i++) {
		caller_target_t targets[TARGETS_MAX];
		membership_t self;

		membership_start(fixture, &self, i, DAEMONS);
		assert_int_equal(caller_targets_select(
				     &self, true, NULL, targets, TARGETS_MAX),
		    TARGETS_MAX);
		for (int j = 0; j < TARGETS_MAX; j++)
			selected[daemon_number(&targets[j])]++;
		membership_finish(&self);
	}
}

static void
every_daemon_is_selected_and_strong_ones_more_often(void **state)
{
	int selected[DAEMONS] = {0};
	int strong = 0, weak = 0;

	selections_count(*state, selected);
	for (int i = 0; i < DAEMONS; i++) {
		assert_in_range(selected[i], 1, RESPONSES);
		if (daemon_strength(i) > 0.25)
			strong += selected[i];
		else
			weak += selected[i];
	}
	assert_true(strong > 2 * weak);
}

static void
a_small_fleet_is_selected_completely(void **state)
{
	caller_target_t targets[TARGETS_MAX];
	membership_t self;

	membership_start(*state, &self, 1, 9);
	assert_int_equal(
	    caller_targets_select(&self, true, NULL, targets, TARGETS_MAX), 9);
	assert_int_equal(
	    caller_targets_select(&self, false, NULL, targets, TARGETS_MAX), 8);
	assert_int_equal(caller_targets_count(&self, true), 9);
	membership_finish(&self);
}

/* Callers close their connections to daemons that are no longer listed. */
static void
a_removed_daemon_changes_no_other_selection(void **state)
{
	caller_target_t before[TARGETS_MAX], after[TARGETS_MAX];
	membership_t self;
	int removed, same = 0;

	membership_start(*state, &self, 1, DAEMONS);
	caller_targets_select(&self, true, NULL, before, TARGETS_MAX);
	removed = daemon_number(&before[TARGETS_MAX / 2]);
	membership_apply_member_row(&self, removed, "leaving");
	assert_int_equal(
	    caller_targets_select(&self, true, NULL, after, TARGETS_MAX),
	    TARGETS_MAX);
	for (int i = 0; i < TARGETS_MAX; i++) {
		assert_int_not_equal(daemon_number(&after[i]), removed);
		for (int j = 0; j < TARGETS_MAX; j++)
			same += after[i].address == before[j].address;
	}
	assert_int_equal(same, TARGETS_MAX - 1);
	membership_finish(&self);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		every_daemon_is_selected_and_strong_ones_more_often,
		fixture_setup, fixture_teardown),
	    cmocka_unit_test_setup_teardown(
		a_small_fleet_is_selected_completely, fixture_setup,
		fixture_teardown),
	    cmocka_unit_test_setup_teardown(
		a_removed_daemon_changes_no_other_selection, fixture_setup,
		fixture_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
