/**
 * @file
 * Orders of capacity are kept up through refusals, roll-outs and changes of the
 * daemon that makes them, and none is made beyond its lease.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <string.h>

#include "../support/manual_clock.h"
#include "../support/memory_store.h"
#include "moortack/duty/capacity_orders.h"

#define PROVISION 15
#define LEASE_MS 3000
#define TICK_MS 200
#define BOOT_MS 4000
#define WARM_MS 3000

/** The outside system, and the endpoints that it runs. */
typedef struct platform {
	duty_api_t api;
	uint32_t regular;
	uint32_t preemptible;
	uint32_t preemptible_ordered;
	int64_t preemptible_warm_at_ms;
	bool none_available;
	bool rolling_out;
	duty_api_result_t result; /**< of calls that are not carried out */
	uint32_t calls;
	uint64_t last_token;
} platform_t;

static struct world {
	platform_t platform;
	memory_store_t store;
	int64_t now_ms;
	manual_clock_t clock;
	event_log_t log;
	capacity_orders_t daemons[2];
} world;

static const capacity_limits_t limits = {.allowed = true,
    .min = 1,
    .max = 30,
    .boot_ms = BOOT_MS,
    .preemptible_price = 0.18,
    .zones = {"a"},
    .zones_len = 1};

static bool
order_carry_out(
    duty_api_t *api, const duty_call_t *call, const capacity_order_t *order)
{
	platform_t *platform = (platform_t *)api;
	duty_api_result_t result = platform->result;

	assert_true(call->may_send(call->arg));
	assert_true(call->token >= platform->last_token);
	platform->last_token = call->token;
	platform->calls++;
	if (result == DUTY_API_DONE && order->preemptible &&
	    platform->none_available &&
	    order->endpoints > platform->preemptible)
		result = DUTY_API_UNAVAILABLE;
	if (result == DUTY_API_DONE && !order->preemptible)
		platform->regular = order->endpoints;
	if (result == DUTY_API_DONE && order->preemptible &&
	    order->endpoints != platform->preemptible_ordered) {
		platform->preemptible_ordered = order->endpoints;
		platform->preemptible = order->endpoints;
		platform->preemptible_warm_at_ms =
		    world.now_ms + BOOT_MS + WARM_MS;
	}
	call->done(call->arg, result);
	return true;
}

static const duty_api_ops_t api_ops = {NULL, order_carry_out};

static void
each_service(void *source, capacity_view_cb_t pass, void *arg)
{
	const platform_t *platform = source;
	capacity_service_view_t view = {.service = "s",
	    .limits = &limits,
	    .zones_len = 1,
	    .rolling_out = platform->rolling_out};

	view.zones[0] = (capacity_zone_t){.name = "a",
	    .regular = platform->regular,
	    .preemptible = platform->preemptible,
	    .usable = true};
	if (world.now_ms >= platform->preemptible_warm_at_ms)
		view.zones[0].preemptible_warm = platform->preemptible;
	pass(arg, &view);
}

static int
world_start(void **state)
{
	(void)state;
	memset(&world, 0, sizeof(world));
	world.platform.api.ops = &api_ops;
	world.platform.regular = PROVISION;
	world.platform.result = DUTY_API_DONE;
	world.store.store.ops = &memory_store_ops;
	world.now_ms = 1000000;
	world.clock = (manual_clock_t){
	    {&manual_clock_ops}, timespec_from_ms(world.now_ms)};
	event_log_init(&world.log, &world.clock.source, 0);
	for (uint64_t i = 0; i < 2; i++) {
		world.daemons[i] =
		    (capacity_orders_t){.clock = &world.clock.source,
			.log = &world.log,
			.api = &world.platform.api,
			.source = {each_service, &world.platform}};
		capacity_orders_init(&world.daemons[i], &world.store.store,
		    i == 0 ? "vm-0" : "vm-1", i + 1, LEASE_MS);
	}
	return 0;
}

static int
world_stop(void **state)
{
	(void)state;
	for (size_t i = 0; i < 2; i++)
		capacity_orders_finish(&world.daemons[i]);
	return 0;
}

