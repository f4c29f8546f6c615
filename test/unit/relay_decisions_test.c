/**
 * @file
 * The relay's pure decisions: model, retries, roll-outs, events.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "common/clock_source.h"
#include "moortack/relay/event_scan.h"
#include "moortack/relay/first_try.h"
#include "moortack/relay/model_choice.h"
#include "moortack/relay/model_record.h"
#include "moortack/relay/prefill_rate.h"
#include "moortack/relay/retry_share.h"
#include "moortack/relay/rollout_plan.h"
#include "moortack/relay/session_memory.h"
#include "moortack/relay/version_guard.h"

/* Three models, of which the largest takes long to begin. */
static model_moment_t
doubtful_moment(double largest_ms)
{
	return (model_moment_t){.models = 3,
	    .confidence = 20,
	    .repeat_left = true,
	    .left_ms = 1000,
	    .options = {{0.02, 10, 1, 1}, {0.1, largest_ms / 4, 0.3, 1},
		{0.4, largest_ms, 1, 1}}};
}

static void
a_doubtful_answer_goes_to_a_larger_model(void **state)
{
	model_moment_t moment = doubtful_moment(100);

	(void)state;
	assert_int_equal(model_first(3), 0);
	assert_int_equal(model_next(&moment), 2);
	assert_false(model_is_sure(moment.confidence));
	moment.confidence = 90;
	assert_true(model_is_sure(moment.confidence));
	assert_int_equal(model_next(&moment), 0);
	moment.confidence = -1;
	assert_int_equal(model_next(&moment), 0);
	moment.confidence = 45;
	assert_int_equal(model_next(&moment), 2);
	moment.options[2].on_time = 0.4;
	assert_int_equal(model_next(&moment), 0);
	moment = doubtful_moment(100);
	moment.repeat_left = false;
	assert_int_equal(model_next(&moment), 0);
	moment = (model_moment_t){.model = 2, .models = 3, .repeat_left = true};
	assert_int_equal(model_next(&moment), 2);
}

/* A prompt that the largest model cannot read in time is not worth its cost;
 * one in between may be. */
static void
no_larger_model_is_asked_that_would_be_late(void **state)
{
	model_moment_t moment = doubtful_moment(2000);

	(void)state;
	assert_int_equal(model_next(&moment), 1);
	moment.options[1].good = 0.05;
	assert_int_equal(model_next(&moment), 0);
	moment = doubtful_moment(100);
	moment.left_ms = -1;
	assert_int_equal(model_next(&moment), 0);
	moment = doubtful_moment(-1);
	moment.options[1].first_ms = -1;
	assert_int_equal(model_next(&moment), 2);
}

/* The smallest model's estimate tells how good a larger one's answer will be,
 * once some were compared. */
static void
a_larger_models_gain_is_learned(void **state)
{
	model_record_t record = {0};

	(void)state;
	/* Before: tried where the smallest model was doubtful, not bad. */
	assert_true(model_record_good(&record, 45, false) > 0.7);
	assert_true(model_record_good(&record, 15, false) < 0.1);
	assert_true(model_record_good(&record, 15, true) > 0.9);
	for (int smallest = 30; smallest < 50; smallest++)
		model_record_judge(&record, smallest, smallest + 22, false);
	assert_true(model_record_good(&record, 40, false) > 0.9);
	assert_true(model_record_good(&record, 15, false) < 0.1);
	/* A version that is worse shows. */
	for (int smallest = 30; smallest < 70; smallest++)
		model_record_judge(&record, smallest, smallest + 2, false);
	assert_true(model_record_good(&record, 40, false) < 0.3);
}

/* An estimate at the end of its range hides how bad the answer was. */
static void
the_lowest_estimate_is_judged_by_itself(void **state)
{
	model_record_t record = {0};

	(void)state;
	assert_true(model_record_good(&record, 0, true) > 0.9);
	for (int i = 0; i < 60; i++)
		model_record_judge(&record, 0, 45, true);
	assert_true(model_record_good(&record, 0, true) < 0.35);
	assert_true(model_record_good(&record, 30, true) > 0.9);
	model_record_judge(&record, 40, 100, true);
	assert_true(model_record_good(&record, 30, true) > 0.9);
}

/* Callers of a route that wait alike: who waits less has tried before. */
static void
who_came_back_has_less_time(void **state)
{
	first_try_t tries = {0};

	(void)state;
	for (int i = 0; i < 50; i++)
		assert_true(first_try_take(&tries, 20000 - i % 10) == 0);
	assert_true(first_try_take(&tries, 18500) > 1400);
	assert_true(first_try_take(&tries, 18500) < 1600);
	assert_true(first_try_take(&tries, 19990) == 0);
	assert_true(first_try_take(&tries, 0) == 0);
}

