/**
 * @file
 * Functions of the relay that do no I/O: models, retries, roll-outs, events.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "common/clock_source.h"
#include "moortack/relay/completion.h"
#include "moortack/relay/event_scan.h"
#include "moortack/relay/first_try.h"
#include "moortack/relay/model_choice.h"
#include "moortack/relay/model_record.h"
#include "moortack/relay/prefill_rate.h"
#include "moortack/relay/recent_sessions.h"
#include "moortack/relay/retry_share.h"
#include "moortack/rollout/canary_verdict.h"
#include "moortack/rollout/rollout_plan.h"

/* Three models; the response of the largest is expected after @p largest_ms. */
static model_choice_input_t
doubtful_input(double largest_ms)
{
	return (model_choice_input_t){.models = 3,
	    .confidence = 20,
	    .retry_allowed = true,
	    .remaining_ms = 1000,
	    .options = {{0.02, 10, 1, 1}, {0.1, largest_ms / 4, 0.3, 1},
		{0.4, largest_ms, 1, 1}}};
}

static void
doubtful_response_goes_to_a_larger_model(void **state)
{
	model_choice_input_t input = doubtful_input(100);

	(void)state;
	assert_int_equal(model_choice_first(3), 0);
	assert_int_equal(model_choice_next(&input), 2);
	assert_false(model_choice_is_final(input.confidence));
	input.confidence = 90;
	assert_true(model_choice_is_final(input.confidence));
	assert_int_equal(model_choice_next(&input), 0);
	input.confidence = -1;
	assert_int_equal(model_choice_next(&input), 0);
	input.confidence = 45;
	assert_int_equal(model_choice_next(&input), 2);
	input.options[2].on_time_rate = 0.4;
	assert_int_equal(model_choice_next(&input), 0);
	input = doubtful_input(100);
	input.retry_allowed = false;
	assert_int_equal(model_choice_next(&input), 0);
	input = (model_choice_input_t){
	    .model = 2, .models = 3, .retry_allowed = true};
	assert_int_equal(model_choice_next(&input), 2);
}

/* The largest model is not worth its cost if its prefill would end too late; a
 * model in between may be. */
static void
no_larger_model_is_asked_if_it_would_be_late(void **state)
{
	model_choice_input_t input = doubtful_input(2000);

	(void)state;
	assert_int_equal(model_choice_next(&input), 1);
	input.options[1].good_probability = 0.05;
	assert_int_equal(model_choice_next(&input), 0);
	input = doubtful_input(100);
	input.remaining_ms = -1;
	assert_int_equal(model_choice_next(&input), 0);
	input = doubtful_input(-1);
	input.options[1].first_byte_ms = -1;
	assert_int_equal(model_choice_next(&input), 2);
}

/* Without a price the choice is what it was, whatever time a model takes. While
 * others wait, a larger model is asked for less, and rather by urgent requests.
 */
static void
scarcity_makes_larger_models_rarer(void **state)
{
	double dearest_chosen[10];

	(void)state;
	for (int confidence = 0; confidence <= 100; confidence++) {
		model_choice_input_t plain = doubtful_input(300);
		model_choice_input_t priced = plain;

		plain.confidence = priced.confidence = confidence;
		priced.objective_ms = 1000;
		for (size_t i = 1; i < priced.models; i++)
			priced.options[i].endpoint_ms = 1e6;
		assert_int_equal(
		    model_choice_next(&plain), model_choice_next(&priced));
		for (size_t i = 1; i < priced.models; i++)
			priced.options[i].price = 100;
		assert_int_equal(model_choice_next(&priced), 0);
	}
	for (int rank = 0; rank < 10; rank++) {
		model_choice_input_t input = doubtful_input(100);

		input.objective_ms = 1000;
		input.rank = rank;
		input.options[1].good_probability = 0;
		input.options[2].endpoint_ms = 500;
		dearest_chosen[rank] = 0;
		for (double price = 0; price < 10; price += 0.01) {
			input.options[2].price = price;
			if (model_choice_next(&input) == 2)
				dearest_chosen[rank] = price;
		}
		assert_true(dearest_chosen[rank] > 0);
		assert_true(rank == 0 ||
		    dearest_chosen[rank] < dearest_chosen[rank - 1]);
	}
	/* At the default rank: as much as it gains, 1 - 0.45 = p x 500 / 1000 x
	 * harm; the harm of a wait of (p + 1) x 100 ms is p / 4. */
	assert_true(dearest_chosen[5] > 2.05 && dearest_chosen[5] < 2.15);
}

