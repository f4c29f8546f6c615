/**
 * @file
 * Rows of daemons that the one which reads the store writes for all: what a
 * daemon wants, who tells it, and how many calls it takes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "../support/manual_clock.h"
#include "../support/many_members.h"
#include "../support/silent_store.h"
#include "moortack/replication/membership.h"

#define STEP_MS 200
#define ROWS_MAX 512

/* A store that takes writes; a test tells when they are answered. */
typedef struct taking_store {
	row_store_t base;
	uint32_t calls;
	uint32_t rows;
	char keys[ROWS_MAX][64];
	char last[512]; /* value of the last row */
	row_done_t done;
	void *arg;
} taking_store_t;

static bool
taking_write(row_store_t *store, const row_change_t *expected,
    size_t expected_len, const row_change_t *changes, size_t changes_len,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	taking_store_t *self = (taking_store_t *)store;

	(void)expected;
	(void)expected_len;
	(void)timeout_ms;
	self->calls++;
	for (size_t i = 0; i < changes_len && self->rows < ROWS_MAX; i++) {
		snprintf(self->keys[self->rows++], sizeof(self->keys[0]), "%s",
		    changes[i].key);
		snprintf(self->last, sizeof(self->last), "%s",
		    changes[i].value != NULL ? changes[i].value : "");
	}
	self->done = done;
	self->arg = arg;
	return true;
}

static const row_store_ops_t taking_ops = {
    silent_read, silent_feed, taking_write};

/* The write that is out is answered. */
static void
answer(taking_store_t *store, row_result_t result)
{
	row_reply_t reply = {.result = result};
	row_done_t done = store->done;

	assert_non_null(done);
	store->done = NULL;
	done(store->arg, &reply);
}

typedef struct world {
	manual_clock_t clock;
	taking_store_t store;
	membership_t self;
} world_t;

/* Daemon 0 of so many, which serves and whose store's clock is its own. */
static void
world_init(world_t *world, int daemons)
{
	memset(world, 0, sizeof(*world));
	world->clock = (manual_clock_t){{&manual_ops}, {100, 0}};
	world->store.base.ops = &taking_ops;
	membership_init_with_members(
	    &world->self, &world->store.base, &world->clock.source, 0, daemons);
	membership_set_store_clock(&world->self, 100000);
	membership_set_rows_read(&world->self);
}

/* @param asked whether others go on to ask this daemon */
static void
steps(world_t *world, int64_t ms, bool following, bool asked)
{
	for (int64_t at = 0; at < ms; at += STEP_MS) {
		world->clock.now = timespec_after_ms(world->clock.now, STEP_MS);
		if (asked)
			membership_record_request(
			    &world->self, "10.0.0.1:80", NULL);
		membership_tick(&world->self, following);
	}
}

static json_t *
row_of(int64_t at_ms, const char *state)
{
	return json_pack("{s:s, s:s, s:s, s:f, s:I, s:I}", "place", "a", "peer",
	    "10.0.0.9:81", "state", state, "strength", 0.5, "beat",
	    (json_int_t)1, "at_ms", (json_int_t)at_ms);
}

static void
request_of(world_t *world, int number, int64_t at_ms, const char *state)
{
	char name[32];
	json_t *row = row_of(at_ms, state);

	snprintf(name, sizeof(name), "10.0.1.%d:80", number);
	membership_add_row_request(&world->self, name, row);
	json_decref(row);
}

/* The store has the own row that is wanted, if one is. */
static void
own_row_stored(world_t *world)
{
	json_t *row = membership_own_row_request(&world->self);
	char *text;
	row_t told = {.key = MEMBER_PREFIX "10.0.0.0:80", .version = 5};

	if (row == NULL)
		return;
	text = json_dumps(row, JSON_COMPACT);
	told.value = text;
	told.value_len = strlen(text);
	membership_apply_row(&world->self, &told);
	free(text);
	json_decref(row);
}

/* What the store holds now is read. */
static void
rows_read_back(world_t *world)
{
	static const char text[] = "{\"place\":\"a\",\"peer\":\"10.0.0.9:81\","
				   "\"state\":\"ready\",\"strength\":0.5,"
				   "\"beat\":1,\"at_ms\":100000}";

	for (uint32_t i = 0; i < world->store.rows; i++) {
		row_t row = {.key = world->store.keys[i],
		    .value = text,
		    .value_len = sizeof(text) - 1,
		    .version = 9};

		if (strcmp(row.key, MEMBER_PREFIX "10.0.0.0:80") != 0)
			membership_apply_row(&world->self, &row);
		else
			own_row_stored(world);
	}
}

