/**
 * @file
 * Rows of daemons, which the root of the tree writes for all: which row a
 * daemon wants, how the request is passed on, and how many calls to the store
 * it takes.
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

/* A store that records writes; the test decides when it responds. */
typedef struct recording_store {
	row_store_t base;
	uint32_t calls;
	uint32_t rows;
	char keys[ROWS_MAX][64];
	char last_value[512]; /* value of the last row */
	row_done_t done;
	void *arg;
} recording_store_t;

static bool
recording_write(row_store_t *store, const row_change_t *expected,
    size_t expected_len, const row_change_t *changes, size_t changes_len,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	recording_store_t *self = (recording_store_t *)store;

	(void)expected;
	(void)expected_len;
	(void)timeout_ms;
	self->calls++;
	for (size_t i = 0; i < changes_len && self->rows < ROWS_MAX; i++) {
		snprintf(self->keys[self->rows++], sizeof(self->keys[0]), "%s",
		    changes[i].key);
		snprintf(self->last_value, sizeof(self->last_value), "%s",
		    changes[i].value != NULL ? changes[i].value : "");
	}
	self->done = done;
	self->arg = arg;
	return true;
}

static const row_store_ops_t recording_ops = {
    silent_store_read, silent_store_poll, recording_write};

/* Responds to the pending write. */
static void
write_respond(recording_store_t *store, row_result_t result)
{
	row_store_response_t response = {.result = result};
	row_done_t done = store->done;

	assert_non_null(done);
	store->done = NULL;
	done(store->arg, &response);
}

typedef struct world {
	manual_clock_t clock;
	recording_store_t store;
	membership_t self;
} world_t;

/* Daemon 0 of @p daemons, which is ready, and whose clock agrees with the
 * store's. */
static void
world_init(world_t *world, int daemons)
{
	memset(world, 0, sizeof(*world));
	world->clock = (manual_clock_t){{&manual_clock_ops}, {100, 0}};
	world->store.base.ops = &recording_ops;
	membership_init_with_members(
	    &world->self, &world->store.base, &world->clock.source, 0, daemons);
	membership_set_store_clock(&world->self, 100000);
	membership_set_rows_read(&world->self);
}

/* @param requested whether another daemon sends requests to this one */
static void
run(world_t *world, int64_t ms, bool following, bool requested)
{
	for (int64_t elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += STEP_MS) {
		world->clock.now = timespec_add_ms(world->clock.now, STEP_MS);
		if (requested)
			membership_record_request(
			    &world->self, "10.0.0.1:80", NULL);
		membership_tick(&world->self, following);
	}
}

static json_t *
row_make(int64_t at_ms, const char *state)
{
	return json_pack("{s:s, s:s, s:s, s:f, s:I, s:I}", "place", "a", "peer",
	    "10.0.0.9:81", "state", state, "strength", 0.5, "beat",
	    (json_int_t)1, "at_ms", (json_int_t)at_ms);
}

static void
request_add(world_t *world, int number, int64_t at_ms, const char *state)
{
	char name[32];
	json_t *row = row_make(at_ms, state);

	snprintf(name, sizeof(name), "10.0.1.%d:80", number);
	membership_add_row_request(&world->self, name, row);
	json_decref(row);
}

/* Applies the own row that is wanted, if any, as stored. */
static void
own_row_stored(world_t *world)
{
	json_t *row = membership_own_row_request(&world->self);
	char *text;
	row_t row_read = {.key = MEMBER_PREFIX "10.0.0.0:80", .version = 5};

	if (row == NULL)
		return;
	text = json_dumps(row, JSON_COMPACT);
	row_read.value = text;
	row_read.value_len = strlen(text);
	membership_apply_row(&world->self, &row_read);
	free(text);
	json_decref(row);
}

/* Applies all rows that were written, as read from the store. */
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
many_rows_are_written_with_few_calls(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 2);
	for (int i = 0; i < 120; i++)
		request_add(&world, i, 100000, "ready");
	run(&world, STEP_MS, false, true);
	for (uint32_t calls = 1; world.store.done != NULL; calls++) {
		assert_int_equal(world.store.calls, calls);
		write_respond(&world.store, ROW_OK);
		/* What is written is read back before the next call. */
		rows_read_back(&world);
		run(&world, 600, false, true);
	}
	/* Its own row is among the 121. */
	assert_in_range(world.store.rows, 120, 121);
	assert_in_range(world.store.calls, 3, 4);
	membership_finish(&world.self);
}

static void
a_follower_writes_nothing_and_sends_its_request(void **state)
{
	world_t world;
	json_t *row;

	(void)state;
	world_init(&world, 2);
	request_add(&world, 7, 100000, "ready");
	run(&world, 2000, true, true);
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
	run(&world, STEP_MS, true, true);
	assert_null(membership_own_row_request(&world.self));
	membership_finish(&world.self);
}

static void
a_request_not_fulfilled_is_written_by_its_daemon(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 2);
	run(&world, 3800, true, true);
	assert_int_equal(world.store.calls, 0);
	run(&world, 600, true, true);
	assert_int_equal(world.store.calls, 1);
	assert_string_equal(world.store.keys[0], MEMBER_PREFIX "10.0.0.0:80");
	write_respond(&world.store, ROW_OK);
	own_row_stored(&world);
	run(&world, 20000, true, true);
	assert_int_equal(world.store.calls, 1);
	membership_finish(&world.self);
}

static void
a_store_that_does_not_respond_gets_fewer_calls(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 2);
	for (int elapsed_ms = 0; elapsed_ms < 10000; elapsed_ms += STEP_MS) {
		run(&world, STEP_MS, false, true);
		if (world.store.done != NULL)
			write_respond(&world.store, ROW_NO_RESPONSE);
	}
	assert_in_range(world.store.calls, 4, 8);
	membership_finish(&world.self);
}

/* An older request that arrives later, through a slower daemon, does not
 * replace a newer one. */
static void
the_newest_request_of_a_daemon_counts(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 2);
	request_add(&world, 7, 100000, "leaving");
	request_add(&world, 7, 99000, "ready");
	run(&world, STEP_MS, false, true);
	write_respond(&world.store, ROW_OK);
	assert_non_null(strstr(world.store.last_value, "leaving"));
	membership_finish(&world.self);
}

static void
an_invalid_row_is_no_request(void **state)
{
	world_t world;
	json_t *row = json_pack("{s:i}", "state", 5);

	(void)state;
	world_init(&world, 2);
	membership_add_row_request(&world.self, "10.0.1.7:80", row);
	membership_add_row_request(&world.self, "10.0.1.8:80", NULL);
	json_decref(row);
	run(&world, STEP_MS, false, true);
	assert_int_equal(world.store.rows, 1);
	assert_string_equal(world.store.keys[0], MEMBER_PREFIX "10.0.0.0:80");
	membership_finish(&world.self);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(many_rows_are_written_with_few_calls),
	    cmocka_unit_test(a_follower_writes_nothing_and_sends_its_request),
	    cmocka_unit_test(a_request_not_fulfilled_is_written_by_its_daemon),
	    cmocka_unit_test(a_store_that_does_not_respond_gets_fewer_calls),
	    cmocka_unit_test(the_newest_request_of_a_daemon_counts),
	    cmocka_unit_test(an_invalid_row_is_no_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