/* Guards against weaker answers where nothing is scarce: waits of a tenth of
 * the objective make nobody late. */
static void
short_waits_keep_the_larger_model(void **state)
{
	model_choice_input_t input = doubtful_input(100);

	(void)state;
	input.objective_ms = 2500;
	input.rank = 9;
	input.options[1].good_probability = 0;
	input.options[2].endpoint_ms = 1e6;
	input.options[2].price = 1.4;
	assert_int_equal(model_choice_next(&input), 2);
	input.options[2].price = 12;
	assert_int_equal(model_choice_next(&input), 0);
}

/* The largest model sends an event each 159 ms. That it holds four tokens is
 * assumed, the smaller model's rate too: a tenth of the time. */
static void
decode_rates_fill(decode_rate_t *smallest, decode_rate_t *largest)
{
	*smallest = *largest = (decode_rate_t){0};
	for (int i = 0; i < 20; i++) {
		decode_rate_observe(smallest, 16, 63);
		decode_rate_observe(largest, 16, 636);
	}
}

/* A request of 913 tokens got 66 events of the largest model in 10.5 s, and was
 * then cut by its deadline, though the smallest had answered within 30 ms. */
static void
stream_that_would_be_cut_stays_with_the_smaller_model(void **state)
{
	const output_estimate_t output = {305, 594};
	const double left_ms = 10600 - 30;
	model_choice_input_t input = doubtful_input(100);
	decode_rate_t smallest, largest;

	(void)state;
	decode_rates_fill(&smallest, &largest);
	input.confidence = 5;
	input.options[1].good_probability = 0;
	assert_int_equal(model_choice_next(&input), 2);
	input.cut_probability =
	    completion_cut_probability(&smallest, &output, left_ms);
	input.options[2].cut_probability =
	    completion_cut_probability(&largest, &output, left_ms - 100);
	assert_true(input.cut_probability == 0);
	assert_true(input.options[2].cut_probability > 0.6);
	assert_int_equal(model_choice_next(&input), 0);
	/* With twice the time, the larger one is asked. */
	input.options[2].cut_probability =
	    completion_cut_probability(&largest, &output, 2 * left_ms);
	assert_int_equal(model_choice_next(&input), 2);
	/* Where the smaller one is cut for certain, it is worth nothing. */
	input = doubtful_input(100);
	input.confidence = 90;
	assert_int_equal(model_choice_next(&input), 0);
	input.cut_probability = 1;
	assert_int_equal(model_choice_next(&input), 2);
}

