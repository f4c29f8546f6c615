/**
 * @file
 * A large row of which little changes: it is told as that little to those who
 * know the row of before, and whole to all others.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../support/bytes_same.h"
#include "../support/manual_clock.h"
#include "moortack/replication/feed_apply.h"
#include "moortack/replication/feed_delta.h"
#include "moortack/replication/value_delta.h"

#define ROUTES 1400
#define ROUTE_SIZE 256
#define KEY "config"
/* A change of one route is a packet or two. */
#define CHANGE_MAX 2048

/* Routes with names that nothing can be told from; the one in the middle and
 * the version at the start differ. */
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

typedef struct world {
	manual_clock_t clock;
	row_cache_t teller, asker;
	feed_point_t from;
} world_t;

static void
row_told(void *arg, row_table_t table, const row_t *row)
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

	row_cache_put(cache, ROW_TABLE_ORDERS, &row);
}

static void
config_put(row_cache_t *cache, unsigned version)
{
	char *text = configuration(version);

	text_put(cache, text, version);
	free(text);
}

static void
world_init(world_t *world)
{
	*world = (world_t){.clock = {{&manual_clock_ops}, {100, 0}}};
	row_cache_init(&world->teller, &world->clock.source, bytes_same, NULL);
	row_cache_init(&world->asker, &world->clock.source, bytes_same, NULL);
	world->from.source = 1;
}

static void
world_finish(world_t *world)
{
	row_cache_finish(&world->teller);
	row_cache_finish(&world->asker);
}

/* The asker's next answer.
 * @return bytes of its rows */
static size_t
answer_make(world_t *world, feed_answer_t *answer)
{
	char *text;
	size_t len;

	*answer = (feed_answer_t){
	    .change = world->teller.change, .rows = json_array()};
	feed_fill_rows(&world->teller, &world->from, true, answer);
	text = feed_rows_text(answer);
	len = strlen(text);
	free(text);
	return len;
}

static void
answer_apply(world_t *world, feed_answer_t *answer)
{
	assert_true(feed_delta_resolve(answer, &world->asker));
	feed_apply(answer, &world->asker, row_told, &world->asker);
	world->from.change = answer->change;
	feed_answer_clear(answer);
}

static size_t
answer_pass(world_t *world)
{
	feed_answer_t answer;
	size_t len = answer_make(world, &answer);

	answer_apply(world, &answer);
	return len;
}

static void
assert_same(const world_t *world)
{
	const cached_row_t *told =
	    row_cache_find(&world->teller, ROW_TABLE_ORDERS, KEY);
	const cached_row_t *known =
	    row_cache_find(&world->asker, ROW_TABLE_ORDERS, KEY);

	assert_non_null(known);
	assert_int_equal(known->version, told->version);
	assert_int_equal(known->value_len, told->value_len);
	assert_memory_equal(known->value, told->value, told->value_len);
}

static void
a_change_of_one_route_travels_as_that_change(void **state)
{
	world_t world;

	(void)state;
	world_init(&world);
	config_put(&world.teller, 10);
	assert_true(answer_pass(&world) > ROUTES * 100);
	assert_same(&world);
	config_put(&world.teller, 11);
	assert_in_range(answer_pass(&world), 1, CHANGE_MAX);
	assert_same(&world);
	world_finish(&world);
}

/* Changes that come faster than answers get there. */
static void
who_is_a_few_changes_behind_builds_on_what_it_has(void **state)
{
	world_t world;

	(void)state;
	world_init(&world);
	config_put(&world.teller, 10);
	answer_pass(&world);
	for (unsigned version = 11; version <= 14; version++)
		config_put(&world.teller, version);
	assert_in_range(answer_pass(&world), 1, CHANGE_MAX);
	assert_same(&world);
	for (unsigned version = 15; version <= 30; version++)
		config_put(&world.teller, version);
	assert_true(answer_pass(&world) > ROUTES * 100);
	assert_same(&world);
	world_finish(&world);
}

/* Its last answer was another daemon's, or the store told it meanwhile. */
static void
another_value_is_not_built_on(void **state)
{
	feed_answer_t answer;
	world_t world;

	(void)state;
	world_init(&world);
	config_put(&world.teller, 10);
	answer_pass(&world);
	config_put(&world.teller, 12);
	answer_make(&world, &answer);
	config_put(&world.asker, 11);
	assert_false(feed_delta_resolve(&answer, &world.asker));
	feed_answer_clear(&answer);
	answer_make(&world, &answer);
	config_put(&world.asker, 12);
	assert_true(feed_delta_resolve(&answer, &world.asker));
	answer_apply(&world, &answer);
	assert_same(&world);
	world_finish(&world);
}

static void
what_is_no_delta_makes_no_value(void **state)
{
	static const char *const told[] = {
	    "[[0, \"config\", 11, 10, \"AAAA\"]]",
	    "[[0, \"config\", 11, 10, \"not base64!\"]]",
	    "[[0, \"config\", 11, 10, 5]]",
	    "[[0, \"config\", 11, 9, \"AAAA\"]]",
	    "[[0, \"other\", 11, 10, \"AAAA\"]]",
	    "[[9, \"config\", 11, 10, \"\"]]", "[[0, 5, 11, 10, \"\"]]"};
	world_t world;

	(void)state;
	world_init(&world);
	config_put(&world.asker, 10);
	for (size_t i = 0; i < sizeof(told) / sizeof(told[0]); i++) {
		feed_answer_t answer = {.rows = json_loads(told[i], 0, NULL)};

		assert_non_null(answer.rows);
		assert_false(feed_delta_resolve(&answer, &world.asker));
		feed_answer_clear(&answer);
	}
	world_finish(&world);
}

static void
a_delta_fits_its_base_alone(void **state)
{
	char *one = configuration(10), *two = configuration(11);
	feed_bytes_t delta, value;

	(void)state;
	assert_true(
	    value_delta_make(one, strlen(one), two, strlen(two), &delta));
	assert_true(
	    value_delta_apply(one, strlen(one), delta.data, delta.len, &value));
	assert_string_equal(value.data, two);
	free(value.data);
	one[strlen(one) / 3] ^= 1;
	assert_false(
	    value_delta_apply(one, strlen(one), delta.data, delta.len, &value));
	assert_false(
	    value_delta_apply(one, strlen(one), delta.data, 9, &value));
	free(delta.data);
	free(one);
	free(two);
}

/* A daemon at rest keeps one value of each row. */
static void
values_of_before_go_after_a_while(void **state)
{
	const cached_row_t *row;
	world_t world;

	(void)state;
	world_init(&world);
	config_put(&world.teller, 10);
	config_put(&world.teller, 11);
	row = row_cache_find(&world.teller, ROW_TABLE_ORDERS, KEY);
	assert_non_null(row->priors);
	world.clock.now.tv_sec += 20;
	row_cache_trim(&world.teller);
	assert_null(row->priors);
	text_put(&world.teller, "short", 12);
	text_put(&world.teller, "short too", 13);
	row_cache_trim(&world.teller);
	assert_non_null(row->priors);
	assert_int_equal(row->priors->version, 11);
	assert_null(row->priors->older);
	world_finish(&world);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_change_of_one_route_travels_as_that_change),
	    cmocka_unit_test(who_is_a_few_changes_behind_builds_on_what_it_has),
	    cmocka_unit_test(another_value_is_not_built_on),
	    cmocka_unit_test(what_is_no_delta_makes_no_value),
	    cmocka_unit_test(a_delta_fits_its_base_alone),
	    cmocka_unit_test(values_of_before_go_after_a_while),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
