/**
 * @file
 * A node over a store that the test plays: what it passes on of endpoints that
 * went, so that whoever comes from another daemon hears of it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../support/node_settings.h"

#define VERSION_FIRST 40
#define VERSION_GONE 77

/** A store that knows one endpoint, and then its end. */
typedef struct played_store {
	row_store_t store;
	struct event_base *base;
	bool whole_read; /**< the end shows as a row that is missing */
	bool refused;	 /**< one question before it is turned away */
	int reads;
	int feeds;
} played_store_t;

/** An answer on its way. */
typedef struct pending {
	row_done_t done;
	void *arg;
	row_t row;
	row_reply_t reply;
} pending_t;

static void
pending_tell(evutil_socket_t fd, short what, void *arg)
{
	pending_t *pending = arg;

	(void)fd;
	(void)what;
	pending->reply.rows = &pending->row;
	pending->done(pending->arg, &pending->reply);
	free(pending);
}

static bool
answer(played_store_t *store, const row_t *row, uint64_t version,
    row_result_t result, row_done_t done, void *arg)
{
	static const struct timeval soon = {0, 1000};
	pending_t *pending = calloc(1, sizeof(*pending));

	pending->done = done;
	pending->arg = arg;
	if (row != NULL)
		pending->row = *row;
	pending->reply = (row_reply_t){.result = result,
	    .rows_len = row != NULL,
	    .version = version,
	    .now_ms = 1};
	return event_base_once(store->base, -1, EV_TIMEOUT, pending_tell,
		   pending, &soon) == 0;
}

static bool
played_read(row_store_t *self, const char *table, const char *from,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	played_store_t *store = (played_store_t *)self;
	row_t row = {.key = "e1",
	    .value = "x",
	    .value_len = 1,
	    .version = VERSION_FIRST};

	(void)from;
	(void)timeout_ms;
	if (strcmp(table, "endpoints") != 0)
		return answer(store, NULL, VERSION_FIRST, ROW_OK, done, arg);
	if (store->reads++ == 0)
		return answer(store, &row, VERSION_FIRST, ROW_OK, done, arg);
	return answer(store, NULL, VERSION_GONE, ROW_OK, done, arg);
}

static bool
played_feed(row_store_t *self, const char *table, uint64_t after,
    int64_t wait_ms, int64_t timeout_ms, row_done_t done, void *arg)
{
	played_store_t *store = (played_store_t *)self;
	row_t end = {.key = "e1", .version = VERSION_GONE, .deleted = true};

	(void)wait_ms;
	(void)timeout_ms;
	if (strcmp(table, "endpoints") != 0 || store->feeds > 0)
		return answer(store, NULL, after, ROW_OK, done, arg);
	if (store->refused) {
		store->refused = false;
		return answer(store, NULL, 0, ROW_REFUSED, done, arg);
	}
	store->feeds++;
	if (store->whole_read)
		return answer(store, NULL, 0, ROW_COMPACTED, done, arg);
	return answer(store, &end, VERSION_GONE, ROW_OK, done, arg);
}

static bool
played_write(row_store_t *self, const row_change_t *expected,
    size_t expected_len, const row_change_t *changes, size_t changes_len,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	(void)expected;
	(void)expected_len;
	(void)changes;
	(void)changes_len;
	(void)timeout_ms;
	return answer(
	    (played_store_t *)self, NULL, VERSION_FIRST, ROW_OK, done, arg);
}

static const row_store_ops_t played_ops = {
    played_read, played_feed, played_write};

/* The version with which the endpoint's end is passed on. */
static uint64_t
end_version(bool whole_read, bool refused)
{
	static relay_node_t node;
	static const caller_dialect_t callers;
	static const endpoint_dialect_t endpoints;
	static const rollout_status_encoder_t rollouts;
	struct timeval limit = {1, 0};
	clock_source_t clock;
	rng_t rng;
	played_store_t store = {
	    {.ops = &played_ops}, event_base_new(), whole_read, refused, 0, 0};
	const relay_ports_t ports = {store.base, &clock, &rng, &store.store,
	    &test_row_dialect, &callers, &endpoints, &rollouts};
	relay_node_settings_t settings = test_node_settings;
	const cached_row_t *row;
	uint64_t version;
	err_t err;

	settings.endpoints_poll_pause_ms = 20;
	settings.operator_poll_wait_ms = 20;
	clock_system_init(&clock);
	rng_system_init(&rng);
	assert_true(relay_node_init(&node, &ports, &settings, &err));
	event_base_loopexit(store.base, &limit);
	event_base_dispatch(store.base);
	row = row_cache_find(&node.row_sync.cache, ROW_TABLE_ENDPOINTS, "e1");
	assert_non_null(row);
	assert_null(row->value);
	version = row->version;
	relay_node_finish(&node);
	event_base_free(store.base);
	return version;
}

static void
an_end_is_passed_on_as_new_as_it_is(void **state)
{
	(void)state;
	assert_int_equal(end_version(false, false), VERSION_GONE);
}

static void
a_missing_row_ended_by_the_time_of_the_read(void **state)
{
	(void)state;
	assert_true(end_version(true, false) >= VERSION_GONE);
}

/* Only in an outage that is longer do entries of living endpoints go. */
static void
a_moment_without_the_store_is_no_outage(void **state)
{
	(void)state;
	assert_int_equal(end_version(false, true), VERSION_GONE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(an_end_is_passed_on_as_new_as_it_is),
	    cmocka_unit_test(a_moment_without_the_store_is_no_outage),
	    cmocka_unit_test(a_missing_row_ended_by_the_time_of_the_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
