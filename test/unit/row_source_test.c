/**
 * @file
 * The rows that a daemon has, and their age: changes are reported once, an
 * older version never replaces a newer one, and followers learn that the store
 * is available again.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../support/bytes_equal.h"
#include "../support/manual_clock.h"
#include "../support/many_members.h"
#include "../support/rows_apply.h"
#include "../support/silent_store.h"
#include "moortack/replication/feed_wire.h"
#include "moortack/replication/membership.h"
#include "moortack/replication/row_cache.h"
#include "moortack/replication/row_source.h"
#include "moortack/replication/row_watch.h"

#define MAX_AGE_MS 2400
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
a_row_changes_once_and_never_reverts(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	row_cache_t cache;
	row_t row = row_of("k", "one", 5);

	(void)state;
	row_cache_init(&cache, &clock.source, bytes_equal, NULL);
	assert_true(row_cache_put(&cache, ROW_TABLE_OPERATOR, &row));
	assert_false(row_cache_put(&cache, ROW_TABLE_OPERATOR, &row));
	row = row_of("k", "one", 6);
	assert_false(row_cache_put(&cache, ROW_TABLE_OPERATOR, &row));
	assert_int_equal(
	    row_cache_find(&cache, ROW_TABLE_OPERATOR, "k")->change, 1);
	row = row_of("k", "old", 4);
	assert_false(row_cache_put(&cache, ROW_TABLE_OPERATOR, &row));
	assert_string_equal(
	    row_cache_find(&cache, ROW_TABLE_OPERATOR, "k")->value, "one");
	assert_null(row_cache_find(&cache, ROW_TABLE_SYSTEM, "k"));
	row = row_of("k", NULL, 7);
	assert_true(row_cache_put(&cache, ROW_TABLE_OPERATOR, &row));
	row = row_of("k", "old", 6);
	assert_false(row_cache_put(&cache, ROW_TABLE_OPERATOR, &row));
	row_cache_finish(&cache);
}

static void
encoded_rows_are_decoded_unchanged(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	row_cache_t cache;
	row_t row = row_of("a \"key\"", "{\"x\":\"\\u00e4\"}", 5), received_row;
	feed_response_t response = {
	    .request_id = 3, .incarnation = 9, .store_unavailable = true};
	feed_request_t request, received_request;
	feed_response_t decoded;
	row_table_t table;
	char *text, *rows, *request_text;

	(void)state;
	row_cache_init(&cache, &clock.source, bytes_equal, NULL);
	row_cache_put(&cache, ROW_TABLE_ENDPOINTS, &row);
	response.rows = json_array();
	response.tables[ROW_TABLE_SYSTEM] =
	    (feed_table_state_t){17, 18, 250, true, {0}};
	response.path = json_pack("[s, s]", "parent", "reader");
	response.held_ms = 420;
	response.liveness_age_ms = 700;
	response.silent = json_pack("[s]", "10.0.0.7:80");
	feed_response_add_row(
	    &response, row_cache_find(&cache, ROW_TABLE_ENDPOINTS, row.key));
	text = feed_response_encode(&response);
	rows = feed_rows_encode(&response);
	assert_true(feed_response_decode(
	    text, strlen(text), rows, strlen(rows), &decoded));
	assert_true(decoded.store_unavailable);
	assert_true(feed_response_path_contains(&decoded, "reader"));
	assert_false(feed_response_path_contains(&decoded, "me"));
	assert_int_equal(decoded.held_ms, 420);
	assert_int_equal(decoded.liveness_age_ms, 700);
	assert_true(json_equal(decoded.silent, response.silent));
	assert_int_equal(decoded.tables[ROW_TABLE_SYSTEM].version, 17);
	assert_int_equal(
	    decoded.tables[ROW_TABLE_SYSTEM].deletions_version, 18);
	assert_int_equal(decoded.tables[ROW_TABLE_SYSTEM].age_ms, 250);
	assert_true(decoded.tables[ROW_TABLE_SYSTEM].full);
	assert_false(decoded.tables[ROW_TABLE_OPERATOR].full);
	assert_true(feed_response_row(&decoded, 0, &table, &received_row));
	assert_int_equal(table, ROW_TABLE_ENDPOINTS);
	assert_string_equal(received_row.key, row.key);
	assert_string_equal(received_row.value, row.value);
	assert_false(feed_response_row(&decoded, 1, &table, &received_row));
	request = (feed_request_t){
	    .id = 4, .name = "me", .position = {.versions = {7, 0, 9}}};
	request_text = feed_request_encode(&request);
	assert_true(feed_request_decode(
	    request_text, strlen(request_text), &received_request));
	assert_string_equal(received_request.name, "me");
	assert_int_equal(
	    received_request.position.versions[ROW_TABLE_SYSTEM], 9);
	feed_request_clear(&received_request);
	free(request_text);
	feed_response_clear(&decoded);
	assert_false(feed_response_decode("{}", 2, NULL, 0, &decoded));
	assert_false(feed_response_decode("nothing", 7, NULL, 0, &decoded));
	assert_false(
	    feed_response_decode(text, strlen(text), "nothing", 7, &decoded));
	feed_response_clear(&decoded);
	assert_true(
	    feed_response_decode(text, strlen(text), NULL, 0, &decoded));
	assert_int_equal(json_array_size(decoded.rows), 0);
	feed_response_clear(&decoded);
	free(rows);
	free(text);
	feed_response_clear(&response);
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

/* Heartbeats increase a row's version without a change that is sent to
 * followers, so that rows from the store may be newer than those of a full
 * table. */