/* Callers with times of their own tell nothing of earlier tries. */
static void
times_of_their_own_tell_nothing(void **state)
{
	first_try_t tries = {0};

	(void)state;
	for (int i = 0; i < 200; i++)
		first_try_take(&tries, 1000 + i % 10 * 2000);
	for (int i = 0; i < 10; i++)
		assert_true(first_try_take(&tries, 1000 + i * 2000) == 0);
}

/* Guards against a new daemon that reads differing deadlines as earlier tries:
 * it would take the answers for late, and ask no larger model. */
static void
differing_deadlines_at_start_show_no_earlier_try(void **state)
{
	first_try_t tries = {0};

	(void)state;
	for (int i = 0; i < 200; i++)
		assert_true(
		    first_try_take(&tries, 17000 + i * 7919 % 3000) == 0);
}

static void
the_pace_of_reading_is_learned(void **state)
{
	prefill_rate_t pace = {0};

	(void)state;
	assert_true(prefill_rate_ms(&pace, 1000) < 0);
	for (int i = 0; i < 20; i++)
		prefill_rate_take(
		    &pace, 1000 * (i % 5 + 1), 50 + 100 * (i % 5));
	assert_true(prefill_rate_ms(&pace, 10000) > 900);
	assert_true(prefill_rate_ms(&pace, 10000) < 1000);
	assert_true(prefill_rate_ms(&pace, 100) >= 0);
	/* What becomes slow shows soon. */
	for (int i = 0; i < 100; i++)
		prefill_rate_take(
		    &pace, 1000 * (i % 5 + 1), 500 + 1000 * (i % 5));
	assert_true(prefill_rate_ms(&pace, 10000) > 8000);
}

static void
one_size_of_prompts_gives_a_mean(void **state)
{
	prefill_rate_t pace = {0};

	(void)state;
	for (int i = 0; i < 10; i++)
		prefill_rate_take(&pace, 800, 40);
	assert_true(prefill_rate_ms(&pace, 8000) > 39);
	assert_true(prefill_rate_ms(&pace, 8000) < 41);
}

static void
late_answers_lower_the_record(void **state)
{
	model_record_t record = {0};

	(void)state;
	assert_true(model_record_on_time(&record) == 1);
	for (int i = 0; i < 40; i++)
		model_record_take(&record, false);
	assert_true(model_record_on_time(&record) < 0.1);
	for (int i = 0; i < 60; i++)
		model_record_take(&record, true);
	assert_true(model_record_on_time(&record) > 0.9);
}

static void
retries_stay_within_their_share(void **state)
{
	const retry_bounds_t bounds = {0.5, 10000, 18};
	retry_share_t share = {0};
	struct timespec now = {1000, 0};
	int spent = 0;

	(void)state;
	while (retry_share_spend(&share, &bounds, 9, now))
		spent++;
	assert_int_equal(spent, 1);
	for (int i = 0; i < 100; i++)
		retry_share_add_request(&share, &bounds, now);
	while (retry_share_spend(&share, &bounds, 9, now))
		spent++;
	assert_in_range(spent, 40, 52);
	now.tv_sec += 11;
	assert_true(retry_share_spend(&share, &bounds, 9, now));
	assert_false(retry_share_spend(&share, &bounds, 9, now));
}

static void
a_rollout_grows_only_late_and_only_when_certain(void **state)
{
	rollout_moment_t moment = {
	    .state = ROLLOUT_IN_PROGRESS, .duration_ms = 20000};

	(void)state;
	assert_true(rollout_share(&moment) == 0);
	moment.elapsed_ms = 3000;
	assert_true(rollout_share(&moment) == ROLLOUT_FIRST_SHARE);
	assert_true(rollout_pins(&moment));
	moment.elapsed_ms = 16000;
	assert_true(rollout_share(&moment) == 1.0);
	assert_true(rollout_may_complete(&moment, true));
	assert_false(rollout_may_complete(&moment, false));
	moment.uncertain = true;
	assert_true(rollout_share(&moment) == ROLLOUT_FIRST_SHARE);
	assert_false(rollout_may_complete(&moment, true));
	moment.uncertain = false;
	moment.stopped = true;
	assert_true(rollout_share(&moment) == 0);
	assert_false(rollout_may_complete(&moment, true));
	moment.state = ROLLOUT_REVERTED;
	assert_true(rollout_share(&moment) == 0);
	moment.state = ROLLOUT_COMPLETED;
	assert_true(rollout_share(&moment) == 1.0);
}

