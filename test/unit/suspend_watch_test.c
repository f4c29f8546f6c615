/**
 * @file
 * A suspension of the VM is reported once, with its duration. Late timers of a
 * stalled process and jumps of the wall clock are not suspensions, and a
 * suspension before the first poll is not reported.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "common/suspend_watch.h"

#define SUSPENDED_MS 4000

/** A clock whose monotonic time stops while the VM is suspended. */
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
vm_monotonic(const clock_source_t *clock)
{
	const vm_clock_t *vm = (const vm_clock_t *)clock;

	return timespec_add_ms(vm->now, -vm->suspended_ms);
}

static const clock_ops_t vm_ops = {vm_now, vm_now, vm_monotonic, vm_monotonic};

static void
vm_clock_advance(vm_clock_t *clock, int64_t ms)
{
	clock->now = timespec_add_ms(clock->now, ms);
}

static void
a_suspension_is_reported_once(void **state)
{
	vm_clock_t clock = {{&vm_ops}, {1000, 0}, 0};
	suspend_watch_t watch = {0};

	(void)state;
	assert_int_equal(suspend_watch_poll(&watch, &clock.source), 0);
	vm_clock_advance(&clock, 200);
	assert_int_equal(suspend_watch_poll(&watch, &clock.source), 0);
	vm_clock_advance(&clock, SUSPENDED_MS + 100);
	clock.suspended_ms += SUSPENDED_MS;
	assert_int_equal(
	    suspend_watch_poll(&watch, &clock.source), SUSPENDED_MS);
	assert_int_equal(suspend_watch_poll(&watch, &clock.source), 0);
}

static void
a_stalled_process_is_not_a_suspension(void **state)
{
	vm_clock_t clock = {{&vm_ops}, {1000, 0}, 0};
	suspend_watch_t watch = {0};

	(void)state;
	suspend_watch_poll(&watch, &clock.source);
	vm_clock_advance(&clock, SUSPENDED_MS);
	assert_int_equal(suspend_watch_poll(&watch, &clock.source), 0);
}

static void
suspensions_before_the_first_poll_are_ignored(void **state)
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
	    cmocka_unit_test(a_suspension_is_reported_once),
	    cmocka_unit_test(a_stalled_process_is_not_a_suspension),
	    cmocka_unit_test(suspensions_before_the_first_poll_are_ignored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
