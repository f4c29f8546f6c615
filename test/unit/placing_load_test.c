/**
 * @file
 * Plays loads against the code that places prompts, and checks what callers
 * get.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "placing.h"

#define SEEDS 3
#define LARGE_SEEDS 2
/* Requests a second: random placing is late for 37 and 72 of 100 long ones. */
#define HEAVY_PER_S 28
#define HEAVIER_PER_S 40
#define IN_TIME_MIN 0.98
/* Late responses, as a share of those of the next best policy, at most. */
#define LATE_PART 0.5

static double
in_time(const placing_result_t *result, placing_kind_t kind)
{
	return result->in_time[kind] / result->asked[kind];
}

static void
play_fleet(const placing_fleet_t *fleet, placing_policy_t policy, double per_s,
    uint64_t seed, placing_result_t *out)
{
	placing_run(fleet, policy, per_s, seed, out);
	for (int i = 0; i < PLACING_KINDS; i++)
		samples_finish(&out->first_ms[i]);
}

static void
play(
    placing_policy_t policy, double per_s, uint64_t seed, placing_result_t *out)
{
	play_fleet(&placing_small, policy, per_s, seed, out);
}

/* Neither the long prompts nor the short ones are late for the others. */
static void
both_kinds_are_in_time_under_a_heavy_load(void **state)
{
	placing_result_t reported;

	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		play(PLACING_TOLD, HEAVIER_PER_S, seed, &reported);
		assert_true(in_time(&reported, PLACING_LONG) >= IN_TIME_MIN);
		assert_true(in_time(&reported, PLACING_SHORT) >= IN_TIME_MIN);
	}
}

/* Fewer are late than with each baseline in the same run, and the reports to
 * other daemons are the reason. */
static void
fewer_are_late_than_by_any_other_policy(void **state)
{
	placing_result_t reported, other;

	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		play(PLACING_TOLD, HEAVY_PER_S, seed, &reported);
		for (int policy = PLACING_ALONE; policy < PLACING_POLICIES;
		     policy++) {
			play((placing_policy_t)policy, HEAVY_PER_S, seed,
			    &other);
			for (int i = 0; i < PLACING_KINDS; i++)
				assert_true(1 - in_time(&reported, i) <=
				    LATE_PART * (1 - in_time(&other, i)));
		}
	}
}

/* What endpoints keep is found: hashing alone reads hardly less. */
static void
little_is_read_twice(void **state)
{
	placing_result_t reported, hash;

	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		play(PLACING_TOLD, HEAVY_PER_S, seed, &reported);
		play(PLACING_HASH, HEAVY_PER_S, seed, &hash);
		assert_true(reported.tokens_read < 1.15 * hash.tokens_read);
	}
}

/* If the fleet is too large to notify each daemon of all prompts, querying the
 * owners of three endpoints does as well; what a daemon knows by itself does
 * not. */
static void
a_large_fleet_is_in_time_by_asking(void **state)
{
	placing_result_t queried, other;

	(void)state;
	for (uint64_t seed = 1; seed <= LARGE_SEEDS; seed++) {
		play_fleet(
		    &placing_large, PLACING_ASKED, HEAVY_PER_S, seed, &queried);
		for (int i = 0; i < PLACING_KINDS; i++)
			assert_true(in_time(&queried, i) >= IN_TIME_MIN);
		for (int policy = PLACING_ALONE; policy <= PLACING_HASH;
		     policy++) {
			play_fleet(&placing_large, (placing_policy_t)policy,
			    HEAVY_PER_S, seed, &other);
			for (int i = 0; i < PLACING_KINDS; i++)
				assert_true(1 - in_time(&queried, i) <=
				    LATE_PART * (1 - in_time(&other, i)));
		}
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(both_kinds_are_in_time_under_a_heavy_load),
	    cmocka_unit_test(fewer_are_late_than_by_any_other_policy),
	    cmocka_unit_test(little_is_read_twice),
	    cmocka_unit_test(a_large_fleet_is_in_time_by_asking),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
