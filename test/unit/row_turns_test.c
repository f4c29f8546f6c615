/**
 * @file
 * Many rows of a parent are applied in several turns of the event loop.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "../support/feed_transfer.h"
#include "../support/node_fixture.h"

#define ENDPOINTS 2000
/* Time that passes with each look at the clock. */
#define STEP_MS 1

/** A clock that runs while it is looked at. */
typedef struct running_clock {
	clock_source_t source;
	struct timespec now;
} running_clock_t;

static struct timespec
running_now(const clock_source_t *source)
{
	return ((const running_clock_t *)source)->now;
}

static struct timespec
running_monotonic(const clock_source_t *source)
{
	running_clock_t *clock = (running_clock_t *)(uintptr_t)source;

	clock->now = timespec_add_ms(clock->now, STEP_MS);
	return clock->now;
}

static const clock_ops_t running_ops = {
    running_now, running_now, running_monotonic, running_now};

typedef struct fixture {
	node_fixture_t parent;
	node_fixture_t follower;
	running_clock_t clock;	  /**< of the follower */
	struct event *other;	  /**< another event of its loop */
	size_t known_at_other;	  /**< endpoints known when that came */
	uint64_t config_at_other; /**< version of its configuration then */
} fixture_t;

static size_t
endpoints_known(const fixture_t *fixture)
{
	return HASH_COUNT(fixture->follower.node.endpoints.endpoints);
}

static bool
has_operator_row(const fixture_t *fixture, const char *key)
{
	return row_cache_find(&fixture->follower.node.row_sync.cache,
		   ROW_TABLE_OPERATOR, key) != NULL;
}

static void
on_other(evutil_socket_t fd, short what, void *arg)
{
	fixture_t *fixture = arg;

	(void)fd;
	(void)what;
	fixture->known_at_other = endpoints_known(fixture);
	fixture->config_at_other = has_operator_row(fixture, "late");
	event_base_loopbreak(fixture->follower.base);
}

static void
versions_advance(fixture_t *fixture, uint64_t version)
{
	row_sync_t *sync = &fixture->parent.node.row_sync;

	for (int i = 0; i < ROW_TABLES; i++)
		row_watch_advance(
		    &sync->watches[i].watch, version, fixture->clock.now);
}

static int
set_up(void **state)
{
	static fixture_t fixture;
	char key[16];

	memset(&fixture, 0, sizeof(fixture));
	node_fixture_init(&fixture.parent);
	strcpy(fixture.parent.node.members.settings.name, "parent");
	node_fixture_init(&fixture.follower);
	fixture.clock = (running_clock_t){{&running_ops}, {1000, 0}};
	fixture.follower.node.row_sync.clock = &fixture.clock.source;
	for (int i = 0; i < ENDPOINTS; i++) {
		snprintf(key, sizeof(key), "e%d", i);
		node_fixture_apply_row(&fixture.parent, ROW_TABLE_ENDPOINTS,
		    key, "v1", (uint64_t)i + 1);
	}
	node_fixture_apply_row(
	    &fixture.parent, ROW_TABLE_OPERATOR, "late", "{}", ENDPOINTS + 1);
	versions_advance(&fixture, ENDPOINTS + 1);
	fixture.other =
	    event_new(fixture.follower.base, -1, 0, on_other, &fixture);
	*state = &fixture;
	return 0;
}

static int
tear_down(void **state)
{
	fixture_t *fixture = *state;

	event_free(fixture->other);
	node_fixture_finish(&fixture->parent);
	node_fixture_finish(&fixture->follower);
	return 0;
}

/* @return whether the response was applied in one turn */
static bool
response_receive(fixture_t *fixture)
{
	row_sync_t *sync = &fixture->follower.node.row_sync;
	feed_response_t response;
	feed_request_t request;
	bool applied;

	feed_parent_set(sync, "parent");
	assert_true(feed_request_transfer(sync, &request));
	assert_true(feed_response_transfer(
	    &fixture->parent.node.row_sync, &request, &response));
	applied = row_follow_response(sync, &response, fixture->clock.now);
	feed_response_clear(&response);
	return applied;
}

/* Time limits and ready responses waited for seconds until all rows of a
 * response were applied. */
static void
other_events_do_not_wait_for_all_rows(void **state)
{
	static const struct timeval now = {0, 0};
	fixture_t *fixture = *state;

	assert_false(response_receive(fixture));
	event_add(fixture->other, &now);
	event_base_dispatch(fixture->follower.base);
	assert_in_range(fixture->known_at_other, 1, ENDPOINTS / 10);
	assert_false(fixture->follower.node.row_sync.following);
	/* The next request is sent once all are applied. */
	while (fixture->follower.node.row_sync.apply.active)
		event_base_loop(fixture->follower.base, EVLOOP_ONCE);
	assert_int_equal(endpoints_known(fixture), ENDPOINTS);
	assert_true(fixture->follower.node.row_sync.following);
}

/* A configuration came into force only after all rows of endpoints that the
 * same response had. */
static void
configuration_does_not_wait_for_other_rows(void **state)
{
	static const struct timeval now = {0, 0};
	fixture_t *fixture = *state;
	const row_sync_t *sync = &fixture->follower.node.row_sync;

	assert_false(response_receive(fixture));
	event_add(fixture->other, &now);
	event_base_dispatch(fixture->follower.base);
	assert_true(fixture->config_at_other);
	assert_int_equal(
	    row_sync_watch(sync, ROW_TABLE_OPERATOR)->version, ENDPOINTS + 1);
	assert_int_equal(row_sync_watch(sync, ROW_TABLE_ENDPOINTS)->version, 0);
}

/* The rest of the former parent's rows would be applied as if they were of
 * the new one. */
static void
rest_of_a_former_parent_is_dropped(void **state)
{
	fixture_t *fixture = *state;
	row_sync_t *sync = &fixture->follower.node.row_sync;

	assert_false(response_receive(fixture));
	row_parent_unfollow(sync, "test");
	assert_false(sync->apply.active);
	assert_int_equal(row_sync_watch(sync, ROW_TABLE_ENDPOINTS)->version, 0);
	node_fixture_apply_row(
	    &fixture->parent, ROW_TABLE_ENDPOINTS, "e0", NULL, ENDPOINTS + 2);
	versions_advance(fixture, ENDPOINTS + 2);
	response_receive(fixture);
	while (sync->apply.active)
		event_base_loop(fixture->follower.base, EVLOOP_ONCE);
	assert_int_equal(endpoints_known(fixture), ENDPOINTS - 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		other_events_do_not_wait_for_all_rows, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		configuration_does_not_wait_for_other_rows, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		rest_of_a_former_parent_is_dropped, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
