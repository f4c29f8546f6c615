#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "relay_request.h"

/* Events after which the gap between the events of a response is reported,
 * while the response goes on. A version that is several times slower would
 * otherwise be noticed only at the end of its responses, which comes as much
 * later or never. */
#define GAP_EVENTS 5
/* Events from which a gap is reported at the end of a shorter response. */
#define GAP_EVENTS_MIN 4
/* Events after which the shortest gap is reported. */
#define SHORTEST_GAP_EVENTS 4
#define US_PER_MS 1000.0
/* If an endpoint responds within this time after a response was truncated or
 * never came, it is alive, and the failure is attributed to its version.
 * Otherwise it is down or can't be reached. */
#define DEFERRED_FAILURE_MAX_MS 2500

/* Mean time between the events of the attempt. */
static double
event_gap_ms(const relay_request_t *req)
{
	int64_t us = timespec_us_between(
	    req->first_event_at, clock_boottime(req->relay->clock));

	return (double)us / US_PER_MS / (req->attempt_events - 1);
}

/* The roll-out whose analysis the attempt is reported to, or NULL. */
static rollout_t *
rollout_of_attempt(const relay_request_t *req)
{
	rollout_t *rollout = rollouts_find(req->relay->rollouts, req->service);

	return rollout != NULL && rollout->order.number != 0 &&
		req->attempt.sent
	    ? rollout
	    : NULL;
}

/* 0: the caller does not say. */
static double
token_ratio(const arrival_t *arrival)
{
	return arrival->tokens_out_estimate > 0
	    ? (double)arrival->tokens_in / arrival->tokens_out_estimate
	    : 0;
}

static canary_observation_t
observation_make(const relay_request_t *req, canary_signal_t signal, double ms)
{
	const attempt_t *attempt = &req->attempt;

	return (canary_observation_t){.signal = signal,
	    .route = relay_route_hash(req->route),
	    .model = attempt->model != NULL
		? XXH3_64bits(attempt->model, strlen(attempt->model))
		: 0,
	    .is_new = attempt->new_version,
	    .stream = req->route->kind == ROUTE_STREAM,
	    .repeatable = request_idempotent(req),
	    .counted = attempt->guard_counted,
	    .endpoint = attempt->endpoint->hash,
	    .sent_at = attempt->sent_at,
	    .ms = ms,
	    .token_ratio = token_ratio(&req->arrival)};
}

/* Responses of endpoints that are put under load are late whatever their
 * version. With these latencies counted, 7 of
 * 18 good versions were reverted on the larger of the users' workloads.
 * So are those of an endpoint that is warming up. Failures are still due to the
 * version alone, so they are counted. */
static bool
signal_counts(const relay_request_t *req, canary_signal_t signal)
{
	const attempt_t *attempt = &req->attempt;

	if (signal == CANARY_FAILED)
		return true;
	if (timespec_ms_between(clock_boottime(req->relay->clock),
		attempt->endpoint->cold_until) > 0)
		return false;
	return !attempt->new_version || !attempt->puts_under_load;
}

/* How full the endpoints were at which the new version was observed. */
static void
load_record(const relay_request_t *req, rollout_t *rollout)
{
	const endpoint_t *endpoint = req->attempt.endpoint;
	uint32_t held = endpoint->load.running + endpoint->load.waiting;

	if (req->attempt.new_version && endpoint->load_reported)
		rollout_record_load(rollout, held, endpoint->info.slots);
}

static void
signal_report(relay_request_t *req, canary_signal_t signal, double ms)
{
	rollout_t *rollout = rollout_of_attempt(req);
	canary_observation_t observation = observation_make(req, signal, ms);

	if (rollout != NULL)
		load_record(req, rollout);
	if (rollout != NULL && !req->canary_failed &&
	    signal_counts(req, signal) &&
	    canary_analysis_observe(&rollout->canary, &observation,
		clock_boottime(req->relay->clock)))
		req->attempt.guard_counted = true;
}

/* Whether the service could not be reached at that time or later: the
 * connection may have been lost with the links. */
static bool
was_unreachable_since(const endpoint_t *endpoint, struct timespec at)
{
	const endpoint_group_t *group = endpoint->group;

	return group != NULL && group->unreachable_at.tv_sec != 0 &&
	    timespec_ms_between(at, group->unreachable_at) >= 0;
}

void
relay_canary_endpoint_alive(relay_request_t *req)
{
	endpoint_t *endpoint = req->attempt.endpoint;
	struct timespec now = clock_boottime(req->relay->clock);
	rollout_t *rollout = endpoint->suspected_failures_len > 0
	    ? rollouts_find(req->relay->rollouts, endpoint->info.service)
	    : NULL;

	if (rollout == NULL)
		return;
	for (size_t i = 0; i < endpoint->suspected_failures_len; i++) {
		const suspected_failure_t *failure =
		    &endpoint->suspected_failures[i];

		if (timespec_ms_between(failure->at, now) <
			DEFERRED_FAILURE_MAX_MS &&
		    !was_unreachable_since(endpoint, failure->at))
			canary_analysis_observe(
			    &rollout->canary, &failure->observation, now);
	}
	endpoint->suspected_failures_len = 0;
}

