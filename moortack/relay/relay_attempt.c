#include "relay_admission.h"
#include "relay_brittle.h"
#include "relay_rate_limit.h"
#include "relay_warmup.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* An endpoint that is up accepts within a few ms, one that is down never. */
#define CONNECT_TIMEOUT_MS 300
/* How long an idle connection is used if the endpoint does not announce its
 * idle timeout, which is under a second then. */
#define IDLE_DEFAULT_MS 350
/* A request that is not idempotent must not be lost on a connection that was
 * closed unnoticed: it reuses only one that was idle for less than this. */
#define IDLE_UNSAFE_MS 500

/* Whether the attempt is at an endpoint that a roll-out in progress replaces,
 * or that the next roll-out will replace. */
static bool
attempt_on_old_version(const relay_request_t *req)
{
	const endpoint_t *endpoint = req->attempt.endpoint;
	const rollout_t *rollout =
	    rollouts_find(req->relay->rollouts, endpoint->info.service);

	return rollout == NULL || !rollout_is_active(rollout) ||
	    !rollout_is_new_version(rollout, endpoint);
}

/* The session is served by the old version as long as the attempt lasts. */
static void
session_record(const relay_request_t *req)
{
	if (req->arrival.session != NULL && attempt_on_old_version(req))
		rollouts_record_old_session(
		    req->relay->rollouts, req->split_hash);
}

void
relay_sessions_record(const relay_t *relay)
{
	for (const relay_request_t *req = relay->requests; req != NULL;
	     req = req->next) {
		if (req->attempt.endpoint != NULL)
			session_record(req);
	}
}

uint32_t
relay_old_version_in_flight(
    const void *arg, const rollout_t *rollout, uint64_t route)
{
	const relay_t *relay = arg;
	uint32_t count = 0;

	for (const relay_request_t *req = relay->requests; req != NULL;
	     req = req->next) {
		const endpoint_t *endpoint = req->attempt.endpoint;

		if (endpoint != NULL &&
		    strcmp(endpoint->info.service, rollout->order.service) ==
			0 &&
		    !rollout_is_new_version(rollout, endpoint) &&
		    (route == 0 || relay_route_hash(req->route) == route))
			count++;
	}
	return count;
}

uint32_t
relay_new_version_slots(const void *arg, const rollout_t *rollout)
{
	const relay_t *relay = arg;
	const endpoint_group_t *group =
	    endpoint_set_find_group(relay->endpoints, rollout->order.service);

	for (size_t i = 0; group != NULL && i < group->len; i++) {
		if (rollout_is_new_version(rollout, group->ring[i]))
			return group->ring[i]->info.slots;
	}
	return 0;
}

bool
relay_new_version_is_one_group(const void *arg, const rollout_t *rollout)
{
	const relay_t *relay = arg;
	const endpoint_group_t *group =
	    endpoint_set_find_group(relay->endpoints, rollout->order.service);
	const endpoint_t *first = NULL;

	for (size_t i = 0; group != NULL && i < group->len; i++) {
		const endpoint_t *endpoint = group->ring[i];

		if (!rollout_is_new_version(rollout, endpoint))
			continue;
		if (first == NULL)
			first = endpoint;
		if (canary_group(endpoint->hash) != canary_group(first->hash))
			return false;
	}
	return first != NULL;
}

const char *
relay_group_replaced_version(
    const void *arg, const char *service, const char *new_version)
{
	const relay_t *relay = arg;
	endpoint_group_t *group =
	    endpoint_set_find_group(relay->endpoints, service);

	return group != NULL
	    ? endpoint_group_replaced_version(group, new_version)
	    : "";
}

/* The attempt no longer counts as load of its endpoint. */
static void
attempt_release_load(relay_request_t *req)
{
	attempt_t *attempt = &req->attempt;

	prefill_queue_cancel(&attempt->endpoint->prefill_queue,
	    &attempt->prefill_entry,
	    (double)timespec_to_ms(clock_boottime(req->relay->clock)));
	if (!req->attempt.sent)
		return;
	session_record(req);
	endpoint_request_ended(req->attempt.endpoint);
}

static void
attempt_clear(relay_request_t *req)
{
	if (req->silence_timer != NULL)
		event_del(req->silence_timer);
	relay_brittle_resolve(req, false);
	endpoint_release(req->attempt.endpoint);
	req->attempt = (attempt_t){0};
}

void
attempt_cancel(relay_request_t *req)
{
	attempt_t *attempt = &req->attempt;

	relay_query_end(req);
	if (attempt->forwarded) {
		relay_forward_cancel(req);
		return;
	}
	if (attempt->endpoint == NULL)
		return;
	if (attempt->sent && !attempt->head_received)
		relay_model_no_response(req);
	if (attempt->sent && !attempt->connection_lost && !attempt->completed)
		relay_attempt_abandoned(req);
	attempt_release_load(req);
	attempt->endpoint->connections--;
	http_outbound_free(attempt->conn);
	attempt_clear(req);
}

