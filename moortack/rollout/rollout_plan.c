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
	double start;  /**< fraction of the duration */
	double loaded; /**< time since the load has lasted, likewise */
	double share;
} step_t;

/* After the trial. No step is taken by time alone: all wait until the new
 * version was found to be as good as the old one. Then the share stays small
 * past the middle, so that faults that take time to show are found while few
 * requests are exposed. If the trial was short, all steps before the last
 * together expose less than a twelfth of the requests, but for those that put
 * the new version under load, which may be more in the first step. */
static const step_t steps[] = {
    {0.68, 0.0, 0.45},
    {0.70, 0.02, 1.0},
};

/* The load lasts for this part of the duration after an acceptance, or for what
 * is left until then. */
#define LOAD_PART 0.08
#define LOAD_LATEST 0.80
#define LOAD_OVERLAP 0.05

/* Fraction of the duration at which it should be known whether the new version
 * is as good. What is left is needed to move all requests. */
#define DECISION_DUE 0.80
/* Without requests there is nothing to observe, and nobody to protect. */
#define UNSEEN_START 0.93
/* The trial goes on after the order's time, for as long again: a good version
 * that completes late costs callers nothing, a bad one that is kept does. */
#define GIVE_UP 2.0

/* Fractions of the duration from which a roll-out may complete: once the old
 * version is drained, and regardless of that. If the new version was accepted
 * late, the old one gets some time to drain before that, which the end of the
 * duration may shorten. */
#define COMPLETE_IF_DRAINED 0.78
#define COMPLETE_ANYWAY 0.93
#define DRAIN_PART 0.10
#define SHORT_DRAIN_FROM 0.87
#define SHORT_DRAIN_TO 0.90
#define HASH_RANGE 18446744073709551616.0 /* 2^64 */

static double
elapsed_fraction(const rollout_snapshot_t *snapshot)
{
	if (snapshot->duration_ms <= 0)
		return 1.0;
	return (double)snapshot->elapsed_ms / (double)snapshot->duration_ms;
}

/* The largest share of the load's routes with which the exposure stays in its
 * bound: that of the trial, and under load that of these routes and of the
 * others. */
static double
load_share_max(const rollout_load_input_t *input)
{
	double others =
	    (1 - input->route_part) * fmax(LOAD_SHARE_MIN, input->trial_share);
	double all =
	    (input->exposure_max * LOAD_EXPOSURE - input->trial_exposure) /
	    (steps[0].start - SATURATION_START);
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

/* The fraction of the duration at which the new version was accepted. */
static double
accepted_at(const rollout_snapshot_t *snapshot)
{
	return (double)snapshot->accepted_ms /
	    fmax((double)snapshot->duration_ms, 1);
}

/* The fraction of the duration until which the new version is put under load,
 * if it was accepted. */
static double
load_end(const rollout_snapshot_t *snapshot)
{
	double accepted = fmax(accepted_at(snapshot), SATURATION_START);
	double part = fmin(fmax(LOAD_LATEST - accepted, 0), LOAD_PART);

	return accepted + part;
}

/* The fraction of the duration that may have passed before the order was known.
 * The last steps, which are taken for accepted versions only, come as much
 * earlier. */
static double
late_fraction(const rollout_snapshot_t *snapshot)
{
	return (double)snapshot->late_ms /
	    fmax((double)snapshot->duration_ms, 1);
}

static bool
step_is_due(const rollout_snapshot_t *snapshot, const step_t *step)
{
	return elapsed_fraction(snapshot) >=
	    fmax(step->start - late_fraction(snapshot),
		load_end(snapshot) + step->loaded);
}

int64_t
rollout_plan_decision_ms(const rollout_snapshot_t *snapshot)
{
	double middle_ms = PIN_END * (double)snapshot->duration_ms;
	double latest_ms = DECISION_DUE * (double)snapshot->duration_ms;

	return (int64_t)((double)snapshot->elapsed_ms < middle_ms ? middle_ms
								  : latest_ms);
}

double
rollout_plan_trial_exposure(const rollout_snapshot_t *snapshot)
{
	return rollout_trial_exposure(&snapshot->trial,
	    (int64_t)(PIN_END * (double)snapshot->duration_ms),
	    snapshot->duration_ms);
}

bool
rollout_plan_decision_is_due(const rollout_snapshot_t *snapshot)
{
	return elapsed_fraction(snapshot) >= DECISION_DUE;
}

bool
rollout_plan_accepts_unseen(const rollout_snapshot_t *snapshot)
{
	return elapsed_fraction(snapshot) >= UNSEEN_START;
}

bool
rollout_plan_gives_up(const rollout_snapshot_t *snapshot)
{
	return snapshot->accepted_ms <= 0 && !snapshot->stale &&
	    elapsed_fraction(snapshot) >= GIVE_UP;
}

double
rollout_plan_share(const rollout_snapshot_t *snapshot)
{
	double share =
	    rollout_trial_share(&snapshot->trial, snapshot->elapsed_ms);

	if (snapshot->state == ROLLOUT_COMPLETED)
		return 1.0;
	if (snapshot->state != ROLLOUT_IN_PROGRESS || snapshot->stopped)
		return 0;
	/* While the state may be outdated the share does not grow. */
	if (share == 0 || snapshot->accepted_ms <= 0 || snapshot->stale)
		return share;
	if (elapsed_fraction(snapshot) >= SATURATION_START)
		share = fmax(share, LOAD_SHARE_MIN);
	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		if (step_is_due(snapshot, &steps[i]))
			share = fmax(share, steps[i].share);
	}
	return share;
}

bool
rollout_plan_pins_sessions(const rollout_snapshot_t *snapshot)
{
	return snapshot->state == ROLLOUT_IN_PROGRESS &&
	    elapsed_fraction(snapshot) < PIN_END;
}

double
rollout_plan_pinned_share(const rollout_snapshot_t *snapshot)
{
	return fmin(rollout_plan_share(snapshot),
	    rollout_trial_share(&snapshot->trial, snapshot->elapsed_ms));
}

bool
rollout_plan_is_saturating(const rollout_snapshot_t *snapshot)
{
	double fraction = elapsed_fraction(snapshot);

	return snapshot->state == ROLLOUT_IN_PROGRESS &&
	    snapshot->accepted_ms > 0 && fraction >= SATURATION_START &&
	    fraction >= accepted_at(snapshot) &&
	    fraction < fmax(SATURATION_END, load_end(snapshot) + LOAD_OVERLAP);
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
	return share >= 1 || (double)hash < share * HASH_RANGE;
}

/* The fraction of the duration from which the roll-out may complete although
 * the old version is not drained. */
static double
complete_anyway_start(const rollout_snapshot_t *snapshot)
{
	double accepted = accepted_at(snapshot);

	if (accepted > SHORT_DRAIN_FROM && accepted <= SHORT_DRAIN_TO)
		accepted = SHORT_DRAIN_FROM;
	return fmax(
	    COMPLETE_ANYWAY - late_fraction(snapshot), accepted + DRAIN_PART);
}

bool
rollout_plan_may_complete(const rollout_snapshot_t *snapshot, bool drained)
{
	double fraction = elapsed_fraction(snapshot);

	if (snapshot->state != ROLLOUT_IN_PROGRESS || snapshot->stopped ||
	    snapshot->stale || rollout_plan_share(snapshot) < 1.0)
		return false;
	return fraction >= complete_anyway_start(snapshot) ||
	    (fraction >= COMPLETE_IF_DRAINED - late_fraction(snapshot) &&
		drained);
}
