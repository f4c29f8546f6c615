/**
 * @file
 * Which daemons live, as one daemon can tell. A daemon that had lost its power
 * was named to callers for 13 s: the one that took over from it counted its
 * life from its own taking over. What is decided here is dated by who shows a
 * sign of life, and by when the word on all was spoken, whoever passes it on
 * and however late. Evidence: event=member named=0 heard_ms=-1
 * row_ms=12200, 12.2 s after event=unfollow why=no_answer of the same daemon.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "common/clock_source.h"
#include "moortack/replication/member_life.h"

#define SILENT_MS 2100
#define VOUCH_MS 3000
#define GRANT_MS 1500
#define LONE_MS 12000
/* The users' bound. */
#define NAMED_MS 6000
#define STEP_MS 200
#define LATE_MS 1300

/** A daemon's view, and one other that it judges. */
typedef struct judged {
	liveness_view_t view;
	member_liveness_t other;
	struct timespec now;
	bool asked; /**< others ask this daemon twice a second */
	bool following;
	bool held;
	bool knows_nobody;
	bool all_fresh;
} judged_t;

static judged_t
judged_new(void)
{
	return (judged_t){
	    .view = {.timeouts = {SILENT_MS, VOUCH_MS, GRANT_MS, LONE_MS}},
	    .now = {1000, 0}};
}

static void
pass(judged_t *judged, int64_t ms)
{
	for (int64_t past = 0; past < ms; past += STEP_MS) {
		liveness_inputs_t step = {judged->following, judged->held,
		    !judged->knows_nobody, judged->all_fresh};

		judged->now = timespec_after_ms(judged->now, STEP_MS);
		if (judged->asked)
			liveness_view_record_request(
			    &judged->view, judged->now);
		liveness_view_update(&judged->view, judged->now, &step);
		if (judged->view.authoritative)
			liveness_set_silent(&judged->other,
			    !liveness_is_fresh(
				&judged->view, &judged->other, judged->now),
			    judged->now);
	}
}

static bool
named(const judged_t *judged)
{
	return liveness_is_available(
	    &judged->view, &judged->other, judged->now);
}

/* The daemon that all follow says that all live, and is lost itself. */
static judged_t
reader_lost(void)
{
	judged_t judged = judged_new();

	judged.following = true;
	pass(&judged, 1000);
	liveness_view_apply_summary(&judged.view, judged.now);
	liveness_record_heartbeat(&judged.other, judged.now);
	pass(&judged, LATE_MS);
	return judged;
}

static void
a_lost_reader_is_not_named_by_the_next_one(void **state)
{
	judged_t judged = reader_lost();

	(void)state;
	liveness_record_no_response(&judged.other, judged.now);
	judged.following = false;
	assert_false(named(&judged));
	judged.asked = true;
	pass(&judged, NAMED_MS);
	assert_true(judged.view.authoritative);
	assert_false(named(&judged));
	liveness_record_heartbeat(&judged.other, judged.now);
	assert_true(named(&judged));
}

/* One that follows another says nothing of its own: it may have gone shortly
 * before the reader did. */
static void
one_that_went_with_the_reader_is_named_no_longer_than_its_word_counts(
    void **state)
{
	judged_t judged = reader_lost();

	(void)state;
	judged.following = false;
	pass(&judged, VOUCH_MS - LATE_MS - 2 * STEP_MS);
	assert_true(named(&judged));
	pass(&judged, 2 * STEP_MS);
	assert_false(named(&judged));
}

/* However many take over in turn, each passes on the word of the last that
 * could tell. */
static void
a_word_that_is_passed_on_keeps_its_age(void **state)
{
	judged_t first = reader_lost();
	judged_t second = judged_new();

	(void)state;
	second.now = first.now;
	assert_true(
	    liveness_view_apply_summary(&second.view, first.view.summary_at));
	assert_true(named(&second));
	pass(&second, VOUCH_MS - LATE_MS);
	assert_false(named(&second));
	assert_false(
	    liveness_view_apply_summary(&second.view, first.view.summary_at));
}

static void
who_takes_over_waits_for_the_questions_of_all(void **state)
{
	judged_t judged = reader_lost();

	(void)state;
	judged.following = false;
	judged.asked = true;
	pass(&judged, 2 * STEP_MS);
	assert_false(judged.view.authoritative);
	/* All showed themselves: there is nobody to wait for. */
	judged.all_fresh = true;
	pass(&judged, STEP_MS);
	assert_true(judged.view.authoritative);
	/* It stays so while others ask, also when one falls silent. */
	judged.all_fresh = false;
	pass(&judged, STEP_MS);
	assert_true(judged.view.authoritative);
}

