/**
 * @file
 * Evacuations of availability zones: no endpoint of a zone accepts requests
 * while the zone's row exists, whichever of the two became known first.
 * Restoring the store from an older copy that lacks the row does not end the
 * evacuation at once.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "../support/node_fixture.h"
#include "moortack/replication/era_version.h"

#define ZONE "a" /* set by test_endpoint_decode() */
#define KEY "evacuate/" ZONE
#define UNCONFIRMED_MS 60000

static void
endpoint_row_apply(node_fixture_t *fixture, const char *id, uint64_t version)
{
	node_fixture_apply_row(fixture, ROW_TABLE_ENDPOINTS, id, "v1", version);
}

static bool
accepts_requests(const node_fixture_t *fixture, const char *id)
{
	return endpoint_accepts_requests(
	    endpoint_set_find(&fixture->node.endpoints, id));
}

static void
an_evacuation_applies_to_all_endpoints_of_its_zone(void **state)
{
	static node_fixture_t fixture;

	(void)state;
	node_fixture_init(&fixture);
	endpoint_row_apply(&fixture, "e1", 10);
	node_fixture_apply_row(
	    &fixture, ROW_TABLE_OPERATOR, "evacuate/other", "{}", 11);
	assert_true(accepts_requests(&fixture, "e1"));
	node_fixture_apply_row(&fixture, ROW_TABLE_OPERATOR, KEY, "{}", 12);
	endpoint_row_apply(&fixture, "e2", 13);
	assert_false(accepts_requests(&fixture, "e1"));
	assert_false(accepts_requests(&fixture, "e2"));
	/* The row is written again, with a value that is not JSON. */
	node_fixture_apply_row(&fixture, ROW_TABLE_OPERATOR, KEY, "?", 14);
	assert_false(accepts_requests(&fixture, "e1"));
	assert_int_equal(
	    zone_table_evacuated_count(&fixture.node.endpoints.zones), 2);
	node_fixture_apply_row(&fixture, ROW_TABLE_OPERATOR, KEY, NULL, 15);
	assert_true(accepts_requests(&fixture, "e1"));
	assert_true(accepts_requests(&fixture, "e2"));
	node_fixture_finish(&fixture);
}

static void
an_outdated_row_is_ignored(void **state)
{
	static node_fixture_t fixture;

	(void)state;
	node_fixture_init(&fixture);
	endpoint_row_apply(&fixture, "e1", 10);
	node_fixture_apply_row(&fixture, ROW_TABLE_OPERATOR, KEY, "{}", 20);
	node_fixture_apply_row(&fixture, ROW_TABLE_OPERATOR, KEY, NULL, 19);
	assert_false(accepts_requests(&fixture, "e1"));
	node_fixture_apply_row(&fixture, ROW_TABLE_OPERATOR, KEY, NULL, 21);
	node_fixture_apply_row(&fixture, ROW_TABLE_OPERATOR, KEY, "{}", 20);
	assert_true(accepts_requests(&fixture, "e1"));
	node_fixture_finish(&fixture);
}

/* Evacuate the zone, then restore the store from a copy without the row. */
static void
store_restore_without_row(node_fixture_t *fixture)
{
	node_fixture_init(fixture);
	endpoint_row_apply(fixture, "e1", 10);
	node_fixture_apply_row(fixture, ROW_TABLE_OPERATOR, KEY, "{}", 20);
	node_fixture_apply_row(
	    fixture, ROW_TABLE_OPERATOR, KEY, NULL, era_version_make(1, 5));
}

static void
an_evacuation_outlasts_a_restore_without_its_row(void **state)
{
	static node_fixture_t fixture;
	const cached_row_t *row;

	(void)state;
	store_restore_without_row(&fixture);
	assert_false(accepts_requests(&fixture, "e1"));
	/* Daemons that follow this one read the row from its cache. */
	row = row_cache_find(
	    &fixture.node.row_sync.cache, ROW_TABLE_OPERATOR, KEY);
	assert_non_null(row->value);
	assert_int_equal(row->version, era_version_make(1, 5));
	/* A second read of the copy lacks the row as well. */
	node_fixture_apply_row(
	    &fixture, ROW_TABLE_OPERATOR, KEY, NULL, era_version_make(1, 6));
	assert_false(accepts_requests(&fixture, "e1"));
	node_fixture_advance(&fixture, UNCONFIRMED_MS - 1);
	relay_evacuations_expire(&fixture.node);
	assert_false(accepts_requests(&fixture, "e1"));
	node_fixture_advance(&fixture, 1);
	relay_evacuations_expire(&fixture.node);
	assert_true(accepts_requests(&fixture, "e1"));
	row = row_cache_find(
	    &fixture.node.row_sync.cache, ROW_TABLE_OPERATOR, KEY);
	assert_null(row->value);
	node_fixture_finish(&fixture);
}

/* A follower that missed the rows of the restored store still learns of the
 * removal. */
static void
a_removal_that_another_daemon_reports_is_final(void **state)
{
	static node_fixture_t fixture;

	(void)state;
	node_fixture_init(&fixture);
	endpoint_row_apply(&fixture, "e1", 10);
	node_fixture_apply_row(&fixture, ROW_TABLE_OPERATOR, KEY, "{}", 20);
	fixture.node.row_sync.applying = true;
	node_fixture_apply_row(
	    &fixture, ROW_TABLE_OPERATOR, KEY, NULL, era_version_make(1, 5));
	fixture.node.row_sync.applying = false;
	assert_true(accepts_requests(&fixture, "e1"));
	node_fixture_finish(&fixture);
}

static void
a_rewritten_row_confirms_the_evacuation(void **state)
{
	static node_fixture_t fixture;

	(void)state;
	store_restore_without_row(&fixture);
	node_fixture_apply_row(
	    &fixture, ROW_TABLE_OPERATOR, KEY, "{}", era_version_make(1, 8));
	node_fixture_advance(&fixture, 2 * UNCONFIRMED_MS);
	relay_evacuations_expire(&fixture.node);
	assert_false(accepts_requests(&fixture, "e1"));
	node_fixture_apply_row(
	    &fixture, ROW_TABLE_OPERATOR, KEY, NULL, era_version_make(1, 9));
	assert_true(accepts_requests(&fixture, "e1"));
	node_fixture_finish(&fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		an_evacuation_applies_to_all_endpoints_of_its_zone),
	    cmocka_unit_test(an_outdated_row_is_ignored),
	    cmocka_unit_test(an_evacuation_outlasts_a_restore_without_its_row),
	    cmocka_unit_test(a_removal_that_another_daemon_reports_is_final),
	    cmocka_unit_test(a_rewritten_row_confirms_the_evacuation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
