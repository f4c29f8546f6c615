#include "relay_admission.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* An endpoint is not read while this many bytes are pending for its caller. */
#define CALLER_PENDING_MAX (256U << 10)
/* Once callers' connections hold much of the memory that they may, or so many
 * bytes are pending for all of them together, only these many are held for each
 * further one. */
#define ALL_PENDING_MAX (16U << 20)
#define CROWDED_PENDING_MAX (16U << 10)
#define STATUS_OK 200
#define STATUS_MULTIPLE_CHOICES 300
#define STATUS_SERVER_ERROR 500

bool
status_is_success(int status)
{
	return status >= STATUS_OK && status < STATUS_MULTIPLE_CHOICES;
}

/* Whether a field of the response is not passed on. */
static bool
field_is_dropped(const relay_request_t *req, const http_msg_t *msg,
    const http_field_t *field)
{
	return http_field_is_hop_by_hop(msg, field->name) ||
	    ((req->attempt.forwarded || req->from_daemon) &&
		strcasecmp(field->name, FORWARD_HEADER) == 0);
}

/* The endpoint's header lines without hop-by-hop headers. */
static char *
response_head_format(const relay_request_t *req, const http_msg_t *msg)
{
	char *text = malloc(RESPONSE_HEAD_MAX);
	size_t len;

	if (text == NULL)
		return NULL;
	relay_forward_result_line(req->from_daemon, ERR_NONE, req->sends, text);
	len = strlen(text);
	for (size_t i = 0; i < msg->fields_len; i++) {
		const http_field_t *field = &msg->fields[i];
		int written;

		if (field_is_dropped(req, msg, field))
			continue;
		written = snprintf(text + len, RESPONSE_HEAD_MAX - len,
		    "%s: %s\r\n", field->name, field->value);
		if (written < 0 || (size_t)written >= RESPONSE_HEAD_MAX - len) {
			free(text);
			return NULL;
		}
		len += (size_t)written;
	}
	return text;
}

static void
first_byte_observe(relay_request_t *req)
{
	if (req->first_byte_ms > 0)
		return;
	req->first_byte_ms = (double)request_age_ms(req);
	stats_observe(&req->relay->stats.first_byte_ms, req->first_byte_ms);
}

static void
response_start(relay_request_t *req)
{
	req->response_started = true;
	req->response_model = req->attempt.model;
	first_byte_observe(req);
	http_inbound_stream_begin(req->caller, req->status, req->response_head);
}

static bool
on_ready(void *arg)
{
	return attempt_may_send(arg);
}

static void
on_sent(void *arg)
{
	relay_request_t *req = arg;
	attempt_t *attempt = &req->attempt;
	relay_t *relay = req->relay;

	attempt->sent = true;
	attempt->sent_at = clock_boottime(relay->clock);
	endpoint_request_started(attempt->endpoint);
	if (req->sends == 0)
		stats_observe(
		    &relay->stats.added_ms, (double)request_age_ms(req));
	req->sends++;
	req->attempt_events = 0;
	req->may_have_run = true;
	req->unresolved_sends++;
	stats_add(&relay->stats, STAT_ATTEMPTS, 1);
	attempt_watch_silence(req);
}

/* A request counts once, when an endpoint first began to run it, however often
 * it was repeated or asked of a larger model. */
static void
usage_count(relay_request_t *req)
{
	if (req->usage_counted || req->organisation == NULL)
		return;
	req->usage_counted = true;
	duties_count_request(req->relay->duties, req->organisation->name);
}

