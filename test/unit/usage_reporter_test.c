/**
 * @file
 * Each window's usage is reported once, with the counts that the store holds,
 * whichever daemon reports it and however its calls end.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "../support/manual_clock.h"
#include "../support/memory_store.h"
#include "moortack/duty/usage_reporter.h"

#define WINDOW_MS 5000
#define DUE_MS 10000
#define LEASE_MS 3000
#define TICK_MS 200
#define REPORTS_MAX 32
#define START_MS 1000000
#define START_WINDOW (START_MS / WINDOW_MS)

/** What the outside system received. */
typedef struct received {
	int64_t window;
	uint64_t token;
	uint64_t requests; /**< of organisation "a" */
} received_t;

typedef struct fake_api {
	duty_api_t api;
	duty_api_result_t result;
	bool hold; /**< the connection is not established yet */
	duty_call_t held;
	received_t received[REPORTS_MAX];
	size_t len;
} fake_api_t;

static bool
fake_report(duty_api_t *api, const duty_call_t *call, int64_t window,
    const usage_sum_t *counts, size_t len)
{
	fake_api_t *self = (fake_api_t *)api;
	received_t *received = &self->received[self->len];

	if (self->hold) {
		self->held = *call;
		return true;
	}
	assert_true(call->may_send(call->arg));
	assert_true(self->len < REPORTS_MAX);
	*received = (received_t){.window = window, .token = call->token};
	for (size_t i = 0; i < len; i++) {
		if (strcmp(counts[i].organisation, "a") == 0)
			received->requests = counts[i].requests;
	}
	if (self->result != DUTY_API_REFUSED)
		self->len++;
	call->done(call->arg, self->result);
	return true;
}

static const duty_api_ops_t fake_api_ops = {fake_report, NULL};

/** A daemon. */
typedef struct reporting {
	manual_clock_t clock;
	event_log_t log;
	fleet_clock_t fleet_clock;
	usage_counts_t counts;
	usage_reporter_t reporter;
} reporting_t;

typedef struct world {
	memory_store_t store;
	fake_api_t api;
	reporting_t daemons[2];
	int64_t now_ms;
} world_t;

static world_t world;

static void
daemon_start(reporting_t *daemon, uint64_t process)
{
	daemon->clock =
	    (manual_clock_t){{&manual_clock_ops}, timespec_from_ms(START_MS)};
	event_log_init(&daemon->log, &daemon->clock.source, 0);
	fleet_clock_init(&daemon->fleet_clock, &daemon->clock.source);
	fleet_clock_set_store_offset(&daemon->fleet_clock, 0);
	usage_counts_init(&daemon->counts, process);
	daemon->reporter = (usage_reporter_t){
	    .settings = {WINDOW_MS, DUE_MS, LEASE_MS, "", process},
	    .clock = &daemon->clock.source,
	    .log = &daemon->log,
	    .api = &world.api.api,
	    .counts = &daemon->counts,
	    .fleet_clock = &daemon->fleet_clock};
	snprintf(daemon->reporter.settings.vm, DUTY_VM_NAME_SIZE, "vm-%d",
	    (int)process);
	usage_reporter_init(&daemon->reporter, &world.store.store);
}

static int
world_start(void **state)
{
	(void)state;
	memset(&world, 0, sizeof(world));
	world.store.store.ops = &memory_store_ops;
	world.api.api.ops = &fake_api_ops;
	world.api.result = DUTY_API_DONE;
	world.now_ms = START_MS;
	for (size_t i = 0; i < 2; i++)
		daemon_start(&world.daemons[i], i + 1);
	return 0;
}

static int
world_stop(void **state)
{
	(void)state;
	for (size_t i = 0; i < 2; i++) {
		usage_reporter_finish(&world.daemons[i].reporter);
		usage_counts_finish(&world.daemons[i].counts);
		fleet_clock_finish(&world.daemons[i].fleet_clock);
	}
	return 0;
}

static void
tick(size_t responsible)
{
	world.now_ms += TICK_MS;
	world.store.now_ms = world.now_ms + 500;
	for (size_t i = 0; i < 2; i++) {
		reporting_t *daemon = &world.daemons[i];

		daemon->clock.now = timespec_from_ms(world.now_ms);
		fleet_clock_tick(&daemon->fleet_clock);
		usage_reporter_tick(&daemon->reporter, i == responsible);
	}
}

/* Time passes, in which the store carries out all calls. */
static void
run(int64_t ms, size_t responsible)
{
	for (int64_t until_ms = world.now_ms + ms; world.now_ms < until_ms;) {
		tick(responsible);
		memory_store_serve(&world.store);
	}
}

/* Time passes until a write is in flight. */
static void
run_until_write(size_t responsible)
{
	while (world.store.done == NULL || !world.store.is_write) {
		memory_store_serve(&world.store);
		tick(responsible);
	}
}

static void
count(size_t daemon, int64_t window, int requests)
{
	for (int i = 0; i < requests; i++)
		usage_counts_add(&world.daemons[daemon].counts, window, "a");
}

