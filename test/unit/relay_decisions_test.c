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
#include "moortack/relay/canary_analysis.h"
#include "moortack/relay/event_scan.h"
#include "moortack/relay/first_try.h"
#include "moortack/relay/model_choice.h"
#include "moortack/relay/model_stats.h"
#include "moortack/relay/prefill_rate.h"
#include "moortack/relay/recent_sessions.h"
#include "moortack/relay/retry_share.h"
#include "moortack/relay/rollout_plan.h"

/* Three models, of which the largest takes long to begin. */
static model_choice_input_t
doubtful_moment(double largest_ms)
{
	return (model_choice_input_t){.models = 3,
	    .confidence = 20,
	    .retry_allowed = true,
	    .remaining_ms = 1000,
	    .options = {{0.02, 10, 1, 1}, {0.1, largest_ms / 4, 0.3, 1},
		{0.4, largest_ms, 1, 1}}};
}

static void
a_doubtful_answer_goes_to_a_larger_model(void **state)
{
	model_choice_input_t moment = doubtful_moment(100);

	(void)state;
	assert_int_equal(model_choice_first(3), 0);
	assert_int_equal(model_choice_next(&moment), 2);
	assert_false(model_choice_is_final(moment.confidence));
	moment.confidence = 90;
	assert_true(model_choice_is_final(moment.confidence));
	assert_int_equal(model_choice_next(&moment), 0);
	moment.confidence = -1;
	assert_int_equal(model_choice_next(&moment), 0);
	moment.confidence = 45;
	assert_int_equal(model_choice_next(&moment), 2);
	moment.options[2].on_time_rate = 0.4;
	assert_int_equal(model_choice_next(&moment), 0);
	moment = doubtful_moment(100);
	moment.retry_allowed = false;
	assert_int_equal(model_choice_next(&moment), 0);
	moment = (model_choice_input_t){
	    .model = 2, .models = 3, .retry_allowed = true};
	assert_int_equal(model_choice_next(&moment), 2);
}

/* A prompt that the largest model cannot read in time is not worth its cost;
 * one in between may be. */
static void
no_larger_model_is_asked_that_would_be_late(void **state)
{
	model_choice_input_t moment = doubtful_moment(2000);

	(void)state;
	assert_int_equal(model_choice_next(&moment), 1);
	moment.options[1].good_probability = 0.05;
	assert_int_equal(model_choice_next(&moment), 0);
	moment = doubtful_moment(100);
	moment.remaining_ms = -1;
	assert_int_equal(model_choice_next(&moment), 0);
	moment = doubtful_moment(-1);
	moment.options[1].first_byte_ms = -1;
	assert_int_equal(model_choice_next(&moment), 2);
}

/* The smallest model's estimate tells how good a larger one's answer will be,
 * once some were compared. */
static void
a_larger_models_gain_is_learned(void **state)
{
	model_stats_t record = {0};

	(void)state;
	/* Before: tried where the smallest model was doubtful, not bad. */
	assert_true(model_stats_good_probability(&record, 45, false) > 0.7);
	assert_true(model_stats_good_probability(&record, 15, false) < 0.1);
	assert_true(model_stats_good_probability(&record, 15, true) > 0.9);
	for (int smallest = 30; smallest < 50; smallest++)
		model_stats_add_confidence(
		    &record, smallest, smallest + 22, false);
	assert_true(model_stats_good_probability(&record, 40, false) > 0.9);
	assert_true(model_stats_good_probability(&record, 15, false) < 0.1);
	/* A version that is worse shows. */
	for (int smallest = 30; smallest < 70; smallest++)
		model_stats_add_confidence(
		    &record, smallest, smallest + 2, false);
	assert_true(model_stats_good_probability(&record, 40, false) < 0.3);
}