/* Time passes; the store carries out all calls. */
static void
run(int64_t ms, size_t responsible)
{
	for (int64_t until_ms = world.now_ms + ms; world.now_ms < until_ms;) {
		world.now_ms += TICK_MS;
		world.store.now_ms = world.now_ms;
		world.clock.now = timespec_from_ms(world.now_ms);
		for (size_t i = 0; i < 2; i++)
			capacity_orders_tick(
			    &world.daemons[i], i == responsible);
		memory_store_serve(&world.store);
	}
}

static void
regular_endpoints_are_replaced(void **state)
{
	(void)state;
	run(3000, 0);
	assert_int_equal(world.platform.preemptible, 12);
	assert_int_equal(world.platform.regular, PROVISION);
	run(12000, 0);
	assert_int_equal(world.platform.regular, 3);
	assert_int_equal(world.platform.preemptible, 12);
}

static void
nothing_is_called_once_all_is_as_ordered(void **state)
{
	uint32_t calls, store_calls;

	(void)state;
	run(20000, 0);
	calls = world.platform.calls;
	store_calls = world.store.calls;
	run(20000, 0);
	assert_int_equal(world.platform.calls, calls);
	assert_int_equal(world.store.calls, store_calls);
}

/* The number of endpoints that is seen while a fleet starts is no order. */
static void
endpoints_that_appear_late_are_not_taken_away(void **state)
{
	(void)state;
	world.platform.regular = 4;
	run(1600, 0);
	world.platform.regular = 10;
	run(1000, 1);
	world.platform.regular = PROVISION;
	run(6000, 1);
	assert_int_equal(world.platform.regular, PROVISION);
	run(12000, 1);
	assert_int_equal(world.platform.regular, 3);
	assert_int_equal(world.platform.preemptible, 12);
}

static void
refused_order_is_repeated(void **state)
{
	(void)state;
	run(20000, 0);
	world.platform.preemptible = 0;
	world.platform.preemptible_ordered = 0;
	world.platform.none_available = true;
	run(15000, 0);
	assert_int_equal(world.platform.preemptible, 0);
	assert_int_equal(world.platform.regular, PROVISION / 2);
	world.platform.none_available = false;
	run(3000, 0);
	assert_int_equal(world.platform.preemptible, 12);
	run(12000, 0);
	assert_int_equal(world.platform.regular, 3);
}

static void
roll_out_is_left_alone(void **state)
{
	uint32_t calls;

	(void)state;
	run(20000, 0);
	calls = world.platform.calls;
	world.platform.rolling_out = true;
	world.platform.regular = 3 + PROVISION;
	run(10000, 0);
	assert_int_equal(world.platform.calls, calls);
	/* It completes: what ran the old version is gone. */
	world.platform.rolling_out = false;
	world.platform.regular = PROVISION;
	world.platform.preemptible = 0;
	world.platform.preemptible_ordered = 0;
	run(1400, 1);
	assert_int_equal(world.platform.regular, PROVISION);
	run(6000, 1);
	assert_int_equal(world.platform.regular, PROVISION);
	run(12000, 1);
	assert_int_equal(world.platform.regular, 3);
	assert_int_equal(world.platform.preemptible, 12);
}

static void
orders_without_a_response_are_repeated(void **state)
{
	(void)state;
	world.platform.result = DUTY_API_NO_RESPONSE;
	run(5000, 0);
	assert_int_equal(world.platform.preemptible, 0);
	world.platform.result = DUTY_API_DONE;
	run(4000, 0);
	assert_int_equal(world.platform.preemptible, 12);
}

static void
successor_goes_on(void **state)
{
	(void)state;
	run(3000, 0);
	run(20000, 1);
	assert_int_equal(world.platform.regular, 3);
	assert_int_equal(world.platform.preemptible, 12);
	assert_int_equal(world.platform.last_token, 2);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		regular_endpoints_are_replaced, world_start, world_stop),
	    cmocka_unit_test_setup_teardown(
		nothing_is_called_once_all_is_as_ordered, world_start,
		world_stop),
	    cmocka_unit_test_setup_teardown(
		endpoints_that_appear_late_are_not_taken_away, world_start,
		world_stop),
	    cmocka_unit_test_setup_teardown(
		refused_order_is_repeated, world_start, world_stop),
	    cmocka_unit_test_setup_teardown(
		roll_out_is_left_alone, world_start, world_stop),
	    cmocka_unit_test_setup_teardown(
		orders_without_a_response_are_repeated, world_start,
		world_stop),
	    cmocka_unit_test_setup_teardown(
		successor_goes_on, world_start, world_stop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
