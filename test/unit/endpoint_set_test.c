/**
 * @file
 * Endpoints that restart under the same id: state of an earlier incarnation
 * must not apply to the next one, and a late entry of the earlier one must not
 * bring it back.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "../support/manual_clock.h"
#include "moortack/relay/endpoint_set.h"
#include "moortack/relay/prefix_index.h"

#define START_MS 1700000000000
/* Far longer than it takes to accept an entry of an earlier incarnation. */
#define LONG_MS 60000

/** An endpoint set with a clock that the test sets. */
typedef struct fixture {
	manual_clock_t clock;
	endpoint_set_t set;
} fixture_t;

static int
begin(void **state)
{
	static fixture_t fixture;

	fixture.clock = (manual_clock_t){{&manual_clock_ops}, {100, 0}};
	endpoint_set_init(&fixture.set, &fixture.clock.source);
	*state = &fixture;
	return 0;
}

static int
end(void **state)
{
	fixture_t *fixture = *state;

	endpoint_set_finish(&fixture->set);
	return 0;
}

static endpoint_info_t
entry(int64_t start_ms)
{
	return (endpoint_info_t){.id = "i-1",
	    .service = "lm",
	    .zone = "a",
	    .version = "v1",
	    .slots = 8,
	    .address = {"10.0.0.1", 80},
	    .started_ms = start_ms};
}

static endpoint_t *
apply_entry(fixture_t *fixture, int64_t start_ms)
{
	endpoint_info_t info = entry(start_ms);

	return endpoint_set_update(&fixture->set, &info);
}

/* Sets all the state that an endpoint can have. */
static void
fill_state(endpoint_t *endpoint)
{
	static const endpoint_load_t load = {.running = 5, .waiting = 2};

	prefill_queue_add_remote(&endpoint->prefill_queue, 900, 100000);
	endpoint_record_load(endpoint, &load);
	endpoint_request_started(endpoint);
	for (int i = 0; i < 8; i++)
		endpoint_record_failure(endpoint);
	endpoint->suspected_failures_len = 3;
	endpoint->lapsed = true;
}

static void
restart_resets_all_state(void **state)
{
	fixture_t *fixture = *state;
	endpoint_t *old = endpoint_hold(apply_entry(fixture, START_MS));
	endpoint_t *next;

	fill_state(old);
	assert_true(endpoint_is_ejected(old));
	next = apply_entry(fixture, START_MS + 1);
	assert_ptr_not_equal(next, old);
	assert_false(old->in_set);
	assert_ptr_equal(endpoint_set_find(&fixture->set, "i-1"), next);
	assert_float_equal(
	    prefill_queue_wait_ms(&next->prefill_queue, 100000), 0, 0.001);
	assert_false(next->load_reported);
	assert_int_equal(next->in_flight, 0);
	assert_int_equal(next->group->in_flight, 0);
	assert_false(endpoint_is_ejected(next));
	assert_int_equal(next->suspected_failures_len, 0);
	assert_false(next->lapsed);
	/* Requests in flight at the old incarnation end there. */
	endpoint_request_ended(old);
	assert_int_equal(next->in_flight, 0);
	endpoint_release(old);
}

/* A crashed endpoint looks idle until its entry expires: a single refused
 * connection, or a single response of another incarnation, ejects it. */
static void
refusing_or_superseded_endpoint_is_ejected_at_once(void **state)
{
	fixture_t *fixture = *state;
	endpoint_t *endpoint = apply_entry(fixture, START_MS);

	endpoint_record_failure(endpoint);
	assert_false(endpoint_is_ejected(endpoint));
	endpoint_record_refused(endpoint);
	assert_true(endpoint_is_ejected(endpoint));
	fixture->clock.now = timespec_add_ms(fixture->clock.now, 500);
	assert_false(endpoint_is_ejected(endpoint));
	endpoint_record_success(endpoint);
	endpoint_record_superseded(endpoint);
	fixture->clock.now = timespec_add_ms(fixture->clock.now, 3600);
	assert_true(endpoint_is_ejected(endpoint));
	endpoint_record_success(endpoint);
	assert_false(endpoint_is_ejected(endpoint));
}

/* Messages of other daemons name an endpoint by its short hash, and the prefix
 * index by its hash. */
static void
hashes_of_the_old_incarnation_match_nothing(void **state)
{
	static const prefix_list_t prefixes = {
	    .hashes = {7}, .tokens = {500}, .len = 1};
	fixture_t *fixture = *state;
	endpoint_t *old = apply_entry(fixture, START_MS);
	uint32_t old_short_hash = old->short_hash;
	uint64_t old_hash = old->hash;
	prefix_index_t index;
	endpoint_t *next;

	assert_true(prefix_index_init(&index));
	prefix_index_add(&index, &prefixes, old_hash, 1000);
	next = apply_entry(fixture, START_MS + 5);
	assert_null(
	    endpoint_set_find_by_short_hash(&fixture->set, old_short_hash));
	assert_int_equal(
	    prefix_index_cached_tokens(&index, &prefixes, next->hash, 1000), 0);
	prefix_index_finish(&index);
}

