#include "moortack/scheduling/admission.h"

#include <math.h>
#include <string.h>

#define MS_PER_S 1000.0
/* Without an observation for this long, nothing is known. */
#define KNOWN_MS 1000
/* Requests that are sent on a report of free slots, until the next one. */
#define FREE_SENDS 1
/* With under half of the slots busy, the load does not fill them this soon. */
#define HALF_FREE 0.5
#define HALF_FREE_KNOWN_MS 200
/* The wait is followed upwards within about two service times of a plain
 * service, and downwards more slowly, so that one idle endpoint does not end
 * the control for all. */
#define WAIT_RISE_MS 100.0
#define WAIT_FALL_MS 500.0
/* Parts of the objective. A quarter still leaves time for the work itself. The
 * target is the same quarter: at a lower one, daemons that have not noticed the
 * load would not, since the others hold the wait below it, and would send
 * without limit. */
#define CROWDED_BEGIN 0.25
#define CROWDED_END 0.1
#define CROWDED_END_MS 500
#define WAIT_TARGET 0.25
/* For how long the shortest objective holds after its last request. */
#define OBJECTIVE_KEPT_MS 10000
/* Assumed wait at an endpoint that refused a request as full. */
#define REFUSED_WAIT 0.5
#define CONTROL_MS 100
/* Of the capacity. The rest is for what other daemons send in error. */
#define RATE_START 0.9
#define RATE_MIN 0.25
#define RATE_MAX 2.0
/* The wait is the integral of the excess of the rate, so that a correction that
 * only integrates the wait's error oscillates. The immediate part damps it; the
 * slow one is small against the square of the immediate one. */
#define IMMEDIATE_GAIN 0.2
#define IMMEDIATE_ERROR_MAX 2.5
#define SLOW_GAIN 0.02
/* The unused rate that is kept (the pool), in requests: as many as arrive more
 * than the mean within a second by chance, at two standard deviations. */
#define POOL_DEVIATIONS 2.0
#define POOL_REQUESTS_MIN 2.0
/* Part of the rate that a full pool adds to what is shared out. An overdrawn
 * one takes nothing away: that would cut organisations under their share. */
#define POOL_GAIN 0.5
/* How far the pool may be overdrawn, as a multiple of its maximum. */
#define OVERDRAWN_MAX 2.0
#define OVERDRAWN_ABOVE 0.5
/* Part of the rate by which an overdrawn pool grows at least, as estimated. */
#define SPARE_MIN 0.05
/* A request waits only if there would be time to wait for this many times as
 * long as expected: one that waits in vain is refused later than at once. */
#define WAIT_DOUBT 2.0
/* A daemon sends a request after this time, so that it learns the load. */
#define PROBE_MS 1000
#define SERVICE_WEIGHT 0.1
#define COST_WEIGHT 0.02
#define RETRY_AFTER_MAX_MS 30000
#define COST_MIN_MS 0.01
#define COST_MAX_MS 1e6

void
service_admission_init(service_admission_t *admission)
{
	memset(admission, 0, sizeof(*admission));
	admission->now_ms = INT64_MIN;
	admission->observed_ms = INT64_MIN;
	admission->sent_ms = INT64_MIN;
	admission->held_ms = INT64_MIN;
	admission->calm_since_ms = INT64_MIN;
	admission->daemons = 1;
	admission->correction = 1;
	fair_share_init(&admission->shares);
}

void
service_admission_finish(service_admission_t *admission)
{
	memset(admission, 0, sizeof(*admission));
}

void
service_admission_set_capacity(
    service_admission_t *admission, double ms_per_s, uint32_t daemons)
{
	admission->capacity_ms_per_s = isfinite(ms_per_s) ? ms_per_s : 0;
	admission->daemons = daemons > 0 ? daemons : 1;
}

static int64_t
now_advance(service_admission_t *admission, int64_t now_ms)
{
	if (now_ms > admission->now_ms)
		admission->now_ms = now_ms;
	return admission->now_ms;
}

static int64_t
now_clamp(const service_admission_t *admission, int64_t now_ms)
{
	return now_ms > admission->now_ms ? now_ms : admission->now_ms;
}

/* Whether it is at least this long ago; true if it never was. */
static bool
is_past(int64_t at_ms, int64_t now_ms, int64_t age_ms)
{
	return at_ms == INT64_MIN || now_ms - at_ms >= age_ms;
}

static bool
is_known(const service_admission_t *admission, int64_t now_ms)
{
	return !is_past(admission->observed_ms, now_ms, KNOWN_MS + 1);
}

