/**
 * @file
 * Whole roll-outs without a network: requests arrive at random, their responses
 * are counted after a delay, and plan, trial and analysis decide as the daemon
 * that has all reports does. Checked are what a bad version gets, that none is
 * completed, and that good ones are completed in time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../support/random.h"
#include "moortack/rollout/canary_verdict.h"
#include "moortack/rollout/rollout_plan.h"

#define SEEDS 40
#define PERMILLE 1000
#define STEP_MS 10
#define TICK_MS 200
#define MS_PER_SEC 1000
/* The users' rule: a bad version gets at most this part of the requests, and so
 * many more. */
#define EXPOSURE_MAX 0.15
#define TOLERANCE 30
#define ENDPOINTS 8
#define ROUTES 3
#define USUAL_MS 20.0
#define FIRST_BYTE_MS 60.0
/* Reports of the daemons are so many ticks old when they are evaluated. */
#define REPORT_DELAY_TICKS 4
#define SECONDS_MAX 128
/* Requests before the order. */
#define HISTORY_MS 5000

/** How the new version behaves. */
typedef struct behaviour {
	double slower;	 /**< part of its responses */
	double factor;	 /**< by which they are slower */
	double failed;	 /**< part of its responses */
	int64_t from_ms; /**< after the order; before it is as good */
} behaviour_t;

/** A response that will be observed. */
typedef struct pending {
	canary_observation_t observation;
	struct pending *next;
} pending_t;

#define BUCKETS 8192 /* of a step each */

/** Requests at the new version, of those sent in one second. */
typedef struct waiting {
	uint32_t unanswered;
	uint32_t gapless;
} waiting_t;

typedef struct model {
	uint64_t random;
	double rate;
	behaviour_t behaviour;
	canary_analysis_t analysis;
	rollout_snapshot_t snapshot;
	pending_t *buckets[BUCKETS];
	waiting_t waiting[SECONDS_MAX];
	canary_sums_t reports[REPORT_DELAY_TICKS];
	size_t ticks;
	uint32_t new_requests, requests; /**< in the order's duration */
	int64_t now_ms;
	int64_t ended_ms; /**< after the order; 0: it did not end */
} model_t;

static double
part(model_t *model)
{
	return random_below(&model->random, PERMILLE) / (double)PERMILLE;
}

static int64_t
elapsed_ms(const model_t *model)
{
	return model->now_ms - HISTORY_MS;
}

static struct timespec
at(int64_t ms)
{
	ms += MS_PER_SEC * 100;
	return (struct timespec){ms / MS_PER_SEC, ms % MS_PER_SEC * 1000000};
}

static waiting_t *
waiting_of(model_t *model, const canary_observation_t *observation)
{
	return &model->waiting[observation->sent_at.tv_sec - at(0).tv_sec];
}

static void
observe_later(
    model_t *model, int64_t delay_ms, const canary_observation_t *observation)
{
	pending_t *entry = malloc(sizeof(*entry));
	int64_t at_ms = model->now_ms + delay_ms;
	pending_t **bucket = &model->buckets[at_ms / STEP_MS % BUCKETS];

	assert_non_null(entry);
	assert_true(delay_ms < (BUCKETS - 1) * STEP_MS);
	*entry = (pending_t){*observation, *bucket};
	*bucket = entry;
}

/* Mostly near the usual; now and then the endpoint prefills long prompts. */
static double
stretch_draw(model_t *model)
{
	double stretch = 0.8 + 0.4 * part(model);
	uint32_t kind = random_below(&model->random, 50);

	if (kind == 0)
		return stretch * (3 + 12 * part(model));
	return kind <= 5 ? stretch * (1 + 2 * part(model)) : stretch;
}

static bool
behaves_badly(const model_t *model)
{
	return elapsed_ms(model) >= model->behaviour.from_ms;
}

static void
request(model_t *model)
{
	uint64_t hash = (uint64_t)random_below(&model->random, 1U << 31) << 33;
	canary_observation_t observation = {.stream = true,
	    .repeatable = true,
	    .route = 1 + random_below(&model->random, ROUTES),
	    .endpoint = random_below(&model->random, ENDPOINTS)};
	double first = FIRST_BYTE_MS * stretch_draw(model);
	double gap = USUAL_MS * stretch_draw(model);

	observation.is_new =
	    rollout_share_includes(rollout_plan_share(&model->snapshot), hash);
	observation.sent_at = at(model->now_ms);
	if (observation.is_new)
		waiting_of(model, &observation)->unanswered++;
	if (elapsed_ms(model) >= 0 &&
	    elapsed_ms(model) < model->snapshot.duration_ms) {
		model->requests++;
		model->new_requests += observation.is_new;
	}
	if (observation.is_new && behaves_badly(model)) {
		if (part(model) < model->behaviour.slower) {
			first *= model->behaviour.factor;
			gap *= model->behaviour.factor;
		}
		if (part(model) < model->behaviour.failed) {
			observation.signal = CANARY_FAILED;
			observe_later(model, (int64_t)first, &observation);
			return;
		}
	}
	observation.signal = CANARY_FIRST_BYTE;
	observation.ms = first;
	observe_later(model, (int64_t)first, &observation);
	observation.signal = CANARY_SHORTEST_GAP;
	observation.ms = gap;
	observe_later(model, (int64_t)(first + 3 * gap), &observation);
}