/* An estimate at the end of its range hides how bad the answer was. */
static void
the_lowest_estimate_is_judged_by_itself(void **state)
{
	model_stats_t record = {0};

	(void)state;
	assert_true(model_stats_good_probability(&record, 0, true) > 0.9);
	for (int i = 0; i < 60; i++)
		model_stats_add_confidence(&record, 0, 45, true);
	assert_true(model_stats_good_probability(&record, 0, true) < 0.35);
	assert_true(model_stats_good_probability(&record, 30, true) > 0.9);
	model_stats_add_confidence(&record, 40, 100, true);
	assert_true(model_stats_good_probability(&record, 30, true) > 0.9);
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
	model_stats_t record = {0};

	(void)state;
	assert_true(model_stats_on_time_probability(&record) == 1);
	for (int i = 0; i < 40; i++)
		model_stats_add_start(&record, false);
	assert_true(model_stats_on_time_probability(&record) < 0.1);
	for (int i = 0; i < 60; i++)
		model_stats_add_start(&record, true);
	assert_true(model_stats_on_time_probability(&record) > 0.9);
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
		retry_share_request(&share, &bounds, now);
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
	rollout_snapshot_t moment = {
	    .state = ROLLOUT_IN_PROGRESS, .duration_ms = 20000};

	(void)state;
	assert_true(rollout_plan_share(&moment) == 0);
	moment.elapsed_ms = 3000;
	assert_true(rollout_plan_share(&moment) == ROLLOUT_FIRST_SHARE);
	assert_true(rollout_plan_pins_sessions(&moment));
	moment.elapsed_ms = 16000;
	assert_true(rollout_plan_share(&moment) == 1.0);
	assert_true(rollout_plan_may_complete(&moment, true));
	assert_false(rollout_plan_may_complete(&moment, false));
	moment.stale = true;
	assert_true(rollout_plan_share(&moment) == ROLLOUT_FIRST_SHARE);
	assert_false(rollout_plan_may_complete(&moment, true));
	moment.stale = false;
	moment.stopped = true;
	assert_true(rollout_plan_share(&moment) == 0);
	assert_false(rollout_plan_may_complete(&moment, true));
	moment.state = ROLLOUT_REVERTED;
	assert_true(rollout_plan_share(&moment) == 0);
	moment.state = ROLLOUT_COMPLETED;
	assert_true(rollout_plan_share(&moment) == 1.0);
}

/* All steps before the last expose less than the users' bound of 0.15. */
static void
a_rollout_exposes_little_before_its_last_step(void **state)
{
	rollout_snapshot_t moment = {
	    .state = ROLLOUT_IN_PROGRESS, .duration_ms = 10000};
	double exposed = 0;

	(void)state;
	for (moment.elapsed_ms = 0; rollout_plan_share(&moment) < 1.0;
	     moment.elapsed_ms += 10)
		exposed += rollout_plan_share(&moment) * 10 / 10000;
	assert_true(exposed < 0.08);
}

static void
answers_take(canary_analysis_t *guard, bool fresh, bool failed, int count)
{
	const canary_observation_t answer = {.route = 1,
	    .signal = failed ? CANARY_FAILED : CANARY_FIRST_BYTE,
	    .is_new = fresh,
	    .ms = 20};

	for (int i = 0; i < count; i++)
		canary_analysis_observe(
		    guard, &answer, (struct timespec){100, 0});
}

static bool
guard_bad(canary_analysis_t *guard)
{
	canary_tally_t tally;

	assert_int_equal(
	    canary_analysis_tally(guard, (struct timespec){100, 0}, &tally, 1),
	    1);
	return canary_tally_is_bad(&tally);
}

static void
the_guard_tells_worse_from_as_bad_as_before(void **state)
{
	canary_analysis_t guard = {0};

	(void)state;
	answers_take(&guard, false, false, 86);
	answers_take(&guard, false, true, 14);
	answers_take(&guard, true, false, 17);
	answers_take(&guard, true, true, 3);
	assert_false(guard_bad(&guard));
	answers_take(&guard, true, true, 12);
	assert_true(guard_bad(&guard));
	canary_analysis_reset(&guard);
	assert_false(guard_bad(&guard));
}

static void
a_slow_version_is_bad_and_a_burst_of_late_answers_is_not(void **state)
{
	canary_analysis_t guard = {0};
	canary_observation_t answer = {
	    .signal = CANARY_FIRST_BYTE, .route = 1, .stream = true, .ms = 60};
	const struct timespec now = {100, 0};

	(void)state;
	for (int i = 0; i < 100; i++)
		canary_analysis_observe(&guard, &answer, now);
	answer.is_new = true;
	answer.ms = 900;
	for (int i = 0; i < 9; i++)
		canary_analysis_observe(&guard, &answer, now);
	assert_false(guard_bad(&guard));
	for (int i = 0; i < 20; i++)
		canary_analysis_observe(&guard, &answer, now);
	assert_true(guard_bad(&guard));
}