bool
service_admission_is_crowded(
    const service_admission_t *admission, int64_t now_ms)
{
	return admission->crowded &&
	    is_known(admission, now_clamp(admission, now_ms));
}

double
service_admission_wait_ms(const service_admission_t *admission, int64_t now_ms)
{
	if (!is_known(admission, now_clamp(admission, now_ms)))
		return -1;
	return admission->wait_ms;
}

double
service_admission_cost_ms(
    const service_admission_t *admission, const admission_request_t *request)
{
	if (isfinite(request->cost_ms) && request->cost_ms > 0)
		return fmax(fmin(request->cost_ms, COST_MAX_MS), COST_MIN_MS);
	return fmax(admission->service_ms, 1);
}

static double
plain_share(const service_admission_t *admission)
{
	return admission->capacity_ms_per_s / admission->daemons;
}

/* Cost of a request, over all flows, that makes chance deviations as large as
 * the mix of costs does. */
static double
usual_cost_ms(const service_admission_t *admission)
{
	if (admission->cost_ms <= 0)
		return fmax(admission->service_ms, 1);
	return admission->cost_square / admission->cost_ms;
}

static void
cost_note(service_admission_t *admission, double cost_ms)
{
	if (admission->cost_ms <= 0) {
		admission->cost_ms = cost_ms;
		admission->cost_square = cost_ms * cost_ms;
	}
	admission->cost_ms += COST_WEIGHT * (cost_ms - admission->cost_ms);
	admission->cost_square +=
	    COST_WEIGHT * (cost_ms * cost_ms - admission->cost_square);
}

static double
pool_max_ms(const service_admission_t *admission)
{
	double cost_ms = usual_cost_ms(admission);

	return cost_ms *
	    (POOL_REQUESTS_MIN +
		POOL_DEVIATIONS * sqrt(admission->rate_ms_per_s / cost_ms));
}

static void
pool_fill(service_admission_t *admission)
{
	int64_t age_ms = admission->now_ms - admission->pool_at_ms;

	admission->pool_ms = fmin(admission->pool_ms +
		admission->rate_ms_per_s * (double)age_ms / MS_PER_S,
	    pool_max_ms(admission));
	for (size_t i = 0; i < FAIR_SHARE_RANKS; i++)
		admission->floors_ms[i] = fmin(admission->floors_ms[i] +
			FAIR_SHARE_RANK_FLOOR * admission->rate_ms_per_s *
			    (double)age_ms / MS_PER_S,
		    usual_cost_ms(admission));
	admission->pool_at_ms = admission->now_ms;
}

static void
rate_correct(service_admission_t *admission)
{
	double target_ms = WAIT_TARGET * (double)admission->objective_ms;
	double error = (target_ms - admission->wait_ms) / target_ms;
	double share = plain_share(admission);
	double slow = fmax(fmin(error, 1), -1) * SLOW_GAIN;
	double rate;

	/* What a daemon does not use itself is no reason to raise its rate. */
	if (slow < 0 ||
	    fair_share_demand_sum(&admission->shares, admission->now_ms) +
		    admission->waiting_ms >
		admission->rate_ms_per_s)
		admission->correction =
		    fmax(fmin(admission->correction * (1 + slow), RATE_MAX),
			RATE_MIN);
	error = fmax(fmin(error, 1), -IMMEDIATE_ERROR_MAX);
	rate =
	    RATE_START * admission->correction * (1 + IMMEDIATE_GAIN * error);
	admission->rate_ms_per_s = share * fmax(fmin(rate, RATE_MAX), RATE_MIN);
}

static void
shares_compute(service_admission_t *admission)
{
	double filled = admission->pool_ms / pool_max_ms(admission);

	fair_share_compute(&admission->shares,
	    admission->rate_ms_per_s *
		(1 + POOL_GAIN * fmax(fmin(filled, 1), 0)),
	    admission->now_ms);
}

static void
crowded_begin(service_admission_t *admission)
{
	admission->crowded = true;
	admission->crowded_since_ms = admission->now_ms;
	admission->calm_since_ms = INT64_MIN;
	admission->correction = 1;
	admission->rate_ms_per_s = RATE_START * plain_share(admission);
	admission->pool_ms = 0;
	memset(admission->floors_ms, 0, sizeof(admission->floors_ms));
	admission->pool_at_ms = admission->now_ms;
	admission->controlled_ms = admission->now_ms;
	rate_correct(admission);
	shares_compute(admission);
	fair_share_reset_credits(&admission->shares, admission->now_ms);
}