/* Each window was received once, in order, from the first one on. */
static void
assert_windows_in_order(int64_t first)
{
	for (size_t i = 0; i < world.api.len; i++)
		assert_int_equal(
		    world.api.received[i].window, first + (int64_t)i);
}

static void
each_window_is_reported_once(void **state)
{
	(void)state;
	count(0, START_WINDOW, 3);
	count(0, START_WINDOW + 1, 4);
	run(30000, 0);
	assert_int_equal(world.api.len, 5);
	assert_windows_in_order(START_WINDOW);
	assert_int_equal(world.api.received[0].requests, 3);
	assert_int_equal(world.api.received[1].requests, 4);
	assert_int_equal(world.api.received[2].requests, 0);
	/* One read, and one write for each window. */
	assert_int_equal(world.store.calls, 6);
}

static void
counts_are_written_before_they_are_sent(void **state)
{
	(void)state;
	count(0, START_WINDOW, 3);
	run_until_write(0);
	assert_int_equal(world.api.len, 0);
	memory_store_serve(&world.store);
	tick(0);
	assert_int_equal(world.api.len, 1);
}

static void
write_without_response_is_read_back(void **state)
{
	(void)state;
	count(0, START_WINDOW, 3);
	run_until_write(0);
	memory_store_execute(&world.store);
	memory_store_respond(&world.store, ROW_NO_RESPONSE);
	count(0, START_WINDOW, 5);
	run(4000, 0);
	assert_int_equal(world.api.len, 1);
	assert_int_equal(world.api.received[0].requests, 3);
}

static void
successor_sends_the_same_counts(void **state)
{
	(void)state;
	count(0, START_WINDOW, 3);
	count(1, START_WINDOW, 7);
	world.api.result = DUTY_API_NO_RESPONSE;
	run_until_write(0);
	memory_store_serve(&world.store);
	tick(0);
	assert_int_equal(world.api.len, 1);
	world.api.result = DUTY_API_DONE;
	/* The first daemon stands still. */
	world.daemons[0].reporter.call_pending = true;
	run(8000, 1);
	assert_true(world.api.len >= 2);
	assert_int_equal(world.api.received[1].window, START_WINDOW);
	assert_int_equal(world.api.received[1].requests, 3);
	assert_true(world.api.received[1].token > world.api.received[0].token);
}

static void
refused_reports_are_sent_later_in_order(void **state)
{
	(void)state;
	world.api.result = DUTY_API_REFUSED;
	count(0, START_WINDOW, 3);
	run(28000, 0);
	assert_int_equal(world.api.len, 0);
	world.api.result = DUTY_API_DONE;
	run(5000, 0);
	assert_int_equal(world.api.len, 5);
	assert_windows_in_order(START_WINDOW);
	assert_int_equal(world.api.received[0].requests, 3);
}

/* The process stood still while the connection was established. */
static void
call_is_not_sent_after_the_lease(void **state)
{
	(void)state;
	world.api.hold = true;
	run_until_write(0);
	memory_store_serve(&world.store);
	tick(0);
	assert_non_null(world.api.held.may_send);
	assert_true(world.api.held.may_send(world.api.held.arg));
	world.daemons[0].clock.now = timespec_from_ms(world.now_ms + LEASE_MS);
	assert_false(world.api.held.may_send(world.api.held.arg));
}

static void
lease_is_given_back(void **state)
{
	(void)state;
	run_until_write(0);
	memory_store_serve(&world.store);
	tick(0);
	assert_int_equal(world.api.len, 1);
	assert_true(usage_reporter_busy(&world.daemons[0].reporter));
	tick(2);
	memory_store_serve(&world.store);
	assert_false(usage_reporter_busy(&world.daemons[0].reporter));
	run(1000, 1);
	assert_false(world.daemons[1].reporter.holder.lease.held);
	run(5000, 1);
	assert_int_equal(world.api.received[1].window, START_WINDOW + 1);
	assert_int_equal(
	    world.api.received[1].token, world.api.received[0].token + 1);
}

/* The store's copy is of before the reports. */
static void
restored_store_repeats_no_window(void **state)
{
	(void)state;
	count(0, START_WINDOW, 3);
	run(15000, 0);
	assert_int_equal(world.api.len, 2);
	world.store.len = 0;
	count(0, START_WINDOW, 9);
	run(10000, 0);
	assert_int_equal(world.api.len, 4);
	assert_windows_in_order(START_WINDOW);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		each_window_is_reported_once, world_start, world_stop),
	    cmocka_unit_test_setup_teardown(
		counts_are_written_before_they_are_sent, world_start,
		world_stop),
	    cmocka_unit_test_setup_teardown(
		write_without_response_is_read_back, world_start, world_stop),
	    cmocka_unit_test_setup_teardown(
		successor_sends_the_same_counts, world_start, world_stop),
	    cmocka_unit_test_setup_teardown(
		refused_reports_are_sent_later_in_order, world_start,
		world_stop),
	    cmocka_unit_test_setup_teardown(
		call_is_not_sent_after_the_lease, world_start, world_stop),
	    cmocka_unit_test_setup_teardown(
		lease_is_given_back, world_start, world_stop),
	    cmocka_unit_test_setup_teardown(
		restored_store_repeats_no_window, world_start, world_stop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