static void
a_full_table_deletes_only_unlisted_rows(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	row_cache_t receiver, sender;
	feed_response_t response = {.request_id = 1, .rows = json_array()};
	row_t listed = row_of("named", "x", 30);
	row_t unlisted = row_of("gone", "x", 31);
	row_t later = row_of("later", "x", 90);

	(void)state;
	row_cache_init(&sender, &clock.source, bytes_equal, NULL);
	row_cache_put(&sender, ROW_TABLE_ENDPOINTS, &listed);
	row_cache_init(&receiver, &clock.source, bytes_equal, NULL);
	listed.version = 50;
	row_cache_put(&receiver, ROW_TABLE_ENDPOINTS, &listed);
	row_cache_put(&receiver, ROW_TABLE_ENDPOINTS, &unlisted);
	row_cache_put(&receiver, ROW_TABLE_ENDPOINTS, &later);
	response.tables[ROW_TABLE_ENDPOINTS] = (feed_table_state_t){
	    .version = 60, .deletions_version = 60, .full = true};
	feed_response_add_row(
	    &response, row_cache_find(&sender, ROW_TABLE_ENDPOINTS, "named"));
	feed_rows_apply(&response, &receiver, cache_put, &receiver);
	assert_true(has_row(&receiver, "named"));
	assert_false(has_row(&receiver, "gone"));
	assert_true(has_row(&receiver, "later"));
	feed_response_clear(&response);
	row_cache_finish(&receiver);
	row_cache_finish(&sender);
}

/* A row was deleted and written again unchanged between two polls of the daemon
 * that reads the store. That is no change to it, nor to its followers, so it
 * goes on sending the previous version. The receiver has seen the deletion. */
static void
a_full_table_restores_a_row_written_again_unchanged(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	row_cache_t receiver, sender;
	feed_response_t response = {.request_id = 1, .rows = json_array()};
	row_t row = row_of("back", "x", 5);
	row_t deletion = row_of("back", NULL, 50);
	row_t later = row_of("later", "x", 6);
	row_t later_deletion = row_of("later", NULL, 70);

	(void)state;
	row_cache_init(&sender, &clock.source, bytes_equal, NULL);
	row_cache_put(&sender, ROW_TABLE_ENDPOINTS, &row);
	row_cache_put(&sender, ROW_TABLE_ENDPOINTS, &later);
	row_cache_init(&receiver, &clock.source, bytes_equal, NULL);
	row_cache_put(&receiver, ROW_TABLE_ENDPOINTS, &row);
	row_cache_put(&receiver, ROW_TABLE_ENDPOINTS, &deletion);
	row_cache_put(&receiver, ROW_TABLE_ENDPOINTS, &later_deletion);
	response.tables[ROW_TABLE_ENDPOINTS] = (feed_table_state_t){
	    .version = 60, .deletions_version = 60, .full = true};
	feed_response_add_row(
	    &response, row_cache_find(&sender, ROW_TABLE_ENDPOINTS, "back"));
	feed_response_add_row(
	    &response, row_cache_find(&sender, ROW_TABLE_ENDPOINTS, "later"));
	feed_rows_apply(&response, &receiver, cache_put, &receiver);
	assert_true(has_row(&receiver, "back"));
	/* It was deleted after the version of the response. */
	assert_false(has_row(&receiver, "later"));
	feed_response_clear(&response);
	row_cache_finish(&receiver);
	row_cache_finish(&sender);
}

/* A daemon that reads the store again after it followed another must not go on
 * reporting the store as unavailable. */
static void
an_available_store_is_not_reported_as_unavailable(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	row_store_t store = {.ops = &silent_store_ops};
	membership_t members = {0};
	const row_sync_ops_t no_ops = {0};
	row_sync_t sync = {.base = base,
	    .clock = &clock.source,
	    .members = &members,
	    .ops = &no_ops,
	    .settings = {.max_age_ms = {MAX_AGE_MS, MAX_AGE_MS, MAX_AGE_MS}},
	    .has_key = true,
	    .server = {.store_unavailable = true}};
	const row_t key = {.key = FLEET_KEY_ROW,
	    .value = "0000000000000000000000000000000000000000",
	    .value_len = FLEET_KEY_SIZE - 1,
	    .version = 3};

	(void)state;
	membership_init_with_members(
	    &members, &store, &clock.source, 1, DAEMONS);
	row_cache_init(&sync.cache, &clock.source, bytes_equal, NULL);
	row_cache_put(&sync.cache, ROW_TABLE_SYSTEM, &key);
	strcpy(sync.fleet_key, key.value);
	strcpy(sync.settings.peer_address, "10.0.0.1:81");
	members.sort_key = -1; /* it is the first in the order */
	for (int i = 0; i < ROW_TABLES; i++)
		sync.watches[i].watch = (row_watch_t){.clock = &clock.source,
		    .reachable = true,
		    .synced_once = true,
		    .synced_at = {90, 0}};
	/* With outdated rows, it is of no use to its followers yet. */
	row_sync_tick(&sync);
	assert_true(sync.server.store_unavailable);
	for (int i = 0; i < ROW_TABLES; i++)
		sync.watches[i].watch.synced_at = clock.now;
	row_sync_tick(&sync);
	assert_false(sync.server.store_unavailable);
	row_cache_finish(&sync.cache);
	membership_finish(&members);
	event_base_free(base);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_row_changes_once_and_never_reverts),
	    cmocka_unit_test(encoded_rows_are_decoded_unchanged),
	    cmocka_unit_test(a_full_table_deletes_only_unlisted_rows),
	    cmocka_unit_test(
		a_full_table_restores_a_row_written_again_unchanged),
	    cmocka_unit_test(an_available_store_is_not_reported_as_unavailable),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
