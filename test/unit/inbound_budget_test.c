/**
 * @file
 * When there is no room, the largest requests that are being received give way
 * first, and never one that is handled; small requests have a reserve.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "common/inbound_budget.h"

#define MB (1U << 20)
#define CONNECTION_BYTES 16384

static inbound_budget_t budget;
static inbound_share_t callers, others;
static budget_entry_t a, b, c, d;

static int
setup(void **state)
{
	(void)state;
	inbound_budget_init(&budget, 16 * MB);
	inbound_share_init(&callers, &budget);
	inbound_share_init(&others, &budget);
	budget_entry_add(&a, &callers, &a, CONNECTION_BYTES);
	budget_entry_add(&b, &others, &b, CONNECTION_BYTES);
	budget_entry_add(&c, &callers, &c, CONNECTION_BYTES);
	budget_entry_add(&d, &callers, &d, CONNECTION_BYTES);
	return 0;
}

static void
largest_request_gives_way_on_any_listener(void **state)
{
	(void)state;
	budget_entry_set(&a, BUDGET_INCOMPLETE, 2 * MB);
	budget_entry_set(&b, BUDGET_INCOMPLETE, 4 * MB);
	budget_entry_set(&c, BUDGET_BUSY, 8 * MB);
	assert_ptr_equal(inbound_budget_victim(&budget, false), &b);
	budget_entry_remove(&b);
	assert_ptr_equal(inbound_budget_victim(&budget, false), &a);
	budget_entry_remove(&a);
	assert_ptr_equal(inbound_budget_victim(&budget, false), &d);
	budget_entry_remove(&d);
	assert_null(inbound_budget_victim(&budget, false));
}

/* Of two as large, the one that came later may still be making progress. */
static void
oldest_of_equally_large_requests_gives_way(void **state)
{
	(void)state;
	budget_entry_set(&a, BUDGET_INCOMPLETE, 3 * MB);
	budget_entry_set(&c, BUDGET_INCOMPLETE, 3 * MB + 1000);
	assert_ptr_equal(inbound_budget_victim(&budget, true), &a);
}

static void
small_requests_find_room_in_the_reserve(void **state)
{
	(void)state;
	budget_entry_set(&a, BUDGET_BUSY, 12 * MB - 4 * CONNECTION_BYTES);
	assert_true(inbound_budget_has_room(&budget, CONNECTION_BYTES, false));
	assert_true(inbound_budget_has_room(&budget, CONNECTION_BYTES, true));
	assert_false(inbound_budget_has_room(&budget, MB, true));
	assert_true(inbound_budget_has_room(&budget, MB, false));
}

static void
request_is_refused_at_its_head_if_nothing_can_give_way(void **state)
{
	(void)state;
	assert_true(inbound_share_may_fit(&callers, 12 * MB));
	assert_false(inbound_share_may_fit(&callers, 12 * MB + 1));
	budget_entry_set(&a, BUDGET_INCOMPLETE, 10 * MB);
	assert_true(inbound_share_may_fit(&callers, 4 * MB));
	budget_entry_set(&a, BUDGET_BUSY, 10 * MB);
	assert_false(inbound_share_may_fit(&callers, 4 * MB));
}

static void
idle_connections_give_way_before_small_requests(void **state)
{
	(void)state;
	budget_entry_set(&a, BUDGET_INCOMPLETE, CONNECTION_BYTES + 100);
	assert_ptr_equal(inbound_share_victim(&callers), &c);
	budget_entry_set(&d, BUDGET_CLOSING, CONNECTION_BYTES);
	assert_ptr_equal(inbound_share_victim(&callers), &d);
	budget_entry_remove(&c);
	budget_entry_remove(&d);
	assert_ptr_equal(inbound_share_victim(&callers), &a);
	/* A large request does not displace small ones. */
	budget_entry_remove(&b);
	assert_null(inbound_budget_victim(&budget, true));
	assert_ptr_equal(inbound_budget_victim(&budget, false), &a);
}

/* A connection that takes much by itself does not make its request large. */
static void
small_request_on_a_large_connection_has_the_reserve(void **state)
{
	(void)state;
	callers.connection_bytes = 2 * BUDGET_LARGE_BYTES;
	budget_entry_set(&a, BUDGET_BUSY, 13 * MB);
	budget_entry_set(&c, BUDGET_INCOMPLETE, 2 * BUDGET_LARGE_BYTES + 1000);
	assert_false(budget_entry_is_large(&c));
	assert_true(inbound_share_may_fit(&callers, 1000));
	assert_ptr_equal(inbound_budget_victim(&budget, false), &b);
	budget_entry_set(&c, BUDGET_INCOMPLETE, 3 * BUDGET_LARGE_BYTES);
	assert_true(budget_entry_is_large(&c));
	assert_ptr_equal(inbound_budget_victim(&budget, false), &c);
	assert_false(inbound_share_may_fit(&callers, BUDGET_LARGE_BYTES));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup(
		largest_request_gives_way_on_any_listener, setup),
	    cmocka_unit_test_setup(
		oldest_of_equally_large_requests_gives_way, setup),
	    cmocka_unit_test_setup(
		small_requests_find_room_in_the_reserve, setup),
	    cmocka_unit_test_setup(
		request_is_refused_at_its_head_if_nothing_can_give_way, setup),
	    cmocka_unit_test_setup(
		idle_connections_give_way_before_small_requests, setup),
	    cmocka_unit_test_setup(
		small_request_on_a_large_connection_has_the_reserve, setup),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
