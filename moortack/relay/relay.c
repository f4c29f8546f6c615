#include "moortack/relay/relay.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "reach_probe.h"
#include "relay_admission.h"

#define MS_PER_SEC 1000
#define US_PER_MS 1000
/* A daemon is ready to serve about 30 ms after its start if the store is
 * available. Connections wait in the kernel for it no longer than this. */
#define ACCEPT_MAX_MS 300
#define SESSION_TAG_SHIFT 32

static void
request_free(relay_request_t *req)
{
	relay_t *relay = req->relay;

	relay_admission_leave(req);
	attempt_cancel(req);
	if (req->prev != NULL)
		req->prev->next = req->next;
	else
		relay->requests = req->next;
	if (req->next != NULL)
		req->next->prev = req->prev;
	relay->in_flight--;
	if (req->time_limit_timer != NULL)
		event_free(req->time_limit_timer);
	if (req->silence_timer != NULL)
		event_free(req->silence_timer);
	if (req->reports_timer != NULL)
		event_free(req->reports_timer);
	if (req->body != NULL)
		evbuffer_free(req->body);
	if (req->buffered != NULL)
		evbuffer_free(req->buffered);
	event_scan_finish(&req->scan);
	free(req->part_digests);
	relay_config_release(req->config);
	free(req->response_head);
	free(req);
}

/* Distinguishes sessions in the log; 0: no session. */
static uint32_t
session_tag(const relay_request_t *req)
{
	return req->arrival.session != NULL
	    ? (uint32_t)(req->split_hash >> SESSION_TAG_SHIFT)
	    : 0;
}

void
request_end(relay_request_t *req, const char *outcome, const char *why)
{
	relay_t *relay = req->relay;
	double age_ms = (double)request_age_ms(req);

	stats_observe(&relay->stats.complete_ms, age_ms);
	if (strcmp(outcome, "answered") == 0)
		relay_observe_duration(relay, req->route, age_ms);
	stats_count_outcome(&relay->stats, outcome, why,
	    req->earlier_tries_ms + req->first_byte_ms >
		(double)req->route->latency_objective_ms);
	event_log_write(relay->log, "request",
	    "id=%s route=%.95s service=%.95s organisation=%.95s outcome=%s "
	    "why=%s "
	    "status=%d sends=%u connects_failed=%u model=%s confidence=%d "
	    "tokens=%u,%u,%u ms=%.0f first_ms=%.0f before_ms=%.0f "
	    "admission=%s waited_ms=%" PRId64 " "
	    "objective_ms=%" PRId64 " pause_ms=%.0f pause_most_ms=%" PRId64
	    " dropped_ms=%.0f limit_ms=%" PRId64 " config=%" PRIu64
	    " config_age_ms=%" PRId64 " endpoints_age_ms=%" PRId64
	    " endpoint=%s version=%s load=%.0f of=%zu told=%zu wait_ms=%.0f"
	    " session=%08" PRIx32 " from_daemon=%d helpers=%zu",
	    req->arrival.id, req->route->name,
	    req->service != NULL ? req->service : "-",
	    req->organisation != NULL ? req->organisation->name : "-", outcome,
	    why, req->status, req->sends, req->connects_failed,
	    req->response_model != NULL ? req->response_model : "-",
	    req->confidence, req->arrival.tokens_in,
	    req->arrival.tokens_out_max, req->arrival.tokens_out_estimate,
	    age_ms, req->first_byte_ms, req->earlier_tries_ms,
	    req->admission != NULL ? req->admission : "-", req->waited_ms,
	    req->route->latency_objective_ms, req->max_event_gap_ms,
	    req->route->event_gap_objective_ms, req->escalated_ms,
	    req->time_limit_ms, req->config->version,
	    relay_config_age_ms(relay), row_watch_age_ms(relay->endpoint_watch),
	    req->last_endpoint_id, req->last_endpoint_version,
	    req->placement.load, req->placement.candidates,
	    req->placement.owner_reports, req->placement.queue_wait_ms,
	    session_tag(req), req->from_daemon, req->tried_helpers_len);
	request_free(req);
}

static void
on_time_limit(evutil_socket_t fd, short what, void *arg)
{
	relay_request_t *req = arg;

	(void)fd;
	(void)what;
	if (req->attempt.end_uncertain) {
		response_end(req);
		return;
	}
	if (req->failure_buffered && !req->response_started) {
		attempt_cancel(req);
		response_forward(req);
		return;
	}
	request_fail(
	    req, req->may_have_run ? ERR_TIMEOUT : ERR_OVERLOAD, "time_limit");
}

