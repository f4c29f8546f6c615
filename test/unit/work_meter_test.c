/**
 * @file
 * What a daemon reports of the time that its event loop spends.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <string.h>

#include "../support/manual_clock.h"
#include "common/work_meter.h"

#define TICK_MS 200

typedef struct fixture {
	manual_clock_t clock;
	event_log_t log;
	work_meter_t meter;
} fixture_t;

static void
fixture_init(fixture_t *fixture)
{
	fixture->clock = (manual_clock_t){{&manual_clock_ops}, {100, 0}};
	event_log_init(&fixture->log, &fixture->clock.source, 100);
	work_meter_init(&fixture->meter, &fixture->clock.source, &fixture->log);
}

static void
turn_take(fixture_t *fixture, work_kind_t kind, int64_t ms, uint64_t items)
{
	work_turn_t turn = work_begin(&fixture->meter);

	fixture->clock.now = timespec_add_ms(fixture->clock.now, ms);
	work_end(&fixture->meter, kind, &turn, items);
}

static void
time_is_counted_by_kind_of_work(void **state)
{
	struct evbuffer *out = evbuffer_new();
	fixture_t fixture;
	char *text;

	(void)state;
	fixture_init(&fixture);
	turn_take(&fixture, WORK_ROWS_APPLY, 30, 7);
	turn_take(&fixture, WORK_ROWS_APPLY, 10, 5);
	turn_take(&fixture, WORK_TICK, 2, 1);
	assert_int_equal(fixture.meter.totals[WORK_ROWS_APPLY].turns, 2);
	assert_int_equal(fixture.meter.totals[WORK_ROWS_APPLY].items, 12);
	assert_int_equal(fixture.meter.totals[WORK_ROWS_APPLY].us, 40000);
	assert_int_equal(
	    fixture.meter.totals[WORK_ROWS_APPLY].longest_us, 30000);
	assert_int_equal(fixture.meter.totals[WORK_TICK].cpu_us, 2000);
	work_meter_write(&fixture.meter, out);
	evbuffer_add(out, "", 1);
	text = (char *)evbuffer_pullup(out, -1);
	assert_non_null(strstr(text,
	    "\nmoortack_relay_work_seconds_total{work=\"rows_apply\"} 0.04\n"));
	assert_non_null(strstr(text,
	    "\nmoortack_relay_work_longest_seconds{work=\"rows_apply\"} "
	    "0.03\n"));
	evbuffer_free(out);
}

static void
only_long_turns_are_logged(void **state)
{
	fixture_t fixture;

	(void)state;
	fixture_init(&fixture);
	turn_take(&fixture, WORK_ATTEMPT, 49, 1);
	assert_int_equal(fixture.log.written + fixture.log.dropped, 0);
	turn_take(&fixture, WORK_ATTEMPT, 50, 1);
	assert_int_equal(fixture.log.written + fixture.log.dropped, 1);
}

static void
late_timers_are_logged(void **state)
{
	fixture_t fixture;

	(void)state;
	fixture_init(&fixture);
	work_meter_tick(&fixture.meter, TICK_MS);
	fixture.clock.now = timespec_add_ms(fixture.clock.now, TICK_MS + 99);
	work_meter_tick(&fixture.meter, TICK_MS);
	assert_int_equal(fixture.log.written + fixture.log.dropped, 0);
	fixture.clock.now = timespec_add_ms(fixture.clock.now, TICK_MS + 100);
	work_meter_tick(&fixture.meter, TICK_MS);
	assert_int_equal(fixture.log.written + fixture.log.dropped, 1);
	assert_int_equal(fixture.meter.late_us, 199000);
}

static void
nothing_is_measured_without_a_meter(void **state)
{
	work_turn_t turn = work_begin(NULL);

	(void)state;
	work_end(NULL, WORK_TICK, &turn, 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(time_is_counted_by_kind_of_work),
	    cmocka_unit_test(only_long_turns_are_logged),
	    cmocka_unit_test(late_timers_are_logged),
	    cmocka_unit_test(nothing_is_measured_without_a_meter),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
