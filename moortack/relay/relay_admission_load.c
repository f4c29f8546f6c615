#include "relay_admission.h"

#include <math.h>
#include <string.h>

#include "moortack/relay/caller_targets.h"

#define MS_PER_SEC 1000
/* The endpoints of a service and the daemons are counted at most this often,
 * and only while endpoints report that requests wait. */
#define CAPACITY_INTERVAL_MS 1000
#define LOG_INTERVAL_MS 1000
/* The next time to send a waiting request is computed again for news of the
 * load at most this often, since that looks at all that wait. */
#define ARM_INTERVAL_MS 20
/* Weight of one request in the moving averages of a service. Callers decide
 * whether a request has a prompt, so one of them must not change how the
 * capacity is computed. */
#define SAMPLE_WEIGHT 0.02
#define PROMPT_SHARE_MIN 0.5
/* A request that waited takes no longer than this times the known time, unless
 * that is wrong. */
#define SERVICE_TIME_WRONG 3

int64_t
relay_admission_now_ms(const relay_t *relay)
{
	return timespec_to_ms(clock_boottime(relay->clock));
}

service_state_t *
relay_admission_state(const relay_request_t *req)
{
	return req->relay->bounds.admission && req->service != NULL
	    ? relay_service_state(req->relay, req->service)
	    : NULL;
}

bool
relay_admission_is_crowded(const relay_request_t *req)
{
	const service_state_t *state = relay_admission_state(req);

	return state != NULL &&
	    service_admission_is_crowded(
		&state->admission, relay_admission_now_ms(req->relay));
}

static bool
has_prompts(const service_state_t *state)
{
	return state->prompt_share > PROMPT_SHARE_MIN;
}

void
relay_admission_count_prompt(service_state_t *state, const relay_request_t *req)
{
	state->prompt_share += SAMPLE_WEIGHT *
	    ((req->arrival.parts_len > 0 ? 1 : 0) - state->prompt_share);
}

/* Endpoint time per second of all endpoints that accept requests. A plain
 * endpoint processes one request per slot; a model engine prefills one prompt
 * at a time. */
void
relay_admission_update_capacity(service_state_t *state, int64_t now)
{
	const relay_t *relay = state->relay;
	const endpoint_group_t *group =
	    endpoint_set_find_group(relay->endpoints, state->service);
	double parallel = 0;

	if (now < state->capacity_at_ms + CAPACITY_INTERVAL_MS &&
	    state->capacity_at_ms != 0)
		return;
	state->capacity_at_ms = now;
	for (size_t i = 0; group != NULL && i < group->len; i++) {
		const endpoint_t *endpoint = group->ring[i];

		if (!endpoint_accepts_requests(endpoint))
			continue;
		parallel += has_prompts(state) ? 1 : endpoint->info.slots;
	}
	service_admission_set_capacity(&state->admission, parallel * MS_PER_SEC,
	    (uint32_t)caller_targets_count(relay->members, !relay->draining));
}

static void
crowded_log(service_state_t *state, int64_t now)
{
	const service_admission_t *admission = &state->admission;
	bool crowded = service_admission_is_crowded(admission, now);

	if ((!crowded && !state->crowded_logged) ||
	    (now < state->crowded_logged_ms + LOG_INTERVAL_MS &&
		state->crowded_logged_ms != 0))
		return;
	state->crowded_logged = crowded;
	state->crowded_logged_ms = now;
	event_log_write(state->relay->log, crowded ? "crowded" : "crowded_over",
	    "service=%s wait_ms=%.0f rate=%.0f capacity=%.0f daemons=%u "
	    "above_share=%zu waiting=%u service_ms=%.1f",
	    state->service, service_admission_wait_ms(admission, now),
	    admission->rate_ms_per_s, admission->capacity_ms_per_s,
	    admission->daemons, service_admission_above_share(admission, now),
	    state->wait_queue.count, admission->service_ms);
}

/* Prefill time with nothing cached. Callers state the number of tokens:
 * bounded, so that one wrong number does not decide what all others cost. */
static double
prefill_full_ms(const relay_request_t *req)
{
	return fmin(
	    relay_prefill_ms(req), (double)req->route->latency_objective_ms);
}

/* Endpoint time that the request takes; 0: as usual for the service. Most of a
 * prompt may be cached where it is sent, as it was for those before it. */
double
relay_admission_cost_ms(
    const relay_request_t *req, const service_state_t *state)
{
	if (!has_prompts(state) || req->arrival.parts_len == 0)
		return 0;
	return state->prefill_full_ms > 0 ? prefill_full_ms(req) *
		state->prefill_uncached_ms / state->prefill_full_ms
					  : prefill_full_ms(req);
}

