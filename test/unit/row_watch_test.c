/**
 * @file
 * Late responses of the store: a watch that got later rows from another daemon
 * in the meantime does not go back to those of the response.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <event2/event.h>

#include "../support/manual_clock.h"
#include "../support/silent_store.h"
#include "moortack/replication/row_watch.h"

#define VERSION_READ 12
#define VERSION_RECEIVED 14

/** A store whose responses the test sends. */
typedef struct deferred_store {
	row_store_t store;
	row_done_t done;
	void *arg;
	int reads;
	int polls;
} deferred_store_t;

/** How often the callbacks of a watch were called. */
typedef struct calls {
	int rows;
	int full_reads;
	int synced;
} calls_t;

static bool
deferred_read(row_store_t *store, const char *table, const char *page,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	deferred_store_t *self = (deferred_store_t *)store;

	(void)table;
	(void)page;
	(void)timeout_ms;
	self->done = done;
	self->arg = arg;
	self->reads++;
	return true;
}

static bool
deferred_poll(row_store_t *store, const char *table, uint64_t after,
    int64_t wait_ms, int64_t timeout_ms, row_done_t done, void *arg)
{
	deferred_store_t *self = (deferred_store_t *)store;

	(void)table;
	(void)wait_ms;
	(void)timeout_ms;
	assert_int_equal(after, VERSION_RECEIVED);
	self->done = done;
	self->arg = arg;
	self->polls++;
	return true;
}

static const row_store_ops_t deferred_ops = {
    deferred_read, deferred_poll, silent_store_write};

static void
on_row(void *arg, const row_t *row)
{
	(void)row;
	((calls_t *)arg)->rows++;
}

static void
on_full_read_begin(void *arg)
{
	((calls_t *)arg)->full_reads++;
}

static void
on_synced(void *arg, bool full_read, const row_store_response_t *response)
{
	(void)full_read;
	(void)response;
	((calls_t *)arg)->synced++;
}

static void
on_reachable(void *arg, bool available)
{
	(void)arg;
	(void)available;
}

static const row_watch_ops_t watch_ops = {
    on_row, on_full_read_begin, on_synced, on_reachable};

static void
loop_run(struct event_base *base)
{
	struct timeval duration = {0, 20000};

	event_base_loopexit(base, &duration);
	event_base_dispatch(base);
}

static void
an_outdated_read_is_dropped(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	deferred_store_t store = {.store = {&deferred_ops}};
	const row_watch_timing_t pace = {0, 1, 1, 1, 1000};
	row_t row = {.key = "e1",
	    .value = "leaving",
	    .value_len = 7,
	    .version = VERSION_READ};
	row_store_response_t response = {.result = ROW_OK,
	    .rows = &row,
	    .rows_len = 1,
	    .version = VERSION_READ};
	calls_t calls = {0};
	row_watch_t watch;

	(void)state;
	assert_true(row_watch_init(&watch, base, &store.store, &clock.source,
	    "endpoints", &pace, &watch_ops, &calls));
	loop_run(base);
	assert_int_equal(store.reads, 1);
	row_watch_advance(&watch, VERSION_RECEIVED, clock.now);
	store.done(store.arg, &response);
	assert_int_equal(calls.rows, 0);
	assert_int_equal(calls.full_reads, 0);
	assert_int_equal(watch.version, VERSION_RECEIVED);
	/* It continues from the version that was received. */
	loop_run(base);
	assert_int_equal(store.polls, 1);
	row_watch_finish(&watch);
	event_base_free(base);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(an_outdated_read_is_dropped),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
