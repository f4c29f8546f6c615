/**
 * @file
 * The fleet's budget of retries while daemons start.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "common/clock_source.h"
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

/* Requests come evenly, none has failed so far; then all fail, and after a
 * second the daemons, which know each other, start again. */
static void
retries_saved_before_a_restart_stay_within_the_fleets(void **state)
{
	const retry_bounds_t bounds = {0.9, 10000, 52};
	retry_share_t shares[6] = {{0}};
	int spent = 0;

	(void)state;
	for (int ms = 0; ms < 20000; ms += 100) {
		const struct timespec now = timespec_from_ms(1000000 + ms);

		for (int i = 0; i < 6; i++) {
			if (ms == 11000)
				shares[i] = (retry_share_t){0};
			retry_share_add_request(&shares[i], &bounds, now);
			while (ms >= 10000 &&
			    retry_share_spend(&shares[i], &bounds, 6, now))
				spent++;
		}
	}
	assert_in_range(spent, 0.85 * 0.9 * 600, 0.9 * 600 + 52);
}

/* No request earns a retry; each daemon spends what it has at once, and starts
 * twice at the end of the window. */
static void
fixed_parts_of_two_starts_stay_within_the_fleets(void **state)
{
	const retry_bounds_t bounds = {0, 10000, 65};
	retry_share_t shares[6] = {{0}};
	int spent = 0;

	(void)state;
	for (int ms = 0; ms <= 30000; ms += 100) {
		const struct timespec now = timespec_from_ms(1000000 + ms);

		for (int i = 0; i < 6; i++) {
			if (ms >= 29900)
				shares[i] = (retry_share_t){0};
			retry_share_balance(&shares[i], &bounds, 6, now);
			while (ms > 20000 &&
			    retry_share_spend(&shares[i], &bounds, 6, now))
				spent++;
		}
	}
	assert_in_range(spent, 0, 65);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(daemons_that_start_stay_within_the_fleets_retries),
	    cmocka_unit_test(
		retries_saved_before_a_restart_stay_within_the_fleets),
	    cmocka_unit_test(fixed_parts_of_two_starts_stay_within_the_fleets),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
