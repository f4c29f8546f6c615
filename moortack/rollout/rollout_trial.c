#include "moortack/rollout/rollout_trial.h"

#include <math.h>

#define MS_PER_SEC 1000.0
/* Responses of the new version that a decision takes, if none of them speaks
 * against it. */
#define RESPONSES_NEEDED 30
/* Time from a request until its response has been counted, reported and judged.
 */
#define OBSERVATION_MS 1500
/* The responses needed are spread over this time at least. */
#define SPREAD_MIN_MS 1000
/* Part of the exposure allowed that the trial may use. The rest is for putting
 * the version under load, and for what is sent until all daemons know that it
 * is bad. */
#define EXPOSURE_PART 0.5
/* All daemons know the trial and its sessions this long after it was
 * determined. */
#define SPREAD_DELAY_MS 500
/* A change that is smaller is not worth a write to the store. */
#define GROWTH_MIN 1.25

double
rollout_trial_share(const rollout_trial_t *trial, int64_t elapsed_ms)
{
	if (elapsed_ms < ROLLOUT_SESSION_EXCHANGE_MS)
		return 0;
	return elapsed_ms >= trial->from_ms
	    ? fmax(trial->share, ROLLOUT_FIRST_SHARE)
	    : ROLLOUT_FIRST_SHARE;
}

double
rollout_trial_exposure(
    const rollout_trial_t *trial, int64_t elapsed_ms, int64_t duration_ms)
{
	int64_t start_ms = ROLLOUT_SESSION_EXCHANGE_MS;
	int64_t from_ms = trial->from_ms > start_ms ? trial->from_ms : start_ms;
	double first_ms, trial_ms;

	if (elapsed_ms <= start_ms || duration_ms <= 0)
		return 0;
	first_ms = (double)(fmin(from_ms, elapsed_ms) - start_ms);
	trial_ms = fmax((double)(elapsed_ms - from_ms), 0);
	return (first_ms * ROLLOUT_FIRST_SHARE +
		   trial_ms * rollout_trial_share(trial, elapsed_ms)) /
	    (double)duration_ms;
}

/* The share with which the responses needed come in time. */
static double
share_needed(const rollout_trial_input_t *input, double from_ms)
{
	double needed = fmax((double)RESPONSES_NEEDED - input->responses, 1);
	double spread_ms =
	    fmax((double)input->decision_ms - OBSERVATION_MS - from_ms,
		SPREAD_MIN_MS);

	return needed / (input->rate * spread_ms / MS_PER_SEC);
}

/* The largest share with which the exposure until the decision stays in the
 * trial's part of it. */
static double
share_allowed(const rollout_trial_t *trial, const rollout_trial_input_t *input,
    double from_ms)
{
	double requests = input->rate * (double)input->duration_ms / MS_PER_SEC;
	double allowed =
	    EXPOSURE_PART * (input->exposure_max * requests + input->tolerance);
	double used = requests *
	    rollout_trial_exposure(trial, (int64_t)from_ms, input->duration_ms);
	double left_ms =
	    fmax((double)input->decision_ms - from_ms, SPREAD_MIN_MS);

	return (allowed - used) / (input->rate * left_ms / MS_PER_SEC);
}

bool
rollout_trial_update(rollout_trial_t *trial, const rollout_trial_input_t *input)
{
	double from_ms = fmax((double)input->elapsed_ms + SPREAD_DELAY_MS,
	    ROLLOUT_SESSION_EXCHANGE_MS);
	double share;

	if (input->rate <= 0 || input->elapsed_ms >= input->decision_ms)
		return false;
	share = fmin(
	    share_needed(input, from_ms), share_allowed(trial, input, from_ms));
	share = fmin(share, input->share_max);
	if (share < GROWTH_MIN * fmax(trial->share, ROLLOUT_FIRST_SHARE))
		return false;
	*trial = (rollout_trial_t){share, (int64_t)from_ms};
	return true;
}
