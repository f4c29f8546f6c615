/**
 * @file
 * Until when a daemon may treat its configuration as being in force.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "moortack/member/freshness.h"

#define WINDOW_MS 8000
#define OUTAGE_MS 60000
#define START_MS 1000000

static struct timespec
at(int64_t ms)
{
	return timespec_from_ms(START_MS + ms);
}

static int64_t
until_ms(const freshness_t *freshness)
{
	return timespec_to_ms(freshness_expires_at(freshness)) - START_MS;
}

static void
peer_respond(freshness_t *freshness, uint64_t peer, int64_t queried_ms,
    uint64_t revision, uint64_t epoch)
{
	const peer_evidence_t evidence = {.incarnation = peer,
	    .queried_at = at(queried_ms),
	    .revision = revision,
	    .epoch = epoch};

	assert_true(freshness_peer_responded(freshness, &evidence));
}

static void
freshness_setup(freshness_t *freshness, uint32_t members)
{
	freshness_init(freshness, WINDOW_MS, OUTAGE_MS);
	freshness->member_count = members;
	freshness->revision = 5;
	freshness->epoch = 3;
}

static void
not_fresh_without_store_read(void **state)
{
	freshness_t freshness;

	(void)state;
	freshness_setup(&freshness, 1);
	assert_true(until_ms(&freshness) < 0);
	freshness_finish(&freshness);
}

static void
dated_by_request_time(void **state)
{
	freshness_t freshness;

	(void)state;
	freshness_setup(&freshness, 3);
	freshness_store_read(&freshness, 5, at(100));
	assert_int_equal(until_ms(&freshness), 100 + WINDOW_MS);
	/* An older read that arrives late doesn't shorten the time. */
	freshness_store_read(&freshness, 5, at(50));
	assert_int_equal(until_ms(&freshness), 100 + WINDOW_MS);
	freshness_finish(&freshness);
}

static void
head_not_held_is_no_evidence(void **state)
{
	freshness_t freshness;

	(void)state;
	freshness_setup(&freshness, 3);
	freshness_store_read(&freshness, 6, at(100));
	assert_true(until_ms(&freshness) < 0);
	freshness_finish(&freshness);
}

static void
peers_are_evidence_only_as_majority(void **state)
{
	freshness_t freshness;

	(void)state;
	freshness_setup(&freshness, 5);
	freshness_store_read(&freshness, 5, at(0));
	peer_respond(&freshness, 11, 20000, 5, 3);
	assert_int_equal(until_ms(&freshness), WINDOW_MS);
	peer_respond(&freshness, 12, 19000, 5, 3);
	/* The majority is as old as the oldest response that it needs. */
	assert_int_equal(until_ms(&freshness), 19000 + WINDOW_MS);
	freshness_finish(&freshness);
}

static void
later_revision_or_other_epoch_does_not_count(void **state)
{
	freshness_t freshness;

	(void)state;
	freshness_setup(&freshness, 3);
	freshness_store_read(&freshness, 5, at(0));
	peer_respond(&freshness, 11, 20000, 6, 3);
	assert_int_equal(until_ms(&freshness), WINDOW_MS);
	peer_respond(&freshness, 11, 20000, 5, 4);
	assert_int_equal(until_ms(&freshness), WINDOW_MS);
	peer_respond(&freshness, 11, 20000, 4, 3);
	assert_int_equal(until_ms(&freshness), 20000 + WINDOW_MS);
	freshness_finish(&freshness);
}

static void
store_outage_is_limited(void **state)
{
	freshness_t freshness;

	(void)state;
	freshness_setup(&freshness, 3);
	freshness_store_read(&freshness, 5, at(0));
	peer_respond(&freshness, 11, 59000, 5, 3);
	assert_int_equal(until_ms(&freshness), OUTAGE_MS);
	freshness_finish(&freshness);
}

static void
half_counts_this_daemon(void **state)
{
	freshness_t freshness;

	(void)state;
	freshness_setup(&freshness, 5);
	peer_respond(&freshness, 11, 0, 5, 3);
	assert_false(freshness_half_responded(&freshness, at(10)));
	freshness.member_count = 4;
	assert_true(freshness_half_responded(&freshness, at(10)));
	assert_false(freshness_half_responded(&freshness, at(WINDOW_MS)));
	freshness_finish(&freshness);
}

static void
removed_peer_does_not_count(void **state)
{
	freshness_t freshness;

	(void)state;
	freshness_setup(&freshness, 3);
	freshness_store_read(&freshness, 5, at(0));
	peer_respond(&freshness, 11, 20000, 5, 3);
	peer_respond(&freshness, 12, 21000, 5, 3);
	freshness_peer_remove(&freshness, 12);
	assert_int_equal(until_ms(&freshness), 20000 + WINDOW_MS);
	freshness_peer_remove(&freshness, 11);
	assert_int_equal(until_ms(&freshness), WINDOW_MS);
	freshness_peer_remove(&freshness, 11);
	assert_false(freshness_half_responded(&freshness, at(21000)));
	freshness_finish(&freshness);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(not_fresh_without_store_read),
	    cmocka_unit_test(dated_by_request_time),
	    cmocka_unit_test(head_not_held_is_no_evidence),
	    cmocka_unit_test(peers_are_evidence_only_as_majority),
	    cmocka_unit_test(later_revision_or_other_epoch_does_not_count),
	    cmocka_unit_test(store_outage_is_limited),
	    cmocka_unit_test(half_counts_this_daemon),
	    cmocka_unit_test(removed_peer_does_not_count),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
