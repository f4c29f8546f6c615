/**
 * @file
 * The numbers of endpoints to order: what a service was provisioned with is
 * kept up at a lower price, and never given up before its replacement is warm.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <string.h>

#include "moortack/duty/capacity_plan.h"

#define ZONES 4
#define PROVISION 15

static const capacity_limits_t limits = {.allowed = true,
    .min = 1,
    .max = 30,
    .boot_ms = 4000,
    .preemptible_price = 0.18};

static void
zones_init(capacity_zone_t zones[ZONES])
{
	memset(zones, 0, ZONES * sizeof(zones[0]));
	for (size_t i = 0; i < ZONES; i++)
		zones[i] = (capacity_zone_t){.regular = PROVISION,
		    .usable = true,
		    .provision = PROVISION,
		    .regular_ceiling = UINT32_MAX};
}

/* Applies the plan until nothing changes: endpoints come and go as ordered. */
static void
settle(const capacity_limits_t *by, capacity_zone_t zones[ZONES],
    capacity_target_t out[ZONES])
{
	for (int round = 0; round < 10; round++) {
		capacity_plan(by, zones, ZONES, out);
		for (size_t i = 0; i < ZONES; i++) {
			zones[i].regular = out[i].regular;
			zones[i].preemptible = out[i].preemptible;
			zones[i].preemptible_warm = out[i].preemptible;
			zones[i].regular_ceiling = out[i].regular_ceiling;
		}
	}
}

static void
preemptible_endpoints_are_ordered_before_regular_ones_go(void **state)
{
	capacity_zone_t zones[ZONES];
	capacity_target_t out[ZONES];

	(void)state;
	zones_init(zones);
	capacity_plan(&limits, zones, ZONES, out);
	assert_int_equal(out[0].regular, PROVISION);
	assert_int_equal(out[0].preemptible, 12);
	zones[0].preemptible = 12;
	zones[0].preemptible_warm = 5;
	capacity_plan(&limits, zones, ZONES, out);
	assert_int_equal(out[0].regular, PROVISION - 5);
	settle(&limits, zones, out);
	assert_int_equal(out[0].regular, 3);
	assert_int_equal(out[0].preemptible, 12);
}

static void
endpoints_taken_back_are_not_replaced_by_regular_ones(void **state)
{
	capacity_zone_t zones[ZONES];
	capacity_target_t out[ZONES];

	(void)state;
	zones_init(zones);
	settle(&limits, zones, out);
	zones[1].preemptible = 0;
	zones[1].preemptible_warm = 0;
	capacity_plan(&limits, zones, ZONES, out);
	assert_int_equal(out[1].regular, 3);
	assert_int_equal(out[1].preemptible, 12);
}

static void
loss_of_most_endpoints_is_made_up_by_regular_ones(void **state)
{
	capacity_zone_t zones[ZONES];
	capacity_target_t out[ZONES];
	uint32_t regular = 0;

	(void)state;
	zones_init(zones);
	settle(&limits, zones, out);
	for (size_t i = 0; i < ZONES; i++) {
		zones[i].preemptible = 0;
		zones[i].preemptible_warm = 0;
	}
	capacity_plan(&limits, zones, ZONES, out);
	for (size_t i = 0; i < ZONES; i++)
		regular += out[i].regular;
	assert_int_equal(regular, ZONES * PROVISION / 2);
}

static void
regular_endpoints_stay_where_no_others_can_be_had(void **state)
{
	capacity_limits_t regular_only = limits;
	capacity_zone_t zones[ZONES];
	capacity_target_t out[ZONES];

	(void)state;
	regular_only.preemptible_price = 0;
	zones_init(zones);
	settle(&regular_only, zones, out);
	assert_int_equal(out[0].regular, PROVISION);
	assert_int_equal(out[0].preemptible, 0);
}

static void
limits_hold_while_endpoints_are_replaced(void **state)
{
	capacity_limits_t tight = limits;
	capacity_zone_t zones[ZONES];
	capacity_target_t out[ZONES];

	(void)state;
	tight.max = 18;
	zones_init(zones);
	for (int round = 0; round < 10; round++) {
		capacity_plan(&tight, zones, ZONES, out);
		for (size_t i = 0; i < ZONES; i++) {
			assert_in_range(
			    zones[i].regular + out[i].preemptible, 1, 18);
			zones[i].preemptible = out[i].preemptible;
			zones[i].preemptible_warm = out[i].preemptible;
			zones[i].regular = out[i].regular;
			zones[i].regular_ceiling = out[i].regular_ceiling;
		}
	}
	assert_int_equal(out[0].regular, 3);
	assert_int_equal(out[0].preemptible, 12);
}

static void
evacuated_zone_gets_no_more(void **state)
{
	capacity_zone_t zones[ZONES];
	capacity_target_t out[ZONES];

	(void)state;
	zones_init(zones);
	zones[2].usable = false;
	capacity_plan(&limits, zones, ZONES, out);
	assert_int_equal(out[2].preemptible, 0);
	assert_int_equal(out[2].regular, PROVISION);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		preemptible_endpoints_are_ordered_before_regular_ones_go),
	    cmocka_unit_test(
		endpoints_taken_back_are_not_replaced_by_regular_ones),
	    cmocka_unit_test(loss_of_most_endpoints_is_made_up_by_regular_ones),
	    cmocka_unit_test(regular_endpoints_stay_where_no_others_can_be_had),
	    cmocka_unit_test(limits_hold_while_endpoints_are_replaced),
	    cmocka_unit_test(evacuated_zone_gets_no_more),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
