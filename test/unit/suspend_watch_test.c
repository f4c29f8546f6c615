/**
 * @file
 * Time that a VM was suspended is told once, and none else: timers that come
 * late, or a wall clock that jumps, are no suspension.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "common/suspend_watch.h"

#define SUSPENDED_MS 4000

/** A clock whose steady time stands while the VM is suspended. */
typedef struct vm_clock {
	clock_source_t source;
	struct timespec now;
	int64_t suspended_ms;
} vm_clock_t;

static struct timespec
vm_now(const clock_source_t *clock)
{
	return ((const vm_clock_t *)clock)->now;
}

static struct timespec
vm_steady(const clock_source_t *clock)
{
	const vm_clock_t *vm = (const vm_clock_t *)clock;

	return timespec_add_ms(vm->now, -vm->suspended_ms);
}

static const clock_ops_t vm_ops = {vm_now, vm_now, vm_steady};

static void
time_passes(vm_clock_t *clock, int64_t ms)
{
	clock->now = timespec_add_ms(clock->now, ms);
}

static void
a_suspension_is_told_once(void **state)
{
	vm_clock_t clock = {{&vm_ops}, {1000, 0}, 0};
	suspend_watch_t watch = {0};

	(void)state;
	assert_int_equal(suspend_watch_poll(&watch, &clock.source), 0);
	time_passes(&clock, 200);
	assert_int_equal(suspend_watch_poll(&watch, &clock.source), 0);
	time_passes(&clock, SUSPENDED_MS + 100);
	clock.suspended_ms += SUSPENDED_MS;
	assert_int_equal(
	    suspend_watch_poll(&watch, &clock.source), SUSPENDED_MS);
	assert_int_equal(suspend_watch_poll(&watch, &clock.source), 0);
}

static void
a_process_that_stood_still_was_not_suspended(void **state)
{
	vm_clock_t clock = {{&vm_ops}, {1000, 0}, 0};
	suspend_watch_t watch = {0};

	(void)state;
	suspend_watch_poll(&watch, &clock.source);
	time_passes(&clock, SUSPENDED_MS);
	assert_int_equal(suspend_watch_poll(&watch, &clock.source), 0);
}

static void
a_vm_that_had_been_suspended_before_the_start_is_not(void **state)
{
	vm_clock_t clock = {{&vm_ops}, {1000, 0}, SUSPENDED_MS};
	suspend_watch_t watch = {0};

	(void)state;
	assert_int_equal(suspend_watch_poll(&watch, &clock.source), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_suspension_is_told_once),
	    cmocka_unit_test(a_process_that_stood_still_was_not_suspended),
	    cmocka_unit_test(
		a_vm_that_had_been_suspended_before_the_start_is_not),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