/* All steps before the last expose less than the users' bound of 0.15. */
static void
a_rollout_exposes_little_before_its_last_step(void **state)
{
	rollout_moment_t moment = {
	    .state = ROLLOUT_IN_PROGRESS, .duration_ms = 10000};
	double exposed = 0;

	(void)state;
	for (moment.elapsed_ms = 0; rollout_share(&moment) < 1.0;
	     moment.elapsed_ms += 10)
		exposed += rollout_share(&moment) * 10 / 10000;
	assert_true(exposed < 0.08);
}

static void
answers_take(version_guard_t *guard, bool fresh, bool failed, int count)
{
	const guard_answer_t answer = {.route = 1,
	    .sign = failed ? GUARD_FAILED : GUARD_BEGUN,
	    .fresh = fresh,
	    .ms = 20};

	for (int i = 0; i < count; i++)
		version_guard_take(guard, &answer, (struct timespec){100, 0});
}

static bool
guard_bad(version_guard_t *guard)
{
	guard_tally_t tally;

	assert_int_equal(
	    version_guard_tally(guard, (struct timespec){100, 0}, &tally, 1),
	    1);
	return version_guard_bad(&tally);
}

static void
the_guard_tells_worse_from_as_bad_as_before(void **state)
{
	version_guard_t guard = {0};

	(void)state;
	answers_take(&guard, false, false, 86);
	answers_take(&guard, false, true, 14);
	answers_take(&guard, true, false, 17);
	answers_take(&guard, true, true, 3);
	assert_false(guard_bad(&guard));
	answers_take(&guard, true, true, 12);
	assert_true(guard_bad(&guard));
	version_guard_restart(&guard);
	assert_false(guard_bad(&guard));
}

static void
a_slow_version_is_bad_and_a_burst_of_late_answers_is_not(void **state)
{
	version_guard_t guard = {0};
	guard_answer_t answer = {
	    .sign = GUARD_BEGUN, .route = 1, .stream = true, .ms = 60};
	const struct timespec now = {100, 0};

	(void)state;
	for (int i = 0; i < 100; i++)
		version_guard_take(&guard, &answer, now);
	answer.fresh = true;
	answer.ms = 900;
	for (int i = 0; i < 9; i++)
		version_guard_take(&guard, &answer, now);
	assert_false(guard_bad(&guard));
	for (int i = 0; i < 20; i++)
		version_guard_take(&guard, &answer, now);
	assert_true(guard_bad(&guard));
}

/* Half of its answers come eight times slower, as their first events show. */
static void
a_version_that_drags_is_bad_before_its_answers_end(void **state)
{
	version_guard_t guard = {0};
	guard_answer_t answer = {
	    .sign = GUARD_PACED, .route = 1, .stream = true, .ms = 20};
	const struct timespec now = {100, 0};

	(void)state;
	for (int i = 0; i < 100; i++)
		version_guard_take(&guard, &answer, now);
	answer.fresh = true;
	for (int i = 0; i < 6; i++) {
		answer.ms = 20;
		version_guard_take(&guard, &answer, now);
		answer.ms = 160;
		version_guard_take(&guard, &answer, now);
		assert_false(guard_bad(&guard));
	}
	for (int i = 0; i < 6; i++)
		version_guard_take(&guard, &answer, now);
	assert_true(guard_bad(&guard));
}

/* Nobody waits for a first byte that is several times later than usual before
 * it is counted, and it is counted once. */
static void
an_answer_that_is_overdue_counts_as_late(void **state)
{
	version_guard_t guard = {0};
	guard_answer_t answer = {.sign = GUARD_BEGUN, .route = 1, .ms = 50};
	const struct timespec now = {100, 0};
	guard_tally_t tally;

	(void)state;
	for (int i = 0; i < 20; i++)
		version_guard_take(&guard, &answer, now);
	answer.fresh = true;
	answer.sign = GUARD_OVERDUE;
	answer.ms = 150;
	assert_false(version_guard_take(&guard, &answer, now));
	answer.ms = 400;
	assert_true(version_guard_take(&guard, &answer, now));
	answer.sign = GUARD_FAILED;
	answer.counted = true;
	version_guard_take(&guard, &answer, now);
	version_guard_tally(&guard, now, &tally, 1);
	assert_int_equal(tally.fresh.seen, 1);
	assert_int_equal(tally.fresh.slow, 1);
	assert_int_equal(tally.fresh.failed, 1);
}

