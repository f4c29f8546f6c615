/**
 * @file
 * A daemon that stops takes the requests that it can answer before, and refuses
 * the others: guards against requests that are taken and cut.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "moortack/relay/request_duration.h"

#define REMAINING_MS 4000

static request_duration_t
observed(double ms, int count)
{
	request_duration_t duration = {0};

	for (int i = 0; i < count; i++)
		request_duration_observe(&duration, ms);
	return duration;
}

static bool
allows(const request_duration_t *duration, int64_t limit_ms, bool repeatable,
    bool certain_only)
{
	const stop_input_t input = {
	    REMAINING_MS, limit_ms, repeatable, certain_only};

	return request_duration_allows(duration, &input);
}

static void
a_limit_before_the_stop_is_enough(void **state)
{
	request_duration_t slow = observed(9000, 20);

	(void)state;
	assert_true(allows(&slow, 3800, false, true));
	assert_false(allows(&slow, 3801, false, true));
}

static void
late_requests_have_to_end_for_certain(void **state)
{
	request_duration_t fast = observed(20, 20);

	(void)state;
	assert_true(allows(&fast, 25000, false, false));
	assert_false(allows(&fast, 25000, false, true));
	assert_false(allows(&fast, 25000, true, true));
}

static void
slow_routes_are_refused_at_once(void **state)
{
	request_duration_t unknown = {0};
	request_duration_t slow = observed(5000, 20);

	(void)state;
	assert_true(allows(&unknown, 25000, false, false));
	assert_false(allows(&slow, 25000, true, false));
	assert_false(allows(&slow, 25000, false, false));
}

/* Half of the requests take 2 s, half 4.6 s. */
static void
requests_that_are_lost_if_cut_need_more_time(void **state)
{
	request_duration_t mixed = {0};

	(void)state;
	for (int i = 0; i < 100; i++)
		request_duration_observe(&mixed, i % 2 == 0 ? 2000 : 4600);
	assert_true(allows(&mixed, 25000, true, false));
	assert_false(allows(&mixed, 25000, false, false));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_limit_before_the_stop_is_enough),
	    cmocka_unit_test(late_requests_have_to_end_for_certain),
	    cmocka_unit_test(slow_routes_are_refused_at_once),
	    cmocka_unit_test(requests_that_are_lost_if_cut_need_more_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
