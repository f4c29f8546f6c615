/**
 * @file
 * Entries of endpoints that are removed in an outage of the store: the
 * endpoints are kept for a while, and followers of this daemon do not miss
 * their removal. Rows that are older than the known ones change nothing.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "../support/node_fixture.h"

#define LAPSED_KEEP_MS (test_node_settings.lapsed_keep_ms)
#define OUTAGE_MS 4000
#define VERSION_ENTRY 40
#define VERSION_BEFORE 60
#define VERSION_REMOVED 75
#define VERSION_AFTER 90

static void
entry_apply(
    node_fixture_t *fixture, const char *id, const char *text, uint64_t version)
{
	node_fixture_apply_row(fixture, ROW_TABLE_ENDPOINTS, id, text, version);
}

/* The store has responded: its entries are known up to the version. */
static void
store_synced(node_fixture_t *fixture, uint64_t version)
{
	row_watch_t *watch =
	    &fixture->node.row_sync.watches[ROW_TABLE_ENDPOINTS].watch;

	row_watch_advance(watch, version, fixture->clock.now);
	watch->reachable = true;
}

static void
store_unavailable(node_fixture_t *fixture)
{
	fixture->node.row_sync.watches[ROW_TABLE_ENDPOINTS].watch.reachable =
	    false;
	relay_rows_ops.reachable(&fixture->node, ROW_TABLE_ENDPOINTS, false);
}

static void
store_available(node_fixture_t *fixture, uint64_t version)
{
	relay_rows_ops.reachable(&fixture->node, ROW_TABLE_ENDPOINTS, true);
	store_synced(fixture, version);
}

static const endpoint_t *
endpoint_of(const node_fixture_t *fixture, const char *id)
{
	return endpoint_set_find(&fixture->node.endpoints, id);
}

/* A known entry, an outage, and the entry's removal just after it. */
static void
entry_lapse(node_fixture_t *fixture)
{
	node_fixture_init(fixture);
	entry_apply(fixture, "e1", "ready", VERSION_ENTRY);
	store_synced(fixture, VERSION_BEFORE);
	store_unavailable(fixture);
	node_fixture_advance(fixture, OUTAGE_MS);
	relay_rows_ops.reachable(&fixture->node, ROW_TABLE_ENDPOINTS, true);
	entry_apply(fixture, "e1", NULL, VERSION_REMOVED);
	store_synced(fixture, VERSION_AFTER);
}

static void
a_lapsed_entry_is_kept_for_a_while(void **state)
{
	static node_fixture_t fixture;

	(void)state;
	entry_lapse(&fixture);
	assert_non_null(endpoint_of(&fixture, "e1"));
	node_fixture_advance(&fixture, LAPSED_KEEP_MS - 1);
	relay_endpoints_remove_lapsed(&fixture.node);
	assert_non_null(endpoint_of(&fixture, "e1"));
	node_fixture_advance(&fixture, 1);
	relay_endpoints_remove_lapsed(&fixture.node);
	assert_null(endpoint_of(&fixture, "e1"));
	node_fixture_finish(&fixture);
}

/* A follower that continues from the version that it was sent is sent the
 * removal. */
static void
no_version_beyond_a_kept_entry_is_published(void **state)
{
	const row_sync_t *row_sync;
	static node_fixture_t fixture;

	(void)state;
	entry_lapse(&fixture);
	row_sync = &fixture.node.row_sync;
	assert_true(row_sync_published_version(row_sync, ROW_TABLE_ENDPOINTS) <
	    VERSION_REMOVED);
	assert_int_equal(
	    row_sync_requested_version(row_sync, ROW_TABLE_ENDPOINTS), 0);
	node_fixture_advance(&fixture, LAPSED_KEEP_MS);
	relay_endpoints_remove_lapsed(&fixture.node);
	assert_int_equal(
	    row_sync_published_version(row_sync, ROW_TABLE_ENDPOINTS),
	    VERSION_AFTER);
	assert_int_equal(
	    row_sync_requested_version(row_sync, ROW_TABLE_ENDPOINTS),
	    VERSION_AFTER);
	node_fixture_finish(&fixture);
}

static void
an_entry_that_comes_back_is_no_longer_withheld(void **state)
{
	static node_fixture_t fixture;

	(void)state;
	entry_lapse(&fixture);
	entry_apply(&fixture, "e1", "ready", VERSION_AFTER + 1);
	store_synced(&fixture, VERSION_AFTER + 1);
	assert_int_equal(row_sync_published_version(
			     &fixture.node.row_sync, ROW_TABLE_ENDPOINTS),
	    VERSION_AFTER + 1);
	node_fixture_advance(&fixture, LAPSED_KEEP_MS);
	relay_endpoints_remove_lapsed(&fixture.node);
	assert_non_null(endpoint_of(&fixture, "e1"));
	node_fixture_finish(&fixture);
}

/* An endpoint that comes back with another start time is not the lapsed one. */
static void
an_entry_with_another_start_time_is_another_endpoint(void **state)
{
	const endpoint_t *before, *now;
	static node_fixture_t fixture;

	(void)state;
	entry_lapse(&fixture);
	before = endpoint_of(&fixture, "e1");
	endpoint_hold((endpoint_t *)(uintptr_t)before);
	entry_apply(&fixture, "e1", "ready@7", VERSION_AFTER + 1);
	store_synced(&fixture, VERSION_AFTER + 1);
	now = endpoint_of(&fixture, "e1");
	assert_ptr_not_equal(now, before);
	assert_false(now->lapsed);
	assert_false(before->in_set);
	assert_int_equal(row_sync_published_version(
			     &fixture.node.row_sync, ROW_TABLE_ENDPOINTS),
	    VERSION_AFTER + 1);
	endpoint_release((endpoint_t *)(uintptr_t)before);
	node_fixture_finish(&fixture);
}

