/**
 * @file
 * A node with a scripted store: the version with which it publishes the removal
 * of an endpoint. A daemon that followed another one before, and states the
 * version that it has, has to be sent the removal, too.
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
#define VERSION_REMOVED 77

typedef struct pending pending_response_t;

/** A store that has one endpoint, and then its removal. */
typedef struct scripted_store {
	row_store_t store;
	struct event_base *base;
	bool compacted; /**< the removal shows only in a full read, as a missing
			   row */
	bool refuse_once; /**< refuses one poll before it */
	int reads;
	int polls;
	pending_response_t *pending;
} scripted_store_t;

/** A response that is delivered later. */
struct pending {
	scripted_store_t *store;
	pending_response_t *next;
	row_done_t done;
	void *arg;
	row_t row;
	row_store_response_t response;
};

static void
pending_free(pending_response_t *pending)
{
	pending_response_t **link = &pending->store->pending;

	while (*link != pending)
		link = &(*link)->next;
	*link = pending->next;
	free(pending);
}

static void
pending_deliver(evutil_socket_t fd, short what, void *arg)
{
	pending_response_t *pending = arg;

	(void)fd;
	(void)what;
	pending->response.rows = &pending->row;
	pending->done(pending->arg, &pending->response);
	pending_free(pending);
}

static bool
respond(scripted_store_t *store, const row_t *row, uint64_t version,
    row_result_t result, row_done_t done, void *arg)
{
	static const struct timeval soon = {0, 1000};
	pending_response_t *pending = calloc(1, sizeof(*pending));

	pending->store = store;
	pending->next = store->pending;
	store->pending = pending;
	pending->done = done;
	pending->arg = arg;
	if (row != NULL)
		pending->row = *row;
	pending->response = (row_store_response_t){.result = result,
	    .rows_len = row != NULL,
	    .version = version,
	    .now_ms = 1};
	return event_base_once(store->base, -1, EV_TIMEOUT, pending_deliver,
		   pending, &soon) == 0;
}

static bool
scripted_read(row_store_t *self, const char *table, const char *page,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	scripted_store_t *store = (scripted_store_t *)self;
	row_t row = {.key = "e1",
	    .value = "x",
	    .value_len = 1,
	    .version = VERSION_FIRST};

	(void)page;
	(void)timeout_ms;
	if (strcmp(table, "endpoints") != 0)
		return respond(store, NULL, VERSION_FIRST, ROW_OK, done, arg);
	if (store->reads++ == 0)
		return respond(store, &row, VERSION_FIRST, ROW_OK, done, arg);
	return respond(store, NULL, VERSION_REMOVED, ROW_OK, done, arg);
}

static bool
scripted_poll(row_store_t *self, const char *table, uint64_t after,
    int64_t wait_ms, int64_t timeout_ms, row_done_t done, void *arg)
{
	scripted_store_t *store = (scripted_store_t *)self;
	row_t removal = {
	    .key = "e1", .version = VERSION_REMOVED, .deleted = true};

	(void)wait_ms;
	(void)timeout_ms;
	if (strcmp(table, "endpoints") != 0 || store->polls > 0)
		return respond(store, NULL, after, ROW_OK, done, arg);
	if (store->refuse_once) {
		store->refuse_once = false;
		return respond(store, NULL, 0, ROW_REFUSED, done, arg);
	}
	store->polls++;
	if (store->compacted)
		return respond(store, NULL, 0, ROW_COMPACTED, done, arg);
	return respond(store, &removal, VERSION_REMOVED, ROW_OK, done, arg);
}

static bool
scripted_write(row_store_t *self, const row_change_t *expected,
    size_t expected_len, const row_change_t *changes, size_t changes_len,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	(void)expected;
	(void)expected_len;
	(void)changes;
	(void)changes_len;
	(void)timeout_ms;
	return respond(
	    (scripted_store_t *)self, NULL, VERSION_FIRST, ROW_OK, done, arg);
}

static const row_store_ops_t scripted_ops = {
    scripted_read, scripted_poll, scripted_write};

/* The version with which the endpoint's removal is published. */
static uint64_t
removal_version(bool compacted, bool refuse_once)
{
	static relay_node_t node;
	static const caller_dialect_t callers;
	static const endpoint_dialect_t endpoints;
	static const rollout_status_encoder_t rollouts;
	struct timeval limit = {1, 0};
	clock_source_t clock;
	rng_t rng;
	scripted_store_t store = {{.ops = &scripted_ops}, event_base_new(),
	    compacted, refuse_once, 0, 0, NULL};
	const relay_ports_t ports = {store.base, &clock, &rng, &store.store,
	    &test_row_dialect, &callers, &endpoints, &rollouts, NULL, NULL};
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
	while (store.pending != NULL)
		pending_free(store.pending);
	return version;
}

static void
a_removal_is_published_with_its_version(void **state)
{
	(void)state;
	assert_int_equal(removal_version(false, false), VERSION_REMOVED);
}

static void
a_missing_row_was_removed_by_the_time_of_the_read(void **state)
{
	(void)state;
	assert_true(removal_version(true, false) >= VERSION_REMOVED);
}

/* Only a longer outage removes entries of endpoints that are alive. */
static void
a_short_loss_of_the_store_is_no_outage(void **state)
{
	(void)state;
	assert_int_equal(removal_version(false, true), VERSION_REMOVED);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_removal_is_published_with_its_version),
	    cmocka_unit_test(a_short_loss_of_the_store_is_no_outage),
	    cmocka_unit_test(a_missing_row_was_removed_by_the_time_of_the_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
