/**
 * @file
 * What a daemon knows of rows, and how old it is: changes are told once, an
 * older row is never taken, and a store that is back is told so.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../support/bytes_same.h"
#include "../support/manual_clock.h"
#include "../support/many_members.h"
#include "../support/silent_store.h"
#include "moortack/replication/feed_apply.h"
#include "moortack/replication/feed_wire.h"
#include "moortack/replication/membership.h"
#include "moortack/replication/row_cache.h"
#include "moortack/replication/row_source.h"
#include "moortack/replication/row_watch.h"

#define OLD_MS 2400
#define DAEMONS 40

static row_t
row_of(const char *key, const char *value, uint64_t version)
{
	return (row_t){.key = key,
	    .value = value,
	    .value_len = value != NULL ? strlen(value) : 0,
	    .version = version,
	    .deleted = value == NULL};
}

static void
a_row_is_news_once_and_never_goes_back(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	row_cache_t cache;
	row_t row = row_of("k", "one", 5);

	(void)state;
	row_cache_init(&cache, &clock.source, bytes_same, NULL);
	assert_true(row_cache_put(&cache, ROW_TABLE_ORDERS, &row));
	assert_false(row_cache_put(&cache, ROW_TABLE_ORDERS, &row));
	row = row_of("k", "one", 6);
	assert_false(row_cache_put(&cache, ROW_TABLE_ORDERS, &row));
	assert_int_equal(
	    row_cache_find(&cache, ROW_TABLE_ORDERS, "k")->change, 1);
	row = row_of("k", "old", 4);
	assert_false(row_cache_put(&cache, ROW_TABLE_ORDERS, &row));
	assert_string_equal(
	    row_cache_find(&cache, ROW_TABLE_ORDERS, "k")->value, "one");
	assert_null(row_cache_find(&cache, ROW_TABLE_OWN, "k"));
	row = row_of("k", NULL, 7);
	assert_true(row_cache_put(&cache, ROW_TABLE_ORDERS, &row));
	row = row_of("k", "old", 6);
	assert_false(row_cache_put(&cache, ROW_TABLE_ORDERS, &row));
	row_cache_finish(&cache);
}

static void
rows_come_through_the_wire_as_they_are(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	row_cache_t cache;
	row_t row = row_of("a \"key\"", "{\"x\":\"\\u00e4\"}", 5), read;
	feed_answer_t answer = {.number = 3, .source = 9, .lost = true};
	feed_question_t question, heard;
	feed_answer_t copy;
	row_table_t table;
	char *text, *rows, *asked;

	(void)state;
	row_cache_init(&cache, &clock.source, bytes_same, NULL);
	row_cache_put(&cache, ROW_TABLE_ENDPOINTS, &row);
	answer.rows = json_array();
	answer.tables[ROW_TABLE_OWN] = (feed_table_t){17, 18, 250, true};
	answer.path = json_pack("[s, s]", "parent", "reader");
	answer.held_ms = 420;
	answer.vouched_ms = 700;
	answer.silent = json_pack("[s]", "10.0.0.7:80");
	feed_answer_add(
	    &answer, row_cache_find(&cache, ROW_TABLE_ENDPOINTS, row.key));
	text = feed_answer_text(&answer);
	rows = feed_rows_text(&answer);
	assert_true(
	    feed_answer_read(text, strlen(text), rows, strlen(rows), &copy));
	assert_true(copy.lost);
	assert_true(feed_answer_through(&copy, "reader"));
	assert_false(feed_answer_through(&copy, "me"));
	assert_int_equal(copy.held_ms, 420);
	assert_int_equal(copy.vouched_ms, 700);
	assert_true(json_equal(copy.silent, answer.silent));
	assert_int_equal(copy.tables[ROW_TABLE_OWN].version, 17);
	assert_int_equal(copy.tables[ROW_TABLE_OWN].known, 18);
	assert_int_equal(copy.tables[ROW_TABLE_OWN].age_ms, 250);
	assert_true(copy.tables[ROW_TABLE_OWN].whole);
	assert_false(copy.tables[ROW_TABLE_ORDERS].whole);
	assert_true(feed_answer_row(&copy, 0, &table, &read));
	assert_int_equal(table, ROW_TABLE_ENDPOINTS);
	assert_string_equal(read.key, row.key);
	assert_string_equal(read.value, row.value);
	assert_false(feed_answer_row(&copy, 1, &table, &read));
	question = (feed_question_t){
	    .number = 4, .name = "me", .from = {.versions = {7, 0, 9}}};
	asked = feed_question_text(&question);
	assert_true(feed_question_read(asked, strlen(asked), &heard));
	assert_string_equal(heard.name, "me");
	assert_int_equal(heard.from.versions[ROW_TABLE_OWN], 9);
	feed_question_clear(&heard);
	free(asked);
	feed_answer_clear(&copy);
	assert_false(feed_answer_read("{}", 2, NULL, 0, &copy));
	assert_false(feed_answer_read("nothing", 7, NULL, 0, &copy));
	assert_false(feed_answer_read(text, strlen(text), "nothing", 7, &copy));
	feed_answer_clear(&copy);
	assert_true(feed_answer_read(text, strlen(text), NULL, 0, &copy));
	assert_int_equal(json_array_size(copy.rows), 0);
	feed_answer_clear(&copy);
	free(rows);
	free(text);
	feed_answer_clear(&answer);
	row_cache_finish(&cache);
}

static void
cache_put(void *arg, row_table_t table, const row_t *row)
{
	row_cache_put(arg, table, row);
}

static bool
has_row(const row_cache_t *cache, const char *key)
{
	const cached_row_t *row =
	    row_cache_find(cache, ROW_TABLE_ENDPOINTS, key);

	return row != NULL && row->value != NULL;
}

/* Beats move a row's version on without a word to those who follow, so that
 * what is known from the store may be newer than what a whole answer names. */