static void
response_count(model_t *model, const canary_observation_t *observation)
{
	waiting_t *waiting = waiting_of(model, observation);

	canary_analysis_observe(
	    &model->analysis, observation, at(model->now_ms));
	if (!observation->is_new)
		return;
	if (observation->signal == CANARY_SHORTEST_GAP) {
		waiting->gapless--;
		return;
	}
	waiting->unanswered--;
	waiting->gapless += observation->signal == CANARY_FIRST_BYTE;
}

static void
responses_count(model_t *model)
{
	pending_t **bucket = &model->buckets[model->now_ms / STEP_MS % BUCKETS];

	while (*bucket != NULL) {
		pending_t *entry = *bucket;

		*bucket = entry->next;
		response_count(model, &entry->observation);
		free(entry);
	}
}

static void
settled_collect(model_t *model, canary_cohort_t *sum)
{
	struct timespec now = at(model->now_ms);
	int64_t seconds = canary_cohorts_settled_at(now).tv_sec - at(0).tv_sec;

	canary_cohorts_add_settled(&model->analysis.cohorts, now, sum);
	for (int64_t i = 0; i < seconds; i++) {
		sum->unanswered += model->waiting[i].unanswered;
		sum->gapless += model->waiting[i].gapless;
	}
}

static void
sums_collect(model_t *model, canary_sums_t *sums)
{
	*sums = (canary_sums_t){0};
	sums->routes_len = canary_analysis_tally(&model->analysis,
	    at(model->now_ms), sums->routes, CANARY_SUM_ROUTES_MAX);
	canary_analysis_add_gaps(
	    &model->analysis, at(model->now_ms), &sums->gaps);
	settled_collect(model, &sums->settled);
	for (size_t i = 0; i < sums->routes_len; i++) {
		canary_counts_add(
		    &sums->all.new_counts, &sums->routes[i].new_counts);
		canary_counts_add(
		    &sums->all.old_counts, &sums->routes[i].old_counts);
	}
}

/* Report what was counted.
 * @return an earlier report; NULL: none has arrived yet */
static const canary_sums_t *
report(model_t *model)
{
	canary_sums_t *slot =
	    &model->reports[model->ticks++ % REPORT_DELAY_TICKS];
	static canary_sums_t arrived;

	arrived = *slot;
	sums_collect(model, slot);
	return model->ticks > REPORT_DELAY_TICKS ? &arrived : NULL;
}

static bool
is_bad(const canary_sums_t *sums, canary_standard_t standard)
{
	for (size_t i = 0; i < sums->routes_len; i++) {
		if (canary_tally_is_bad(&sums->routes[i], standard))
			return true;
	}
	return canary_tally_is_bad(&sums->all, standard) ||
	    canary_gaps_are_bad(&sums->gaps, false, standard);
}

static void
trial_update(model_t *model, const canary_sums_t *sums)
{
	rollout_snapshot_t *snapshot = &model->snapshot;
	const rollout_trial_input_t input = {.elapsed_ms = snapshot->elapsed_ms,
	    .duration_ms = snapshot->duration_ms,
	    .decision_ms = rollout_plan_decision_ms(snapshot),
	    .rate = model->rate,
	    .responses = sums->all.new_counts.responses,
	    .exposure_max = EXPOSURE_MAX,
	    .tolerance = TOLERANCE,
	    .share_max = ROLLOUT_PINNED_SHARE_MAX};

	if (snapshot->elapsed_ms >= 1500 && snapshot->elapsed_ms % 1000 == 0)
		rollout_trial_update(&snapshot->trial, &input);
}

static void
judge(model_t *model)
{
	rollout_snapshot_t *snapshot = &model->snapshot;
	canary_standard_t standard = CANARY_TRIAL;
	const canary_sums_t *sums = report(model);

	if (sums == NULL)
		return;
	if (snapshot->accepted_ms > 0)
		standard = CANARY_ACCEPTED;
	else if (rollout_plan_decision_is_due(snapshot))
		standard = CANARY_TRIAL_LATE;
	if (is_bad(sums, standard) || rollout_plan_gives_up(snapshot) ||
	    (standard == CANARY_TRIAL_LATE && canary_sums_suffice(sums) &&
		!canary_sums_are_good(sums, standard))) {
		snapshot->state = ROLLOUT_REVERTED;
	} else if (snapshot->accepted_ms == 0) {
		if (canary_sums_are_good(sums, standard))
			snapshot->accepted_ms = snapshot->elapsed_ms;
		else
			trial_update(model, sums);
	}
	if (snapshot->state == ROLLOUT_IN_PROGRESS &&
	    rollout_plan_may_complete(snapshot, false))
		snapshot->state = ROLLOUT_COMPLETED;
	if (snapshot->state != ROLLOUT_IN_PROGRESS)
		model->ended_ms = snapshot->elapsed_ms;
}