static void
crowded_update(service_admission_t *admission)
{
	double objective_ms = (double)admission->objective_ms;

	if (!is_known(admission, admission->now_ms) ||
	    admission->capacity_ms_per_s <= 0) {
		admission->crowded = false;
		return;
	}
	if (!admission->crowded) {
		if (objective_ms > 0 &&
		    admission->wait_ms > CROWDED_BEGIN * objective_ms)
			crowded_begin(admission);
		return;
	}
	/* As long as something is held, the wait is low for that reason. */
	if (admission->wait_ms >= CROWDED_END * objective_ms ||
	    admission->waiting_ms > 0 ||
	    !is_past(admission->held_ms, admission->now_ms, CROWDED_END_MS)) {
		admission->calm_since_ms = INT64_MIN;
		return;
	}
	if (admission->calm_since_ms == INT64_MIN)
		admission->calm_since_ms = admission->now_ms;
	if (admission->now_ms - admission->calm_since_ms >= CROWDED_END_MS)
		admission->crowded = false;
}

static void
control(service_admission_t *admission)
{
	crowded_update(admission);
	if (!admission->crowded)
		return;
	pool_fill(admission);
	if (admission->now_ms - admission->controlled_ms < CONTROL_MS)
		return;
	admission->controlled_ms = admission->now_ms;
	/* The debt of a burst that is over is no reason to hold anything. */
	if (admission->wait_ms < CROWDED_END * (double)admission->objective_ms)
		admission->pool_ms = fmax(admission->pool_ms, 0);
	rate_correct(admission);
	shares_compute(admission);
}

static void
wait_smooth(service_admission_t *admission, double wait_ms, double busy)
{
	double age_ms;
	double weight;

	if (!is_known(admission, admission->now_ms)) {
		admission->wait_ms = wait_ms;
		admission->busy = busy;
	} else {
		age_ms = (double)(admission->now_ms - admission->observed_ms);
		weight = 1 -
		    exp(-age_ms /
			(wait_ms > admission->wait_ms ? WAIT_RISE_MS
						      : WAIT_FALL_MS));
		admission->wait_ms += weight * (wait_ms - admission->wait_ms);
		admission->busy += weight * (busy - admission->busy);
	}
	admission->last_wait_ms = wait_ms;
	admission->last_busy = busy;
	admission->observed_ms = admission->now_ms;
	admission->sent_since = 0;
}

void
service_admission_observe(
    service_admission_t *admission, double wait_ms, double busy, int64_t now_ms)
{
	if (!isfinite(wait_ms) || !isfinite(busy))
		return;
	now_advance(admission, now_ms);
	wait_smooth(admission, fmax(wait_ms, 0), fmax(fmin(busy, 1), 0));
	control(admission);
}

void
service_admission_observe_refusal(
    service_admission_t *admission, int64_t now_ms)
{
	double wait_ms = REFUSED_WAIT * (double)admission->objective_ms;

	now_advance(admission, now_ms);
	if (is_known(admission, admission->now_ms))
		wait_ms = fmax(wait_ms, admission->wait_ms);
	wait_smooth(admission, wait_ms, 1);
	control(admission);
}

void
service_admission_observe_service_ms(
    service_admission_t *admission, double ms, int64_t now_ms)
{
	now_advance(admission, now_ms);
	if (!isfinite(ms) || ms <= 0)
		return;
	ms = fmin(ms, COST_MAX_MS);
	if (admission->service_ms <= 0)
		admission->service_ms = ms;
	admission->service_ms += SERVICE_WEIGHT * (ms - admission->service_ms);
}

size_t
service_admission_above_share(
    const service_admission_t *admission, int64_t now_ms)
{
	size_t count = 0;

	if (!service_admission_is_crowded(admission, now_ms))
		return 0;
	for (size_t i = 0; i < admission->shares.flow_count; i++) {
		const fair_share_flow_t *flow = &admission->shares.flows[i];

		count += fair_share_demand(flow, now_clamp(admission, now_ms)) >
		    admission->shares.levels[flow->rank];
	}
	return count;
}

static void
objective_note(service_admission_t *admission, int64_t objective_ms)
{
	if (objective_ms <= 0)
		return;
	if (admission->objective_ms > 0 &&
	    objective_ms > admission->objective_ms &&
	    admission->now_ms - admission->objective_seen_ms <=
		OBJECTIVE_KEPT_MS)
		return;
	admission->objective_ms = objective_ms;
	admission->objective_seen_ms = admission->now_ms;
}

