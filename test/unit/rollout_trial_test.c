/**
 * @file
 * The share that a new version gets until it was found to be as good: enough
 * responses in time where the traffic and the exposure allow it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "moortack/rollout/rollout_trial.h"

#define MS_PER_SEC 1000.0
#define PIN_PART 0.52
/* When daemons have reported their rates. */
#define FIRST_MS 1500

static const double rates[] = {1, 5, 10, 26, 100, 300, 2000, 27000};
static const int64_t durations_ms[] = {
    3000, 6000, 8000, 13480, 26000, 60000, 3600000};

static rollout_trial_input_t
input_make(double rate, int64_t duration_ms)
{
	return (rollout_trial_input_t){.elapsed_ms = FIRST_MS,
	    .duration_ms = duration_ms,
	    .decision_ms = (int64_t)(PIN_PART * (double)duration_ms),
	    .rate = rate,
	    .exposure_max = 0.15,
	    .tolerance = 30,
	    .share_max = ROLLOUT_PINNED_SHARE_MAX};
}

/* Requests at the new version until the decision. */
static double
exposed(const rollout_trial_t *trial, const rollout_trial_input_t *input)
{
	return rollout_trial_exposure(
		   trial, input->decision_ms, input->duration_ms) *
	    input->rate * (double)input->duration_ms / MS_PER_SEC;
}

/* Thin traffic and short orders ended before the first step's share had brought
 * a handful of responses. */
static void
thin_traffic_gets_a_larger_share(void **state)
{
	rollout_trial_input_t input = input_make(26, 13480);
	rollout_trial_t trial = {0};

	(void)state;
	assert_true(rollout_trial_update(&trial, &input));
	assert_true(exposed(&trial, &input) >= 30);
	input = input_make(27000, 13480);
	trial = (rollout_trial_t){0};
	assert_false(rollout_trial_update(&trial, &input));
	assert_true(rollout_trial_share(&trial, 5000) == ROLLOUT_FIRST_SHARE);
}

/* With any traffic, the trial leaves half of what a bad version may get. */
static void
trial_leaves_half_of_the_exposure(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		for (size_t j = 0;
		     j < sizeof(durations_ms) / sizeof(durations_ms[0]); j++) {
			rollout_trial_input_t input =
			    input_make(rates[i], durations_ms[j]);
			double allowed = 0.15 * rates[i] *
				(double)durations_ms[j] / MS_PER_SEC +
			    30;
			rollout_trial_t trial = {0};

			rollout_trial_update(&trial, &input);
			assert_true(exposed(&trial, &input) <= allowed / 2 + 1);
			assert_true(trial.share <= ROLLOUT_PINNED_SHARE_MAX);
		}
	}
}

/* Sessions that the new version serves would move back to the old one. */
static void
share_never_becomes_smaller(void **state)
{
	rollout_trial_input_t input = input_make(26, 13480);
	rollout_trial_t trial = {0};
	double share = 0;

	(void)state;
	for (; input.elapsed_ms < 13000; input.elapsed_ms += 500) {
		if (input.elapsed_ms > input.decision_ms)
			input.decision_ms = 10784;
		input.responses += input.elapsed_ms > 4000 ? 3 : 0;
		rollout_trial_update(&trial, &input);
		assert_true(trial.share >= share);
		share = trial.share;
	}
}

/* No request goes to the new version before all daemons know the sessions that
 * stay, and none beyond the first step's share before they know the trial. */
static void
share_begins_once_sessions_and_trial_are_known(void **state)
{
	const rollout_trial_t trial = {0.3, 2700};

	(void)state;
	assert_true(rollout_trial_share(&trial, 1999) == 0);
	assert_true(rollout_trial_share(&trial, 2000) == ROLLOUT_FIRST_SHARE);
	assert_true(rollout_trial_share(&trial, 2699) == ROLLOUT_FIRST_SHARE);
	assert_true(rollout_trial_share(&trial, 2700) == 0.3);
}

static void
unknown_rate_or_late_proposal_changes_nothing(void **state)
{
	rollout_trial_input_t input = input_make(0, 13480);
	rollout_trial_t trial = {0};

	(void)state;
	assert_false(rollout_trial_update(&trial, &input));
	input = input_make(26, 13480);
	input.elapsed_ms = input.decision_ms;
	assert_false(rollout_trial_update(&trial, &input));
	input = input_make(26, 13480);
	input.share_max = ROLLOUT_FIRST_SHARE;
	assert_false(rollout_trial_update(&trial, &input));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(thin_traffic_gets_a_larger_share),
	    cmocka_unit_test(trial_leaves_half_of_the_exposure),
	    cmocka_unit_test(share_never_becomes_smaller),
	    cmocka_unit_test(share_begins_once_sessions_and_trial_are_known),
	    cmocka_unit_test(unknown_rate_or_late_proposal_changes_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
