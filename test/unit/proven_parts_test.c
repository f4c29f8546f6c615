/**
 * @file
 * Parts of prompts that were answered: what they outweigh, how long, and that
 * many others do not fill more than their own buckets.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "moortack/quarantine/proven_parts.h"

#define PART 0x8000000000001234ULL
#define VERSION 7
#define MINUTE_MS 60000

static proven_parts_t proven;

static void
answer_others(size_t count)
{
	for (size_t i = 0; i < count; i++)
		proven_parts_count_answer(&proven);
}

static int
setup(void **state)
{
	(void)state;
	return proven_parts_init(&proven) ? 0 : -1;
}

static int
teardown(void **state)
{
	(void)state;
	proven_parts_finish(&proven);
	return 0;
}

static void
an_answer_outweighs_two_crashes(void **state)
{
	(void)state;
	assert_false(proven_parts_outweigh(&proven, PART, 1, 0));
	proven_parts_add(&proven, PART, VERSION, 0);
	assert_true(proven_parts_outweigh(&proven, PART, 1, 0));
	/* Reported by another daemon as well. */
	assert_true(proven_parts_outweigh(&proven, PART, 1, 0));
	assert_true(proven_parts_outweigh(&proven, PART, 2, 0));
	answer_others(PROOF_CONTRAST_MIN);
	assert_false(proven_parts_outweigh(&proven, PART, 3, 0));
	assert_null(proven_parts_find(&proven, PART, 0));
}

static void
crashes_under_all_prompts_end_no_proof(void **state)
{
	(void)state;
	proven_parts_add(&proven, PART, VERSION, 0);
	answer_others(PROOF_CONTRAST_MIN - 1);
	for (uint32_t crash = 1; crash < 20; crash++)
		assert_true(proven_parts_outweigh(&proven, PART, crash, 0));
	answer_others(1);
	assert_false(proven_parts_outweigh(&proven, PART, 20, 0));
}

static void
each_answer_renews_the_proof(void **state)
{
	(void)state;
	proven_parts_add(&proven, PART, VERSION, 0);
	for (uint32_t crash = 1; crash < 20; crash += 2) {
		assert_true(proven_parts_outweigh(&proven, PART, crash, 0));
		assert_true(proven_parts_outweigh(&proven, PART, crash + 1, 0));
		proven_parts_add(&proven, PART, VERSION, 0);
	}
}

static void
a_proof_expires(void **state)
{
	(void)state;
	proven_parts_add(&proven, PART, VERSION, 0);
	assert_non_null(proven_parts_find(&proven, PART, 10 * MINUTE_MS - 1));
	assert_null(proven_parts_find(&proven, PART, 10 * MINUTE_MS));
	assert_false(proven_parts_outweigh(&proven, PART, 1, 10 * MINUTE_MS));
}

static void
the_oldest_proof_of_a_bucket_is_replaced(void **state)
{
	(void)state;
	for (uint64_t i = 0; i < 5; i++)
		proven_parts_add(
		    &proven, PART + (i << 32), VERSION, (int64_t)i);
	assert_null(proven_parts_find(&proven, PART, 5));
	for (uint64_t i = 1; i < 5; i++)
		assert_non_null(
		    proven_parts_find(&proven, PART + (i << 32), 5));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		an_answer_outweighs_two_crashes, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		each_answer_renews_the_proof, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		crashes_under_all_prompts_end_no_proof, setup, teardown),
	    cmocka_unit_test_setup_teardown(a_proof_expires, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		the_oldest_proof_of_a_bucket_is_replaced, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