/* Whether the last response reported a free slot, so that nothing needs to be
 * held. What waits is sent in small numbers, as others see the same slots. */
static bool
slots_are_free(const service_admission_t *admission, bool arrives)
{
	if (admission->last_wait_ms > 0 || admission->last_busy >= 1 ||
	    !is_known(admission, admission->now_ms))
		return false;
	if (admission->sent_since < FREE_SENDS)
		return true;
	return arrives && admission->last_busy < HALF_FREE &&
	    !is_past(admission->observed_ms, admission->now_ms,
		HALF_FREE_KNOWN_MS + 1);
}

/* How far the pool may be overdrawn: least by flows above their share, and by
 * lower ranks. What is overdrawn by chance would else be refused to the others.
 */
static double
pool_min_ms(const service_admission_t *admission, const fair_share_flow_t *flow,
    bool above)
{
	double max_ms = pool_max_ms(admission);

	if (flow->rank > admission->shares.top_rank)
		return above ? 0 : -OVERDRAWN_ABOVE * max_ms;
	return above ? -OVERDRAWN_ABOVE * max_ms : -OVERDRAWN_MAX * max_ms;
}

/* Time until the flow has credit for the request and the pool too; 0: now.
 * @param arrives it comes after the requests of its flow that wait */
static double
credit_in_ms(service_admission_t *admission, fair_share_flow_t *flow,
    double cost_ms, bool arrives)
{
	const fair_share_t *shares = &admission->shares;
	bool above = fair_share_is_above(shares, flow, admission->now_ms);
	double missing = fair_share_needed_ms(flow, cost_ms) +
	    (arrives ? flow->waiting_ms : 0) -
	    fair_share_credit(shares, flow, admission->now_ms);
	double pool_missing =
	    pool_min_ms(admission, flow, above) - admission->pool_ms;
	double pool_rate = admission->rate_ms_per_s;
	double in_ms = 0;

	if (admission->floors_ms[flow->rank] >=
	    fmin(cost_ms, usual_cost_ms(admission)))
		return 0;
	if (above && missing > 0)
		in_ms = missing * MS_PER_S / shares->levels[flow->rank];
	if (pool_missing <= 0)
		return in_ms;
	if (above || flow->rank > shares->top_rank) {
		/* What grows is shared with those that wait. */
		pool_missing += arrives ? admission->waiting_ms : 0;
		pool_rate = fmax(shares->spare_rate, SPARE_MIN * pool_rate);
	}
	return fmax(in_ms, pool_missing * MS_PER_S / pool_rate);
}

static void
charge(service_admission_t *admission, fair_share_flow_t *flow, double cost_ms)
{
	double *floor_ms;

	admission->sent_ms = admission->now_ms;
	if (admission->sent_since < UINT32_MAX)
		admission->sent_since++;
	if (!admission->crowded)
		return;
	fair_share_charge(flow, cost_ms);
	floor_ms = &admission->floors_ms[flow->rank];
	*floor_ms =
	    fmax(*floor_ms - cost_ms, -fmax(cost_ms, usual_cost_ms(admission)));
	admission->pool_ms = fmax(admission->pool_ms - cost_ms,
	    -OVERDRAWN_MAX * pool_max_ms(admission) -
		fmax(cost_ms, usual_cost_ms(admission)));
}

static admission_reason_t
held_reason(const service_admission_t *admission, const fair_share_flow_t *flow)
{
	const fair_share_t *shares = &admission->shares;

	if (fair_share_demand(flow, admission->now_ms) >
	    shares->level_without_ranks)
		return ADMISSION_ABOVE_SHARE;
	if (flow->rank > shares->top_rank)
		return ADMISSION_RANK;
	return fair_share_is_above(shares, flow, admission->now_ms)
	    ? ADMISSION_ABOVE_SHARE
	    : ADMISSION_LATE;
}

/* Whether the flow has used as much more than its share as it may owe. One
 * whose callers retry at once would otherwise take each slot as it becomes
 * free. */
static bool
is_in_debt(service_admission_t *admission, fair_share_flow_t *flow)
{
	return admission->last_busy >= HALF_FREE &&
	    admission->wait_ms >=
	    CROWDED_END * (double)admission->objective_ms &&
	    fair_share_credit(&admission->shares, flow, admission->now_ms) <=
	    -fair_share_needed_ms(flow, flow->cost_ms);
}

static bool
must_send(service_admission_t *admission, fair_share_flow_t *flow, bool arrives)
{
	if (!admission->crowded ||
	    is_past(admission->sent_ms, admission->now_ms, PROBE_MS))
		return true;
	return slots_are_free(admission, arrives) &&
	    !is_in_debt(admission, flow);
}

