/**
 * @file
 * Failure detection: one daemon's view of which daemons are alive. Guards
 * against a daemon that lost power but was offered to callers for 13 s, since
 * its successor as the tree's root counted its silence only from its own
 * succession: it logged event=member named=0 heard_ms=-1 row_ms=12200, 12.2 s
 * after event=unfollow why=no_answer for the same daemon. Signs of life and
 * liveness summaries have to keep the time at which they were given, through
 * however many daemons and however late they arrive.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "common/clock_source.h"
#include "moortack/replication/member_life.h"

#define SILENCE_TIMEOUT_MS 2100
#define SUMMARY_TTL_MS 3000
#define GRACE_MS 1500
#define AUTHORITY_TIMEOUT_MS 12000
/* How long callers may be sent to a daemon that is down, as users require. */
#define AVAILABLE_MAX_MS 6000
#define STEP_MS 200
#define DETECTION_MS 1300

/** A daemon's view, and what it knows of one other daemon. */
typedef struct observer {
	liveness_view_t view;
	member_liveness_t other;
	struct timespec now;
	bool requested; /**< others send this daemon requests at each step */
	bool following;
	bool frozen;
	bool no_rows_read;
	bool all_fresh;
} observer_t;

static observer_t
observer_new(void)
{
	return (observer_t){
	    .view = {.timeouts = {SILENCE_TIMEOUT_MS, SUMMARY_TTL_MS, GRACE_MS,
			 AUTHORITY_TIMEOUT_MS}},
	    .now = {1000, 0}};
}

static void
observer_run(observer_t *observer, int64_t ms)
{
	for (int64_t elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += STEP_MS) {
		liveness_inputs_t inputs = {observer->following,
		    observer->frozen, !observer->no_rows_read,
		    observer->all_fresh};

		observer->now = timespec_add_ms(observer->now, STEP_MS);
		if (observer->requested)
			liveness_view_record_request(
			    &observer->view, observer->now);
		liveness_view_update(&observer->view, observer->now, &inputs);
		if (observer->view.authoritative)
			liveness_set_silent(&observer->other,
			    !liveness_is_fresh(&observer->view,
				&observer->other, observer->now),
			    observer->now);
	}
}

static bool
other_is_available(const observer_t *observer)
{
	return liveness_is_available(
	    &observer->view, &observer->other, observer->now);
}

/* The parent reports all members as alive, and then goes down. */
static observer_t
after_parent_down(void)
{
	observer_t observer = observer_new();

	observer.following = true;
	observer_run(&observer, 1000);
	liveness_view_apply_summary(&observer.view, observer.now);
	liveness_record_heartbeat(&observer.other, observer.now);
	observer_run(&observer, DETECTION_MS);
	return observer;
}

static void
a_root_that_is_down_is_not_available_to_its_successor(void **state)
{
	observer_t observer = after_parent_down();

	(void)state;
	liveness_record_no_response(&observer.other, observer.now);
	observer.following = false;
	assert_false(other_is_available(&observer));
	observer.requested = true;
	observer_run(&observer, AVAILABLE_MAX_MS);
	assert_true(observer.view.authoritative);
	assert_false(other_is_available(&observer));
	liveness_record_heartbeat(&observer.other, observer.now);
	assert_true(other_is_available(&observer));
}

/* A daemon that follows another makes no summary itself: it may have gone down
 * shortly before the root did. */
static void
a_daemon_down_with_the_root_is_available_for_the_summary_ttl_at_most(
    void **state)
{
	observer_t observer = after_parent_down();

	(void)state;
	observer.following = false;
	observer_run(&observer, SUMMARY_TTL_MS - DETECTION_MS - 2 * STEP_MS);
	assert_true(other_is_available(&observer));
	observer_run(&observer, 2 * STEP_MS);
	assert_false(other_is_available(&observer));
}

/* However many daemons succeed each other, each passes on the summary of the
 * last authoritative one, with its age. */
static void
a_summary_that_is_passed_on_keeps_its_age(void **state)
{
	observer_t first = after_parent_down();
	observer_t second = observer_new();

	(void)state;
	second.now = first.now;
	assert_true(
	    liveness_view_apply_summary(&second.view, first.view.summary_at));
	assert_true(other_is_available(&second));
	observer_run(&second, SUMMARY_TTL_MS - DETECTION_MS);
	assert_false(other_is_available(&second));
	assert_false(
	    liveness_view_apply_summary(&second.view, first.view.summary_at));
}

static void
a_successor_waits_for_the_requests_of_all(void **state)
{
	observer_t observer = after_parent_down();

	(void)state;
	observer.following = false;
	observer.requested = true;
	observer_run(&observer, 2 * STEP_MS);
	assert_false(observer.view.authoritative);
	/* All members gave a sign of life: there is none to wait for. */
	observer.all_fresh = true;
	observer_run(&observer, STEP_MS);
	assert_true(observer.view.authoritative);
	/* It stays so while others send requests, also when one falls
	 * silent. */
	observer.all_fresh = false;
	observer_run(&observer, STEP_MS);
	assert_true(observer.view.authoritative);
}