/* Time spent in the endpoint's queue is not due to its version. */
static double
without_queue_wait(const relay_request_t *req, double ms)
{
	return fmax(ms - req->attempt.placement.queue_wait_ms, 0);
}

/* Responses that are not streams have no gaps between events: their latencies
 * take the place of these in the comparison of the versions. */
void
relay_canary_first_byte(relay_request_t *req)
{
	double ms = without_queue_wait(req, req->attempt.first_byte_ms);

	if (req->attempt.guard_counted)
		return;
	signal_report(req, CANARY_FIRST_BYTE, ms);
	if (req->route->kind != ROUTE_STREAM)
		signal_report(req, CANARY_SHORTEST_GAP, ms);
}

static void
gap_report(relay_request_t *req)
{
	req->attempt.event_rate_reported = true;
	signal_report(req, CANARY_EVENT_GAP, event_gap_ms(req));
}

static void
shortest_gap_update(relay_request_t *req)
{
	attempt_t *attempt = &req->attempt;
	struct timespec now = clock_boottime(req->relay->clock);
	double ms =
	    (double)timespec_us_between(attempt->event_at, now) / US_PER_MS;

	if (req->attempt_events == 2 || ms < attempt->shortest_gap_ms)
		attempt->shortest_gap_ms = ms;
	attempt->event_at = now;
}

/* Gaps of a response that was not read for a while are its caller's. */
static void
shortest_gap_report(relay_request_t *req)
{
	req->attempt.shortest_gap_reported = true;
	if (!req->attempt.caller_was_slow)
		signal_report(
		    req, CANARY_SHORTEST_GAP, req->attempt.shortest_gap_ms);
}

void
relay_canary_event(relay_request_t *req)
{
	if (!req->attempt.shortest_gap_reported) {
		shortest_gap_update(req);
		if (req->attempt_events == SHORTEST_GAP_EVENTS)
			shortest_gap_report(req);
	}
	if (!req->attempt.event_rate_reported &&
	    req->attempt_events == GAP_EVENTS)
		gap_report(req);
}

void
relay_canary_completed(relay_request_t *req)
{
	relay_canary_first_byte(req);
	if (!req->attempt.event_rate_reported &&
	    req->attempt_events >= GAP_EVENTS_MIN)
		gap_report(req);
}

void
relay_canary_failed(relay_request_t *req)
{
	signal_report(req, CANARY_FAILED, 0);
	req->canary_failed = true;
}

void
relay_canary_defer_failure(relay_request_t *req)
{
	endpoint_t *endpoint = req->attempt.endpoint;

	/* A brittle endpoint falls whatever its version. */
	if (rollout_of_attempt(req) == NULL ||
	    endpoint_brittle_milli(endpoint) >= 0 ||
	    endpoint->suspected_failures_len == ENDPOINT_SUSPECTED_FAILURES_MAX)
		return;
	endpoint->suspected_failures[endpoint->suspected_failures_len++] =
	    (suspected_failure_t){
		.observation = observation_make(req, CANARY_FAILED, 0),
		.at = clock_boottime(req->relay->clock)};
}

/* Streams that end without a gap are in flight no longer. */
static bool
is_gapless(const relay_request_t *req)
{
	return req->route->kind == ROUTE_STREAM &&
	    !req->attempt.shortest_gap_reported;
}

void
relay_new_version_waiting(const void *arg, const rollout_t *rollout,
    struct timespec sent_before, canary_cohort_t *sum)
{
	const relay_t *relay = arg;

	for (const relay_request_t *req = relay->requests; req != NULL;
	     req = req->next) {
		const attempt_t *attempt = &req->attempt;

		if (attempt->endpoint == NULL || !attempt->sent ||
		    !attempt->new_version || attempt->puts_under_load ||
		    req->canary_failed ||
		    strcmp(attempt->endpoint->info.service,
			rollout->order.service) != 0 ||
		    timespec_ms_between(attempt->sent_at, sent_before) <= 0)
			continue;
		if (!attempt->head_received)
			sum->unanswered += !attempt->guard_counted;
		else
			sum->gapless += is_gapless(req);
	}
}

void
relay_canary_check_overdue(relay_t *relay)
{
	struct timespec now = clock_boottime(relay->clock);

	for (relay_request_t *req = relay->requests; req != NULL;
	     req = req->next) {
		const attempt_t *attempt = &req->attempt;

		if (attempt->endpoint != NULL && attempt->sent &&
		    !attempt->head_received && !attempt->guard_counted &&
		    relay_reach_has_contact(relay, attempt->endpoint))
			signal_report(req, CANARY_OVERDUE,
			    without_queue_wait(req,
				(double)timespec_ms_between(
				    attempt->sent_at, now)));
	}
}