admission_decision_t
service_admission_decide(service_admission_t *admission,
    const admission_request_t *request, int64_t now_ms)
{
	double cost_ms = service_admission_cost_ms(admission, request);
	admission_decision_t decision = {ADMISSION_SEND, 0, ADMISSION_SHARE};
	fair_share_flow_t *flow;
	double in_ms;

	now_advance(admission, now_ms);
	objective_note(admission, request->objective_ms);
	cost_note(admission, cost_ms);
	flow = fair_share_arrive(&admission->shares, request->organisation,
	    request->rank, cost_ms, admission->now_ms);
	control(admission);
	if (must_send(admission, flow, true)) {
		charge(admission, flow, cost_ms);
		decision.reason = ADMISSION_FREE;
		return decision;
	}
	in_ms = credit_in_ms(admission, flow, cost_ms, true);
	if (in_ms <= 0) {
		charge(admission, flow, cost_ms);
		return decision;
	}
	admission->held_ms = admission->now_ms;
	decision.reason = held_reason(admission, flow);
	decision.verdict = (double)admission->now_ms + WAIT_DOUBT * in_ms <=
		(double)admission_request_give_up_ms(request)
	    ? ADMISSION_WAIT
	    : ADMISSION_REFUSE;
	decision.retry_after_ms = (int64_t)ceil(
	    fmin(fmax(in_ms, fmax(admission->wait_ms, 1)), RETRY_AFTER_MAX_MS));
	return decision;
}

/* The flow of a request that was counted before. */
static fair_share_flow_t *
flow_of(service_admission_t *admission, const admission_request_t *request)
{
	fair_share_flow_t *flow = fair_share_find(
	    &admission->shares, request->organisation, request->rank);

	if (flow != NULL)
		return flow;
	return fair_share_arrive(&admission->shares, request->organisation,
	    request->rank, service_admission_cost_ms(admission, request),
	    admission->now_ms);
}

void
service_admission_charge(service_admission_t *admission,
    const admission_request_t *request, int64_t now_ms)
{
	double cost_ms = service_admission_cost_ms(admission, request);

	now_advance(admission, now_ms);
	control(admission);
	charge(admission,
	    fair_share_arrive(&admission->shares, request->organisation,
		request->rank, cost_ms, admission->now_ms),
	    cost_ms);
}

bool
service_admission_try(service_admission_t *admission,
    const admission_request_t *request, int64_t now_ms)
{
	double cost_ms = service_admission_cost_ms(admission, request);
	fair_share_flow_t *flow;

	now_advance(admission, now_ms);
	control(admission);
	flow = flow_of(admission, request);
	if (!must_send(admission, flow, false) &&
	    credit_in_ms(admission, flow, cost_ms, false) > 0)
		return false;
	charge(admission, flow, cost_ms);
	return true;
}

int64_t
service_admission_credit_at(service_admission_t *admission,
    const admission_request_t *request, int64_t now_ms)
{
	fair_share_flow_t *flow;
	double in_ms;

	now_advance(admission, now_ms);
	control(admission);
	flow = flow_of(admission, request);
	if (must_send(admission, flow, false))
		return admission->now_ms;
	in_ms = credit_in_ms(admission, flow,
	    service_admission_cost_ms(admission, request), false);
	return admission->now_ms + (int64_t)ceil(fmin(in_ms, CONTROL_MS));
}

void
service_admission_add_waiting(service_admission_t *admission,
    const admission_request_t *request, bool waits)
{
	double cost_ms = service_admission_cost_ms(admission, request);
	fair_share_flow_t *flow = fair_share_find(
	    &admission->shares, request->organisation, request->rank);

	/* A flow that was replaced meanwhile has no account any more. */
	if (flow == NULL)
		return;
	admission->waiting_ms =
	    fmax(admission->waiting_ms + (waits ? cost_ms : -cost_ms), 0);
	flow->waiting_ms =
	    fmax(flow->waiting_ms + (waits ? cost_ms : -cost_ms), 0);
}

int64_t
admission_request_give_up_ms(const admission_request_t *request)
{
	int64_t margin_ms =
	    (int64_t)(WAIT_TARGET * (double)request->objective_ms);

	if (margin_ms <= 0)
		return request->latest_start_ms;
	if (request->latest_start_ms < INT64_MIN + margin_ms)
		return INT64_MIN;
	return request->latest_start_ms - margin_ms;
}
