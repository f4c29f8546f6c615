/**
 * @file
 * Summaries of rows, by which daemons find out in which rows they differ.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "moortack/replication/row_summary.h"

#define ROWS 5000

/* @param skip a row that is left out; -1: none */
static void
summary_fill(row_summary_t *summary, int skip)
{
	memset(summary, 0, sizeof(*summary));
	summary->len = ROW_SUMMARY_MAX;
	for (int i = ROWS - 1; i >= 0; i--) {
		char key[16];

		snprintf(key, sizeof(key), "row-%d", i);
		if (i != skip)
			row_summary_toggle(summary, row_summary_hash(key),
			    0x9e3779b97f4a7c15 * (uint64_t)(i + 1));
	}
}

static size_t
buckets_count(const row_bucket_set_t *set)
{
	size_t count = 0;

	for (uint32_t i = 0; i < set->len; i++)
		count += row_bucket_set_has(set, i);
	return count;
}

static void
only_buckets_with_other_rows_differ(void **state)
{
	static row_summary_t all, fewer, folded;
	row_bucket_set_t differ;

	(void)state;
	summary_fill(&all, -1);
	summary_fill(&fewer, 77);
	row_summary_compare(&all, &all, &differ);
	assert_int_equal(buckets_count(&differ), 0);
	row_summary_compare(&all, &fewer, &differ);
	assert_int_equal(buckets_count(&differ), 1);
	assert_true(row_bucket_set_has(&differ, row_summary_hash("row-77")));
	/* The summary of the other one may have fewer buckets. */
	row_summary_fold(&fewer, 500, &folded);
	assert_int_equal(folded.len, 64);
	row_summary_compare(&all, &folded, &differ);
	assert_int_equal(differ.len, 64);
	assert_int_equal(buckets_count(&differ), 1);
	assert_true(row_bucket_set_has(&differ, row_summary_hash("row-77")));
}

static void
the_number_of_buckets_suits_that_of_rows(void **state)
{
	static row_summary_t all, folded;

	(void)state;
	summary_fill(&all, -1);
	row_summary_fold(&all, 0, &folded);
	assert_int_equal(folded.len, 16);
	row_summary_fold(&all, 129, &folded);
	assert_int_equal(folded.len, 32);
	row_summary_fold(&all, 1000000, &folded);
	assert_int_equal(folded.len, ROW_SUMMARY_MAX);
	assert_memory_equal(folded.digests, all.digests, sizeof(all.digests));
}

static void
summaries_are_decoded_as_encoded(void **state)
{
	static row_summary_t all, decoded;
	row_bucket_set_t set = {.len = 64, .bits = {1, 0, 0x80}}, received;
	json_t *text;

	(void)state;
	summary_fill(&all, -1);
	text = row_summary_encode(&all);
	row_summary_decode(text, &decoded);
	json_decref(text);
	assert_int_equal(decoded.len, all.len);
	assert_memory_equal(decoded.digests, all.digests, sizeof(all.digests));
	text = row_bucket_set_encode(&set);
	assert_true(row_bucket_set_decode(text, &received));
	json_decref(text);
	assert_int_equal(received.len, 64);
	assert_int_equal(buckets_count(&received), 2);
	assert_true(row_bucket_set_has(&received, 23));
}

static void
invalid_texts_are_no_summary(void **state)
{
	static const char *const invalid[] = {
	    "", "AAAA", "no base64!", "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"};
	static row_summary_t summary;
	row_bucket_set_t set;

	(void)state;
	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		json_t *text = json_string(invalid[i]);

		row_summary_decode(text, &summary);
		assert_int_equal(summary.len, 0);
		assert_false(row_bucket_set_decode(text, &set));
		assert_int_equal(set.len, 0);
		json_decref(text);
	}
	row_summary_decode(NULL, &summary);
	assert_int_equal(summary.len, 0);
	assert_false(row_bucket_set_decode(json_null(), &set));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(only_buckets_with_other_rows_differ),
	    cmocka_unit_test(the_number_of_buckets_suits_that_of_rows),
	    cmocka_unit_test(summaries_are_decoded_as_encoded),
	    cmocka_unit_test(invalid_texts_are_no_summary),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