bool
response_head_accept(relay_request_t *req, const http_msg_t *msg)
{
	const endpoint_response_t *response = &req->attempt.response;
	bool genuine =
	    status_is_success(msg->status) && response->has_signature;

	if (req->response_started) {
		if (!genuine)
			attempt_retry_or_fail(
			    req, ATTEMPT_UNKNOWN, "resume_refused");
		return genuine;
	}
	evbuffer_drain(req->buffered, evbuffer_get_length(req->buffered));
	req->failure_buffered = false;
	free(req->response_head);
	req->response_head = response_head_format(req, msg);
	req->status = msg->status;
	req->streaming = req->route->kind == ROUTE_STREAM && genuine;
	req->confidence = response->confidence;
	if (req->response_head == NULL)
		attempt_retry_or_fail(req, ATTEMPT_UNKNOWN, "head_too_large");
	return req->response_head != NULL;
}

/* Whether a response is not a success of the endpoint itself. */
static bool
response_is_not_genuine(const relay_request_t *req)
{
	const endpoint_response_t *response = &req->attempt.response;

	return status_is_success(req->status) &&
	    (!response->has_signature || response->encoded);
}

/* Whether another response is preferred to this one. */
static bool
response_is_unusable(const relay_request_t *req)
{
	return req->status >= STATUS_SERVER_ERROR ||
	    response_is_not_genuine(req);
}

static void
on_head(void *arg, const http_msg_t *msg)
{
	relay_request_t *req = arg;
	attempt_t *attempt = &req->attempt;
	endpoint_response_t *response = &attempt->response;

	req->relay->endpoint_dialect->read(msg, &req->arrival, response);
	if (response->id_missing && attempt->reused && !request_idempotent(req))
		response->id_mismatch = true;
	if (response->id_mismatch) {
		stats_add(&req->relay->stats, STAT_STRAY_ANSWERS, 1);
		attempt_retry_or_fail(req, ATTEMPT_UNKNOWN, "stray_answer");
		return;
	}
	attempt->head_received = true;
	attempt_bytes_received(req);
	relay_reach_response(req);
	prefill_queue_complete(&attempt->endpoint->prefill_queue,
	    &attempt->prefill_entry,
	    (double)timespec_to_ms(clock_boottime(req->relay->clock)));
	relay_canary_endpoint_alive(req);
	attempt->first_byte_ms = (double)timespec_ms_between(
	    attempt->sent_at, clock_boottime(req->relay->clock));
	relay_notice_apply(req);
	if (response->has_load) {
		endpoint_record_load(attempt->endpoint, &response->load);
		relay_price_observe_response(req->relay, attempt->endpoint);
	}
	relay_admission_observe(req, msg->status);
	if (response->not_run || response->wrong_endpoint) {
		attempt_watch_unused_body(req);
		return;
	}
	usage_count(req);
	if (req->route->kind == ROUTE_STREAM &&
	    status_is_success(msg->status) && response->has_signature)
		relay_canary_first_byte(req);
	if (!response_head_accept(req, msg))
		return;
	if (!req->streaming && !req->response_started &&
	    response_is_unusable(req))
		attempt_watch_unused_body(req);
	if (req->streaming && !req->response_started)
		relay_model_evaluate(req);
}

static void
event_record(relay_request_t *req)
{
	struct timespec now = clock_boottime(req->relay->clock);
	double pause_ms;

	if (req->attempt_events++ == 0)
		req->first_event_at = now;
	stats_add(&req->relay->stats, STAT_EVENTS, 1);
	if (req->response_started) {
		pause_ms = (double)timespec_ms_between(req->last_event_at, now);
		if (pause_ms > req->max_event_gap_ms)
			req->max_event_gap_ms = pause_ms;
	}
	req->last_event_at = now;
	if (req->attempt.forwarded)
		return;
	relay_model_event(req);
	relay_canary_event(req);
	relay_parts_event(req);
}

/* Forward the complete events.
 * @return false: the attempt has ended */
