/**
 * @file
 * Contents of an endpoint's cache, by its list and its events. A part that is
 * claimed although it was dropped sends prompts to an endpoint that has to
 * prefill them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "moortack/kv_cache/endpoint_contents.h"
#include "moortack/kv_cache/part_hash.h"

#define EPOCH 5

static endpoint_contents_t contents;

static int
list_applied(void **state)
{
	contents_change_t held[] = {{.part = 1, .kept = true},
	    {.part = 2, .kept = true}, {.part = 3, .kept = true}};
	const contents_report_t list = {EPOCH, 10, false, held, 3};

	(void)state;
	endpoint_contents_finish(&contents);
	endpoint_contents_init(&contents);
	endpoint_contents_apply_list(&contents, &list);
	return 0;
}

static int
finished(void **state)
{
	(void)state;
	endpoint_contents_finish(&contents);
	return 0;
}

static contents_result_t
apply(uint64_t next, contents_change_t *changes, size_t len)
{
	contents_report_t report = {EPOCH, next, false, changes, len};

	return endpoint_contents_apply_events(&contents, &report);
}

static void
only_parts_after_kept_ones_count(void **state)
{
	static const uint32_t prompt[] = {1, 2, 9, 3};

	(void)state;
	assert_int_equal(
	    endpoint_contents_match_count(&contents, prompt, 4), 2);
	assert_int_equal(
	    endpoint_contents_match_count(&contents, prompt + 2, 2), 0);
	assert_int_equal(
	    endpoint_contents_match_count(&contents, prompt, 0), 0);
}

/* An endpoint may send a part's events in any order: the last number counts. */
static void
events_apply_in_the_order_of_their_numbers(void **state)
{
	contents_change_t changes[] = {{.number = 12, .part = 7},
	    {.number = 10, .part = 1}, {.number = 11, .part = 7, .kept = true},
	    {.number = 11, .part = 7, .kept = true}};

	(void)state;
	assert_int_equal(apply(13, changes, 4), CONTENTS_COMPLETE);
	assert_false(endpoint_contents_has(&contents, 7));
	assert_false(endpoint_contents_has(&contents, 1));
	/* Repeated. */
	assert_int_equal(apply(13, changes, 4), CONTENTS_COMPLETE);
	assert_false(endpoint_contents_has(&contents, 7));
	assert_int_equal(endpoint_contents_count(&contents), 2);
}

static void
missing_numbers_are_a_gap_until_the_next_list(void **state)
{
	contents_change_t first = {.number = 11, .part = 7, .kept = true};
	contents_change_t middle[] = {
	    {.number = 10, .part = 1}, {.number = 12, .part = 2}};

	(void)state;
	assert_int_equal(apply(12, &first, 1), CONTENTS_GAP);
	assert_true(endpoint_contents_has(&contents, 7));
	assert_int_equal(apply(12, NULL, 0), CONTENTS_GAP);
	list_applied(state);
	assert_int_equal(apply(13, middle, 2), CONTENTS_GAP);
	assert_false(endpoint_contents_has(&contents, 2));
	list_applied(state);
	assert_int_equal(apply(11, NULL, 0), CONTENTS_GAP);
	list_applied(state);
	assert_int_equal(apply(10, NULL, 0), CONTENTS_COMPLETE);
}

static void
restart_and_lost_events_discard_all(void **state)
{
	contents_report_t reports[] = {{EPOCH + 1, 10, false, NULL, 0},
	    {EPOCH, 10, true, NULL, 0}, {EPOCH, 9, false, NULL, 0}};

	for (size_t i = 0; i < sizeof(reports) / sizeof(reports[0]); i++) {
		assert_int_equal(
		    endpoint_contents_apply_events(&contents, &reports[i]),
		    CONTENTS_LOST);
		assert_int_equal(endpoint_contents_count(&contents), 0);
		/* Events without a list say nothing of the rest. */
		assert_int_equal(apply(10, NULL, 0), CONTENTS_LOST);
		list_applied(state);
	}
}

static void
memory_is_bounded(void **state)
{
	(void)state;
	for (uint32_t i = 0; i < 2 * CONTENTS_PARTS_MAX; i++) {
		contents_change_t changes[] = {
		    {.number = 10 + 2 * (uint64_t)i, .part = 1, .kept = true},
		    {.number = 11 + 2 * (uint64_t)i,
			.part = 100 + i,
			.kept = true}};

		assert_int_equal(
		    apply(12 + 2 * (uint64_t)i, changes, 2), CONTENTS_COMPLETE);
	}
	assert_int_equal(
	    endpoint_contents_count(&contents), CONTENTS_PARTS_MAX);
	assert_true(endpoint_contents_has(&contents, 1));
	assert_false(endpoint_contents_has(&contents, 2));
	assert_true(
	    endpoint_contents_has(&contents, 100 + 2 * CONTENTS_PARTS_MAX - 1));
}

static void
hashes_differ_by_model_and_order(void **state)
{
	uint32_t a = part_hash(1, model_hash("small"));
	uint32_t b = part_hash(2, model_hash("small"));

	(void)state;
	assert_int_not_equal(a, part_hash(1, model_hash("large")));
	assert_int_not_equal(
	    prefix_hash_extend(a, b), prefix_hash_extend(b, a));
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		only_parts_after_kept_ones_count, list_applied, finished),
	    cmocka_unit_test_setup_teardown(
		events_apply_in_the_order_of_their_numbers, list_applied,
		finished),
	    cmocka_unit_test_setup_teardown(
		missing_numbers_are_a_gap_until_the_next_list, list_applied,
		finished),
	    cmocka_unit_test_setup_teardown(
		restart_and_lost_events_discard_all, list_applied, finished),
	    cmocka_unit_test_setup_teardown(
		memory_is_bounded, list_applied, finished),
	    cmocka_unit_test(hashes_differ_by_model_and_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