/* Play one roll-out, from 5 s before the order to its end and that of its
 * duration. */
static void
rollout_play(model_t *model, uint64_t seed, double rate, int64_t duration_ms,
    const behaviour_t *behaviour)
{
	double due = 0;

	*model = (model_t){.random = seed * 7919,
	    .rate = rate,
	    .behaviour = *behaviour,
	    .snapshot = {.state = ROLLOUT_PENDING, .duration_ms = duration_ms}};
	for (; model->ended_ms == 0 || elapsed_ms(model) < duration_ms;
	     model->now_ms += STEP_MS) {
		model->snapshot.elapsed_ms = elapsed_ms(model);
		if (elapsed_ms(model) == 0)
			model->snapshot.state = ROLLOUT_IN_PROGRESS;
		for (due += rate * STEP_MS / MS_PER_SEC * 2 * part(model);
		     due >= 1; due--)
			request(model);
		responses_count(model);
		if (elapsed_ms(model) > 0 && model->ended_ms == 0 &&
		    elapsed_ms(model) % TICK_MS == 0)
			judge(model);
	}
	for (size_t i = 0; i < BUCKETS; i++) {
		while (model->buckets[i] != NULL) {
			pending_t *entry = model->buckets[i];

			model->buckets[i] = entry->next;
			free(entry);
		}
	}
}

/** Outcomes of all seeds of a case. */
typedef struct outcome {
	uint32_t completed, in_time, over, played;
	double exposed; /**< mean part of the allowed requests that it got */
	double ended_ms;
} outcome_t;

static const double rates[] = {26, 100, 300};
static const int64_t durations_ms[] = {8000, 13480, 26000};
#define CASES 3

static outcome_t
case_play(double rate, int64_t duration_ms, const behaviour_t *behaviour)
{
	static model_t model;
	outcome_t outcome = {0};

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		double allowed;
		bool completed;

		rollout_play(&model, seed, rate, duration_ms, behaviour);
		allowed = EXPOSURE_MAX * model.requests + TOLERANCE;
		completed = model.snapshot.state == ROLLOUT_COMPLETED;
		outcome.played++;
		outcome.completed += completed;
		outcome.in_time += completed && model.ended_ms <= duration_ms;
		outcome.over += model.new_requests > allowed;
		outcome.exposed += model.new_requests / allowed / SEEDS;
		outcome.ended_ms += (double)model.ended_ms / SEEDS;
	}
	print_message("rate %.0f duration %.1f slower %.1f by %.0f failed %.1f"
		      " from %.1f: completed %u, in time %u, over %u of %u;"
		      " exposed %.2f of the allowed, ended at %.1f s\n",
	    rate, duration_ms / 1000.0, behaviour->slower, behaviour->factor,
	    behaviour->failed, behaviour->from_ms / 1000.0, outcome.completed,
	    outcome.in_time, outcome.over, outcome.played, outcome.exposed,
	    outcome.ended_ms / 1000);
	return outcome;
}

static void
bad_case_check(const behaviour_t *behaviour)
{
	for (size_t i = 0; i < CASES; i++) {
		for (size_t j = 0; j < CASES; j++) {
			outcome_t outcome =
			    case_play(rates[i], durations_ms[j], behaviour);

			assert_int_equal(outcome.completed, 0);
			assert_int_equal(outcome.over, 0);
		}
	}
}

/* Steps were taken by time alone: versions that answer several times slower got
 * most requests, and in short orders or thin traffic were completed. */
static void
slower_version_is_neither_completed_nor_overexposed(void **state)
{
	static const behaviour_t behaviours[] = {
	    {.slower = 1, .factor = 8},
	    {.slower = 1, .factor = 3},
	    {.slower = 0.5, .factor = 8},
	    {.slower = 0.5, .factor = 4},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(behaviours) / sizeof(behaviours[0]); i++)
		bad_case_check(&behaviours[i]);
}

static void
failing_version_is_neither_completed_nor_overexposed(void **state)
{
	static const behaviour_t behaviour = {.failed = 0.5};

	(void)state;
	bad_case_check(&behaviour);
}

/* Users' bounds: in 99 of 100 roll-outs of good versions. */
static void
good_version_is_completed_in_time(void **state)
{
	static const behaviour_t behaviour = {0};
	uint32_t in_time = 0, played = 0;

	(void)state;
	for (size_t i = 0; i < CASES; i++) {
		for (size_t j = 0; j < CASES; j++) {
			outcome_t outcome =
			    case_play(rates[i], durations_ms[j], &behaviour);

			in_time += outcome.in_time;
			played += outcome.played;
		}
	}
	assert_true(in_time >= played * 0.99);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		slower_version_is_neither_completed_nor_overexposed),
	    cmocka_unit_test(
		failing_version_is_neither_completed_nor_overexposed),
	    cmocka_unit_test(good_version_is_completed_in_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
