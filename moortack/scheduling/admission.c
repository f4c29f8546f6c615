#include "moortack/scheduling/admission.h"

#include <math.h>

#include "admission_load.h"

/* Requests that are sent on a report of free slots, until the next one. */
#define FREE_SENDS 1
/* With under half of the slots busy, the load does not fill them this soon. */
#define HALF_FREE 0.5
#define HALF_FREE_KNOWN_MS 200
/* How far the pool may be overdrawn, as a multiple of its maximum. */
#define OVERDRAWN_MAX 2.0
#define OVERDRAWN_ABOVE 0.5
/* Part of the rate by which an overdrawn pool grows at least, as estimated. */
#define SPARE_MIN 0.05
/* A request waits only if there would be time to wait for this many times as
 * long as expected: one that waits in vain is refused later than at once. */
#define WAIT_DOUBT 2.0
/* For how long the shortest objective holds after its last request. */
#define OBJECTIVE_KEPT_MS 10000
/* A daemon sends a request after this time, so that it learns the load. */
#define PROBE_MS 1000
#define RETRY_AFTER_MAX_MS 30000

size_t
service_admission_above_share(
    const service_admission_t *admission, int64_t now_ms)
{
	size_t count = 0;

	if (!service_admission_is_crowded(admission, now_ms))
		return 0;
	for (size_t i = 0; i < admission->shares.flow_count; i++) {
		const fair_share_flow_t *flow = &admission->shares.flows[i];

		count += fair_share_is_above(&admission->shares, flow,
		    admission_load_clamp(admission, now_ms));
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
	    !admission_load_is_known(admission, admission->now_ms))
		return false;
	if (admission->sent_since < FREE_SENDS)
		return true;
	return arrives && admission->last_busy < HALF_FREE &&
	    !admission_load_is_past(admission->observed_ms, admission->now_ms,
		HALF_FREE_KNOWN_MS + 1);
}

/* How far the pool may be overdrawn: least by flows above their share, and by
 * lower ranks. What is overdrawn by chance would else be refused to the others.
 */
static double
pool_min_ms(const service_admission_t *admission, const fair_share_flow_t *flow,
    bool above)
{
	double max_ms = admission_load_pool_max_ms(admission);

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
	    fmin(cost_ms, admission_load_usual_cost_ms(admission)))
		return 0;
	if (above && missing > 0)
		in_ms = missing * MS_PER_S / shares->levels[flow->rank];
	if (pool_missing <= 0)
		return in_ms;
	if (above || flow->rank > shares->top_rank) {
		/* Growth is shared with the requests that wait. */
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
	*floor_ms = fmax(*floor_ms - cost_ms,
	    -fmax(cost_ms, admission_load_usual_cost_ms(admission)));
	admission->pool_ms = fmax(admission->pool_ms - cost_ms,
	    -OVERDRAWN_MAX * admission_load_pool_max_ms(admission) -
		fmax(cost_ms, admission_load_usual_cost_ms(admission)));
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
	    admission_load_is_past(
		admission->sent_ms, admission->now_ms, PROBE_MS))
		return true;
	return slots_are_free(admission, arrives) &&
	    !is_in_debt(admission, flow);
}

/* The time to the next place, and at least the time that what waits takes. */
static int64_t
retry_after_ms(const service_admission_t *admission, double in_ms)
{
	double drain_ms = admission->wait_ms +
	    admission->waiting_ms * MS_PER_S / admission->rate_ms_per_s;

	return (int64_t)ceil(
	    fmin(fmax(in_ms, fmax(drain_ms, 1)), RETRY_AFTER_MAX_MS));
}

admission_decision_t
service_admission_decide(service_admission_t *admission,
    const admission_request_t *request, int64_t now_ms)
{
	double cost_ms = service_admission_cost_ms(admission, request);
	admission_decision_t decision = {ADMISSION_SEND, 0, ADMISSION_SHARE};
	fair_share_flow_t *flow;
	double in_ms;

	admission_load_advance(admission, now_ms);
	objective_note(admission, request->objective_ms);
	admission_load_note_cost(admission, cost_ms);
	flow = fair_share_arrive(&admission->shares, request->organisation,
	    request->rank, cost_ms, admission->now_ms);
	admission_load_control(admission);
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
	decision.retry_after_ms = retry_after_ms(admission, in_ms);
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

	admission_load_advance(admission, now_ms);
	admission_load_control(admission);
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

	admission_load_advance(admission, now_ms);
	admission_load_control(admission);
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

	admission_load_advance(admission, now_ms);
	admission_load_control(admission);
	flow = flow_of(admission, request);
	if (must_send(admission, flow, false))
		return admission->now_ms;
	in_ms = credit_in_ms(admission, flow,
	    service_admission_cost_ms(admission, request), false);
	return admission->now_ms + (int64_t)ceil(fmin(in_ms, CONTROL_MS));
}

int64_t
service_admission_retry_after_ms(service_admission_t *admission,
    const admission_request_t *request, int64_t now_ms)
{
	admission_load_advance(admission, now_ms);
	admission_load_control(admission);
	if (!admission->crowded)
		return 0;
	return retry_after_ms(admission,
	    credit_in_ms(admission, flow_of(admission, request),
		service_admission_cost_ms(admission, request), false));
}

void
service_admission_add_waiting(service_admission_t *admission,
    const admission_request_t *request, bool waits)
{
	double cost_ms = service_admission_cost_ms(admission, request);
	fair_share_flow_t *flow = fair_share_find(
	    &admission->shares, request->organisation, request->rank);

	if (!waits)
		cost_ms = -cost_ms;
	admission->waiting_count += waits ? 1 : -1;
	/* Without the remainder of rounding, which would count as waiting. */
	admission->waiting_ms = admission->waiting_count == 0
	    ? 0
	    : fmax(admission->waiting_ms + cost_ms, 0);
	/* A flow that was replaced meanwhile has no account any more. */
	if (flow != NULL)
		flow->waiting_ms = fmax(flow->waiting_ms + cost_ms, 0);
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
