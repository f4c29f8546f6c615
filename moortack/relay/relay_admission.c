#include "relay_admission.h"

#include <inttypes.h>
#include <math.h>
#include <stddef.h>
#include <string.h>
#include <xxhash.h>

#define MS_PER_SEC 1000
#define US_PER_MS 1000
/* Retry-After is multiplied by a random factor from 1 to 2, in thousandths. */
#define JITTER_MILLI 1000

static const char *const reason_names[] = {
    [ADMISSION_FREE] = "free",
    [ADMISSION_SHARE] = "share",
    [ADMISSION_ABOVE_SHARE] = "above_share",
    [ADMISSION_RANK] = "rank",
    [ADMISSION_LATE] = "late",
};

void
relay_admission_init(relay_t *relay, service_state_t *state)
{
	state->relay = relay;
	service_admission_init(&state->admission);
	wait_queue_init(
	    &state->wait_queue, &state->admission, relay->bounds.waiting_max);
}

void
relay_admission_finish(service_state_t *state)
{
	if (state->wait_timer != NULL)
		event_free(state->wait_timer);
	service_admission_finish(&state->admission);
}

static admission_request_t
request_describe(
    const relay_request_t *req, const service_state_t *state, int64_t now)
{
	const relay_organisation_t *organisation = req->organisation;
	double cost_ms = relay_admission_cost_ms(req, state);
	double left_ms = (double)request_remaining_ms(req);
	int64_t objective_ms = req->route->latency_objective_ms;

	if (objective_ms > 0)
		left_ms = fmin(left_ms,
		    (double)objective_ms - request_since_first_try_ms(req));
	left_ms -= cost_ms > 0 ? cost_ms : state->admission.service_ms;
	return (admission_request_t){.organisation = organisation != NULL
		? XXH3_64bits(organisation->name, strlen(organisation->name))
		: 0,
	    .rank = request_rank(req),
	    .cost_ms = cost_ms,
	    .objective_ms = objective_ms,
	    .latest_start_ms = now + (int64_t)left_ms};
}

/* Whether the attempt is sent at once and only counted: a refusal could not
 * promise that the request has not run, or another daemon has admitted it. */
static bool
is_never_held(const relay_request_t *req)
{
	return req->response_started || req->may_have_run || req->from_daemon;
}

void
relay_admission_arm_timer(service_state_t *state)
{
	int64_t now = relay_admission_now_ms(state->relay);
	int64_t next = wait_queue_next_ms(&state->wait_queue, now);
	/* Never at once, so that the timer cannot keep the daemon busy. */
	int64_t ms = next > now ? next - now : 1;
	struct timeval delay = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	if (state->wait_timer == NULL)
		return;
	state->armed_ms = now;
	if (next == INT64_MAX)
		event_del(state->wait_timer);
	else
		event_add(state->wait_timer, &delay);
}

/* The request has left the queue. */
static void
wait_end(relay_request_t *req)
{
	int64_t ms =
	    relay_admission_now_ms(req->relay) - req->wait_entry.added_ms;

	req->waits_at = NULL;
	req->waited_ms += ms;
	stats_observe(&req->relay->stats.waited_ms, (double)ms);
}

static relay_request_t *
entry_request(wait_entry_t *entry)
{
	return (relay_request_t *)((char *)entry -
	    offsetof(relay_request_t, wait_entry));
}

/* Authorize the request again and send it. It may have ended afterwards. */
static void
wait_send(service_state_t *state, wait_entry_t *entry)
{
	relay_request_t *req = entry_request(entry);

	wait_end(req);
	req->admitted_at = state;
	stats_add(&req->relay->stats, STAT_ADMITTED_AFTER_WAIT, 1);
	attempt_begin(req);
}

/* The same for a request that got no place in time: it is refused unless its
 * service has changed. */
static void
wait_expire(service_state_t *state, wait_entry_t *entry)
{
	relay_request_t *req = entry_request(entry);

	wait_end(req);
	req->expired_at = state;
	attempt_begin(req);
}

static void
on_wait_timer(evutil_socket_t fd, short what, void *arg)
{
	service_state_t *state = arg;
	wait_queue_t *queue = &state->wait_queue;
	wait_entry_t *entry;

	(void)fd;
	(void)what;
	/* The responses to these may bring their callers' next requests, which
	 * wait for the next time. */
	for (uint32_t left = queue->count; left > 0; left--) {
		entry =
		    wait_queue_pop(queue, relay_admission_now_ms(state->relay));
		if (entry == NULL)
			break;
		wait_send(state, entry);
	}
	for (uint32_t left = queue->count; left > 0; left--) {
		entry = wait_queue_pop_late(
		    queue, relay_admission_now_ms(state->relay));
		if (entry == NULL)
			break;
		wait_expire(state, entry);
	}
	relay_admission_arm_timer(state);
}

static void
refusal_count(relay_stats_t *stats, admission_reason_t reason)
{
	switch (reason) {
	case ADMISSION_RANK:
		stats_add(stats, STAT_REFUSED_RANK, 1);
		break;
	case ADMISSION_LATE:
		stats_add(stats, STAT_REFUSED_LATE, 1);
		break;
	default:
		stats_add(stats, STAT_REFUSED_ABOVE_SHARE, 1);
		break;
	}
}

/* Nothing of the request was sent, or all endpoints that got it have reported
 * that they did not run it. */