/* Half of its answers come eight times slower, as their first events show. */
static void
a_version_that_drags_is_bad_before_its_answers_end(void **state)
{
	canary_analysis_t guard = {0};
	canary_observation_t answer = {
	    .signal = CANARY_EVENT_GAP, .route = 1, .stream = true, .ms = 20};
	const struct timespec now = {100, 0};

	(void)state;
	for (int i = 0; i < 100; i++)
		canary_analysis_observe(&guard, &answer, now);
	answer.is_new = true;
	for (int i = 0; i < 6; i++) {
		answer.ms = 20;
		canary_analysis_observe(&guard, &answer, now);
		answer.ms = 160;
		canary_analysis_observe(&guard, &answer, now);
		assert_false(guard_bad(&guard));
	}
	for (int i = 0; i < 6; i++)
		canary_analysis_observe(&guard, &answer, now);
	assert_true(guard_bad(&guard));
}

/* Nobody waits for a first byte that is several times later than usual before
 * it is counted, and it is counted once. */
static void
an_answer_that_is_overdue_counts_as_late(void **state)
{
	canary_analysis_t guard = {0};
	canary_observation_t answer = {
	    .signal = CANARY_FIRST_BYTE, .route = 1, .ms = 50};
	const struct timespec now = {100, 0};
	canary_tally_t tally;

	(void)state;
	for (int i = 0; i < 20; i++)
		canary_analysis_observe(&guard, &answer, now);
	answer.is_new = true;
	answer.signal = CANARY_OVERDUE;
	answer.ms = 150;
	assert_false(canary_analysis_observe(&guard, &answer, now));
	answer.ms = 400;
	assert_true(canary_analysis_observe(&guard, &answer, now));
	answer.signal = CANARY_FAILED;
	answer.counted = true;
	canary_analysis_observe(&guard, &answer, now);
	canary_analysis_tally(&guard, now, &tally, 1);
	assert_int_equal(tally.new_counts.responses, 1);
	assert_int_equal(tally.new_counts.late, 1);
	assert_int_equal(tally.new_counts.failed, 1);
}

static void
a_served_session_is_remembered_for_its_time(void **state)
{
	recent_sessions_t memory = {.window_ms = 5000};
	recent_sessions_t other = {.window_ms = 5000};
	struct timespec now = {100, 0};
	json_t *list;

	(void)state;
	recent_sessions_add(&memory, 77, now);
	now.tv_sec += 4;
	assert_true(recent_sessions_contain(&memory, 77, now));
	assert_false(recent_sessions_contain(&memory, 78, now));
	list = recent_sessions_encode(&memory, now);
	recent_sessions_merge(&other, list, now);
	json_decref(list);
	assert_true(recent_sessions_contain(&other, 77, now));
	now.tv_sec += 2;
	assert_false(recent_sessions_contain(&memory, 77, now));
	assert_null(recent_sessions_encode(&memory, now));
	recent_sessions_finish(&memory);
	recent_sessions_finish(&other);
}

/* A full memory evicts no entry within the window. When it cannot store another
 * session, every session counts as served until the window has passed. */
static void
a_full_session_memory_evicts_no_session(void **state)
{
	recent_sessions_t memory;
	struct timespec now = {100, 0};

	(void)state;
	recent_sessions_init(&memory, 5000);
	for (uint64_t i = 1; i <= RECENT_SESSIONS_MAX; i++)
		recent_sessions_add(&memory, i, now);
	for (uint64_t i = 1; i <= RECENT_SESSIONS_MAX; i++)
		assert_true(recent_sessions_contain(&memory, i, now));
	assert_false(recent_sessions_contain(&memory, UINT64_MAX, now));
	recent_sessions_add(&memory, RECENT_SESSIONS_MAX + 1, now);
	assert_true(recent_sessions_contain(&memory, UINT64_MAX, now));
	now.tv_sec += 5;
	recent_sessions_add(&memory, UINT64_MAX, now);
	assert_int_equal(HASH_COUNT(memory.sessions), 1);
	assert_false(recent_sessions_contain(&memory, 1, now));
	recent_sessions_finish(&memory);
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
		assert_true(event_scan_open(&scan));
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