/* Keeps the requests of a session on the same service and version. */
static uint64_t
arrival_split_hash(const arrival_t *arrival)
{
	const char *text =
	    arrival->session != NULL ? arrival->session : arrival->id;

	return XXH3_64bits(text, strlen(text));
}

/* The last part is not shared with other requests. */
static uint64_t
arrival_shared_prefix_hash(const arrival_t *arrival)
{
	size_t len = arrival->parts_len > 1 ? arrival->parts_len - 1
					    : arrival->parts_len;
	uint64_t hash = 0;

	for (size_t i = 0; i < len; i++)
		hash = XXH3_64bits_withSeed(
		    &arrival->parts[i].id, sizeof(arrival->parts[i].id), hash);
	return hash;
}

static int64_t
arrival_time_limit_ms(const relay_route_t *route, const arrival_t *arrival)
{
	int64_t limit = route->timeout_ms > 0 ? route->timeout_ms : INT32_MAX;

	if (arrival->deadline_ms > 0 && arrival->deadline_ms < limit)
		limit = arrival->deadline_ms;
	return limit;
}

static bool
time_limit_set(relay_request_t *req, int64_t ms)
{
	struct timeval delay = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	return event_add(req->time_limit_timer, &delay) == 0;
}

static bool
time_limit_start(relay_request_t *req)
{
	req->time_limit_timer =
	    event_new(req->relay->base, -1, 0, on_time_limit, req);
	return req->time_limit_timer != NULL &&
	    time_limit_set(req, req->time_limit_ms);
}

void
relay_vm_resumed(relay_t *relay)
{
	for (relay_request_t *req = relay->requests; req != NULL;
	     req = req->next) {
		int64_t left = request_remaining_ms(req);

		time_limit_set(req, left > 0 ? left : 0);
	}
	relay_admission_send_all(relay);
}

/* Another daemon has taken its own time, and part of the sends. */
static void
request_apply_forward(relay_request_t *req, const forward_head_t *head)
{
	req->from_daemon = true;
	req->sends_max = head->sends;
	req->earlier_tries_ms = (double)head->since_first_try_ms;
	if (head->remaining_ms < req->time_limit_ms)
		req->time_limit_ms = head->remaining_ms;
}

/* @param head NULL: a caller sent it */
static relay_request_t *
request_new(relay_t *relay, http_inbound_t *caller, const arrival_t *arrival,
    const relay_route_t *route, const relay_organisation_t *organisation,
    const forward_head_t *head)
{
	relay_request_t *req = calloc(1, sizeof(*req));

	if (req == NULL)
		return NULL;
	req->relay = relay;
	req->caller = caller;
	req->arrival = *arrival;
	req->config = relay_config_acquire(relay->config);
	req->route = route;
	req->organisation = organisation;
	req->split_hash = arrival_split_hash(arrival);
	req->shared_prefix_hash = arrival_shared_prefix_hash(arrival);
	req->received_at = clock_boottime(relay->clock);
	req->time_limit_ms = arrival_time_limit_ms(route, arrival);
	req->smallest_confidence = -1;
	if (head != NULL)
		request_apply_forward(req, head);
	else
		req->earlier_tries_ms =
		    relay_earlier_tries_ms(relay, route, arrival->deadline_ms);
	req->next = relay->requests;
	if (relay->requests != NULL)
		relay->requests->prev = req;
	relay->requests = req;
	relay->in_flight++;
	req->body = evbuffer_new();
	req->buffered = evbuffer_new();
	if (req->body == NULL || req->buffered == NULL ||
	    !event_scan_init(&req->scan) || !time_limit_start(req)) {
		request_free(req);
		return NULL;
	}
	evbuffer_add_buffer(req->body, http_inbound_request(caller)->body);
	return req;
}