static void
completion_is_estimated_from_events(void **state)
{
	const output_estimate_t output = {300, 600}, sure = {300, 310};
	const output_estimate_t unlimited = {300, 0}, over = {900, 300};
	const output_estimate_t none = {0, 600};
	decode_rate_t rate = {0};
	double before = 1;

	(void)state;
	for (int i = 0; i < 3; i++)
		decode_rate_observe(&rate, 16, 160);
	/* Unknown: nothing is cut. */
	assert_true(decode_rate_ms_per_token(&rate) < 0);
	assert_true(completion_cut_probability(&rate, &output, 1) == 0);
	for (int i = 0; i < 5; i++) {
		decode_rate_observe(&rate, 16, 160);
		decode_rate_observe(&rate, 0, 160);
		decode_rate_observe(&rate, 16, -1);
	}
	assert_true(fabs(decode_rate_ms_per_token(&rate) - 10) < 0.01);
	assert_true(decode_rate_output_ms(&rate, &none) < 0);
	assert_true(completion_cut_probability(&rate, &none, 1) == 0);
	assert_true(fabs(decode_rate_output_ms(&rate, &over) - 3000) < 1);
	/* Right at the median, one in six beyond a factor of 1.6. */
	assert_true(fabs(completion_cut_probability(&rate, &output, 3000) -
			0.5) < 0.01);
	assert_true(fabs(completion_cut_probability(&rate, &output, 4800) -
			0.16) < 0.01);
	assert_true(completion_cut_probability(&rate, &output, 6010) == 0);
	assert_true(completion_cut_probability(&rate, &unlimited, 6010) > 0);
	assert_true(completion_cut_probability(&rate, &sure, 3110) == 0);
	assert_true(completion_cut_probability(&rate, &output, 0) == 1);
	assert_true(completion_cut_probability(&rate, &output, -5) == 1);
	for (double left_ms = 100; left_ms < 7000; left_ms += 100) {
		double cut =
		    completion_cut_probability(&rate, &output, left_ms);

		assert_true(cut <= before && cut >= 0);
		before = cut;
	}
	/* A model that becomes slower is noticed within some streams. */
	for (int i = 0; i < 100; i++)
		decode_rate_observe(&rate, 16, 480);
	assert_true(decode_rate_ms_per_token(&rate) > 25);
}

/* Once some responses were compared, the confidence of the smallest model
 * predicts how good a larger one's response will be. */
static void
a_larger_models_gain_is_learned(void **state)
{
	model_stats_t stats = {0};

	(void)state;
	/* Initially it is good where the smallest was doubtful, not bad. */
	assert_true(model_stats_good_probability(&stats, 45, false) > 0.7);
	assert_true(model_stats_good_probability(&stats, 15, false) < 0.1);
	assert_true(model_stats_good_probability(&stats, 15, true) > 0.9);
	for (int smallest = 30; smallest < 50; smallest++)
		model_stats_add_confidence(
		    &stats, smallest, smallest + 22, false);
	assert_true(model_stats_good_probability(&stats, 40, false) > 0.9);
	assert_true(model_stats_good_probability(&stats, 15, false) < 0.1);
	/* The estimate follows a version that is worse. */
	for (int smallest = 30; smallest < 70; smallest++)
		model_stats_add_confidence(
		    &stats, smallest, smallest + 2, false);
	assert_true(model_stats_good_probability(&stats, 40, false) < 0.3);
}

/* A confidence at the end of its range hides how bad the response was. */
static void
lowest_confidence_has_its_own_estimate(void **state)
{
	model_stats_t stats = {0};

	(void)state;
	assert_true(model_stats_good_probability(&stats, 0, true) > 0.9);
	for (int i = 0; i < 60; i++)
		model_stats_add_confidence(&stats, 0, 45, true);
	assert_true(model_stats_good_probability(&stats, 0, true) < 0.35);
	assert_true(model_stats_good_probability(&stats, 30, true) > 0.9);
	model_stats_add_confidence(&stats, 40, 100, true);
	assert_true(model_stats_good_probability(&stats, 30, true) > 0.9);
}

/* The callers of a route have the same deadline: a shorter one shows an earlier
 * try. */
static void
shorter_deadline_shows_earlier_try(void **state)
{
	retry_age_t tries = {0};

	(void)state;
	for (int i = 0; i < 50; i++)
		assert_true(retry_age_observe(&tries, 20000 - i % 10) == 0);
	assert_true(retry_age_observe(&tries, 18500) > 1400);
	assert_true(retry_age_observe(&tries, 18500) < 1600);
	assert_true(retry_age_observe(&tries, 19990) == 0);
	assert_true(retry_age_observe(&tries, 0) == 0);
}