/* A process that was paused has not read what others sent meanwhile. */
static void
a_paused_daemon_detects_no_silence_at_once(void **state)
{
	observer_t observer = observer_new();

	(void)state;
	observer.requested = true;
	observer.all_fresh = true;
	liveness_record_heartbeat(&observer.other, observer.now);
	observer_run(&observer, 2 * STEP_MS);
	assert_true(observer.view.authoritative);
	observer.now =
	    timespec_add_ms(observer.now, SILENCE_TIMEOUT_MS + STEP_MS);
	observer.all_fresh = false;
	observer.requested = false;
	observer_run(&observer, STEP_MS);
	assert_false(observer.view.authoritative);
	assert_false(observer.other.silent);
}

/* While neither the store nor another daemon sends anything, all members count
 * as they did before. When the store is available again, those that are down
 * are detected in less time than callers may be sent to them. */
static void
an_outage_freezes_liveness_until_it_ends(void **state)
{
	observer_t observer = after_parent_down();

	(void)state;
	observer.following = false;
	observer.frozen = true;
	observer_run(&observer, 4 * AVAILABLE_MAX_MS);
	assert_true(other_is_available(&observer));
	observer.frozen = false;
	observer_run(&observer, STEP_MS);
	assert_true(other_is_available(&observer));
	observer_run(&observer, GRACE_MS);
	assert_false(other_is_available(&observer));
}

static void
a_grace_period_makes_no_summary(void **state)
{
	observer_t observer = observer_new();

	(void)state;
	observer_run(&observer, STEP_MS);
	liveness_view_start_grace(&observer.view, observer.now);
	assert_true(other_is_available(&observer));
	assert_int_equal(observer.view.summary_at.tv_sec, 0);
	observer_run(&observer, GRACE_MS);
	assert_false(other_is_available(&observer));
}

static void
a_daemon_without_rows_makes_no_summary(void **state)
{
	observer_t observer = observer_new();

	(void)state;
	observer.requested = true;
	observer.all_fresh = true;
	observer.no_rows_read = true;
	observer_run(&observer, 2 * AUTHORITY_TIMEOUT_MS);
	assert_false(observer.view.authoritative);
	assert_int_equal(observer.view.summary_at.tv_sec, 0);
	observer.no_rows_read = false;
	observer_run(&observer, STEP_MS);
	assert_true(observer.view.authoritative);
}

static void
a_daemon_without_requests_becomes_authoritative_late(void **state)
{
	observer_t observer = observer_new();

	(void)state;
	observer_run(&observer, AUTHORITY_TIMEOUT_MS);
	assert_false(observer.view.authoritative);
	observer_run(&observer, STEP_MS);
	assert_true(observer.view.authoritative);
}

static void
a_silent_daemon_is_unavailable_before_it_is_down(void **state)
{
	observer_t observer = observer_new();

	(void)state;
	observer.requested = true;
	liveness_record_heartbeat(&observer.other, observer.now);
	observer_run(&observer, SILENCE_TIMEOUT_MS + STEP_MS);
	assert_false(other_is_available(&observer));
	assert_false(
	    liveness_is_down(&observer.view, &observer.other, observer.now));
	observer_run(&observer, 3000);
	assert_true(
	    liveness_is_down(&observer.view, &observer.other, observer.now));
}

/* A daemon that did not respond during an outage doesn't count as down as soon
 * as the store is available again: its row was deleted at once, and the daemon,
 * which read the store too, was missing. */
static void
no_daemon_is_down_at_once_after_an_outage(void **state)
{
	observer_t observer = after_parent_down();

	(void)state;
	observer.following = false;
	observer.frozen = true;
	liveness_record_no_response(&observer.other, observer.now);
	observer_run(&observer, AVAILABLE_MAX_MS);
	observer.frozen = false;
	observer.requested = true;
	observer.all_fresh = true;
	observer_run(&observer, 2 * STEP_MS);
	assert_true(observer.view.authoritative);
	assert_false(other_is_available(&observer));
	assert_false(
	    liveness_is_down(&observer.view, &observer.other, observer.now));
	observer_run(&observer, 3000);
	assert_true(
	    liveness_is_down(&observer.view, &observer.other, observer.now));
}

static void
an_earlier_sign_does_not_replace_a_later_one(void **state)
{
	observer_t observer = observer_new();
	struct timespec later = timespec_add_ms(observer.now, 500);

	(void)state;
	assert_true(liveness_record_request(&observer.other, later));
	assert_false(liveness_record_request(&observer.other, observer.now));
	liveness_record_heartbeat(&observer.other, observer.now);
	assert_int_equal(
	    timespec_ms_between(observer.other.last_seen_at, later), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		a_root_that_is_down_is_not_available_to_its_successor),
	    cmocka_unit_test(
		a_daemon_down_with_the_root_is_available_for_the_summary_ttl_at_most),
	    cmocka_unit_test(a_summary_that_is_passed_on_keeps_its_age),
	    cmocka_unit_test(a_successor_waits_for_the_requests_of_all),
	    cmocka_unit_test(a_paused_daemon_detects_no_silence_at_once),
	    cmocka_unit_test(an_outage_freezes_liveness_until_it_ends),
	    cmocka_unit_test(a_grace_period_makes_no_summary),
	    cmocka_unit_test(a_daemon_without_rows_makes_no_summary),
	    cmocka_unit_test(
		a_daemon_without_requests_becomes_authoritative_late),
	    cmocka_unit_test(a_silent_daemon_is_unavailable_before_it_is_down),
	    cmocka_unit_test(no_daemon_is_down_at_once_after_an_outage),
	    cmocka_unit_test(an_earlier_sign_does_not_replace_a_later_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