/* A short loss of the store soon after an outage does not keep the entries that
 * lapsed in the outage for ever. */
static void
a_second_short_outage_keeps_no_lapsed_entry(void **state)
{
	static node_fixture_t fixture;

	(void)state;
	entry_lapse(&fixture);
	node_fixture_advance(&fixture, LAPSED_KEEP_MS / 2);
	store_unavailable(&fixture);
	node_fixture_advance(&fixture, LAPSED_KEEP_MS / 4);
	store_available(&fixture, VERSION_AFTER);
	node_fixture_advance(&fixture, LAPSED_KEEP_MS);
	relay_endpoints_remove_lapsed(&fixture.node);
	assert_null(endpoint_of(&fixture, "e1"));
	node_fixture_finish(&fixture);
}

/* A daemon that starts to follow another one while it keeps lapsed entries
 * requests all rows from it, until it has been sent their removals. */
static void
a_daemon_that_starts_to_follow_misses_no_removal(void **state)
{
	static node_fixture_t fixture;

	(void)state;
	entry_lapse(&fixture);
	relay_endpoints_stop_keeping_lapsed(&fixture.node);
	assert_int_equal(row_sync_requested_version(
			     &fixture.node.row_sync, ROW_TABLE_ENDPOINTS),
	    0);
	fixture.node.row_sync.applying = true;
	entry_apply(&fixture, "e1", NULL, VERSION_BEFORE);
	assert_null(endpoint_of(&fixture, "e1"));
	assert_int_equal(row_sync_requested_version(
			     &fixture.node.row_sync, ROW_TABLE_ENDPOINTS),
	    VERSION_AFTER);
	node_fixture_finish(&fixture);
}

static void
an_older_row_does_not_undo_leaving_or_removal(void **state)
{
	static node_fixture_t fixture;

	(void)state;
	node_fixture_init(&fixture);
	entry_apply(&fixture, "e1", "leaving", VERSION_BEFORE);
	entry_apply(&fixture, "e1", "ready", VERSION_ENTRY);
	assert_true(endpoint_of(&fixture, "e1")->info.leaving);
	entry_apply(&fixture, "e1", NULL, VERSION_ENTRY);
	assert_non_null(endpoint_of(&fixture, "e1"));
	entry_apply(&fixture, "e1", NULL, VERSION_REMOVED);
	entry_apply(&fixture, "e1", "ready", VERSION_BEFORE);
	assert_null(endpoint_of(&fixture, "e1"));
	node_fixture_finish(&fixture);
}

/* A row that another program overwrote names no endpoint, neither here nor at
 * followers. */
static void
an_unreadable_entry_removes_the_endpoint(void **state)
{
	const row_cache_t *cache;
	static node_fixture_t fixture;

	(void)state;
	node_fixture_init(&fixture);
	cache = &fixture.node.row_sync.cache;
	entry_apply(&fixture, "e1", "ready", VERSION_ENTRY);
	entry_apply(&fixture, "e2", "ready", VERSION_ENTRY);
	entry_apply(&fixture, "e1", "?", VERSION_BEFORE);
	entry_apply(&fixture, "e3", "?", VERSION_BEFORE);
	assert_null(endpoint_of(&fixture, "e1"));
	assert_null(endpoint_of(&fixture, "e3"));
	assert_non_null(endpoint_of(&fixture, "e2"));
	assert_null(row_cache_find(cache, ROW_TABLE_ENDPOINTS, "e1")->value);
	assert_null(row_cache_find(cache, ROW_TABLE_ENDPOINTS, "e3")->value);
	assert_int_equal(fixture.node.refusals
			     .counts[ROW_KIND_ENDPOINT][ROW_FAULT_UNREADABLE]
			     .count,
	    2);
	/* Its next heartbeat brings it back. */
	entry_apply(&fixture, "e1", "ready", VERSION_REMOVED);
	assert_non_null(endpoint_of(&fixture, "e1"));
	node_fixture_finish(&fixture);
}

/* A version that no order names yet does not become the base version, however
 * many endpoints have it. */
static void
the_base_version_is_learned_at_the_first_sync(void **state)
{
	static node_fixture_t fixture;

	(void)state;
	node_fixture_init(&fixture);
	entry_apply(&fixture, "e1", "v1", VERSION_ENTRY);
	relay_rows_ops.synced(&fixture.node, ROW_TABLE_ENDPOINTS, true);
	entry_apply(&fixture, "e2", "v2", VERSION_ENTRY + 1);
	entry_apply(&fixture, "e3", "v2", VERSION_ENTRY + 2);
	relay_rows_ops.synced(&fixture.node, ROW_TABLE_ENDPOINTS, false);
	assert_string_equal(
	    endpoint_set_find_group(&fixture.node.endpoints, "s")->base_version,
	    "v1");
	node_fixture_finish(&fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(the_base_version_is_learned_at_the_first_sync),
	    cmocka_unit_test(an_unreadable_entry_removes_the_endpoint),
	    cmocka_unit_test(a_lapsed_entry_is_kept_for_a_while),
	    cmocka_unit_test(no_version_beyond_a_kept_entry_is_published),
	    cmocka_unit_test(an_entry_that_comes_back_is_no_longer_withheld),
	    cmocka_unit_test(
		an_entry_with_another_start_time_is_another_endpoint),
	    cmocka_unit_test(a_second_short_outage_keeps_no_lapsed_entry),
	    cmocka_unit_test(a_daemon_that_starts_to_follow_misses_no_removal),
	    cmocka_unit_test(an_older_row_does_not_undo_leaving_or_removal),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
