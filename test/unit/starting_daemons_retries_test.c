/**
 * @file
 * The fleet's budget of retries while daemons start.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "moortack/relay/retry_share.h"

/* Six daemons, of which each knows only itself after its start, start twice in
 * one window. */
static void
daemons_that_start_stay_within_the_fleets_retries(void **state)
{
	const retry_bounds_t bounds = {0.9, 10000, 52};
	struct timespec now = {1000, 0};
	int spent = 0;

	(void)state;
	for (int start = 0; start < 12; start++) {
		retry_share_t share = {0};

		now.tv_sec += start == 6;
		while (retry_share_spend(&share, &bounds, 1, now))
			spent++;
	}
	assert_in_range(spent, 0, 52);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(daemons_that_start_stay_within_the_fleets_retries),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
