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
/* Of the next best policy's late answers, these many may be late. */
#define LATE_PART 0.5

static double
in_time(const placing_result_t *result, placing_prompt_kind_t kind)
{
	return result->in_time[kind] / result->requests[kind];
}

static void
play_fleet(const placing_fleet_t *fleet, placing_policy_t policy, double per_s,
    uint64_t seed, placing_result_t *out)
{
	placing_run(fleet, policy, per_s, seed, out);
	for (int i = 0; i < PLACING_PROMPT_KINDS; i++)
		samples_finish(&out->first_event_ms[i]);
}

static void
play(
    placing_policy_t policy, double per_s, uint64_t seed, placing_result_t *out)
{
	play_fleet(&placing_small_fleet, policy, per_s, seed, out);
}

/* Neither the long prompts nor the short ones are late for the others. */
static void
both_kinds_are_in_time_under_a_heavy_load(void **state)
{
	placing_result_t told;

	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		play(PLACING_BROADCAST, HEAVIER_PER_S, seed, &told);
		assert_true(in_time(&told, PLACING_LONG_PROMPT) >= IN_TIME_MIN);
		assert_true(
		    in_time(&told, PLACING_SHORT_PROMPT) >= IN_TIME_MIN);
	}
}

/* It beats each baseline in the same run, and telling is what does it. */
static void
fewer_are_late_than_by_any_other_policy(void **state)
{
	placing_result_t told, other;

	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		play(PLACING_BROADCAST, HEAVY_PER_S, seed, &told);
		for (int policy = PLACING_OWN_SENDS; policy < PLACING_POLICIES;
		     policy++) {
			play((placing_policy_t)policy, HEAVY_PER_S, seed,
			    &other);
			for (int i = 0; i < PLACING_PROMPT_KINDS; i++)
				assert_true(1 - in_time(&told, i) <=
				    LATE_PART * (1 - in_time(&other, i)));
		}
	}
}

/* What endpoints keep is found: hashing alone reads hardly less. */
static void
little_is_read_twice(void **state)
{
	placing_result_t told, hash;

	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		play(PLACING_BROADCAST, HEAVY_PER_S, seed, &told);
		play(PLACING_AFFINITY_HASH, HEAVY_PER_S, seed, &hash);
		assert_true(
		    told.tokens_prefilled < 1.15 * hash.tokens_prefilled);
	}
}

/* Where nobody can be told of all, asking the owners of three endpoints does
 * as well; what a daemon knows by itself does not. */
static void
a_large_fleet_is_in_time_by_asking(void **state)
{
	placing_result_t asked, other;

	(void)state;
	for (uint64_t seed = 1; seed <= LARGE_SEEDS; seed++) {
		play_fleet(&placing_large_fleet, PLACING_OWNERS_QUERIED,
		    HEAVY_PER_S, seed, &asked);
		for (int i = 0; i < PLACING_PROMPT_KINDS; i++)
			assert_true(in_time(&asked, i) >= IN_TIME_MIN);
		for (int policy = PLACING_OWN_SENDS;
		     policy <= PLACING_AFFINITY_HASH; policy++) {
			play_fleet(&placing_large_fleet,
			    (placing_policy_t)policy, HEAVY_PER_S, seed,
			    &other);
			for (int i = 0; i < PLACING_PROMPT_KINDS; i++)
				assert_true(1 - in_time(&asked, i) <=
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