void
relay_accept_request(
    relay_t *relay, http_inbound_t *caller, const forward_head_t *head)
{
	const http_msg_t *msg = http_inbound_request(caller);
	bool from_daemon = head != NULL;
	const relay_organisation_t *organisation;
	const relay_route_t *route;
	relay_request_t *req;
	arrival_t arrival;
	int64_t limit_ms;
	err_code_t code;
	err_t err;

	if (!relay->caller_dialect->read(msg, &arrival, &err)) {
		relay_refuse_arrival(
		    relay, caller, "-", from_daemon, err.code, "bad_headers");
		return;
	}
	code = relay_authorize(
	    relay, &arrival, msg->target, &route, &organisation);
	if (code != ERR_NONE) {
		relay_refuse_arrival(
		    relay, caller, arrival.id, from_daemon, code, "permit");
		return;
	}
	limit_ms = arrival_time_limit_ms(route, &arrival);
	if (head != NULL && head->remaining_ms < limit_ms)
		limit_ms = head->remaining_ms;
	if (relay_leaving_refuses(relay, route, limit_ms)) {
		relay_refuse_arrival(relay, caller, arrival.id, from_daemon,
		    ERR_DRAINING, "leaving");
		return;
	}
	req = relay->in_flight < relay->bounds.requests_max &&
		relay->in_flight < relay->shares.endpoints
	    ? request_new(relay, caller, &arrival, route, organisation, head)
	    : NULL;
	if (req == NULL) {
		relay_refuse_arrival(relay, caller, arrival.id, from_daemon,
		    ERR_OVERLOAD, "requests_max");
		return;
	}
	http_inbound_set_user_data(caller, req);
	http_inbound_set_handler_bytes(caller, sizeof(*req));
	http_inbound_set_caller_wait(caller, limit_ms);
	req->service = relay_route_service(route, req->split_hash);
	if (req->service == NULL) {
		request_fail(req, ERR_NO_ENDPOINT, "no_service");
		return;
	}
	if (from_daemon && relay_reach_verdict(req) != REACH_OK) {
		request_fail(req, ERR_NO_ENDPOINT, "unreachable");
		return;
	}
	/* The daemon that the caller connected to has counted it. */
	if (!from_daemon)
		relay_count_request(relay, req->service, req->received_at);
	attempt_begin(req);
}

bool
relay_init(relay_t *relay, const http_address_t *listen,
    const http_address_t *forward_listen, err_t *err)
{
	relay_config_t *config;

	if (!relay_inbound_listen(relay, listen, forward_listen, err))
		return false;
	/* Default limits until a configuration is received. */
	config = relay_config_new(0);
	if (config == NULL)
		return err_set(err, ERR_MEMORY, "out of memory");
	relay->config = config;
	relay_inbound_limits_set(relay);
	relay->config = NULL;
	relay_config_release(config);
	relay->daemons_max_seen = 1;
	relay->started_at = clock_boottime(relay->clock);
	http_inbound_pause_accepting(relay->server, true);
	if (!prefix_index_init(&relay->prefix_index))
		return err_set(err, ERR_MEMORY, "out of memory");
	return true;
}

void
relay_finish(relay_t *relay)
{
	while (relay->requests != NULL)
		request_end(relay->requests, "cut", "stopped");
	reach_probes_finish(relay);
	relay_contents_finish(relay);
	http_inbound_server_free(relay->server);
	if (relay->forward_server != NULL)
		http_inbound_server_free(relay->forward_server);
	relay_config_release(relay->config);
	prefix_index_finish(&relay->prefix_index);
	relay_service_states_finish(relay);
	warmup_daemons_finish(&relay->warmup_daemons);
}

void
relay_configure(relay_t *relay, relay_config_t *config)
{
	if (relay->config == NULL || config->version >= relay->config->version)
		relay->config_outdated = false;
	if (relay->config != NULL &&
	    config->version <= relay->config->version) {
		relay_config_release(config);
		return;
	}
	event_log_write(relay->log, "config",
	    "version=%" PRIu64 " before=%" PRIu64
	    " routes=%u services=%u parts_refused=%u",
	    config->version, relay->config != NULL ? relay->config->version : 0,
	    HASH_COUNT(config->routes), HASH_COUNT(config->services),
	    config->parts_refused);
	relay_config_release(relay->config);
	relay->config = config;
	relay_inbound_limits_set(relay);
}

bool
relay_can_serve(const relay_t *relay)
{
	/* Without a roll-out's state, the version it replaces is unknown. */
	return relay->config != NULL && !relay_refuses_uncertain(relay) &&
	    relay->endpoints->endpoints != NULL &&
	    relay->rollouts->states_watch->synced_once;
}

bool
relay_ready(const relay_t *relay)
{
	return relay_can_serve(relay) &&
	    relay_config_age_ms(relay) <= relay->bounds.key_max_age_ms;
}

void
relay_accept_when_ready(relay_t *relay)
{
	int64_t age_ms = timespec_ms_between(
	    relay->started_at, clock_boottime(relay->clock));

	if (relay->accepting || (!relay_ready(relay) && age_ms < ACCEPT_MAX_MS))
		return;
	relay->accepting = true;
	http_inbound_pause_accepting(relay->server, false);
}

void
relay_set_secret(relay_t *relay, const char *fleet_secret)
{
	forward_key_derive(&relay->forward_key, fleet_secret);
	relay->has_forward_key = true;
}
