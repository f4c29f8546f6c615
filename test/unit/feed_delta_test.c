/**
 * @file
 * A large row with a small change: a requester that has the previous value
 * gets the delta, any other one the entire row.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../support/bytes_equal.h"
#include "../support/manual_clock.h"
#include "../support/rows_apply.h"
#include "moortack/replication/feed_delta.h"
#include "moortack/replication/value_delta.h"

#define ROUTES 1400
#define ROUTE_SIZE 256
#define KEY "config"
/* A change of one route is a packet or two. */
#define CHANGE_MAX 2048

/* Routes with random-looking names, which do not compress; the one in the
 * middle and the version at the start differ. */
static char *
configuration(unsigned version)
{
	char *text = malloc((ROUTES + 1) * ROUTE_SIZE);
	size_t len =
	    (size_t)snprintf(text, ROUTE_SIZE, "{\"version\":%u,", version);

	assert_non_null(text);
	for (unsigned i = 0; i < ROUTES; i++) {
		XXH128_hash_t name = XXH3_128bits(&i, sizeof(i));

		len += (size_t)snprintf(text + len, ROUTE_SIZE,
		    "{\"name\":\"r%08x\",\"host\":\"h%08x.example\",\"prefix\":"
		    "\"/%08x/%08x/\",\"type\":\"streaming\",\"quota\":%u}",
		    (unsigned)name.low64, (unsigned)(name.low64 >> 32),
		    (unsigned)name.high64, (unsigned)(name.high64 >> 32),
		    i == ROUTES / 2 ? version : 7);
	}
	return text;
}

typedef struct fixture {
	manual_clock_t clock;
	row_cache_t server, requester;
	feed_position_t position;
} fixture_t;

static void
on_row(void *arg, row_table_t table, const row_t *row)
{
	row_cache_put(arg, table, row);
}

static void
text_put(row_cache_t *cache, const char *text, uint64_t version)
{
	row_t row = {.key = KEY,
	    .value = text,
	    .value_len = strlen(text),
	    .version = version};

	row_cache_put(cache, ROW_TABLE_OPERATOR, &row);
}

static void
config_put(row_cache_t *cache, unsigned version)
{
	char *text = configuration(version);

	text_put(cache, text, version);
	free(text);
}

static void
fixture_init(fixture_t *fixture)
{
	*fixture = (fixture_t){.clock = {{&manual_clock_ops}, {100, 0}}};
	row_cache_init(
	    &fixture->server, &fixture->clock.source, bytes_equal, NULL);
	row_cache_init(
	    &fixture->requester, &fixture->clock.source, bytes_equal, NULL);
	fixture->position.incarnation = 1;
}

static void
fixture_finish(fixture_t *fixture)
{
	row_cache_finish(&fixture->server);
	row_cache_finish(&fixture->requester);
}

/* Makes the requester's next response.
 * @return bytes of its rows */
static size_t
response_make(fixture_t *fixture, feed_response_t *response)
{
	char *text;
	size_t len;

	*response = (feed_response_t){
	    .change = fixture->server.last_change, .rows = json_array()};
	feed_rows_fill(&fixture->server, &fixture->position, true, response);
	text = feed_rows_encode(response);
	len = strlen(text);
	free(text);
	return len;
}

static void
response_apply(fixture_t *fixture, feed_response_t *response)
{
	assert_true(feed_delta_resolve(response, &fixture->requester));
	feed_rows_apply(
	    response, &fixture->requester, on_row, &fixture->requester);
	fixture->position.change = response->change;
	feed_response_clear(response);
}

static size_t
response_pass(fixture_t *fixture)
{
	feed_response_t response;
	size_t len = response_make(fixture, &response);

	response_apply(fixture, &response);
	return len;
}

static void
assert_requester_has_row(const fixture_t *fixture)
{
	const cached_row_t *sent =
	    row_cache_find(&fixture->server, ROW_TABLE_OPERATOR, KEY);
	const cached_row_t *cached =
	    row_cache_find(&fixture->requester, ROW_TABLE_OPERATOR, KEY);

	assert_non_null(cached);
	assert_int_equal(cached->version, sent->version);
	assert_int_equal(cached->value_len, sent->value_len);
	assert_memory_equal(cached->value, sent->value, sent->value_len);
}

static void
a_change_of_one_route_is_sent_as_a_delta(void **state)
{
	fixture_t fixture;

	(void)state;
	fixture_init(&fixture);
	config_put(&fixture.server, 10);
	assert_true(response_pass(&fixture) > ROUTES * 100);
	assert_requester_has_row(&fixture);
	config_put(&fixture.server, 11);
	assert_in_range(response_pass(&fixture), 1, CHANGE_MAX);
	assert_requester_has_row(&fixture);
	fixture_finish(&fixture);
}