static void
a_whole_answer_ends_only_what_it_does_not_name(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	row_cache_t here, there;
	feed_answer_t answer = {.number = 1, .rows = json_array()};
	row_t named = row_of("named", "x", 30);
	row_t gone = row_of("gone", "x", 31);
	row_t later = row_of("later", "x", 90);

	(void)state;
	row_cache_init(&there, &clock.source, bytes_same, NULL);
	row_cache_put(&there, ROW_TABLE_ENDPOINTS, &named);
	row_cache_init(&here, &clock.source, bytes_same, NULL);
	named.version = 50;
	row_cache_put(&here, ROW_TABLE_ENDPOINTS, &named);
	row_cache_put(&here, ROW_TABLE_ENDPOINTS, &gone);
	row_cache_put(&here, ROW_TABLE_ENDPOINTS, &later);
	answer.tables[ROW_TABLE_ENDPOINTS] =
	    (feed_table_t){.version = 60, .known = 60, .whole = true};
	feed_answer_add(
	    &answer, row_cache_find(&there, ROW_TABLE_ENDPOINTS, "named"));
	feed_apply(&answer, &here, cache_put, &here);
	assert_true(has_row(&here, "named"));
	assert_false(has_row(&here, "gone"));
	assert_true(has_row(&here, "later"));
	feed_answer_clear(&answer);
	row_cache_finish(&here);
	row_cache_finish(&there);
}

/* An entry went and came back in the same words between two looks of the one
 * that reads the store: no change to it, nor to who follows it, which goes on
 * telling the row of before. Here the end was seen. */
static void
a_whole_answer_brings_back_what_came_back_unchanged(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	row_cache_t here, there;
	feed_answer_t answer = {.number = 1, .rows = json_array()};
	row_t row = row_of("back", "x", 5);
	row_t end = row_of("back", NULL, 50);
	row_t later = row_of("later", "x", 6);
	row_t later_end = row_of("later", NULL, 70);

	(void)state;
	row_cache_init(&there, &clock.source, bytes_same, NULL);
	row_cache_put(&there, ROW_TABLE_ENDPOINTS, &row);
	row_cache_put(&there, ROW_TABLE_ENDPOINTS, &later);
	row_cache_init(&here, &clock.source, bytes_same, NULL);
	row_cache_put(&here, ROW_TABLE_ENDPOINTS, &row);
	row_cache_put(&here, ROW_TABLE_ENDPOINTS, &end);
	row_cache_put(&here, ROW_TABLE_ENDPOINTS, &later_end);
	answer.tables[ROW_TABLE_ENDPOINTS] =
	    (feed_table_t){.version = 60, .known = 60, .whole = true};
	feed_answer_add(
	    &answer, row_cache_find(&there, ROW_TABLE_ENDPOINTS, "back"));
	feed_answer_add(
	    &answer, row_cache_find(&there, ROW_TABLE_ENDPOINTS, "later"));
	feed_apply(&answer, &here, cache_put, &here);
	assert_true(has_row(&here, "back"));
	/* It went after what the answer tells. */
	assert_false(has_row(&here, "later"));
	feed_answer_clear(&answer);
	row_cache_finish(&here);
	row_cache_finish(&there);
}

/* Whoever read the store again after it had followed another for a time does
 * not go on telling that the store is lost. */
static void
a_store_that_is_back_is_not_told_as_lost(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_ops};
	membership_t members = {0};
	row_source_t source = {.base = base,
	    .clock = &clock.source,
	    .members = &members,
	    .settings = {.old_ms = {OLD_MS, OLD_MS, OLD_MS}},
	    .keyed = true,
	    .server = {.lost = true}};
	const row_t key = {.key = FLEET_KEY_ROW,
	    .value = "0000000000000000000000000000000000000000",
	    .value_len = FLEET_KEY_SIZE - 1,
	    .version = 3};

	(void)state;
	membership_of(&members, &store, &clock.source, 1, DAEMONS);
	row_cache_init(&source.cache, &clock.source, bytes_same, NULL);
	row_cache_put(&source.cache, ROW_TABLE_OWN, &key);
	strcpy(source.secret, key.value);
	strcpy(source.settings.peer_address, "10.0.0.1:81");
	members.order = -1; /* nobody stands before it */
	for (int i = 0; i < ROW_TABLES; i++)
		source.watches[i].watch = (row_watch_t){.clock = &clock.source,
		    .reachable = true,
		    .settled_once = true,
		    .known = {90, 0}};
	/* Who has old rows is of no use yet to those who ask. */
	row_source_tick(&source);
	assert_true(source.server.lost);
	for (int i = 0; i < ROW_TABLES; i++)
		source.watches[i].watch.known = clock.now;
	row_source_tick(&source);
	assert_false(source.server.lost);
	membership_finish(&members);
	event_base_free(base);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_row_is_news_once_and_never_goes_back),
	    cmocka_unit_test(rows_come_through_the_wire_as_they_are),
	    cmocka_unit_test(a_whole_answer_ends_only_what_it_does_not_name),
	    cmocka_unit_test(
		a_whole_answer_brings_back_what_came_back_unchanged),
	    cmocka_unit_test(a_store_that_is_back_is_not_told_as_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