/* Guards against missing earlier tries when many callers return at once, after
 * a daemon that has seen few first tries. */
static void
returning_callers_leave_an_earlier_try_possible(void **state)
{
	retry_age_t tries = {0};

	(void)state;
	for (int i = 0; i < 20; i++)
		retry_age_observe(&tries, 25000);
	for (int i = 0; i < 12; i++) {
		retry_age_observe(&tries, 16000);
		assert_true(retry_age_possible(&tries, 16000) > 8900);
	}
	assert_true(retry_age_observe(&tries, 16000) == 0);
	assert_true(retry_age_possible(&tries, 25000) == 0);
	assert_true(retry_age_possible(&tries, 0) == 0);
}

/* Callers with different deadlines show no earlier tries. */
static void
differing_deadlines_show_no_earlier_try(void **state)
{
	retry_age_t tries = {0};

	(void)state;
	for (int i = 0; i < 200; i++)
		retry_age_observe(&tries, 1000 + i % 10 * 2000);
	for (int i = 0; i < 10; i++)
		assert_true(retry_age_observe(&tries, 1000 + i * 2000) == 0);
	for (int i = 0; i < 10; i++)
		assert_true(retry_age_possible(&tries, 1000 + i * 2000) == 0);
}

/* Guards against a new daemon that takes differing deadlines for earlier tries:
 * it would treat the responses as late and ask no larger model. */
static void
differing_deadlines_at_start_show_no_earlier_try(void **state)
{
	retry_age_t tries = {0};

	(void)state;
	for (int i = 0; i < 200; i++)
		assert_true(
		    retry_age_observe(&tries, 17000 + i * 7919 % 3000) == 0);
}

static void
prefill_rate_is_learned(void **state)
{
	prefill_rate_t rate = {0};

	(void)state;
	assert_true(
	    prefill_rate_first_byte_ms(&rate, prefill_work(1000, 1000)) < 0);
	for (int i = 0; i < 20; i++)
		prefill_rate_observe(&rate,
		    prefill_work(1000 * (i % 5 + 1), 1000 * (i % 5 + 1)),
		    50 + 100 * (i % 5));
	assert_true(prefill_rate_first_byte_ms(
			&rate, prefill_work(10000, 10000)) > 900);
	assert_true(prefill_rate_first_byte_ms(
			&rate, prefill_work(10000, 10000)) < 1000);
	assert_true(
	    prefill_rate_first_byte_ms(&rate, prefill_work(100, 100)) >= 0);
	/* The estimate soon follows an endpoint that becomes slower. */
	for (int i = 0; i < 100; i++)
		prefill_rate_observe(&rate,
		    prefill_work(1000 * (i % 5 + 1), 1000 * (i % 5 + 1)),
		    500 + 1000 * (i % 5));
	assert_true(prefill_rate_first_byte_ms(
			&rate, prefill_work(10000, 10000)) > 8000);
}

/* Guards against taking a long prompt for one that starts in time: attention
 * takes most of its prefill, which samples of shorter prompts hardly show. */
static void
attention_of_long_prompts_is_learned(void **state)
{
	static const uint32_t lengths[] = {
	    2000, 5000, 9000, 14000, 20000, 30000, 45000};
	const uint32_t longest = 80000;
	prefill_rate_t rate = {0};
	double ms;

	(void)state;
	for (int i = 0; i < 60; i++) {
		prefill_work_t work =
		    prefill_work(lengths[i % 7], lengths[i % 7] / (i % 3 + 1));
		double noise = 30.0 * (i * 7919 % 11) / 10;

		prefill_rate_observe(&rate, work,
		    20 + 0.03 * work.tokens + 1.3 * work.pairs + noise);
	}
	ms = prefill_rate_first_byte_ms(&rate, prefill_work(longest, longest));
	assert_true(ms > 0.8 * (20 + 0.03 * 80000 + 1.3 * 3200));
	assert_true(ms < 1.2 * (20 + 0.03 * 80000 + 1.3 * 3200));
	/* Cached tokens need not be prefilled, but are attended to. */
	assert_true(
	    prefill_rate_first_byte_ms(&rate, prefill_work(longest, 4000)) >
	    prefill_rate_first_byte_ms(&rate, prefill_work(4000, 4000)));
}

