/**
 * @file
 * A full read of a table in several pages, while another daemon sends its
 * rows: for seconds after all daemons had started at once, with 3,000
 * endpoints, callers were refused.
 *
 * How it came about: a starting daemon reads the endpoints page by page;
 * before the last page, it applies all rows of another daemon, which has read
 * fewer pages. With one common mark for the listed rows, the read then deleted
 * the rows of its first pages, and sent these deletions to all its followers.
 * The log showed hundreds of endpoint_gone lines (lapsed=0) in one
 * millisecond, two seconds after the start, follow rows=2302 beside rows=3305,
 * and no_endpoint for a service whose endpoints had never been removed.
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
#include "../support/rows_apply.h"

#define VERSION_READ 60

/** A node, and its pending request to the store. */
typedef struct paged_node {
	row_store_t store; /**< first: paged_read() casts it back */
	relay_node_t node;
	struct event_base *base;
	manual_clock_t clock;
	rng_t rng;
	row_done_t done; /**< of the pending read of endpoints; or NULL */
	void *arg;
} paged_node_t;

static bool
paged_read(row_store_t *store, const char *table, const char *page,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	paged_node_t *paged = (paged_node_t *)store;

	(void)page;
	(void)timeout_ms;
	if (strcmp(table, test_row_dialect.endpoints_table) == 0) {
		paged->done = done;
		paged->arg = arg;
	}
	return true;
}

static const row_store_ops_t paged_ops = {
    paged_read, silent_store_poll, silent_store_write};

static void
paged_node_init(paged_node_t *paged)
{
	memset(paged, 0, sizeof(*paged));
	paged->clock = (manual_clock_t){{&manual_clock_ops}, {1000, 0}};
	paged->store = (row_store_t){.ops = &paged_ops};
	paged->base = event_base_new();
	rng_system_init(&paged->rng);
	assert_true(test_node_start(&paged->node, paged->base,
	    &paged->clock.source, &paged->rng, &paged->store));
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

/* The store responds to the pending read. */
static void
page_respond(paged_node_t *paged, const row_t *rows, size_t len, bool more)
{
	row_store_response_t response = {.result = ROW_OK,
	    .rows = rows,
	    .rows_len = len,
	    .version = VERSION_READ,
	    .now_ms = 1,
	    .next = more ? "next" : NULL};
	row_done_t done = paged->done;

	assert_non_null(done);
	paged->done = NULL;
	done(paged->arg, &response);
}

/* Another daemon sends a full table with one endpoint, as of a version. */
static void
peer_response_apply(paged_node_t *paged, const char *id, uint64_t version)
{
	row_sync_t *sync = &paged->node.row_sync;
	feed_response_t response = {.incarnation = 7, .rows = json_array()};
	row_cache_t peer_cache;
	row_t row = entry(id, 30);

	row_cache_init(
	    &peer_cache, &paged->clock.source, sync->cache.equal, NULL);
	row_cache_put(&peer_cache, ROW_TABLE_ENDPOINTS, &row);
	feed_response_add_row(
	    &response, row_cache_find(&peer_cache, ROW_TABLE_ENDPOINTS, id));
	for (int i = 0; i < ROW_TABLES; i++)
		response.tables[i].age_ms = -1;
	response.tables[ROW_TABLE_ENDPOINTS] =
	    (feed_table_state_t){.version = version,
		.deletions_version = version,
		.age_ms = -1,
		.full = true};
	row_response_apply(sync, &response, paged->clock.now);
	row_cache_finish(&peer_cache);
}

static bool
has_endpoint(const paged_node_t *paged, const char *id)
{
	return endpoint_set_find(&paged->node.endpoints, id) != NULL;
}

static void
rows_of_earlier_pages_are_kept(void **state)
{
	static paged_node_t paged;
	const row_t first[] = {entry("e1", 40), entry("e2", 41)};
	const row_t last[] = {entry("e3", 30)};

	(void)state;
	paged_node_init(&paged);
	page_respond(&paged, first, 2, true);
	peer_response_apply(&paged, "e3", 0);
	page_respond(&paged, last, 1, false);
	assert_true(has_endpoint(&paged, "e1"));
	assert_true(has_endpoint(&paged, "e2"));
	assert_true(has_endpoint(&paged, "e3"));
	paged_node_finish(&paged);
}

static void
rows_not_in_the_store_are_deleted(void **state)
{
	static paged_node_t paged;
	const row_t first[] = {entry("e1", 40)};
	const row_t last[] = {entry("e3", 42)};

	(void)state;
	paged_node_init(&paged);
	page_respond(&paged, first, 1, true);
	peer_response_apply(&paged, "e2", 0);
	assert_true(has_endpoint(&paged, "e2"));
	page_respond(&paged, last, 1, false);
	assert_true(has_endpoint(&paged, "e1"));
	assert_false(has_endpoint(&paged, "e2"));
	assert_true(has_endpoint(&paged, "e3"));
	paged_node_finish(&paged);
}

/* A full table of a daemon with as new a version deletes the rows that it does
 * not list, also between two pages. */
static void
a_full_table_between_pages_still_deletes_rows(void **state)
{
	static paged_node_t paged;
	const row_t first[] = {entry("e1", 20), entry("e2", 21)};

	(void)state;
	paged_node_init(&paged);
	page_respond(&paged, first, 2, true);
	peer_response_apply(&paged, "e2", VERSION_READ);
	assert_false(has_endpoint(&paged, "e1"));
	assert_true(has_endpoint(&paged, "e2"));
	paged_node_finish(&paged);
}

/* A row that was received with a later version than it was written with is
 * listed if the store returns it with the version that it was written with. */
static void
a_row_cached_with_a_newer_version_is_listed(void **state)
{
	static paged_node_t paged;
	const row_t newer = entry("e1", 50);
	const row_t only[] = {entry("e1", 30)};

	(void)state;
	paged_node_init(&paged);
	relay_rows_ops.row(&paged.node, ROW_TABLE_ENDPOINTS, &newer);
	page_respond(&paged, only, 1, false);
	assert_true(has_endpoint(&paged, "e1"));
	paged_node_finish(&paged);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(rows_of_earlier_pages_are_kept),
	    cmocka_unit_test(rows_not_in_the_store_are_deleted),
	    cmocka_unit_test(a_full_table_between_pages_still_deletes_rows),
	    cmocka_unit_test(a_row_cached_with_a_newer_version_is_listed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