static void
a_served_session_is_remembered_for_its_time(void **state)
{
	session_memory_t memory = {.window_ms = 5000};
	session_memory_t other = {.window_ms = 5000};
	struct timespec now = {100, 0};
	json_t *list;

	(void)state;
	session_memory_note(&memory, 77, now);
	now.tv_sec += 4;
	assert_true(session_memory_has(&memory, 77, now));
	assert_false(session_memory_has(&memory, 78, now));
	list = session_memory_list(&memory, now);
	session_memory_take(&other, list, now);
	json_decref(list);
	assert_true(session_memory_has(&other, 77, now));
	now.tv_sec += 2;
	assert_false(session_memory_has(&memory, 77, now));
	assert_null(session_memory_list(&memory, now));
	session_memory_finish(&memory);
	session_memory_finish(&other);
}

/* A full memory evicts no entry within the window. When it cannot store another
 * session, every session counts as served until the window has passed. */
static void
a_full_session_memory_evicts_no_session(void **state)
{
	session_memory_t memory;
	struct timespec now = {100, 0};

	(void)state;
	session_memory_init(&memory, 5000);
	for (uint64_t i = 1; i <= SESSION_MEMORY_MAX; i++)
		session_memory_note(&memory, i, now);
	for (uint64_t i = 1; i <= SESSION_MEMORY_MAX; i++)
		assert_true(session_memory_has(&memory, i, now));
	assert_false(session_memory_has(&memory, UINT64_MAX, now));
	session_memory_note(&memory, SESSION_MEMORY_MAX + 1, now);
	assert_true(session_memory_has(&memory, UINT64_MAX, now));
	now.tv_sec += 5;
	session_memory_note(&memory, UINT64_MAX, now);
	assert_int_equal(HASH_COUNT(memory.sessions), 1);
	assert_false(session_memory_has(&memory, 1, now));
	session_memory_finish(&memory);
}

static void
events_are_found_whole_however_they_are_cut(void **state)
{
	static const char text[] = "id: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\n"
				   "data: no id\n\nid: 9\ndata: cut";
	static const int64_t ids[] = {7, 8, -1};

	(void)state;
	for (size_t cut = 1; cut < sizeof(text) - 1; cut++) {
		event_scan_t scan;
		scanned_event_t event;
		size_t found = 0;

		assert_true(event_scan_init(&scan));
		for (size_t at = 0; at < sizeof(text) - 1; at += cut) {
			size_t len = sizeof(text) - 1 - at;

			event_scan_add(&scan, text + at, len < cut ? len : cut);
			while (event_scan_next(&scan, &event)) {
				assert_int_equal(
				    event.has_id ? event.id : -1, ids[found++]);
				evbuffer_drain(scan.partial, event.len);
			}
		}
		assert_int_equal(found, 3);
		assert_true(event_scan_has_partial(&scan));
		event_scan_finish(&scan);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_doubtful_answer_goes_to_a_larger_model),
	    cmocka_unit_test(no_larger_model_is_asked_that_would_be_late),
	    cmocka_unit_test(a_larger_models_gain_is_learned),
	    cmocka_unit_test(the_lowest_estimate_is_judged_by_itself),
	    cmocka_unit_test(who_came_back_has_less_time),
	    cmocka_unit_test(times_of_their_own_tell_nothing),
	    cmocka_unit_test(the_pace_of_reading_is_learned),
	    cmocka_unit_test(one_size_of_prompts_gives_a_mean),
	    cmocka_unit_test(late_answers_lower_the_record),
	    cmocka_unit_test(retries_stay_within_their_share),
	    cmocka_unit_test(a_rollout_grows_only_late_and_only_when_certain),
	    cmocka_unit_test(a_rollout_exposes_little_before_its_last_step),
	    cmocka_unit_test(the_guard_tells_worse_from_as_bad_as_before),
	    cmocka_unit_test(
		a_slow_version_is_bad_and_a_burst_of_late_answers_is_not),
	    cmocka_unit_test(
		a_version_that_drags_is_bad_before_its_answers_end),
	    cmocka_unit_test(an_answer_that_is_overdue_counts_as_late),
	    cmocka_unit_test(differing_deadlines_at_start_show_no_earlier_try),
	    cmocka_unit_test(a_served_session_is_remembered_for_its_time),
	    cmocka_unit_test(a_full_session_memory_evicts_no_session),
	    cmocka_unit_test(events_are_found_whole_however_they_are_cut),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
