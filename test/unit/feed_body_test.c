/**
 * @file
 * Cache of encoded responses. Without it, 301 daemons that started together
 * with 5,900 endpoints made their common parent take over a second for each
 * response: its followers left it, and requested all rows from the next one. A
 * body that was encoded for one requester is sent to all that have the same
 * rows, until something changes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "../support/bytes_equal.h"
#include "../support/manual_clock.h"
#include "moortack/replication/feed_body.h"

#define INCARNATION 7
#define ENDPOINTS 200

typedef struct fixture {
	manual_clock_t clock;
	row_cache_t cache;
	feed_body_cache_t bodies;
} fixture_t;

static void
endpoint_row_put(
    fixture_t *fixture, int number, const char *value, uint64_t version)
{
	char key[16];
	row_t row = {.key = key,
	    .value = value,
	    .value_len = strlen(value),
	    .version = version};

	snprintf(key, sizeof(key), "e-%d", number);
	row_cache_put(&fixture->cache, ROW_TABLE_ENDPOINTS, &row);
}

static int
setup(void **state)
{
	fixture_t *fixture = calloc(1, sizeof(*fixture));

	fixture->clock = (manual_clock_t){{&manual_clock_ops}, {100, 0}};
	row_cache_init(
	    &fixture->cache, &fixture->clock.source, bytes_equal, NULL);
	for (int i = 0; i < ENDPOINTS; i++)
		endpoint_row_put(fixture, i, "ready", (uint64_t)i + 1);
	*state = fixture;
	return 0;
}

static int
teardown(void **state)
{
	fixture_t *fixture = *state;

	feed_body_cache_finish(&fixture->bodies);
	row_cache_finish(&fixture->cache);
	free(fixture);
	return 0;
}

/* Number of rows that a requester gets, decoded as it decodes them. */
static size_t
rows_received(fixture_t *fixture, const feed_position_t *position)
{
	feed_response_t response = {.request_id = 1}, decoded;
	const feed_bytes_t *bytes = feed_body_cache_get(&fixture->bodies,
	    &fixture->cache, INCARNATION, position, &response);
	char *head = feed_response_encode(&response);
	feed_bytes_t text = {0};
	size_t count;

	assert_non_null(bytes);
	if (bytes->len > 0)
		assert_true(feed_unpack(bytes->data, bytes->len, &text));
	assert_true(feed_response_decode(
	    head, strlen(head), text.data, text.len, &decoded));
	count = json_array_size(decoded.rows);
	feed_response_clear(&decoded);
	free(text.data);
	free(head);
	return count;
}

static void
starting_daemons_get_the_same_bytes(void **state)
{
	fixture_t *fixture = *state;
	feed_position_t starter = {0};

	for (int i = 0; i < 18; i++)
		assert_int_equal(rows_received(fixture, &starter), ENDPOINTS);
	assert_int_equal(fixture->bodies.encoded, 1);
	endpoint_row_put(fixture, 3, "draining", 500);
	assert_int_equal(rows_received(fixture, &starter), ENDPOINTS);
	assert_int_equal(fixture->bodies.encoded, 2);
}

static void
requesters_with_the_same_rows_get_the_same_change(void **state)
{
	fixture_t *fixture = *state;
	feed_position_t follower = {.incarnation = INCARNATION,
	    .change = fixture->cache.last_change,
	    .versions = {500, 500, 500}};
	feed_position_t starter = {0};

	assert_int_equal(rows_received(fixture, &follower), 0);
	endpoint_row_put(fixture, 3, "draining", 501);
	for (int i = 0; i < 18; i++) {
		assert_int_equal(rows_received(fixture, &follower), 1);
		assert_int_equal(rows_received(fixture, &starter), ENDPOINTS);
	}
	assert_int_equal(fixture->bodies.encoded, 3);
	follower.change = fixture->cache.last_change;
	assert_int_equal(rows_received(fixture, &follower), 0);
}

/* The version decides which deletions a requester gets. */
static void
a_new_version_of_an_unchanged_row_renews_full_tables(void **state)
{
	fixture_t *fixture = *state;
	feed_position_t starter = {0};
	uint64_t change = fixture->cache.last_change;

	rows_received(fixture, &starter);
	endpoint_row_put(fixture, 3, "ready", 500);
	assert_int_equal(fixture->cache.last_change, change);
	rows_received(fixture, &starter);
	assert_int_equal(fixture->bodies.encoded, 2);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		starting_daemons_get_the_same_bytes, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		requesters_with_the_same_rows_get_the_same_change, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		a_new_version_of_an_unchanged_row_renews_full_tables, setup,
		teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
