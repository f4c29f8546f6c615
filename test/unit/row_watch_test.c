/**
 * @file
 * Answers of the store that come late: whoever was told later news by another
 * daemon meanwhile goes back for none of them.
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
#define VERSION_TOLD 14

/** A store that answers when the test says so. */
typedef struct late_store {
	row_store_t store;
	row_done_t done;
	void *arg;
	int reads;
	int feeds;
} late_store_t;

/** What a watch told. */
typedef struct told {
	int rows;
	int restarts;
	int settled;
} told_t;

static bool
late_read(row_store_t *store, const char *table, const char *from,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	late_store_t *self = (late_store_t *)store;

	(void)table;
	(void)from;
	(void)timeout_ms;
	self->done = done;
	self->arg = arg;
	self->reads++;
	return true;
}

static bool
late_feed(row_store_t *store, const char *table, uint64_t after,
    int64_t wait_ms, int64_t timeout_ms, row_done_t done, void *arg)
{
	late_store_t *self = (late_store_t *)store;

	(void)table;
	(void)wait_ms;
	(void)timeout_ms;
	assert_int_equal(after, VERSION_TOLD);
	self->done = done;
	self->arg = arg;
	self->feeds++;
	return true;
}

static const row_store_ops_t late_ops = {late_read, late_feed, silent_write};

static void
on_row(void *arg, const row_t *row)
{
	(void)row;
	((told_t *)arg)->rows++;
}

static void
on_restart(void *arg)
{
	((told_t *)arg)->restarts++;
}

static void
on_settled(void *arg, bool whole, const row_reply_t *reply)
{
	(void)whole;
	(void)reply;
	((told_t *)arg)->settled++;
}

static void
on_reachable(void *arg, bool now)
{
	(void)arg;
	(void)now;
}

static const row_watch_ops_t watch_ops = {
    on_row, on_restart, on_settled, on_reachable};

static void
turn(struct event_base *base)
{
	struct timeval soon = {0, 20000};

	event_base_loopexit(base, &soon);
	event_base_dispatch(base);
}

static void
a_read_from_before_what_was_told_since_is_not_taken(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {100, 0}};
	struct event_base *base = event_base_new();
	late_store_t store = {.store = {&late_ops}};
	const row_watch_pace_t pace = {0, 1, 1, 1, 1000};
	row_t row = {.key = "e1",
	    .value = "leaving",
	    .value_len = 7,
	    .version = VERSION_READ};
	row_reply_t reply = {.result = ROW_OK,
	    .rows = &row,
	    .rows_len = 1,
	    .version = VERSION_READ};
	told_t told = {0};
	row_watch_t watch;

	(void)state;
	assert_true(row_watch_init(&watch, base, &store.store, &clock.source,
	    "endpoints", &pace, &watch_ops, &told));
	turn(base);
	assert_int_equal(store.reads, 1);
	row_watch_vouch(&watch, VERSION_TOLD, clock.now);
	store.done(store.arg, &reply);
	assert_int_equal(told.rows, 0);
	assert_int_equal(told.restarts, 0);
	assert_int_equal(watch.version, VERSION_TOLD);
	/* It goes on from what was told. */
	turn(base);
	assert_int_equal(store.feeds, 1);
	row_watch_finish(&watch);
	event_base_free(base);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		a_read_from_before_what_was_told_since_is_not_taken),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
