/**
 * @file
 * Counts of usage stay exact while they are passed on more than once, on
 * several ways, and through daemons that change their parent.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "moortack/duty/usage_counts.h"

#define OPEN_WINDOW 8

static uint64_t
requests_of(
    const usage_counts_t *counts, int64_t window, const char *organisation)
{
	usage_sum_t *sums;
	size_t len = usage_counts_sum(counts, window, &sums);
	uint64_t requests = 0;

	for (size_t i = 0; i < len; i++) {
		if (strcmp(sums[i].organisation, organisation) == 0)
			requests = sums[i].requests;
	}
	free(sums);
	return requests;
}

static void
count(usage_counts_t *counts, int64_t window, const char *name, int times)
{
	for (int i = 0; i < times; i++)
		usage_counts_add(counts, window, name);
}

/* @return whether there was anything to pass on */
static bool
pass_on(usage_counts_t *from, usage_counts_t *to, bool responded)
{
	json_t *list = usage_counts_export(from, OPEN_WINDOW);
	bool any = list != NULL;

	usage_counts_import(to, list);
	json_decref(list);
	if (responded)
		usage_counts_export_received(from);
	return any;
}

static void
counts_are_summed_over_daemons(void **state)
{
	usage_counts_t leaf, relay, root;

	(void)state;
	usage_counts_init(&leaf, 1);
	usage_counts_init(&relay, 2);
	usage_counts_init(&root, 3);
	count(&leaf, 7, "a", 3);
	count(&relay, 7, "a", 2);
	count(&relay, 7, "b", 1);
	count(&root, 7, "b", 4);
	pass_on(&leaf, &relay, true);
	pass_on(&relay, &root, true);
	assert_int_equal(requests_of(&root, 7, "a"), 5);
	assert_int_equal(requests_of(&root, 7, "b"), 5);
	assert_int_equal(requests_of(&root, 6, "a"), 0);
	usage_counts_finish(&leaf);
	usage_counts_finish(&relay);
	usage_counts_finish(&root);
}

static void
lost_response_is_not_counted_twice(void **state)
{
	usage_counts_t leaf, root;

	(void)state;
	usage_counts_init(&leaf, 1);
	usage_counts_init(&root, 2);
	count(&leaf, 7, "a", 3);
	assert_true(pass_on(&leaf, &root, false));
	count(&leaf, 7, "a", 1);
	assert_true(pass_on(&leaf, &root, true));
	assert_int_equal(requests_of(&root, 7, "a"), 4);
	assert_false(pass_on(&leaf, &root, true));
	usage_counts_finish(&leaf);
	usage_counts_finish(&root);
}

static void
change_of_parent_is_not_counted_twice(void **state)
{
	usage_counts_t leaf, first, second, root;

	(void)state;
	usage_counts_init(&leaf, 1);
	usage_counts_init(&first, 2);
	usage_counts_init(&second, 3);
	usage_counts_init(&root, 4);
	count(&leaf, 7, "a", 3);
	pass_on(&leaf, &first, true);
	pass_on(&first, &root, true);
	usage_counts_export_restart(&leaf);
	assert_true(pass_on(&leaf, &second, true));
	count(&leaf, 7, "a", 2);
	pass_on(&leaf, &second, true);
	pass_on(&second, &root, true);
	/* What the former parent passes on again is older. */
	usage_counts_export_restart(&first);
	pass_on(&first, &root, true);
	assert_int_equal(requests_of(&root, 7, "a"), 5);
	usage_counts_finish(&leaf);
	usage_counts_finish(&first);
	usage_counts_finish(&second);
	usage_counts_finish(&root);
}

static void
parent_holds_open_window_of_follower(void **state)
{
	usage_counts_t leaf, relay, root;

	(void)state;
	usage_counts_init(&leaf, 1);
	usage_counts_init(&relay, 2);
	usage_counts_init(&root, 3);
	count(&leaf, OPEN_WINDOW, "a", 3);
	pass_on(&leaf, &relay, true);
	assert_int_equal(requests_of(&relay, OPEN_WINDOW, "a"), 3);
	assert_false(pass_on(&relay, &root, true));
	usage_counts_finish(&leaf);
	usage_counts_finish(&relay);
	usage_counts_finish(&root);
}

static void
reported_window_is_closed(void **state)
{
	usage_counts_t leaf, root;

	(void)state;
	usage_counts_init(&leaf, 1);
	usage_counts_init(&root, 2);
	count(&leaf, 6, "a", 1);
	count(&leaf, 7, "a", 1);
	usage_counts_forget(&root, 6);
	pass_on(&leaf, &root, true);
	assert_false(usage_counts_has_window(&root, 6));
	assert_true(usage_counts_has_window(&root, 7));
	count(&root, 6, "a", 1);
	assert_int_equal(root.dropped, 1);
	usage_counts_finish(&leaf);
	usage_counts_finish(&root);
}

static void
malformed_export_is_ignored(void **state)
{
	static const char *const texts[] = {"null", "{}", "[1]", "[[]]",
	    "[[5]]", "[[0, 7, {\"a\": 1}]]", "[[5, 7, {\"a\": -1}]]",
	    "[[5, 7, {\"a\": \"1\"}]]", "[[5, 7, [1]]]",
	    "[[5, 7, {\"a\": 99999999999}]]"};
	usage_counts_t root;

	(void)state;
	usage_counts_init(&root, 2);
	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		json_t *list = json_loads(texts[i], JSON_DECODE_ANY, NULL);

		usage_counts_import(&root, list);
		json_decref(list);
	}
	assert_int_equal(requests_of(&root, 7, "a"), 0);
	usage_counts_finish(&root);
}

/* The counts of a store outage are kept, but not without bound. */
static void
old_windows_are_dropped(void **state)
{
	usage_counts_t counts;

	(void)state;
	usage_counts_init(&counts, 1);
	for (int64_t window = 1; window <= 2 * USAGE_WINDOWS_MAX; window++)
		count(&counts, window, "a", 1);
	assert_int_equal(HASH_COUNT(counts.entries), USAGE_WINDOWS_MAX);
	assert_true(usage_counts_has_window(&counts, USAGE_WINDOWS_MAX + 1));
	usage_counts_finish(&counts);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(counts_are_summed_over_daemons),
	    cmocka_unit_test(lost_response_is_not_counted_twice),
	    cmocka_unit_test(change_of_parent_is_not_counted_twice),
	    cmocka_unit_test(parent_holds_open_window_of_follower),
	    cmocka_unit_test(reported_window_is_closed),
	    cmocka_unit_test(malformed_export_is_ignored),
	    cmocka_unit_test(old_windows_are_dropped),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
