#include <inttypes.h>

#include "rollouts_priv.h"

/* From when on the reports tell the rate of requests well enough. */
#define FIRST_PROPOSAL_MS 1500
/* Time between two attempts. Each looks at the reports of all members. */
#define PROPOSE_INTERVAL_MS 1000
/* The largest share once sessions may move. */
#define SHARE_MAX 0.5

rollout_trial_t
rollout_current_trial(const rollout_t *rollout)
{
	return rollout->state_order == rollout->order.number
	    ? rollout->trial
	    : (rollout_trial_t){0};
}

static bool
trial_is_pending(const rollout_t *rollout)
{
	return rollout->trial_proposed.share >
	    rollout_current_trial(rollout).share;
}

static rollout_trial_input_t
trial_input(rollout_t *rollout, const rollout_snapshot_t *snapshot)
{
	const rollouts_t *self = rollout->owner;
	canary_sums_t sums;

	rollout_sums_collect(rollout, &sums);
	return (rollout_trial_input_t){.elapsed_ms = snapshot->elapsed_ms,
	    .duration_ms = snapshot->duration_ms,
	    .decision_ms = rollout_plan_decision_ms(snapshot),
	    .rate = sums.rate / rollout_reported_part(rollout),
	    .responses = sums.all.new_counts.responses,
	    .exposure_max = self->exposure_max,
	    .tolerance = self->exposure_tolerance,
	    .share_max = rollout_plan_pins_sessions(snapshot)
		? rollouts_reported_sessions_share(self)
		: SHARE_MAX};
}

bool
rollout_trial_propose(rollout_t *rollout)
{
	rollout_snapshot_t snapshot = rollout_take_snapshot(rollout);
	struct timespec now = clock_boottime(rollout->owner->clock);
	rollout_trial_t trial = snapshot.trial;
	rollout_trial_input_t input;

	if (trial_is_pending(rollout))
		return true;
	if (snapshot.accepted_ms > 0 || snapshot.stopped || snapshot.stale ||
	    snapshot.elapsed_ms < FIRST_PROPOSAL_MS ||
	    timespec_ms_between(rollout->trial_tried_at, now) <
		PROPOSE_INTERVAL_MS)
		return false;
	rollout->trial_tried_at = now;
	if (rollout_reported_part(rollout) < ROLLOUT_REPORTED_MIN)
		return false;
	input = trial_input(rollout, &snapshot);
	if (!rollout_trial_update(&trial, &input))
		return false;
	rollout->trial_proposed = trial;
	event_log_write(rollout->owner->log, "rollout_trial",
	    "service=%s order=%" PRIu64 " elapsed_ms=%" PRId64
	    " share=%.3f from_ms=%" PRId64
	    " rate=%.1f responses=%u sessions_share=%.3f",
	    rollout->order.service, rollout->order.number, snapshot.elapsed_ms,
	    trial.share, trial.from_ms, input.rate, input.responses,
	    input.share_max);
	return true;
}
