/**
 * @file
 * Entries of endpoints that go in an outage of the store: they are kept for a
 * while, and nobody who relies on this daemon's rows misses their end. Rows
 * that are older than what is known change nothing.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "../support/node_fixture.h"

#define LAPSE_MS (test_node_settings.lapsed_keep_ms)
#define OUTAGE_MS 4000
#define VERSION_ENTRY 40
#define VERSION_BEFORE 60
#define VERSION_END 75
#define VERSION_AFTER 90

static void
entry_tell(
    node_fixture_t *told, const char *id, const char *text, uint64_t version)
{
	node_fixture_apply_row(told, ROW_TABLE_ENDPOINTS, id, text, version);
}

/* The store has answered: its entries are known up to the version. */
static void
store_answers(node_fixture_t *told, uint64_t version)
{
	row_watch_t *watch =
	    &told->node.row_sync.watches[ROW_TABLE_ENDPOINTS].watch;

	row_watch_advance(watch, version, told->clock.now);
	watch->reachable = true;
}

static void
store_lost(node_fixture_t *told)
{
	told->node.row_sync.watches[ROW_TABLE_ENDPOINTS].watch.reachable =
	    false;
	relay_rows_ops.reachable(&told->node, ROW_TABLE_ENDPOINTS, false);
}

static void
store_back(node_fixture_t *told, uint64_t version)
{
	relay_rows_ops.reachable(&told->node, ROW_TABLE_ENDPOINTS, true);
	store_answers(told, version);
}

static const endpoint_t *
entry_of(const node_fixture_t *told, const char *id)
{
	return endpoint_set_find(&told->node.endpoints, id);
}

/* An entry that is known, an outage, and the entry's end just after it. */
static void
entry_lapses(node_fixture_t *told)
{
	node_fixture_init(told);
	entry_tell(told, "e1", "ready", VERSION_ENTRY);
	store_answers(told, VERSION_BEFORE);
	store_lost(told);
	node_fixture_advance(told, OUTAGE_MS);
	relay_rows_ops.reachable(&told->node, ROW_TABLE_ENDPOINTS, true);
	entry_tell(told, "e1", NULL, VERSION_END);
	store_answers(told, VERSION_AFTER);
}

static void
an_entry_that_lapsed_is_kept_for_a_time(void **state)
{
	static node_fixture_t told;

	(void)state;
	entry_lapses(&told);
	assert_non_null(entry_of(&told, "e1"));
	node_fixture_advance(&told, LAPSE_MS - 1);
	relay_endpoints_remove_lapsed(&told.node);
	assert_non_null(entry_of(&told, "e1"));
	node_fixture_advance(&told, 1);
	relay_endpoints_remove_lapsed(&told.node);
	assert_null(entry_of(&told, "e1"));
	node_fixture_finish(&told);
}

/* Whoever goes on from the version that it was told hears of the end. */
static void
nobody_is_told_a_version_beyond_an_entry_that_is_kept(void **state)
{
	const row_sync_t *source;
	static node_fixture_t told;

	(void)state;
	entry_lapses(&told);
	source = &told.node.row_sync;
	assert_true(row_sync_published_version(source, ROW_TABLE_ENDPOINTS) <
	    VERSION_END);
	assert_int_equal(
	    row_sync_requested_version(source, ROW_TABLE_ENDPOINTS), 0);
	node_fixture_advance(&told, LAPSE_MS);
	relay_endpoints_remove_lapsed(&told.node);
	assert_int_equal(
	    row_sync_published_version(source, ROW_TABLE_ENDPOINTS),
	    VERSION_AFTER);
	assert_int_equal(
	    row_sync_requested_version(source, ROW_TABLE_ENDPOINTS),
	    VERSION_AFTER);
	node_fixture_finish(&told);
}

static void
an_entry_that_comes_back_is_no_longer_kept_back(void **state)
{
	static node_fixture_t told;

	(void)state;
	entry_lapses(&told);
	entry_tell(&told, "e1", "ready", VERSION_AFTER + 1);
	store_answers(&told, VERSION_AFTER + 1);
	assert_int_equal(row_sync_published_version(
			     &told.node.row_sync, ROW_TABLE_ENDPOINTS),
	    VERSION_AFTER + 1);
	node_fixture_advance(&told, LAPSE_MS);
	relay_endpoints_remove_lapsed(&told.node);
	assert_non_null(entry_of(&told, "e1"));
	node_fixture_finish(&told);
}

/* Whoever comes back with another start is not the one that lapsed. */
static void
an_entry_that_comes_back_as_another_start_is_another_endpoint(void **state)
{
	const endpoint_t *before, *now;
	static node_fixture_t told;

	(void)state;
	entry_lapses(&told);
	before = entry_of(&told, "e1");
	endpoint_hold((endpoint_t *)(uintptr_t)before);
	entry_tell(&told, "e1", "ready@7", VERSION_AFTER + 1);
	store_answers(&told, VERSION_AFTER + 1);
	now = entry_of(&told, "e1");
	assert_ptr_not_equal(now, before);
	assert_false(now->lapsed);
	assert_false(before->in_set);
	assert_int_equal(row_sync_published_version(
			     &told.node.row_sync, ROW_TABLE_ENDPOINTS),
	    VERSION_AFTER + 1);
	endpoint_release((endpoint_t *)(uintptr_t)before);
	node_fixture_finish(&told);
}

