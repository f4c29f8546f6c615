#include <inttypes.h>

#include "rollouts_priv.h"

#define PERCENT 100
#define MS_PER_SEC 1000
/* Time between two attempts to determine the load. Each looks at the reports of
 * all members, which most daemons don't have. */
#define PROPOSE_INTERVAL_MS 1000

void
rollout_record_load(rollout_t *rollout, uint32_t held, uint32_t slots)
{
	uint32_t percent = slots > 0 ? held * PERCENT / slots : 0;

	if (percent > rollout->load_max_percent)
		rollout->load_max_percent = percent;
}

rollout_load_t
rollout_current_load(const rollout_t *rollout)
{
	return rollout->state_order == rollout->order.number
	    ? rollout->load
	    : (rollout_load_t){0};
}

bool
rollout_loads(const rollout_t *rollout, uint64_t route)
{
	rollout_snapshot_t snapshot = rollout_take_snapshot(rollout);

	return rollout_plan_loads(&snapshot, route);
}

uint32_t
rollout_endpoints(const rollout_t *rollout)
{
	rollout_snapshot_t snapshot = rollout_take_snapshot(rollout);

	return rollout_plan_is_saturating(&snapshot)
	    ? rollout_plan_endpoints(&snapshot)
	    : 0;
}

/* The requests that a bad version may get besides its share, as a part of all
 * in the order's duration. */
static double
tolerance_part(const rollout_t *rollout, double rate)
{
	double requests =
	    rate * (double)rollout->order.duration_ms / MS_PER_SEC;

	return requests > 0 ? rollout->owner->exposure_tolerance / requests : 0;
}

bool
rollout_load_propose(rollout_t *rollout)
{
	const rollouts_t *self = rollout->owner;
	rollout_snapshot_t snapshot = rollout_take_snapshot(rollout);
	rollout_load_input_t input = {.exposure_max = self->exposure_max,
	    .trial_share = snapshot.trial.share,
	    .trial_exposure = rollout_plan_trial_exposure(&snapshot),
	    .slots = self->new_version_slots(self->relay, rollout)};
	struct timespec now = clock_boottime(self->clock);
	rollout_load_t load = {0};

	if (rollout->load_proposed.endpoints > 0)
		return true;
	if (timespec_ms_between(rollout->load_tried_at, now) <
	    PROPOSE_INTERVAL_MS)
		return false;
	rollout->load_tried_at = now;
	load.routes_len = canary_analysis_long_routes(
	    &rollout->canary, load.routes, ROLLOUT_LOAD_ROUTES_MAX);
	if (input.slots == 0 || load.routes_len == 0 ||
	    !rollout_load_input(rollout, &load, &input))
		return false;
	input.exposure_max += tolerance_part(rollout, input.rate);
	rollout_plan_load(&load, &input);
	rollout->load_proposed = load;
	event_log_write(self->log, "rollout_load",
	    "service=%s order=%" PRIu64
	    " share=%.3f endpoints=%u routes=%zu in_flight=%u part=%.2f"
	    " slots=%u",
	    rollout->order.service, rollout->order.number, load.share,
	    load.endpoints, load.routes_len, input.in_flight, input.route_part,
	    input.slots);
	return true;
}