/* Averages how much of a prompt's prefill is left where it is sent. */
static void
prefill_observe(service_state_t *state, const relay_request_t *req)
{
	state->prefill_full_ms =
	    (1 - SAMPLE_WEIGHT) * state->prefill_full_ms + prefill_full_ms(req);
	state->prefill_uncached_ms =
	    (1 - SAMPLE_WEIGHT) * state->prefill_uncached_ms +
	    fmin(req->attempt.placement.prefill_ms, prefill_full_ms(req));
}

/* Requests that wait at the endpoint, in rounds of its slots. */
static double
response_rounds(const relay_request_t *req)
{
	const endpoint_load_t *load = &req->attempt.response.load;

	return load->slots > 0 ? (double)load->waiting / load->slots : 0;
}

/* The wait at the endpoint that the response's load means. */
static double
response_wait_ms(const service_state_t *state, const relay_request_t *req)
{
	return has_prompts(state) && req->arrival.parts_len > 0
	    ? req->attempt.placement.queue_wait_ms
	    : response_rounds(req) * state->admission.service_ms;
}

/* Learns the time that a request takes from responses that are unlikely to have
 * waited, as a slot is free now. Until there is one, or if the time known so
 * far is far too short, from the others: they took this time, and the wait for
 * as many requests as wait now. The head of a stream says nothing of its time.
 */
static void
service_time_observe(service_state_t *state, const relay_request_t *req,
    double busy, int64_t now)
{
	double ms = req->attempt.first_byte_ms;
	double wait_ms = response_wait_ms(state, req);
	bool waited = wait_ms > 0 || response_rounds(req) > 0 || busy >= 1;

	if (!has_prompts(state) && req->route->kind == ROUTE_STREAM)
		return;
	ms = has_prompts(state) ? fmax(ms - wait_ms, 0)
				: ms / (1 + response_rounds(req));
	if (waited && state->service_measured &&
	    ms < SERVICE_TIME_WRONG * state->admission.service_ms)
		return;
	state->service_measured = !waited;
	service_admission_observe_service_ms(&state->admission, ms, now);
}

static void
load_observe(
    service_state_t *state, const relay_request_t *req, int status, int64_t now)
{
	const endpoint_load_t *load = &req->attempt.response.load;
	double busy = load->slots > 0 ? (double)load->running / load->slots : 0;
	double wait_ms;

	if (status_is_success(status))
		service_time_observe(state, req, busy, now);
	wait_ms = response_wait_ms(state, req);
	if (wait_ms > 0)
		relay_admission_update_capacity(state, now);
	service_admission_observe(
	    &state->admission, wait_ms, fmin(busy, 1), now);
}

/* Whether the endpoint has no room: one that names a time to retry after is
 * left out for that time. */
static bool
refused_as_full(const endpoint_response_t *response, int status)
{
	return response->not_run &&
	    status == err_info(ERR_OVERLOAD)->http_status &&
	    response->notice.backoff_ms == 0;
}

void
relay_admission_observe(relay_request_t *req, int status)
{
	const endpoint_response_t *response = &req->attempt.response;
	service_state_t *state = relay_admission_state(req);
	int64_t now;

	if (state == NULL || response->wrong_endpoint)
		return;
	now = relay_admission_now_ms(req->relay);
	if (req->arrival.parts_len > 0)
		prefill_observe(state, req);
	/* An endpoint without a queue is full with nothing that waits: its load
	 * must not take back what its refusal says. */
	if (refused_as_full(response, status)) {
		relay_admission_update_capacity(state, now);
		service_admission_observe_refusal(&state->admission, now);
	} else if (response->has_load) {
		load_observe(state, req, status, now);
	}
	crowded_log(state, now);
	if (state->wait_queue.count > 0 &&
	    (now >= state->armed_ms + ARM_INTERVAL_MS ||
		!service_admission_is_crowded(&state->admission, now)))
		relay_admission_arm_timer(state);
}

void
relay_admission_tick(relay_t *relay)
{
	int64_t now = relay_admission_now_ms(relay);

	for (service_state_t *state = relay->service_states; state != NULL;
	     state = state->hh.next)
		crowded_log(state, now);
}

uint32_t
relay_admission_waiting(const relay_t *relay)
{
	uint32_t count = 0;

	for (const service_state_t *state = relay->service_states;
	     state != NULL; state = state->hh.next)
		count += state->wait_queue.count;
	return count;
}

uint32_t
relay_admission_crowded(const relay_t *relay)
{
	int64_t now = relay_admission_now_ms(relay);
	uint32_t count = 0;

	for (const service_state_t *state = relay->service_states;
	     state != NULL; state = state->hh.next)
		count += service_admission_is_crowded(&state->admission, now);
	return count;
}