/* A moment without the store soon after an outage does not keep for good what
 * the outage left behind. */
static void
a_second_short_loss_ends_no_time(void **state)
{
	static node_fixture_t told;

	(void)state;
	entry_lapses(&told);
	node_fixture_advance(&told, LAPSE_MS / 2);
	store_lost(&told);
	node_fixture_advance(&told, LAPSE_MS / 4);
	store_back(&told, VERSION_AFTER);
	node_fixture_advance(&told, LAPSE_MS);
	relay_endpoints_remove_lapsed(&told.node);
	assert_null(entry_of(&told, "e1"));
	node_fixture_finish(&told);
}

/* Whoever begins to follow another while it keeps entries asks it for all, and
 * forgets none of them until it was told. */
static void
who_begins_to_follow_forgets_no_end(void **state)
{
	static node_fixture_t told;

	(void)state;
	entry_lapses(&told);
	relay_endpoints_stop_keeping_lapsed(&told.node);
	assert_int_equal(row_sync_requested_version(
			     &told.node.row_sync, ROW_TABLE_ENDPOINTS),
	    0);
	told.node.row_sync.applying = true;
	entry_tell(&told, "e1", NULL, VERSION_BEFORE);
	assert_null(entry_of(&told, "e1"));
	assert_int_equal(row_sync_requested_version(
			     &told.node.row_sync, ROW_TABLE_ENDPOINTS),
	    VERSION_AFTER);
	node_fixture_finish(&told);
}

static void
an_older_row_brings_back_no_endpoint_that_leaves(void **state)
{
	static node_fixture_t told;

	(void)state;
	node_fixture_init(&told);
	entry_tell(&told, "e1", "leaving", VERSION_BEFORE);
	entry_tell(&told, "e1", "ready", VERSION_ENTRY);
	assert_true(entry_of(&told, "e1")->info.leaving);
	entry_tell(&told, "e1", NULL, VERSION_ENTRY);
	assert_non_null(entry_of(&told, "e1"));
	entry_tell(&told, "e1", NULL, VERSION_END);
	entry_tell(&told, "e1", "ready", VERSION_BEFORE);
	assert_null(entry_of(&told, "e1"));
	node_fixture_finish(&told);
}

/* What another writer put in an entry's place names no endpoint, to nobody. */
static void
an_entry_that_is_spoilt_ends_the_endpoint(void **state)
{
	const row_cache_t *cache;
	static node_fixture_t told;

	(void)state;
	node_fixture_init(&told);
	cache = &told.node.row_sync.cache;
	entry_tell(&told, "e1", "ready", VERSION_ENTRY);
	entry_tell(&told, "e2", "ready", VERSION_ENTRY);
	entry_tell(&told, "e1", "?", VERSION_BEFORE);
	entry_tell(&told, "e3", "?", VERSION_BEFORE);
	assert_null(entry_of(&told, "e1"));
	assert_null(entry_of(&told, "e3"));
	assert_non_null(entry_of(&told, "e2"));
	assert_null(row_cache_find(cache, ROW_TABLE_ENDPOINTS, "e1")->value);
	assert_null(row_cache_find(cache, ROW_TABLE_ENDPOINTS, "e3")->value);
	assert_int_equal(
	    told.node.refusals.counts[ROW_KIND_ENDPOINT][ROW_FAULT_UNREADABLE]
		.count,
	    2);
	/* Its next heartbeat brings it back. */
	entry_tell(&told, "e1", "ready", VERSION_END);
	assert_non_null(entry_of(&told, "e1"));
	node_fixture_finish(&told);
}

/* Endpoints of a version that nobody ordered yet do not become the ones to use,
 * however many they are. */
static void
the_version_in_use_is_learned_as_soon_as_it_is_known(void **state)
{
	static node_fixture_t told;

	(void)state;
	node_fixture_init(&told);
	entry_tell(&told, "e1", "v1", VERSION_ENTRY);
	relay_rows_ops.synced(&told.node, ROW_TABLE_ENDPOINTS, true);
	entry_tell(&told, "e2", "v2", VERSION_ENTRY + 1);
	entry_tell(&told, "e3", "v2", VERSION_ENTRY + 2);
	relay_rows_ops.synced(&told.node, ROW_TABLE_ENDPOINTS, false);
	assert_string_equal(
	    endpoint_set_find_group(&told.node.endpoints, "s")->base_version,
	    "v1");
	node_fixture_finish(&told);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		the_version_in_use_is_learned_as_soon_as_it_is_known),
	    cmocka_unit_test(an_entry_that_is_spoilt_ends_the_endpoint),
	    cmocka_unit_test(an_entry_that_lapsed_is_kept_for_a_time),
	    cmocka_unit_test(
		nobody_is_told_a_version_beyond_an_entry_that_is_kept),
	    cmocka_unit_test(an_entry_that_comes_back_is_no_longer_kept_back),
	    cmocka_unit_test(
		an_entry_that_comes_back_as_another_start_is_another_endpoint),
	    cmocka_unit_test(a_second_short_loss_ends_no_time),
	    cmocka_unit_test(who_begins_to_follow_forgets_no_end),
	    cmocka_unit_test(an_older_row_brings_back_no_endpoint_that_leaves),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