static void
request_refuse(
    relay_request_t *req, const admission_decision_t *decision, const char *why)
{
	relay_t *relay = req->relay;
	int64_t ms = decision->retry_after_ms;

	if (ms > 0) {
		req->retry_after_ms = ms +
		    ms * rng_below(relay->rng, JITTER_MILLI) / JITTER_MILLI;
		req->retry_after_final = true;
	}
	request_fail(req, ERR_OVERLOAD, why);
}

static bool
wait_begin(relay_request_t *req, service_state_t *state,
    const admission_request_t *request, const admission_decision_t *decision)
{
	relay_t *relay = req->relay;
	int64_t now = relay_admission_now_ms(relay);

	/* Another daemon is the better place to wait at. */
	if (relay->draining)
		return false;
	if (state->wait_timer == NULL)
		state->wait_timer =
		    evtimer_new(relay->base, on_wait_timer, state);
	req->wait_entry = (wait_entry_t){.request = *request};
	if (state->wait_timer == NULL ||
	    !wait_queue_add(&state->wait_queue, &req->wait_entry, now))
		return false;
	relay_query_end(req);
	req->waits_at = state;
	stats_add(&relay->stats, STAT_WAITED, 1);
	event_log_write(relay->log, "wait",
	    "id=%s service=%s organisation=%s rank=%d why=%s place_ms=%" PRId64
	    " slack_ms=%" PRId64 " waiting=%u",
	    req->arrival.id, state->service,
	    req->organisation != NULL ? req->organisation->name : "-",
	    request->rank, reason_names[decision->reason],
	    decision->retry_after_ms, request->latest_start_ms - now,
	    state->wait_queue.count);
	relay_admission_arm_timer(state);
	return true;
}

/* The request got no place in time. */
static void
expired_refuse(relay_request_t *req, service_state_t *state)
{
	int64_t now = relay_admission_now_ms(req->relay);
	admission_decision_t decision = {.reason = req->admission_reason};

	decision.retry_after_ms = service_admission_retry_after_ms(
	    &state->admission, &req->wait_entry.request, now);
	refusal_count(&req->relay->stats, decision.reason);
	request_refuse(req, &decision, reason_names[decision.reason]);
}

bool
relay_admission_pass(relay_request_t *req)
{
	service_state_t *state = relay_admission_state(req);
	admission_request_t request;
	admission_decision_t decision;
	int64_t now;

	relay_admission_leave(req);
	if (state == NULL || req->admitted_at == state)
		return true;
	now = relay_admission_now_ms(req->relay);
	relay_admission_count_prompt(state, req);
	request = request_describe(req, state, now);
	if (is_never_held(req)) {
		service_admission_charge(&state->admission, &request, now);
		req->admitted_at = state;
		return true;
	}
	if (req->expired_at == state) {
		expired_refuse(req, state);
		return false;
	}
	if (service_admission_is_crowded(&state->admission, now))
		relay_admission_update_capacity(state, now);
	decision = service_admission_decide(&state->admission, &request, now);
	req->admission = reason_names[decision.reason];
	req->admission_reason = decision.reason;
	if (decision.verdict == ADMISSION_SEND) {
		req->admitted_at = state;
		return true;
	}
	if (decision.verdict == ADMISSION_WAIT) {
		if (wait_begin(req, state, &request, &decision))
			return false;
		stats_add(&req->relay->stats, STAT_REFUSED_QUEUE_FULL, 1);
		request_refuse(req, &decision, "queue_full");
		return false;
	}
	refusal_count(&req->relay->stats, decision.reason);
	request_refuse(req, &decision, reason_names[decision.reason]);
	return false;
}

bool
relay_admission_allows_escalation(relay_request_t *req)
{
	service_state_t *state = relay_admission_state(req);
	admission_request_t request;
	admission_decision_t decision;
	int64_t now;

	if (state == NULL)
		return true;
	now = relay_admission_now_ms(req->relay);
	request = request_describe(req, state, now);
	decision = service_admission_decide(&state->admission, &request, now);
	if (decision.verdict != ADMISSION_SEND) {
		stats_add(&req->relay->stats, STAT_ESCALATIONS_WITHHELD, 1);
		return false;
	}
	req->admitted_at = state;
	return true;
}

void
relay_admission_attempt_over(relay_request_t *req, attempt_outcome_t outcome)
{
	/* It was sent after its wait, through another daemon. */
	req->expired_at = NULL;
	/* An escalation was admitted before the attempt ended. */
	if (outcome == ATTEMPT_NOT_SENT || outcome == ATTEMPT_ESCALATED ||
	    (outcome == ATTEMPT_NOT_RUN &&
		req->attempt.response.wrong_endpoint))
		return;
	req->admitted_at = NULL;
}

void
relay_admission_leave(relay_request_t *req)
{
	service_state_t *state = req->waits_at;

	if (state == NULL)
		return;
	wait_queue_remove(&state->wait_queue, &req->wait_entry);
	wait_end(req);
}

void
relay_admission_send_all(relay_t *relay)
{
	for (service_state_t *state = relay->service_states; state != NULL;
	     state = state->hh.next) {
		wait_entry_t *entry;

		for (uint32_t left = state->wait_queue.count; left > 0;
		     left--) {
			entry = wait_queue_pop_any(&state->wait_queue);
			if (entry == NULL)
				break;
			wait_send(state, entry);
		}
	}
}