void
attempt_release(relay_request_t *req)
{
	attempt_t *attempt = &req->attempt;
	int64_t idle_ms = attempt->response.idle_max_ms > 0
	    ? attempt->response.idle_max_ms
	    : IDLE_DEFAULT_MS;

	attempt->completed = true;
	if (attempt->forwarded) {
		relay_forward_cancel(req);
		return;
	}
	if (!http_outbound_reusable(attempt->conn) ||
	    attempt->response.closes_connection) {
		attempt_cancel(req);
		return;
	}
	attempt_release_load(req);
	endpoint_keep_connection(attempt->endpoint, attempt->conn, idle_ms);
	attempt_clear(req);
}

static bool
connection_acquire(relay_request_t *req, endpoint_t *endpoint)
{
	attempt_t *attempt = &req->attempt;
	relay_t *relay = req->relay;
	int64_t max_ms = request_idempotent(req) ? INT64_MAX : IDLE_UNSAFE_MS;

	attempt->conn = req->avoid_reuse
	    ? NULL
	    : endpoint_take_connection(endpoint, max_ms);
	attempt->reused = attempt->conn != NULL;
	if (attempt->reused)
		http_outbound_limit_silence(attempt->conn,
		    request_idempotent(req)
			? relay->bounds.reused_silence_timeout_ms
			: relay->bounds.silence_timeout_ms);
	if (attempt->conn == NULL) {
		stats_add(&relay->stats, STAT_CONNECTIONS, 1);
		attempt->conn = endpoint_connect(endpoint, relay->base,
		    CONNECT_TIMEOUT_MS, relay->bounds.silence_timeout_ms);
		if (attempt->conn == NULL)
			return false;
		endpoint->connections++;
	}
	attempt->endpoint = endpoint_hold(endpoint);
	return true;
}

static void
attempt_send(relay_request_t *req)
{
	attempt_t *attempt = &req->attempt;
	const http_msg_t *msg = http_inbound_request(req->caller);
	struct evbuffer *head = evbuffer_new();
	struct evbuffer *body = evbuffer_new();
	attempt_head_t info = {.request = msg,
	    .arrival = &req->arrival,
	    .endpoint = &attempt->endpoint->info,
	    .organisation =
		req->organisation != NULL ? req->organisation->name : NULL,
	    .model = attempt->model,
	    .remaining_ms = request_remaining_ms(req),
	    .resume = req->response_started,
	    .last_event_id = req->last_event_id,
	    .rank = request_rank(req),
	    .body_len = evbuffer_get_length(req->body),
	    .has_body =
		http_msg_field(msg, "Content-Length") != NULL || msg->chunked};

	req->relay->endpoint_dialect->write(&info, head);
	if (info.body_len > 0)
		evbuffer_add_buffer_reference(body, req->body);
	http_outbound_send(attempt->conn, &response_ops, req, head, body,
	    strcmp(msg->method, "HEAD") == 0);
	evbuffer_free(head);
	evbuffer_free(body);
}

/* Log the decision before the request is sent: if the VM is lost with the
 * request in flight, nothing else is left of it. */
static void
attempt_log(relay_request_t *req)
{
	const placement_t *placement = &req->attempt.placement;
	const relay_t *relay = req->relay;

	event_log_write(relay->log, "attempt",
	    "id=%s endpoint=%s version=%s zone=%s model=%s attempt=%u kept=%d "
	    "resume=%d "
	    "of=%zu cold=%zu limited=%zu back_off=%zu brittle=%zu told=%zu "
	    "load=%.0f "
	    "wait_ms=%.0f read_ms=%.0f first_ms=%.0f price=%.3f admission=%s "
	    "waited_ms=%" PRId64 " left_ms=%" PRId64 " config=%" PRIu64
	    " endpoints_age_ms=%" PRId64,
	    req->arrival.id, req->last_endpoint_id, req->last_endpoint_version,
	    placement->endpoint->info.zone,
	    req->attempt.model != NULL ? req->attempt.model : "-",
	    req->sends + req->connects_failed + 1, req->attempt.reused,
	    req->response_started, placement->candidates,
	    placement->cold_skipped, placement->limited_skipped,
	    placement->backoff_skipped, placement->brittle_skipped,
	    placement->owner_reports, placement->load, placement->queue_wait_ms,
	    placement->prefill_ms, placement->first_byte_ms,
	    relay_price(
		req->relay, req->service, placement->endpoint->info.zone),
	    req->admission != NULL ? req->admission : "-", req->waited_ms,
	    request_remaining_ms(req), req->config->version,
	    row_watch_age_ms(relay->endpoint_watch));
}