static void
prompts_of_one_size_give_a_mean(void **state)
{
	prefill_rate_t rate = {0};

	(void)state;
	for (int i = 0; i < 10; i++)
		prefill_rate_observe(&rate, prefill_work(800, 800), 40);
	assert_true(
	    prefill_rate_first_byte_ms(&rate, prefill_work(8000, 8000)) > 39);
	assert_true(
	    prefill_rate_first_byte_ms(&rate, prefill_work(8000, 8000)) < 41);
}

static void
late_responses_lower_the_on_time_rate(void **state)
{
	model_stats_t stats = {0};

	(void)state;
	assert_true(model_stats_on_time_probability(&stats) == 1);
	for (int i = 0; i < 40; i++)
		model_stats_add_start(&stats, false);
	assert_true(model_stats_on_time_probability(&stats) < 0.1);
	for (int i = 0; i < 60; i++)
		model_stats_add_start(&stats, true);
	assert_true(model_stats_on_time_probability(&stats) > 0.9);
}

static void
retries_stay_within_their_share(void **state)
{
	const retry_bounds_t bounds = {0.5, 10000, 36};
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
	now.tv_sec += 21;
	assert_true(retry_share_spend(&share, &bounds, 9, now));
	assert_false(retry_share_spend(&share, &bounds, 9, now));
}

/* A response was discarded for a retry that the budget did not allow, if less
 * than one was left. */
static void
part_of_a_retry_does_not_count_as_remaining(void **state)
{
	const retry_bounds_t bounds = {0, 10000, 11};
	const struct timespec now = {100, 0};
	retry_share_t share = {0};
	int spent = 0;

	(void)state;
	while (retry_share_has_spare(&share, &bounds, 2, now)) {
		assert_true(retry_share_spend(&share, &bounds, 2, now));
		spent++;
	}
	assert_true(spent > 0);
}

static void
rollout_share_grows_late_and_only_while_not_stale(void **state)
{
	rollout_snapshot_t snapshot = {.state = ROLLOUT_IN_PROGRESS,
	    .duration_ms = 20000,
	    .accepted_ms = 9000};

	(void)state;
	assert_true(rollout_plan_share(&snapshot) == 0);
	snapshot.elapsed_ms = 3000;
	assert_true(rollout_plan_share(&snapshot) == ROLLOUT_FIRST_SHARE);
	assert_true(rollout_plan_pins_sessions(&snapshot));
	snapshot.elapsed_ms = 16000;
	assert_true(rollout_plan_share(&snapshot) == 1.0);
	assert_true(rollout_plan_may_complete(&snapshot, true));
	assert_false(rollout_plan_may_complete(&snapshot, false));
	snapshot.stale = true;
	assert_true(rollout_plan_share(&snapshot) == ROLLOUT_FIRST_SHARE);
	assert_false(rollout_plan_may_complete(&snapshot, true));
	snapshot.stale = false;
	snapshot.stopped = true;
	assert_true(rollout_plan_share(&snapshot) == 0);
	assert_false(rollout_plan_may_complete(&snapshot, true));
	snapshot.state = ROLLOUT_REVERTED;
	assert_true(rollout_plan_share(&snapshot) == 0);
	snapshot.state = ROLLOUT_COMPLETED;
	assert_true(rollout_plan_share(&snapshot) == 1.0);
}