static bool
events_forward(relay_request_t *req)
{
	scanned_event_t event;

	while (event_scan_next(&req->scan, &event)) {
		if (event.has_id && req->has_last_event_id &&
		    event.id <= req->last_event_id) {
			attempt_retry_or_fail(
			    req, ATTEMPT_UNKNOWN, "event_out_of_order");
			return false;
		}
		if (event.has_id) {
			req->has_last_event_id = true;
			req->last_event_id = event.id;
		}
		evbuffer_remove_buffer(
		    req->scan.partial, req->buffered, event.len);
		event_record(req);
	}
	if (evbuffer_get_length(req->buffered) == 0)
		return true;
	if (!req->response_started)
		response_start(req);
	http_inbound_stream_write(req->caller, req->buffered);
	return true;
}

/* Bytes that may be held for a caller; the endpoint is not read beyond them. */
static size_t
pending_max(const relay_request_t *req, size_t usual)
{
	const relay_t *relay = req->relay;
	size_t all = http_inbound_server_unsent_bytes(relay->server);

	if (relay->forward_server != NULL)
		all += http_inbound_server_unsent_bytes(relay->forward_server);
	if (!inbound_budget_has_room(
		&relay->inbound_budget, CROWDED_PENDING_MAX, false))
		return 1;
	return (all < ALL_PENDING_MAX &&
		   !inbound_budget_is_crowded(&relay->inbound_budget)) ||
		usual < CROWDED_PENDING_MAX
	    ? usual
	    : CROWDED_PENDING_MAX;
}

static void
endpoint_pause_if_caller_slow(relay_request_t *req)
{
	if (http_inbound_unsent_bytes(req->caller) <
	    pending_max(req, CALLER_PENDING_MAX))
		return;
	req->paused = true;
	req->attempt.caller_was_slow = true;
	http_outbound_pause_reading(req->attempt.conn, true);
}

void
response_body_add(relay_request_t *req, const char *bytes, size_t len)
{
	if (req->streaming) {
		if (!event_scan_add(&req->scan, bytes, len)) {
			attempt_retry_or_fail(
			    req, ATTEMPT_UNKNOWN, "event_too_large");
			return;
		}
		if (events_forward(req) && req->response_started)
			endpoint_pause_if_caller_slow(req);
		return;
	}
	evbuffer_add(req->buffered, bytes, len);
	http_inbound_set_handler_bytes(
	    req->caller, sizeof(*req) + evbuffer_get_length(req->buffered));
	if (!req->response_started &&
	    evbuffer_get_length(req->buffered) >
		pending_max(req, req->relay->bounds.body_buffer_max))
		response_start(req);
	if (!req->response_started)
		return;
	http_inbound_stream_write(req->caller, req->buffered);
	http_inbound_set_handler_bytes(req->caller, sizeof(*req));
	endpoint_pause_if_caller_slow(req);
}

static void
on_body(void *arg, const char *bytes, size_t len)
{
	relay_request_t *req = arg;
	const endpoint_response_t *response = &req->attempt.response;

	if (!attempt_unused_body_add(req, len))
		return;
	attempt_bytes_received(req);
	if (!response->not_run && !response->wrong_endpoint)
		response_body_add(req, bytes, len);
}

static void
stream_complete(relay_request_t *req)
{
	http_inbound_t *caller = req->caller;

	if (event_scan_has_partial(&req->scan)) {
		req->attempt.connection_lost = !req->attempt.forwarded &&
		    http_outbound_ended_by_close(req->attempt.conn);
		attempt_retry_or_fail(req, ATTEMPT_UNKNOWN, "event_cut");
		return;
	}
	if (!req->response_started)
		response_start(req);
	attempt_succeeded(req);
	attempt_release(req);
	stats_add(&req->relay->stats, STAT_ANSWERED, 1);
	request_end(req, "answered", "whole_stream");
	http_inbound_stream_end(caller);
}

void
response_forward(relay_request_t *req)
{
	http_inbound_t *caller = req->caller;
	struct evbuffer *body = req->buffered;
	char *head = req->response_head;
	int status = req->status;

	first_byte_observe(req);
	req->buffered = NULL;
	req->response_head = NULL;
	stats_add(&req->relay->stats, STAT_ANSWERED, 1);
	request_end(req, "answered", "whole");
	http_inbound_respond(caller, status, head, body);
	evbuffer_free(body);
	free(head);
}

