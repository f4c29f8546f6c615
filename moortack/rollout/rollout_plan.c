#include "moortack/rollout/rollout_plan.h"

#include <math.h>
#include <stddef.h>

/* Fraction of the duration before which no session is moved. */
#define PIN_END 0.52
/* The part of the duration in which the new version's requests are concentrated
 * on few endpoints. It starts once sessions may move: before that the streams
 * of sessions, which may be all, keep to the share of the first step. By then a
 * version that is bad from its start has been found. It lasts for at least the
 * 2 s that responses of the largest models take. */
#define SATURATION_START PIN_END
#define SATURATION_END 0.73
/* Fraction of the duration from which the load is determined, so that all
 * daemons have read it when it is used. */
#define LOAD_DUE 0.40
/* Part of their slots that the endpoints should have in use then. A version
 * that is bad under load fails from half of the slots on, and less than that
 * is in use until as many requests end as begin. */
#define LOAD_FILL 0.9
/* The least share with which the new version is put under load. */
#define LOAD_SHARE_MIN 0.1
/* Part of the exposure allowed that may be used for the load. The rest is for
 * the requests until the daemons know of the failures. */
#define LOAD_EXPOSURE 0.75
/* Keeps the division by a part of the requests in range. */
#define ROUTE_PART_MIN 0.01
/** The share from a fraction of the duration on. */
typedef struct step {
	double start; /**< fraction of the duration */
	double share;
} step_t;

/* The share stays small past the middle, so that faults that take time to show
 * are found while few requests are exposed. All steps before the last together
 * expose less than a twelfth of the requests, but for those that put the new
 * version under load, which may be more in the second step. */
static const step_t steps[] = {{0.0, ROLLOUT_FIRST_SHARE},
    {SATURATION_START, LOAD_SHARE_MIN}, {0.68, 0.45}, {0.70, 1.0}};
#define LOAD_STEP 1

/* Fractions of the duration from which a roll-out may complete: once the old
 * version is drained, and regardless of that. */
#define COMPLETE_IF_DRAINED 0.78
#define COMPLETE_ANYWAY 0.93
/* Time in which all daemons report to each other which sessions the old version
 * is serving. No request goes to the new version before that. */
#define SESSION_EXCHANGE_MS 2000
/* The share doesn't grow beyond this while the state may be outdated. */
#define STALE_SHARE_MAX ROLLOUT_FIRST_SHARE
#define HASH_RANGE 18446744073709551616.0 /* 2^64 */

static double
elapsed_fraction(const rollout_snapshot_t *snapshot)
{
	if (snapshot->duration_ms <= 0)
		return 1.0;
	return (double)snapshot->elapsed_ms / (double)snapshot->duration_ms;
}

/* Parts of the duration for which the first step and the one under load last.
 */
static double
step_part(size_t step)
{
	return steps[step + 1].start - steps[step].start;
}

/* The largest share of the load's routes with which the exposure stays in its
 * bound: that of the first step, and in the second one that of these routes and
 * of the others. */
static double
load_share_max(const rollout_load_input_t *input)
{
	double first = step_part(0) * ROLLOUT_FIRST_SHARE;
	double others = (1 - input->route_part) * LOAD_SHARE_MIN;
	double all = (input->exposure_max * LOAD_EXPOSURE - first) /
	    step_part(LOAD_STEP);
	double share = (all - others) / fmax(input->route_part, ROUTE_PART_MIN);

	return fmin(fmax(share, LOAD_SHARE_MIN), 1.0);
}

void
rollout_plan_load(rollout_load_t *load, const rollout_load_input_t *input)
{
	double in_flight = fmax(input->in_flight, 1);
	double per_endpoint = LOAD_FILL * input->slots;
	double endpoints =
	    fmax(ceil(in_flight * LOAD_SHARE_MIN / per_endpoint), 1);

	load->fill_share = endpoints * per_endpoint / in_flight;
	load->share = fmin(load->fill_share, load_share_max(input));
	load->endpoints = (uint32_t)endpoints;
}

bool
rollout_plan_load_due(const rollout_snapshot_t *snapshot)
{
	return snapshot->state == ROLLOUT_IN_PROGRESS && !snapshot->stopped &&
	    snapshot->load.endpoints == 0 &&
	    elapsed_fraction(snapshot) >= LOAD_DUE &&
	    elapsed_fraction(snapshot) < SATURATION_END;
}

double
rollout_plan_share(const rollout_snapshot_t *snapshot)
{
	double fraction = elapsed_fraction(snapshot);
	double share = 0;

	if (snapshot->state == ROLLOUT_COMPLETED)
		return 1.0;
	if (snapshot->state != ROLLOUT_IN_PROGRESS || snapshot->stopped ||
	    snapshot->elapsed_ms < SESSION_EXCHANGE_MS)
		return 0;
	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		if (fraction >= steps[i].start)
			share = steps[i].share;
	}
	if (snapshot->stale && share > STALE_SHARE_MAX)
		return STALE_SHARE_MAX;
	return share;
}

bool
rollout_plan_pins_sessions(const rollout_snapshot_t *snapshot)
{
	return snapshot->state == ROLLOUT_IN_PROGRESS &&
	    elapsed_fraction(snapshot) < PIN_END;
}

bool
rollout_plan_is_saturating(const rollout_snapshot_t *snapshot)
{
	double fraction = elapsed_fraction(snapshot);

	return snapshot->state == ROLLOUT_IN_PROGRESS &&
	    fraction >= SATURATION_START && fraction < SATURATION_END;
}

bool
rollout_load_has_route(const rollout_load_t *load, uint64_t route)
{
	for (size_t i = 0; i < load->routes_len; i++) {
		if (load->routes[i] == route)
			return true;
	}
	return false;
}

bool
rollout_plan_loads(const rollout_snapshot_t *snapshot, uint64_t route)
{
	return rollout_plan_is_saturating(snapshot) && !snapshot->stale &&
	    snapshot->load.endpoints > 0 &&
	    rollout_load_has_route(&snapshot->load, route);
}

double
rollout_plan_route_share(const rollout_snapshot_t *snapshot, uint64_t route)
{
	double share = rollout_plan_share(snapshot);

	if (share <= 0 || !rollout_plan_loads(snapshot, route))
		return share;
	return fmax(share, snapshot->load.share);
}

uint32_t
rollout_plan_endpoints(const rollout_snapshot_t *snapshot)
{
	const rollout_load_t *load = &snapshot->load;

	if (load->fill_share <= 0)
		return 0;
	return (uint32_t)(load->endpoints *
	    fmax(1, rollout_plan_share(snapshot) / load->fill_share));
}

bool
rollout_share_includes(double share, uint64_t hash)
{
	return (double)hash < share * HASH_RANGE;
}

bool
rollout_plan_may_complete(const rollout_snapshot_t *snapshot, bool drained)
{
	double fraction = elapsed_fraction(snapshot);

	if (snapshot->state != ROLLOUT_IN_PROGRESS || snapshot->stopped ||
	    snapshot->stale)
		return false;
	return fraction >= COMPLETE_ANYWAY ||
	    (fraction >= COMPLETE_IF_DRAINED && drained);
}
