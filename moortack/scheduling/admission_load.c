#include "admission_load.h"

#include <math.h>
#include <string.h>

/* The wait is followed upwards within about two service times of a plain
 * service, and downwards more slowly, so that one idle endpoint does not end
 * the control for all. */
#define WAIT_RISE_MS 100.0
#define WAIT_FALL_MS 500.0
#define CROWDED_END_MS 500
/* Assumed wait at an endpoint that refused a request as full. */
#define REFUSED_WAIT 0.5
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
#define SERVICE_WEIGHT 0.1
#define COST_WEIGHT 0.02

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

int64_t
admission_load_advance(service_admission_t *admission, int64_t now_ms)
{
	if (now_ms > admission->now_ms)
		admission->now_ms = now_ms;
	return admission->now_ms;
}

int64_t
admission_load_clamp(const service_admission_t *admission, int64_t now_ms)
{
	return now_ms > admission->now_ms ? now_ms : admission->now_ms;
}

bool
admission_load_is_past(int64_t at_ms, int64_t now_ms, int64_t age_ms)
{
	return at_ms == INT64_MIN || now_ms - at_ms >= age_ms;
}

bool
admission_load_is_known(const service_admission_t *admission, int64_t now_ms)
{
	return !admission_load_is_past(
	    admission->observed_ms, now_ms, KNOWN_MS + 1);
}

bool
service_admission_is_crowded(
    const service_admission_t *admission, int64_t now_ms)
{
	return admission->crowded &&
	    admission_load_is_known(
		admission, admission_load_clamp(admission, now_ms));
}

double
service_admission_wait_ms(const service_admission_t *admission, int64_t now_ms)
{
	if (!admission_load_is_known(
		admission, admission_load_clamp(admission, now_ms)))
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

double
admission_load_usual_cost_ms(const service_admission_t *admission)
{
	if (admission->cost_ms <= 0)
		return fmax(admission->service_ms, 1);
	return admission->cost_square / admission->cost_ms;
}

void
admission_load_note_cost(service_admission_t *admission, double cost_ms)
{
	if (admission->cost_ms <= 0) {
		admission->cost_ms = cost_ms;
		admission->cost_square = cost_ms * cost_ms;
	}
	admission->cost_ms += COST_WEIGHT * (cost_ms - admission->cost_ms);
	admission->cost_square +=
	    COST_WEIGHT * (cost_ms * cost_ms - admission->cost_square);
}

double
admission_load_pool_max_ms(const service_admission_t *admission)
{
	double cost_ms = admission_load_usual_cost_ms(admission);

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
	    admission_load_pool_max_ms(admission));
	for (size_t i = 0; i < FAIR_SHARE_RANKS; i++)
		admission->floors_ms[i] = fmin(admission->floors_ms[i] +
			FAIR_SHARE_RANK_FLOOR * admission->rate_ms_per_s *
			    (double)age_ms / MS_PER_S,
		    admission_load_usual_cost_ms(admission));
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

	/* An unused rate is not raised. */
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
	double filled =
	    admission->pool_ms / admission_load_pool_max_ms(admission);

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

	if (!admission_load_is_known(admission, admission->now_ms) ||
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
	    admission->waiting_count > 0 ||
	    !admission_load_is_past(
		admission->held_ms, admission->now_ms, CROWDED_END_MS)) {
		admission->calm_since_ms = INT64_MIN;
		return;
	}
	if (admission->calm_since_ms == INT64_MIN)
		admission->calm_since_ms = admission->now_ms;
	if (admission->now_ms - admission->calm_since_ms >= CROWDED_END_MS)
		admission->crowded = false;
}

void
admission_load_control(service_admission_t *admission)
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

	if (!admission_load_is_known(admission, admission->now_ms)) {
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
	admission_load_advance(admission, now_ms);
	wait_smooth(admission, fmax(wait_ms, 0), fmax(fmin(busy, 1), 0));
	admission_load_control(admission);
}

void
service_admission_observe_refusal(
    service_admission_t *admission, int64_t now_ms)
{
	double wait_ms = REFUSED_WAIT * (double)admission->objective_ms;

	admission_load_advance(admission, now_ms);
	if (admission_load_is_known(admission, admission->now_ms))
		wait_ms = fmax(wait_ms, admission->wait_ms);
	wait_smooth(admission, wait_ms, 1);
	admission_load_control(admission);
}

void
service_admission_observe_service_ms(
    service_admission_t *admission, double ms, int64_t now_ms)
{
	admission_load_advance(admission, now_ms);
	if (!isfinite(ms) || ms <= 0)
		return;
	ms = fmin(ms, COST_MAX_MS);
	if (admission->service_ms <= 0)
		admission->service_ms = ms;
	admission->service_ms += SERVICE_WEIGHT * (ms - admission->service_ms);
}