static void
response_complete(relay_request_t *req)
{
	http_inbound_t *caller = req->caller;

	if (response_is_not_genuine(req)) {
		attempt_retry_or_fail(req, ATTEMPT_UNKNOWN, "not_genuine");
		return;
	}
	if (req->response_started) {
		attempt_succeeded(req);
		attempt_release(req);
		request_end(req, "answered", "passed_on");
		http_inbound_stream_end(caller);
		return;
	}
	if (req->status >= STATUS_SERVER_ERROR) {
		attempt_retry_or_fail(req, ATTEMPT_FAILED, "endpoint_failed");
		return;
	}
	req->response_model = req->attempt.model;
	attempt_succeeded(req);
	attempt_release(req);
	response_forward(req);
}

void
response_end(relay_request_t *req)
{
	if (req->streaming)
		stream_complete(req);
	else
		response_complete(req);
}

void
response_not_run(relay_request_t *req, const char *why)
{
	req->unresolved_sends--;
	req->may_have_run = req->unresolved_sends > 0;
	if (req->attempt.response.wrong_endpoint)
		stats_add(&req->relay->stats, STAT_WRONG_ENDPOINT, 1);
	attempt_retry_or_fail(req, ATTEMPT_NOT_RUN, why);
}

static void
on_done(void *arg)
{
	relay_request_t *req = arg;
	const endpoint_response_t *response = &req->attempt.response;

	if (response->not_run || response->wrong_endpoint) {
		response_not_run(req,
		    response->wrong_endpoint ? "wrong_endpoint" : "not_run");
	} else if (relay_end_is_uncertain(req) &&
	    !event_scan_has_partial(&req->scan)) {
		relay_end_confirm(req);
	} else {
		response_end(req);
	}
}

void
response_record_defect(relay_request_t *req)
{
	req->attempt.defect = http_outbound_defect(req->attempt.conn);
	stats_count_defect(&req->relay->stats, req->attempt.defect);
}

static void
on_failed(void *arg, http_outbound_failure_t failure)
{
	relay_request_t *req = arg;
	attempt_t *attempt = &req->attempt;

	if (failure == HTTP_OUTBOUND_NO_RESPONSE && attempt->reused) {
		endpoint_close_idle(attempt->endpoint);
		req->avoid_reuse = true;
	}
	attempt->connection_lost = failure == HTTP_OUTBOUND_NO_RESPONSE ||
	    failure == HTTP_OUTBOUND_BAD_RESPONSE;
	attempt->connection_refused =
	    failure == HTTP_OUTBOUND_CONNECTION_REFUSED;
	switch (failure) {
	case HTTP_OUTBOUND_NOT_SENT:
		attempt_retry_or_fail(req, ATTEMPT_NOT_SENT, "connect");
		break;
	case HTTP_OUTBOUND_CONNECTION_REFUSED:
		attempt_retry_or_fail(req, ATTEMPT_NOT_SENT, "refused");
		break;
	case HTTP_OUTBOUND_NO_RESPONSE:
		attempt_retry_or_fail(req, ATTEMPT_UNKNOWN, "no_answer");
		break;
	case HTTP_OUTBOUND_BAD_RESPONSE:
		response_record_defect(req);
		attempt_retry_or_fail(req, ATTEMPT_UNKNOWN, "broken");
		break;
	}
}

const http_outbound_ops_t response_ops = {
    on_ready, on_sent, on_head, on_body, on_done, on_failed};

void
response_drained(relay_request_t *req)
{
	if (!req->paused || req->attempt.conn == NULL)
		return;
	req->paused = false;
	http_outbound_pause_reading(req->attempt.conn, false);
}