static void
rows_of_many_are_written_with_a_few_calls(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 2);
	for (int i = 0; i < 120; i++)
		request_of(&world, i, 100000, "ready");
	steps(&world, STEP_MS, false, true);
	for (uint32_t calls = 1; world.store.done != NULL; calls++) {
		assert_int_equal(world.store.calls, calls);
		answer(&world.store, ROW_OK);
		/* What is written is read back before the next call. */
		rows_read_back(&world);
		steps(&world, 600, false, true);
	}
	/* Its own row is among the 121. */
	assert_in_range(world.store.rows, 120, 121);
	assert_in_range(world.store.calls, 3, 4);
	membership_finish(&world.self);
}

static void
who_follows_writes_nothing_and_tells_its_request(void **state)
{
	world_t world;
	json_t *row;

	(void)state;
	world_init(&world, 2);
	request_of(&world, 7, 100000, "ready");
	steps(&world, 2000, true, true);
	assert_int_equal(world.store.calls, 0);
	row = membership_own_row_request(&world.self);
	assert_non_null(row);
	assert_string_equal(
	    json_string_value(json_object_get(row, "state")), "ready");
	json_decref(row);
	row = membership_subtree(&world.self);
	assert_int_equal(
	    json_array_size(json_object_get(row, "10.0.1.7:80")), 3);
	json_decref(row);
	own_row_stored(&world);
	steps(&world, STEP_MS, true, true);
	assert_null(membership_own_row_request(&world.self));
	membership_finish(&world.self);
}

static void
a_request_that_nobody_serves_is_written_by_its_daemon(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 2);
	steps(&world, 3800, true, true);
	assert_int_equal(world.store.calls, 0);
	steps(&world, 600, true, true);
	assert_int_equal(world.store.calls, 1);
	assert_string_equal(world.store.keys[0], MEMBER_PREFIX "10.0.0.0:80");
	answer(&world.store, ROW_OK);
	own_row_stored(&world);
	steps(&world, 20000, true, true);
	assert_int_equal(world.store.calls, 1);
	membership_finish(&world.self);
}

static void
a_store_that_does_not_answer_is_asked_ever_less(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 2);
	for (int at = 0; at < 10000; at += STEP_MS) {
		steps(&world, STEP_MS, false, true);
		if (world.store.done != NULL)
			answer(&world.store, ROW_NO_RESPONSE);
	}
	assert_in_range(world.store.calls, 4, 8);
	membership_finish(&world.self);
}

/* An older word that comes by a slower daemon does not bring an old row back.
 */
static void
the_newest_request_of_a_daemon_counts(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 2);
	request_of(&world, 7, 100000, "leaving");
	request_of(&world, 7, 99000, "ready");
	steps(&world, STEP_MS, false, true);
	answer(&world.store, ROW_OK);
	assert_non_null(strstr(world.store.last, "leaving"));
	membership_finish(&world.self);
}

static void
what_is_no_row_is_no_request(void **state)
{
	world_t world;
	json_t *row = json_pack("{s:i}", "state", 5);

	(void)state;
	world_init(&world, 2);
	membership_add_row_request(&world.self, "10.0.1.7:80", row);
	membership_add_row_request(&world.self, "10.0.1.8:80", NULL);
	json_decref(row);
	steps(&world, STEP_MS, false, true);
	assert_int_equal(world.store.rows, 1);
	assert_string_equal(world.store.keys[0], MEMBER_PREFIX "10.0.0.0:80");
	membership_finish(&world.self);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(rows_of_many_are_written_with_a_few_calls),
	    cmocka_unit_test(who_follows_writes_nothing_and_tells_its_request),
	    cmocka_unit_test(
		a_request_that_nobody_serves_is_written_by_its_daemon),
	    cmocka_unit_test(a_store_that_does_not_answer_is_asked_ever_less),
	    cmocka_unit_test(the_newest_request_of_a_daemon_counts),
	    cmocka_unit_test(what_is_no_row_is_no_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
