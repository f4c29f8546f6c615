/**
 * @file
 * A daemon changes its parent: what it is sent, and what it has afterwards.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "../support/feed_transfer.h"
#include "../support/node_fixture.h"

#define ENDPOINTS 10000
#define VERSION (ENDPOINTS + 100)
/* Rows that are sent for one that differs, at the most. */
#define ROWS_PER_CHANGE 40

static void
endpoint_put(node_fixture_t *daemon, int number, const char *text, int version)
{
	char key[16];

	snprintf(key, sizeof(key), "e%d", number);
	node_fixture_apply_row(
	    daemon, ROW_TABLE_ENDPOINTS, key, text, (uint64_t)version);
}

static void
versions_advance(node_fixture_t *daemon, uint64_t version)
{
	for (int i = 0; i < ROW_TABLES; i++)
		row_watch_advance(&daemon->node.row_sync.watches[i].watch,
		    version, daemon->clock.now);
}

/* @param first version of the rows, which differ between daemons that have
 * learned of them in different ways */
static void
daemon_start(node_fixture_t *daemon, const char *name, int first)
{
	node_fixture_init(daemon);
	strcpy(daemon->node.members.settings.name, name);
	for (int i = 0; i < ENDPOINTS; i++)
		endpoint_put(daemon, i, "v1", first + i);
	versions_advance(daemon, VERSION);
}

/* The follower's next request goes to this parent.
 * @return number of rows in the response */
static size_t
rows_sent(node_fixture_t *follower, node_fixture_t *parent)
{
	row_sync_t *sync = &follower->node.row_sync;
	feed_response_t response;
	feed_request_t request;
	size_t count;

	feed_parent_set(sync, parent->node.members.settings.name);
	assert_true(feed_request_transfer(sync, &request));
	assert_true(feed_response_transfer(
	    &parent->node.row_sync, &request, &response));
	count = json_array_size(response.rows);
	row_follow_response(sync, &response, follower->clock.now);
	feed_response_clear(&response);
	return count;
}

/* A full read of the store shows no deletions that came and went before it. */
static void
full_read_complete(node_fixture_t *daemon, uint64_t version)
{
	versions_advance(daemon, version);
	daemon->node.row_sync.cache.complete_since[ROW_TABLE_ENDPOINTS] =
	    version;
}

static bool
has_endpoint(node_fixture_t *daemon, const char *id)
{
	return endpoint_set_find(&daemon->node.endpoints, id) != NULL;
}

/* Each change of parent read all rows anew: small VMs did nothing else for
 * seconds. */
static void
new_parent_sends_only_rows_that_differ(void **state)
{
	node_fixture_t follower, first, second;

	(void)state;
	daemon_start(&follower, "follower", 1);
	daemon_start(&first, "first", 40);
	daemon_start(&second, "second", 20);
	assert_int_equal(rows_sent(&follower, &first), 0);
	assert_true(follower.node.row_sync.following);
	endpoint_put(&second, 3, "leaving", VERSION + 1);
	endpoint_put(&second, ENDPOINTS, "v1", VERSION + 2);
	endpoint_put(&second, 7, NULL, VERSION + 3);
	versions_advance(&second, VERSION + 3);
	assert_in_range(rows_sent(&follower, &second), 3, 3 * ROWS_PER_CHANGE);
	assert_true(
	    endpoint_set_find(&follower.node.endpoints, "e3")->info.leaving);
	assert_true(has_endpoint(&follower, "e10000"));
	assert_false(has_endpoint(&follower, "e7"));
	assert_int_equal(
	    HASH_COUNT(follower.node.endpoints.endpoints), ENDPOINTS);
	assert_int_equal(
	    row_sync_watch(&follower.node.row_sync, ROW_TABLE_ENDPOINTS)
		->version,
	    VERSION + 3);
	/* From then on, changes. */
	endpoint_put(&second, 9, "v2", VERSION + 4);
	assert_int_equal(rows_sent(&follower, &second), 1);
	node_fixture_finish(&follower);
	node_fixture_finish(&first);
	node_fixture_finish(&second);
}

/* A row that was deleted at the parent before the response, and that the
 * follower has read from the store since its request, is in no bucket that
 * differs: it is not to stay. */
static void
rows_that_changed_since_the_request_are_not_confirmed(void **state)
{
	node_fixture_t follower, parent;
	feed_response_t response;
	feed_request_t request;
	row_sync_t *sync;

	(void)state;
	daemon_start(&follower, "follower", 1);
	daemon_start(&parent, "parent", 1);
	sync = &follower.node.row_sync;
	feed_parent_set(sync, "parent");
	assert_true(feed_request_transfer(sync, &request));
	endpoint_put(&parent, ENDPOINTS, "v1", VERSION + 1);
	endpoint_put(&parent, ENDPOINTS, NULL, VERSION + 2);
	versions_advance(&parent, VERSION + 2);
	endpoint_put(&follower, ENDPOINTS, "v1", VERSION + 1);
	assert_true(
	    feed_response_transfer(&parent.node.row_sync, &request, &response));
	row_follow_response(sync, &response, follower.clock.now);
	feed_response_clear(&response);
	assert_false(sync->following);
	/* The parent sends the bucket of the row then. */
	assert_in_range(rows_sent(&follower, &parent), 1, ROWS_PER_CHANGE);
	assert_true(sync->following);
	assert_false(has_endpoint(&follower, "e10000"));
	node_fixture_finish(&follower);
	node_fixture_finish(&parent);
}