/* Guards against steps and completion by time alone. */
static void
share_does_not_grow_until_the_version_is_accepted(void **state)
{
	rollout_snapshot_t snapshot = {
	    .state = ROLLOUT_IN_PROGRESS, .duration_ms = 10000};

	(void)state;
	for (int64_t ms = 2000; ms < 30000; ms += 100) {
		snapshot.elapsed_ms = ms;
		assert_true(
		    rollout_plan_share(&snapshot) == ROLLOUT_FIRST_SHARE);
		assert_false(rollout_plan_is_saturating(&snapshot));
		assert_false(rollout_plan_may_complete(&snapshot, true));
		assert_int_equal(rollout_plan_gives_up(&snapshot), ms >= 20000);
	}
}

/* A version that is accepted late still gets all requests, and time to take
 * them over, before it completes; in time, if the order leaves any. */
static void
late_acceptance_completes_after_the_old_version_could_drain(void **state)
{
	(void)state;
	for (int64_t accepted = 7000; accepted < 20000; accepted += 500) {
		rollout_snapshot_t snapshot = {.state = ROLLOUT_IN_PROGRESS,
		    .duration_ms = 10000,
		    .accepted_ms = accepted,
		    .elapsed_ms = accepted};
		int64_t full_ms = 0;

		assert_true(rollout_plan_share(&snapshot) < 1);
		while (!rollout_plan_may_complete(&snapshot, false)) {
			if (full_ms == 0 && rollout_plan_share(&snapshot) == 1)
				full_ms = snapshot.elapsed_ms;
			snapshot.elapsed_ms += 10;
			assert_true(snapshot.elapsed_ms <= accepted + 2500);
		}
		assert_in_range(full_ms, accepted, accepted + 1050);
		if (accepted <= 9000)
			assert_true(snapshot.elapsed_ms <= 9800);
		assert_true(snapshot.elapsed_ms >= full_ms + 500);
	}
}

/* All steps before the last expose less than the users' bound of 0.15. */
static void
a_rollout_exposes_little_before_its_last_step(void **state)
{
	rollout_snapshot_t snapshot = {.state = ROLLOUT_IN_PROGRESS,
	    .duration_ms = 10000,
	    .accepted_ms = 3000};
	double exposed = 0;

	(void)state;
	for (snapshot.elapsed_ms = 0; rollout_plan_share(&snapshot) < 1.0;
	     snapshot.elapsed_ms += 10)
		exposed += rollout_plan_share(&snapshot) * 10 / 10000;
	assert_true(exposed < 0.08);
}

static void
observe(canary_analysis_t *analysis, bool is_new, bool failed, int count)
{
	const canary_observation_t observation = {.route = 1,
	    .signal = failed ? CANARY_FAILED : CANARY_FIRST_BYTE,
	    .is_new = is_new,
	    .ms = 20};

	for (int i = 0; i < count; i++)
		canary_analysis_observe(
		    analysis, &observation, (struct timespec){100, 0});
}

static bool
analysis_is_bad(canary_analysis_t *analysis)
{
	canary_tally_t tally;

	assert_int_equal(canary_analysis_tally(
			     analysis, (struct timespec){100, 0}, &tally, 1),
	    1);
	return canary_tally_is_bad(&tally, CANARY_TRIAL);
}

static void
analysis_distinguishes_worse_from_equally_bad(void **state)
{
	canary_analysis_t analysis = {0};

	(void)state;
	observe(&analysis, false, false, 86);
	observe(&analysis, false, true, 14);
	observe(&analysis, true, false, 17);
	observe(&analysis, true, true, 3);
	assert_false(analysis_is_bad(&analysis));
	observe(&analysis, true, true, 12);
	assert_true(analysis_is_bad(&analysis));
	canary_analysis_reset(&analysis);
	assert_false(analysis_is_bad(&analysis));
}

/* Guards against taking a good version back because a daemon has seen few
 * responses of the old one, none of which failed. */
