/**
 * @file
 * A table that the store tells in several pages, while another daemon tells its
 * rows: callers were refused for seconds after all daemons had started at once,
 * with 3,000 endpoints there.
 *
 * Order of events: a daemon starts and reads the endpoints page by page; before
 * the last page it takes all rows of another one that has read fewer pages.
 * Both marked in the same place which rows had been named, so that the read
 * ended those of its first pages, and told their end to all that follow it.
 * Evidence: hundreds of endpoint_gone lines (lapsed=0) in one millisecond, two
 * seconds after start, follow rows=2302 beside rows=3305, and no_endpoint for a
 * service whose endpoints had never gone.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#include "../../moortack/relay/relay_node_priv.h"
#include "../../moortack/replication/row_source_priv.h"
#include "../support/manual_clock.h"
#include "../support/node_settings.h"

#define VERSION_READ 60

/** A node, and the question that it has put to the store. */
typedef struct paged_node {
	row_store_t store; /**< first: the store's functions find the rest */
	relay_node_t node;
	struct event_base *base;
	manual_clock_t clock;
	rng_t rng;
	row_done_t done; /**< of the read of endpoints that is out; or NULL */
	void *arg;
} paged_node_t;

static bool
paged_read(row_store_t *store, const char *table, const char *from,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	paged_node_t *paged = (paged_node_t *)store;

	(void)from;
	(void)timeout_ms;
	if (strcmp(table, told_sources.endpoints_table) == 0) {
		paged->done = done;
		paged->arg = arg;
	}
	return true;
}

static const row_store_ops_t paged_ops = {
    paged_read, silent_feed, silent_write};

static void
paged_node_init(paged_node_t *paged)
{
	memset(paged, 0, sizeof(*paged));
	paged->clock = (manual_clock_t){{&manual_clock_ops}, {1000, 0}};
	paged->store = (row_store_t){.ops = &paged_ops};
	paged->base = event_base_new();
	rng_system_init(&paged->rng);
	assert_true(node_start(&paged->node, paged->base, &paged->clock.source,
	    &paged->rng, &paged->store));
	while (paged->done == NULL)
		event_base_loop(paged->base, EVLOOP_ONCE);
}

static void
paged_node_finish(paged_node_t *paged)
{
	relay_node_finish(&paged->node);
	event_base_free(paged->base);
}

static row_t
entry(const char *id, uint64_t version)
{
	return (row_t){
	    .key = id, .value = "v1", .value_len = 2, .version = version};
}

/* The store answers the read that is out. */
static void
page_told(paged_node_t *paged, const row_t *rows, size_t len, bool more)
{
	row_reply_t reply = {.result = ROW_OK,
	    .rows = rows,
	    .rows_len = len,
	    .version = VERSION_READ,
	    .now_ms = 1,
	    .next = more ? "next" : NULL};
	row_done_t done = paged->done;

	assert_non_null(done);
	paged->done = NULL;
	done(paged->arg, &reply);
}

/* Another daemon tells all the endpoints that it knows: that one, as of a
 * version. */
static void
daemon_tells(paged_node_t *paged, const char *id, uint64_t version)
{
	row_source_t *source = &paged->node.source;
	feed_answer_t answer = {.source = 7, .rows = json_array()};
	row_cache_t theirs;
	row_t row = entry(id, 30);

	row_cache_init(&theirs, &paged->clock.source, source->cache.same, NULL);
	row_cache_put(&theirs, ROW_TABLE_ENDPOINTS, &row);
	feed_answer_add(
	    &answer, row_cache_find(&theirs, ROW_TABLE_ENDPOINTS, id));
	for (int i = 0; i < ROW_TABLES; i++)
		answer.tables[i].age_ms = -1;
	answer.tables[ROW_TABLE_ENDPOINTS] = (feed_table_t){
	    .version = version, .known = version, .age_ms = -1, .whole = true};
	row_answer_take(source, &answer, paged->clock.now);
	feed_answer_clear(&answer);
	row_cache_finish(&theirs);
}

static bool
has_endpoint(const paged_node_t *paged, const char *id)
{
	return endpoint_set_find(&paged->node.endpoints, id) != NULL;
}

static void
pages_read_before_are_kept(void **state)
{
	static paged_node_t paged;
	const row_t first[] = {entry("e1", 40), entry("e2", 41)};
	const row_t last[] = {entry("e3", 30)};

	(void)state;
	paged_node_init(&paged);
	page_told(&paged, first, 2, true);
	daemon_tells(&paged, "e3", 0);
	page_told(&paged, last, 1, false);
	assert_true(has_endpoint(&paged, "e1"));
	assert_true(has_endpoint(&paged, "e2"));
	assert_true(has_endpoint(&paged, "e3"));
	paged_node_finish(&paged);
}

static void
what_the_store_does_not_name_has_gone(void **state)
{
	static paged_node_t paged;
	const row_t first[] = {entry("e1", 40)};
	const row_t last[] = {entry("e3", 42)};

	(void)state;
	paged_node_init(&paged);
	page_told(&paged, first, 1, true);
	daemon_tells(&paged, "e2", 0);
	assert_true(has_endpoint(&paged, "e2"));
	page_told(&paged, last, 1, false);
	assert_true(has_endpoint(&paged, "e1"));
	assert_false(has_endpoint(&paged, "e2"));
	assert_true(has_endpoint(&paged, "e3"));
	paged_node_finish(&paged);
}

/* What a daemon tells whole ends what it does not name, also between two pages:
 * it knows as much. */
static void
a_whole_answer_between_pages_still_ends_rows(void **state)
{
	static paged_node_t paged;
	const row_t first[] = {entry("e1", 20), entry("e2", 21)};

	(void)state;
	paged_node_init(&paged);
	page_told(&paged, first, 2, true);
	daemon_tells(&paged, "e2", VERSION_READ);
	assert_false(has_endpoint(&paged, "e1"));
	assert_true(has_endpoint(&paged, "e2"));
	paged_node_finish(&paged);
}

/* A row that is told again, as of a later version than it was written with, is
 * there if the store names it with the version that it was written with. */
static void
a_row_that_is_known_as_newer_is_named(void **state)
{
	static paged_node_t paged;
	const row_t newer = entry("e1", 50);
	const row_t only[] = {entry("e1", 30)};

	(void)state;
	paged_node_init(&paged);
	relay_rows_ops.row(&paged.node, ROW_TABLE_ENDPOINTS, &newer);
	page_told(&paged, only, 1, false);
	assert_true(has_endpoint(&paged, "e1"));
	paged_node_finish(&paged);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(pages_read_before_are_kept),
	    cmocka_unit_test(what_the_store_does_not_name_has_gone),
	    cmocka_unit_test(a_whole_answer_between_pages_still_ends_rows),
	    cmocka_unit_test(a_row_that_is_known_as_newer_is_named),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