static void
entry_of_the_same_incarnation_keeps_state(void **state)
{
	fixture_t *fixture = *state;
	endpoint_t *first = apply_entry(fixture, START_MS);

	fill_state(first);
	assert_ptr_equal(apply_entry(fixture, START_MS), first);
	assert_true(first->load_reported);
	endpoint_request_ended(first);
}

static void
late_entry_of_an_earlier_incarnation_is_ignored(void **state)
{
	fixture_t *fixture = *state;
	endpoint_t *current = apply_entry(fixture, START_MS + 9);
	endpoint_info_t info;

	assert_ptr_equal(apply_entry(fixture, START_MS), current);
	assert_int_equal(current->info.started_ms, START_MS + 9);
	assert_false(endpoint_set_find_earlier(&fixture->set, &info));
	/* The running incarnation writes its entry again: the earlier one was
	 * late. */
	assert_ptr_equal(apply_entry(fixture, START_MS + 9), current);
	fixture->clock.now = timespec_add_ms(fixture->clock.now, LONG_MS);
	assert_false(endpoint_set_find_earlier(&fixture->set, &info));
	assert_int_equal(fixture->set.earlier_entries, 0);
}

/* An endpoint that restarted with its clock set back must not be ignored for
 * good. */
static void
uncontradicted_earlier_incarnation_is_accepted(void **state)
{
	fixture_t *fixture = *state;
	endpoint_info_t info;

	apply_entry(fixture, START_MS + 9);
	apply_entry(fixture, START_MS);
	fixture->clock.now = timespec_add_ms(fixture->clock.now, LONG_MS);
	assert_true(endpoint_set_find_earlier(&fixture->set, &info));
	assert_int_equal(info.started_ms, START_MS);
}

static void
leaving_earlier_incarnation_stops_new_requests(void **state)
{
	fixture_t *fixture = *state;
	endpoint_t *current = apply_entry(fixture, START_MS + 9);
	endpoint_info_t leaving = entry(START_MS);

	leaving.leaving = true;
	endpoint_set_update(&fixture->set, &leaving);
	assert_true(current->info.leaving);
	assert_false(apply_entry(fixture, START_MS + 9)->info.leaving);
}

/* An entry without a start time can't be of an incarnation that reported one.
 */
static void
entry_without_start_time_counts_as_earlier(void **state)
{
	fixture_t *fixture = *state;
	endpoint_t *current = apply_entry(fixture, START_MS);

	assert_ptr_equal(apply_entry(fixture, 0), current);
	assert_int_equal(current->info.started_ms, START_MS);
}

static void
removed_entry_that_comes_back_keeps_its_rate_limit(void **state)
{
	fixture_t *fixture = *state;
	endpoint_info_t moved = entry(START_MS);
	endpoint_t *endpoint = apply_entry(fixture, START_MS);

	endpoint->restrictions.rate_limited = true;
	endpoint->restrictions.rate_milli = 1900;
	endpoint_set_remove(&fixture->set, endpoint);
	moved.address.port++;
	endpoint = endpoint_set_update(&fixture->set, &moved);
	assert_false(endpoint->restrictions.rate_limited);
	endpoint_set_remove(&fixture->set, endpoint);
	endpoint = apply_entry(fixture, START_MS);
	assert_true(endpoint->restrictions.rate_limited);
	assert_int_equal(endpoint->restrictions.rate_milli, 1900);
	endpoint = apply_entry(fixture, START_MS + 1);
	assert_false(endpoint->restrictions.rate_limited);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		restart_resets_all_state, begin, end),
	    cmocka_unit_test_setup_teardown(
		refusing_or_superseded_endpoint_is_ejected_at_once, begin, end),
	    cmocka_unit_test_setup_teardown(
		hashes_of_the_old_incarnation_match_nothing, begin, end),
	    cmocka_unit_test_setup_teardown(
		entry_of_the_same_incarnation_keeps_state, begin, end),
	    cmocka_unit_test_setup_teardown(
		late_entry_of_an_earlier_incarnation_is_ignored, begin, end),
	    cmocka_unit_test_setup_teardown(
		uncontradicted_earlier_incarnation_is_accepted, begin, end),
	    cmocka_unit_test_setup_teardown(
		leaving_earlier_incarnation_stops_new_requests, begin, end),
	    cmocka_unit_test_setup_teardown(
		entry_without_start_time_counts_as_earlier, begin, end),
	    cmocka_unit_test_setup_teardown(
		removed_entry_that_comes_back_keeps_its_rate_limit, begin, end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