/* Changes that are faster than the responses. */
static void
a_requester_a_few_changes_behind_gets_a_delta(void **state)
{
	fixture_t fixture;

	(void)state;
	fixture_init(&fixture);
	config_put(&fixture.server, 10);
	response_pass(&fixture);
	for (unsigned version = 11; version <= 14; version++)
		config_put(&fixture.server, version);
	assert_in_range(response_pass(&fixture), 1, CHANGE_MAX);
	assert_requester_has_row(&fixture);
	for (unsigned version = 15; version <= 30; version++)
		config_put(&fixture.server, version);
	assert_true(response_pass(&fixture) > ROUTES * 100);
	assert_requester_has_row(&fixture);
	fixture_finish(&fixture);
}

/* The requester has got its value from another daemon or from the store in the
 * meantime. */
static void
a_delta_to_another_value_is_refused(void **state)
{
	feed_response_t response;
	fixture_t fixture;

	(void)state;
	fixture_init(&fixture);
	config_put(&fixture.server, 10);
	response_pass(&fixture);
	config_put(&fixture.server, 12);
	response_make(&fixture, &response);
	config_put(&fixture.requester, 11);
	assert_false(feed_delta_resolve(&response, &fixture.requester));
	feed_response_clear(&response);
	response_make(&fixture, &response);
	config_put(&fixture.requester, 12);
	assert_true(feed_delta_resolve(&response, &fixture.requester));
	response_apply(&fixture, &response);
	assert_requester_has_row(&fixture);
	fixture_finish(&fixture);
}

static void
malformed_deltas_are_refused(void **state)
{
	static const char *const cases[] = {
	    "[[0, \"config\", 11, 10, \"AAAA\"]]",
	    "[[0, \"config\", 11, 10, \"not base64!\"]]",
	    "[[0, \"config\", 11, 10, 5]]",
	    "[[0, \"config\", 11, 9, \"AAAA\"]]",
	    "[[0, \"other\", 11, 10, \"AAAA\"]]",
	    "[[9, \"config\", 11, 10, \"\"]]", "[[0, 5, 11, 10, \"\"]]"};
	fixture_t fixture;

	(void)state;
	fixture_init(&fixture);
	config_put(&fixture.requester, 10);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		feed_response_t response = {
		    .rows = json_loads(cases[i], 0, NULL)};

		assert_non_null(response.rows);
		assert_false(feed_delta_resolve(&response, &fixture.requester));
		feed_response_clear(&response);
	}
	fixture_finish(&fixture);
}

static void
a_delta_needs_its_base(void **state)
{
	char *base = configuration(10), *updated = configuration(11);
	feed_bytes_t delta, value;

	(void)state;
	assert_true(value_delta_make(
	    base, strlen(base), updated, strlen(updated), &delta));
	assert_true(value_delta_apply(
	    base, strlen(base), delta.data, delta.len, &value));
	assert_string_equal(value.data, updated);
	free(value.data);
	base[strlen(base) / 3] ^= 1;
	assert_false(value_delta_apply(
	    base, strlen(base), delta.data, delta.len, &value));
	assert_false(
	    value_delta_apply(base, strlen(base), delta.data, 9, &value));
	free(delta.data);
	free(base);
	free(updated);
}

/* Without changes, a daemon keeps one value of each row. */
static void
prior_values_are_dropped_after_a_while(void **state)
{
	const cached_row_t *row;
	fixture_t fixture;

	(void)state;
	fixture_init(&fixture);
	config_put(&fixture.server, 10);
	config_put(&fixture.server, 11);
	row = row_cache_find(&fixture.server, ROW_TABLE_OPERATOR, KEY);
	assert_non_null(row->prior_values);
	fixture.clock.now.tv_sec += 20;
	row_cache_trim(&fixture.server);
	assert_null(row->prior_values);
	text_put(&fixture.server, "short", 12);
	text_put(&fixture.server, "short too", 13);
	row_cache_trim(&fixture.server);
	assert_non_null(row->prior_values);
	assert_int_equal(row->prior_values->version, 11);
	assert_null(row->prior_values->older);
	fixture_finish(&fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_change_of_one_route_is_sent_as_a_delta),
	    cmocka_unit_test(a_requester_a_few_changes_behind_gets_a_delta),
	    cmocka_unit_test(a_delta_to_another_value_is_refused),
	    cmocka_unit_test(malformed_deltas_are_refused),
	    cmocka_unit_test(a_delta_needs_its_base),
	    cmocka_unit_test(prior_values_are_dropped_after_a_while),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