/* A process that stood still has not read what others sent meanwhile. */
static void
who_stood_still_judges_nobody_at_once(void **state)
{
	judged_t judged = judged_new();

	(void)state;
	judged.asked = true;
	judged.all_fresh = true;
	liveness_record_heartbeat(&judged.other, judged.now);
	pass(&judged, 2 * STEP_MS);
	assert_true(judged.view.authoritative);
	judged.now = timespec_after_ms(judged.now, SILENT_MS + STEP_MS);
	judged.all_fresh = false;
	judged.asked = false;
	pass(&judged, STEP_MS);
	assert_false(judged.view.authoritative);
	assert_false(judged.other.silent);
}

/* While neither the store nor another daemon tells anything, all stays as it
 * was; when the store is back, those that went show in less time than callers
 * may be sent to them. */
static void
an_outage_judges_nobody_and_excuses_nobody(void **state)
{
	judged_t judged = reader_lost();

	(void)state;
	judged.following = false;
	judged.held = true;
	pass(&judged, 4 * NAMED_MS);
	assert_true(named(&judged));
	judged.held = false;
	pass(&judged, STEP_MS);
	assert_true(named(&judged));
	pass(&judged, GRANT_MS);
	assert_false(named(&judged));
}

static void
a_grace_is_no_word_for_others(void **state)
{
	judged_t judged = judged_new();

	(void)state;
	pass(&judged, STEP_MS);
	liveness_view_start_grace(&judged.view, judged.now);
	assert_true(named(&judged));
	assert_int_equal(judged.view.summary_at.tv_sec, 0);
	pass(&judged, GRANT_MS);
	assert_false(named(&judged));
}

static void
who_knows_nobody_gives_no_word(void **state)
{
	judged_t judged = judged_new();

	(void)state;
	judged.asked = true;
	judged.all_fresh = true;
	judged.knows_nobody = true;
	pass(&judged, 2 * LONE_MS);
	assert_false(judged.view.authoritative);
	assert_int_equal(judged.view.summary_at.tv_sec, 0);
	judged.knows_nobody = false;
	pass(&judged, STEP_MS);
	assert_true(judged.view.authoritative);
}

static void
whom_nobody_asks_judges_late(void **state)
{
	judged_t judged = judged_new();

	(void)state;
	pass(&judged, LONE_MS);
	assert_false(judged.view.authoritative);
	pass(&judged, STEP_MS);
	assert_true(judged.view.authoritative);
}

static void
what_it_reported_counts_longer_than_it_is_named(void **state)
{
	judged_t judged = judged_new();

	(void)state;
	judged.asked = true;
	liveness_record_heartbeat(&judged.other, judged.now);
	pass(&judged, SILENT_MS + STEP_MS);
	assert_false(named(&judged));
	assert_false(liveness_is_down(&judged.view, &judged.other, judged.now));
	pass(&judged, 3000);
	assert_true(liveness_is_down(&judged.view, &judged.other, judged.now));
}

/* One that gave no answer in an outage is not gone as soon as the store is
 * back: its row was cleared at once, and it, which reads the store too, was
 * missed. */
static void
an_outage_that_ends_takes_nobody_for_gone(void **state)
{
	judged_t judged = reader_lost();

	(void)state;
	judged.following = false;
	judged.held = true;
	liveness_record_no_response(&judged.other, judged.now);
	pass(&judged, NAMED_MS);
	judged.held = false;
	judged.asked = true;
	judged.all_fresh = true;
	pass(&judged, 2 * STEP_MS);
	assert_true(judged.view.authoritative);
	assert_false(named(&judged));
	assert_false(liveness_is_down(&judged.view, &judged.other, judged.now));
	pass(&judged, 3000);
	assert_true(liveness_is_down(&judged.view, &judged.other, judged.now));
}

static void
a_later_sign_is_not_undone_by_an_earlier_one(void **state)
{
	judged_t judged = judged_new();
	struct timespec later = timespec_after_ms(judged.now, 500);

	(void)state;
	assert_true(liveness_record_request(&judged.other, later));
	assert_false(liveness_record_request(&judged.other, judged.now));
	liveness_record_heartbeat(&judged.other, judged.now);
	assert_int_equal(
	    timespec_ms_between(judged.other.last_seen_at, later), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_lost_reader_is_not_named_by_the_next_one),
	    cmocka_unit_test(
		one_that_went_with_the_reader_is_named_no_longer_than_its_word_counts),
	    cmocka_unit_test(a_word_that_is_passed_on_keeps_its_age),
	    cmocka_unit_test(who_takes_over_waits_for_the_questions_of_all),
	    cmocka_unit_test(who_stood_still_judges_nobody_at_once),
	    cmocka_unit_test(an_outage_judges_nobody_and_excuses_nobody),
	    cmocka_unit_test(a_grace_is_no_word_for_others),
	    cmocka_unit_test(who_knows_nobody_gives_no_word),
	    cmocka_unit_test(whom_nobody_asks_judges_late),
	    cmocka_unit_test(what_it_reported_counts_longer_than_it_is_named),
	    cmocka_unit_test(an_outage_that_ends_takes_nobody_for_gone),
	    cmocka_unit_test(a_later_sign_is_not_undone_by_an_earlier_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