/* The configuration may have changed since the request was received: the
 * current one decides what may be sent. */
static err_code_t
request_reauthorize(relay_request_t *req)
{
	relay_t *relay = req->relay;
	const http_msg_t *msg = http_inbound_request(req->caller);
	const relay_organisation_t *organisation;
	const relay_route_t *route;
	const char *service;
	err_code_t code = relay_authorize(
	    relay, &req->arrival, msg->target, &route, &organisation);

	if (code != ERR_NONE || req->config == relay->config)
		return code;
	service = relay_route_service(route, req->split_hash);
	if (service == NULL || !relay_model_rebind(req, route))
		return ERR_NO_ENDPOINT;
	relay_config_release(req->config);
	req->config = relay_config_acquire(relay->config);
	req->route = route;
	req->organisation = organisation;
	req->service = service;
	return ERR_NONE;
}

static void
attempt_prepare(relay_request_t *req)
{
	err_code_t code = request_reauthorize(req);
	rollout_t *rollout;
	placement_t placement;
	const char *why;

	if (code != ERR_NONE) {
		attempt_conclude(req, code, "permit");
		return;
	}
	if (request_remaining_ms(req) < REQUEST_REMAINING_MIN_MS) {
		attempt_conclude(req, ERR_OVERLOAD, "no_time_left");
		return;
	}
	if (relay_quarantine_refuses(req)) {
		attempt_conclude(req, ERR_QUARANTINED, "quarantined");
		return;
	}
	if (relay_forward_wanted(req) && relay_forward_begin(req))
		return;
	if (!relay_admission_pass(req))
		return;
	req->attempt.model = relay_model_select(req);
	if (relay_query_owners(req))
		return;
	if (!relay_choose_endpoint(req, req->model_index, &placement, &why)) {
		attempt_refuse(req, placement.refusal, why);
		return;
	}
	relay_query_end(req);
	if (!relay_suspect_may_send(req)) {
		if (!relay_suspect_await_probe(req))
			attempt_refuse(req, ERR_NO_ENDPOINT, "last_endpoint");
		return;
	}
	req->placement = placement;
	strcpy(req->last_endpoint_id, placement.endpoint->info.id);
	strcpy(req->last_endpoint_version, placement.endpoint->info.version);
	if (!connection_acquire(req, placement.endpoint)) {
		attempt_refuse(req, ERR_NO_ENDPOINT, "no_socket");
		return;
	}
	rollout = rollouts_find(req->relay->rollouts, req->service);
	if (rollout != NULL && rollout->order.number != 0) {
		req->attempt.new_version =
		    rollout_is_new_version(rollout, placement.endpoint);
		req->attempt.puts_under_load =
		    rollout_loads(rollout, relay_route_hash(req->route));
	}
	relay_warmup_acquire(req);
	relay_rate_limit_acquire(req);
	relay_brittle_acquire(req);
	if (placement.cold_skipped > 0)
		stats_add(&req->relay->stats, STAT_COLD_PASSED_OVER, 1);
	if (placement.limited_skipped > 0)
		stats_add(&req->relay->stats, STAT_RATE_LIMITED_PASSED_OVER, 1);
	if (placement.brittle_skipped > 0)
		stats_add(&req->relay->stats, STAT_BRITTLE_PASSED_OVER, 1);
	if (placement.backoff_skipped > 0)
		stats_add(&req->relay->stats, STAT_BACKOFF_PASSED_OVER, 1);
	req->attempt.placement = placement;
	relay_placement_record(req, &placement, req->model_index);
	session_record(req);
	attempt_log(req);
	attempt_send(req);
}

void
attempt_begin(relay_request_t *req)
{
	/* The request may have ended afterwards. */
	work_meter_t *meter = req->relay->meter;
	work_turn_t turn = work_begin(meter);

	attempt_prepare(req);
	work_end(meter, WORK_ATTEMPT, &turn, 1);
}

bool
attempt_may_send(relay_request_t *req)
{
	const relay_t *relay = req->relay;
	const endpoint_t *endpoint = req->attempt.endpoint;
	const http_msg_t *msg = http_inbound_request(req->caller);
	const relay_organisation_t *organisation;
	const relay_route_t *route;

	/* This daemon may have been suspended while it connected, and all of
	 * this may have changed. */
	if (req->config == relay->config && endpoint->in_set &&
	    endpoint_accepts_requests(endpoint) &&
	    endpoint_backoff_ms(endpoint) == 0 && relay_warmup_acquire(req) &&
	    relay_rate_limit_acquire(req) && relay_brittle_acquire(req) &&
	    !relay_quarantine_refuses(req) &&
	    relay_authorize(relay, &req->arrival, msg->target, &route,
		&organisation) == ERR_NONE)
		return true;
	attempt_cancel(req);
	attempt_begin(req);
	return false;
}