static void
few_responses_of_the_old_version_prove_no_low_failure_rate(void **state)
{
	canary_analysis_t analysis = {0};

	(void)state;
	observe(&analysis, false, false, 6);
	observe(&analysis, true, false, 1);
	observe(&analysis, true, true, 3);
	assert_false(analysis_is_bad(&analysis));
	observe(&analysis, false, false, 200);
	assert_true(analysis_is_bad(&analysis));
}

static void
slow_version_is_bad_but_few_late_responses_are_not(void **state)
{
	canary_analysis_t analysis = {0};
	canary_observation_t observation = {
	    .signal = CANARY_FIRST_BYTE, .route = 1, .stream = true, .ms = 60};
	const struct timespec now = {100, 0};

	(void)state;
	for (int i = 0; i < 100; i++)
		canary_analysis_observe(&analysis, &observation, now);
	observation.is_new = true;
	observation.ms = 900;
	for (int i = 0; i < 9; i++)
		canary_analysis_observe(&analysis, &observation, now);
	assert_false(analysis_is_bad(&analysis));
	for (int i = 0; i < 20; i++)
		canary_analysis_observe(&analysis, &observation, now);
	assert_true(analysis_is_bad(&analysis));
}

/* Half of its responses are eight times slower from their first events on. */
static void
version_with_slow_gaps_is_bad_before_its_responses_end(void **state)
{
	canary_analysis_t analysis = {0};
	canary_observation_t observation = {
	    .signal = CANARY_EVENT_GAP, .route = 1, .stream = true, .ms = 20};
	const struct timespec now = {100, 0};

	(void)state;
	for (int i = 0; i < 100; i++)
		canary_analysis_observe(&analysis, &observation, now);
	observation.is_new = true;
	for (int i = 0; i < 6; i++) {
		observation.ms = 20;
		canary_analysis_observe(&analysis, &observation, now);
		observation.ms = 160;
		canary_analysis_observe(&analysis, &observation, now);
		assert_false(analysis_is_bad(&analysis));
	}
	for (int i = 0; i < 6; i++)
		canary_analysis_observe(&analysis, &observation, now);
	assert_true(analysis_is_bad(&analysis));
}

/* A response is counted as late as soon as its first byte is overdue, and only
 * once. */
static void
overdue_response_counts_as_late(void **state)
{
	canary_analysis_t analysis = {0};
	canary_observation_t observation = {
	    .signal = CANARY_FIRST_BYTE, .route = 1, .ms = 50};
	const struct timespec now = {100, 0};
	canary_tally_t tally;

	(void)state;
	for (int i = 0; i < 20; i++)
		canary_analysis_observe(&analysis, &observation, now);
	observation.is_new = true;
	observation.signal = CANARY_OVERDUE;
	observation.ms = 150;
	assert_false(canary_analysis_observe(&analysis, &observation, now));
	observation.ms = 400;
	assert_true(canary_analysis_observe(&analysis, &observation, now));
	observation.signal = CANARY_FAILED;
	observation.counted = true;
	canary_analysis_observe(&analysis, &observation, now);
	canary_analysis_tally(&analysis, now, &tally, 1);
	assert_int_equal(tally.new_counts.responses, 1);
	assert_int_equal(tally.new_counts.late, 1);
	assert_int_equal(tally.new_counts.failed, 1);
}

static void
served_session_is_recent_until_window_ends(void **state)
{
	recent_sessions_t sessions = {.window_ms = 5000};
	recent_sessions_t other = {.window_ms = 5000};
	struct timespec now = {100, 0};
	json_t *list;

	(void)state;
	recent_sessions_add(&sessions, 77, now);
	now.tv_sec += 4;
	assert_true(recent_sessions_contain(&sessions, 77, now));
	assert_false(recent_sessions_contain(&sessions, 78, now));
	list = recent_sessions_encode(&sessions, now, 1);
	recent_sessions_merge(&other, list, now);
	json_decref(list);
	assert_true(recent_sessions_contain(&other, 77, now));
	now.tv_sec += 2;
	assert_false(recent_sessions_contain(&sessions, 77, now));
	assert_null(recent_sessions_encode(&sessions, now, 1));
	recent_sessions_finish(&sessions);
	recent_sessions_finish(&other);
}

