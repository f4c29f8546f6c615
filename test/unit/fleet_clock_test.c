/**
 * @file
 * The daemons of a fleet agree on the time of day although some of their clocks
 * are wrong by seconds.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>

#include "moortack/duty/fleet_clock.h"

#define EPOCH_MS 1700000000000
#define FOLLOWERS 9

/** A VM whose clocks the test sets. */
typedef struct vm_clock {
	clock_source_t source;
	int64_t boot_ms;
	int64_t wall_ms;
} vm_clock_t;

static struct timespec
vm_boottime(const clock_source_t *source)
{
	return timespec_from_ms(((const vm_clock_t *)source)->boot_ms);
}

static struct timespec
vm_wall(const clock_source_t *source)
{
	return timespec_from_ms(((const vm_clock_t *)source)->wall_ms);
}

static const clock_ops_t vm_clock_ops = {
    vm_boottime, vm_wall, vm_boottime, vm_boottime};

/* A VM that has been up for a time, at the store's time 0. */
static vm_clock_t
vm_make(int64_t up_ms, int64_t wrong_ms)
{
	return (vm_clock_t){{&vm_clock_ops}, up_ms, EPOCH_MS + wrong_ms};
}

static void
followers_add(fleet_clock_t *self, const int64_t wrong_ms[FOLLOWERS])
{
	for (int i = 0; i < FOLLOWERS; i++) {
		vm_clock_t vm = vm_make(1000 * i, wrong_ms[i]);
		fleet_clock_t follower;
		char name[16];
		int64_t ahead_ms;

		fleet_clock_init(&follower, &vm.source);
		fleet_clock_set_store_offset(&follower, -1000 * i);
		fleet_clock_tick(&follower);
		assert_true(fleet_clock_median_ms(&follower, &ahead_ms));
		snprintf(name, sizeof(name), "vm-%d", i);
		fleet_clock_add_sample(self, name, ahead_ms);
		fleet_clock_finish(&follower);
	}
}

static void
minority_of_wrong_clocks_does_not_matter(void **state)
{
	static const int64_t wrong_ms[FOLLOWERS] = {
	    3, -2, 2400, 1, 2400, -4, 2400, 2, 0};
	vm_clock_t vm = vm_make(77000, -2400);
	fleet_clock_t clock;

	(void)state;
	fleet_clock_init(&clock, &vm.source);
	fleet_clock_set_store_offset(&clock, -77000);
	followers_add(&clock, wrong_ms);
	fleet_clock_tick(&clock);
	assert_in_range(fleet_clock_now_ms(&clock), EPOCH_MS - 4, EPOCH_MS + 4);
	fleet_clock_finish(&clock);
}

static void
step_of_own_clock_does_not_matter(void **state)
{
	vm_clock_t vm = vm_make(5000, 0);
	fleet_clock_t clock;

	(void)state;
	fleet_clock_init(&clock, &vm.source);
	fleet_clock_set_store_offset(&clock, -5000);
	fleet_clock_set_parent(&clock, EPOCH_MS);
	vm.boot_ms += 1000;
	vm.wall_ms += 1000 + 2400;
	fleet_clock_tick(&clock);
	assert_int_equal(fleet_clock_now_ms(&clock), EPOCH_MS + 1000);
	fleet_clock_finish(&clock);
}

/* A daemon that becomes the root hears from its followers only after a while.
 */
static void
new_root_keeps_agreed_time(void **state)
{
	static const int64_t wrong_ms[FOLLOWERS] = {0};
	vm_clock_t vm = vm_make(5000, 2400);
	fleet_clock_t clock;

	(void)state;
	fleet_clock_init(&clock, &vm.source);
	fleet_clock_set_store_offset(&clock, -5000);
	fleet_clock_set_parent(&clock, EPOCH_MS);
	fleet_clock_clear_parent(&clock);
	fleet_clock_tick(&clock);
	assert_int_equal(fleet_clock_now_ms(&clock), EPOCH_MS);
	followers_add(&clock, wrong_ms);
	vm.boot_ms += 3500;
	vm.wall_ms += 3500;
	fleet_clock_tick(&clock);
	assert_int_equal(fleet_clock_now_ms(&clock), EPOCH_MS + 3500);
	fleet_clock_finish(&clock);
}

static void
former_followers_do_not_count(void **state)
{
	static const int64_t wrong_ms[FOLLOWERS] = {
	    900, 900, 900, 900, 900, 900, 900, 900, 900};
	vm_clock_t vm = vm_make(5000, 0);
	fleet_clock_t clock;

	(void)state;
	fleet_clock_init(&clock, &vm.source);
	fleet_clock_set_store_offset(&clock, -5000);
	followers_add(&clock, wrong_ms);
	fleet_clock_tick(&clock);
	assert_int_equal(fleet_clock_now_ms(&clock), EPOCH_MS + 900);
	vm.boot_ms += 10000;
	vm.wall_ms += 10000;
	fleet_clock_tick(&clock);
	assert_int_equal(fleet_clock_now_ms(&clock), EPOCH_MS + 10000);
	assert_null(clock.samples);
	fleet_clock_finish(&clock);
}

static void
without_store_own_clock_counts(void **state)
{
	vm_clock_t vm = vm_make(5000, 12);
	fleet_clock_t clock;
	int64_t ahead_ms;

	(void)state;
	fleet_clock_init(&clock, &vm.source);
	fleet_clock_tick(&clock);
	assert_false(fleet_clock_ahead_ms(&clock, &ahead_ms));
	assert_int_equal(fleet_clock_now_ms(&clock), EPOCH_MS + 12);
	fleet_clock_finish(&clock);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(minority_of_wrong_clocks_does_not_matter),
	    cmocka_unit_test(step_of_own_clock_does_not_matter),
	    cmocka_unit_test(new_root_keeps_agreed_time),
	    cmocka_unit_test(former_followers_do_not_count),
	    cmocka_unit_test(without_store_own_clock_counts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