/* Summaries that are always outdated would never let a daemon follow. */
static void
rows_that_keep_changing_are_requested_in_full(void **state)
{
	node_fixture_t follower, parent;
	feed_response_t response;
	feed_request_t request;
	row_sync_t *sync;

	(void)state;
	daemon_start(&follower, "follower", 1);
	daemon_start(&parent, "parent", 1);
	sync = &follower.node.row_sync;
	feed_parent_set(sync, "parent");
	for (int i = 1; i <= 3; i++) {
		assert_true(feed_request_transfer(sync, &request));
		endpoint_put(&parent, i, "v1 leaving", VERSION + i);
		endpoint_put(&follower, ENDPOINTS + i, "v1", VERSION + i);
		assert_true(feed_response_transfer(
		    &parent.node.row_sync, &request, &response));
		row_follow_response(sync, &response, follower.clock.now);
		feed_response_clear(&response);
		assert_false(sync->following);
	}
	assert_in_range(
	    rows_sent(&follower, &parent), ENDPOINTS, ENDPOINTS + 3);
	assert_true(sync->following);
	node_fixture_finish(&follower);
	node_fixture_finish(&parent);
}

/* A row that was deleted and written again means the same to the first parent.
 * The second one still has its deletion, which is older. */
static void
older_parent_does_not_remove_a_confirmed_row(void **state)
{
	node_fixture_t follower, first, second;

	(void)state;
	daemon_start(&follower, "follower", 1);
	daemon_start(&first, "first", 1);
	daemon_start(&second, "second", 1);
	endpoint_put(&second, 7, NULL, VERSION + 1);
	versions_advance(&second, VERSION + 1);
	endpoint_put(&first, 7, "v1", VERSION + 2);
	versions_advance(&first, VERSION + 2);
	assert_int_equal(rows_sent(&follower, &first), 0);
	rows_sent(&follower, &second);
	assert_true(has_endpoint(&follower, "e7"));
	node_fixture_finish(&follower);
	node_fixture_finish(&first);
	node_fixture_finish(&second);
}

/* After a full read of the store, each daemon was sent all rows. */
static void
full_read_at_the_parent_sends_only_changes(void **state)
{
	node_fixture_t follower, parent;

	(void)state;
	daemon_start(&follower, "follower", 1);
	daemon_start(&parent, "parent", 1);
	assert_int_equal(rows_sent(&follower, &parent), 0);
	endpoint_put(&parent, ENDPOINTS, "v1", VERSION + 1);
	endpoint_put(&parent, 7, NULL, VERSION + 2);
	full_read_complete(&parent, VERSION + 2);
	assert_int_equal(rows_sent(&follower, &parent), 2);
	assert_true(has_endpoint(&follower, "e10000"));
	assert_false(has_endpoint(&follower, "e7"));
	assert_int_equal(
	    row_sync_watch(&follower.node.row_sync, ROW_TABLE_ENDPOINTS)
		->version,
	    VERSION + 2);
	node_fixture_finish(&follower);
	node_fixture_finish(&parent);
}

/* The parent's full read is later than the row's deletion, which the parent
 * does not know of. */
static void
row_that_was_read_beside_is_removed_after_a_full_read(void **state)
{
	const row_t row = {.key = "e10000",
	    .value = "v1",
	    .value_len = 2,
	    .version = VERSION + 1};
	node_fixture_t follower, parent;
	row_watch_t *watch;

	(void)state;
	daemon_start(&follower, "follower", 1);
	daemon_start(&parent, "parent", 1);
	assert_int_equal(rows_sent(&follower, &parent), 0);
	watch = &follower.node.row_sync.watches[ROW_TABLE_ENDPOINTS].watch;
	watch->ops->row(watch->arg, &row);
	assert_true(has_endpoint(&follower, "e10000"));
	full_read_complete(&parent, VERSION + 3);
	rows_sent(&follower, &parent);
	assert_in_range(rows_sent(&follower, &parent), 0, ROWS_PER_CHANGE);
	assert_false(has_endpoint(&follower, "e10000"));
	node_fixture_finish(&follower);
	node_fixture_finish(&parent);
}

/* A daemon that starts has no rows to summarize. */
static void
starting_daemon_gets_all_rows(void **state)
{
	node_fixture_t starter, parent;

	(void)state;
	node_fixture_init(&starter);
	daemon_start(&parent, "parent", 1);
	assert_int_equal(rows_sent(&starter, &parent), ENDPOINTS);
	assert_int_equal(
	    HASH_COUNT(starter.node.endpoints.endpoints), ENDPOINTS);
	node_fixture_finish(&starter);
	node_fixture_finish(&parent);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(new_parent_sends_only_rows_that_differ),
	    cmocka_unit_test(
		rows_that_changed_since_the_request_are_not_confirmed),
	    cmocka_unit_test(rows_that_keep_changing_are_requested_in_full),
	    cmocka_unit_test(older_parent_does_not_remove_a_confirmed_row),
	    cmocka_unit_test(full_read_at_the_parent_sends_only_changes),
	    cmocka_unit_test(
		row_that_was_read_beside_is_removed_after_a_full_read),
	    cmocka_unit_test(starting_daemon_gets_all_rows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
