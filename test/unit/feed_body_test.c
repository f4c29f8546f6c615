/**
 * @file
 * Rows for those who follow: with 301 daemons that start together and 5,900
 * endpoints, the one that all follow took over a second for each answer, its
 * followers left it, and asked the next one for all rows. What is made for one
 * is sent to all that know the same, until something changes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "../support/bytes_same.h"
#include "../support/manual_clock.h"
#include "moortack/replication/feed_body.h"

#define INCARNATION 7
#define ENDPOINTS 200

typedef struct world {
	manual_clock_t clock;
	row_cache_t cache;
	feed_bodies_t bodies;
} world_t;

static void
endpoint_put(world_t *world, int number, const char *value, uint64_t version)
{
	char key[16];
	row_t row = {.key = key,
	    .value = value,
	    .value_len = strlen(value),
	    .version = version};

	snprintf(key, sizeof(key), "e-%d", number);
	row_cache_put(&world->cache, ROW_TABLE_ENDPOINTS, &row);
}

static int
world_begin(void **state)
{
	world_t *world = calloc(1, sizeof(*world));

	world->clock = (manual_clock_t){{&manual_clock_ops}, {100, 0}};
	row_cache_init(&world->cache, &world->clock.source, bytes_same, NULL);
	for (int i = 0; i < ENDPOINTS; i++)
		endpoint_put(world, i, "ready", (uint64_t)i + 1);
	*state = world;
	return 0;
}

static int
world_end(void **state)
{
	world_t *world = *state;

	feed_bodies_finish(&world->bodies);
	row_cache_finish(&world->cache);
	free(world);
	return 0;
}

/* The rows that an asker is told, read as it reads them. */
static size_t
rows_told(world_t *world, const feed_point_t *from)
{
	feed_answer_t answer = {.number = 1}, read;
	const feed_bytes_t *bytes = feed_bodies_for(
	    &world->bodies, &world->cache, INCARNATION, from, &answer);
	char *head = feed_answer_text(&answer);
	feed_bytes_t text = {0};
	size_t count;

	assert_non_null(bytes);
	if (bytes->len > 0)
		assert_true(feed_unpack(bytes->data, bytes->len, &text));
	assert_true(
	    feed_answer_read(head, strlen(head), text.data, text.len, &read));
	count = json_array_size(read.rows);
	feed_answer_clear(&read);
	free(text.data);
	free(head);
	return count;
}

static void
those_who_start_are_sent_the_same_bytes(void **state)
{
	world_t *world = *state;
	feed_point_t nothing = {0};

	for (int i = 0; i < 18; i++)
		assert_int_equal(rows_told(world, &nothing), ENDPOINTS);
	assert_int_equal(world->bodies.made, 1);
	endpoint_put(world, 3, "draining", 500);
	assert_int_equal(rows_told(world, &nothing), ENDPOINTS);
	assert_int_equal(world->bodies.made, 2);
}

static void
those_who_know_the_same_are_sent_the_same_change(void **state)
{
	world_t *world = *state;
	feed_point_t again = {.source = INCARNATION,
	    .change = world->cache.change,
	    .versions = {500, 500, 500}};
	feed_point_t nothing = {0};

	assert_int_equal(rows_told(world, &again), 0);
	endpoint_put(world, 3, "draining", 501);
	for (int i = 0; i < 18; i++) {
		assert_int_equal(rows_told(world, &again), 1);
		assert_int_equal(rows_told(world, &nothing), ENDPOINTS);
	}
	assert_int_equal(world->bodies.made, 3);
	again.change = world->cache.change;
	assert_int_equal(rows_told(world, &again), 0);
}

/* Its version decides which ends an asker hears of. */
static void
a_row_that_is_renewed_makes_a_whole_answer_anew(void **state)
{
	world_t *world = *state;
	feed_point_t nothing = {0};
	uint64_t change = world->cache.change;

	rows_told(world, &nothing);
	endpoint_put(world, 3, "ready", 500);
	assert_int_equal(world->cache.change, change);
	rows_told(world, &nothing);
	assert_int_equal(world->bodies.made, 2);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		those_who_start_are_sent_the_same_bytes, world_begin,
		world_end),
	    cmocka_unit_test_setup_teardown(
		those_who_know_the_same_are_sent_the_same_change, world_begin,
		world_end),
	    cmocka_unit_test_setup_teardown(
		a_row_that_is_renewed_makes_a_whole_answer_anew, world_begin,
		world_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