/* A full table evicts no entry within the window. When it cannot store another
 * session, every session counts as served until the window has passed. */
static void
full_table_evicts_no_session(void **state)
{
	recent_sessions_t sessions;
	struct timespec now = {100, 0};

	(void)state;
	recent_sessions_init(&sessions, 5000);
	for (uint64_t i = 1; i <= RECENT_SESSIONS_MAX; i++)
		recent_sessions_add(&sessions, i, now);
	for (uint64_t i = 1; i <= RECENT_SESSIONS_MAX; i++)
		assert_true(recent_sessions_contain(&sessions, i, now));
	assert_false(recent_sessions_contain(&sessions, UINT64_MAX, now));
	recent_sessions_add(&sessions, RECENT_SESSIONS_MAX + 1, now);
	assert_true(recent_sessions_contain(&sessions, UINT64_MAX, now));
	now.tv_sec += 5;
	recent_sessions_add(&sessions, UINT64_MAX, now);
	assert_int_equal(HASH_COUNT(sessions.sessions), 1);
	assert_false(recent_sessions_contain(&sessions, 1, now));
	recent_sessions_finish(&sessions);
}

static void
events_are_found_however_the_input_is_split(void **state)
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
	    cmocka_unit_test(doubtful_response_goes_to_a_larger_model),
	    cmocka_unit_test(no_larger_model_is_asked_if_it_would_be_late),
	    cmocka_unit_test(scarcity_makes_larger_models_rarer),
	    cmocka_unit_test(short_waits_keep_the_larger_model),
	    cmocka_unit_test(
		stream_that_would_be_cut_stays_with_the_smaller_model),
	    cmocka_unit_test(completion_is_estimated_from_events),
	    cmocka_unit_test(a_larger_models_gain_is_learned),
	    cmocka_unit_test(lowest_confidence_has_its_own_estimate),
	    cmocka_unit_test(shorter_deadline_shows_earlier_try),
	    cmocka_unit_test(returning_callers_leave_an_earlier_try_possible),
	    cmocka_unit_test(differing_deadlines_show_no_earlier_try),
	    cmocka_unit_test(prefill_rate_is_learned),
	    cmocka_unit_test(attention_of_long_prompts_is_learned),
	    cmocka_unit_test(prompts_of_one_size_give_a_mean),
	    cmocka_unit_test(late_responses_lower_the_on_time_rate),
	    cmocka_unit_test(retries_stay_within_their_share),
	    cmocka_unit_test(part_of_a_retry_does_not_count_as_remaining),
	    cmocka_unit_test(rollout_share_grows_late_and_only_while_not_stale),
	    cmocka_unit_test(share_does_not_grow_until_the_version_is_accepted),
	    cmocka_unit_test(
		late_acceptance_completes_after_the_old_version_could_drain),
	    cmocka_unit_test(a_rollout_exposes_little_before_its_last_step),
	    cmocka_unit_test(analysis_distinguishes_worse_from_equally_bad),
	    cmocka_unit_test(
		few_responses_of_the_old_version_prove_no_low_failure_rate),
	    cmocka_unit_test(
		slow_version_is_bad_but_few_late_responses_are_not),
	    cmocka_unit_test(
		version_with_slow_gaps_is_bad_before_its_responses_end),
	    cmocka_unit_test(overdue_response_counts_as_late),
	    cmocka_unit_test(differing_deadlines_at_start_show_no_earlier_try),
	    cmocka_unit_test(served_session_is_recent_until_window_ends),
	    cmocka_unit_test(full_table_evicts_no_session),
	    cmocka_unit_test(events_are_found_however_the_input_is_split),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
