#include "relay_request.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* An endpoint is not read while its caller has this much to take. */
#define CALLER_BEHIND_MAX (256U << 10)
#define STATUS_OK 200
#define STATUS_MULTIPLE 300
#define STATUS_SERVER_ERROR 500

static bool
success(int status)
{
	return status >= STATUS_OK && status < STATUS_MULTIPLE;
}

/* The endpoint's header lines, less those of its connection. */
static char *
head_lines(const http_msg_t *msg)
{
	char *text = malloc(HEAD_TEXT_MAX);
	size_t len = 0;

	if (text == NULL)
		return NULL;
	text[0] = '\0';
	for (size_t i = 0; i < msg->fields_len; i++) {
		const http_field_t *field = &msg->fields[i];
		int more;

		if (http_field_is_hop_by_hop(msg, field->name))
			continue;
		more = snprintf(text + len, HEAD_TEXT_MAX - len, "%s: %s\r\n",
		    field->name, field->value);
		if (more < 0 || (size_t)more >= HEAD_TEXT_MAX - len) {
			free(text);
			return NULL;
		}
		len += (size_t)more;
	}
	return text;
}

static void
first_observe(relay_request_t *req)
{
	if (req->first_ms > 0)
		return;
	req->first_ms = (double)request_age_ms(req);
	stats_observe(&req->relay->stats.first_ms, req->first_ms);
}

static void
answer_begin(relay_request_t *req)
{
	req->begun = true;
	req->model = req->attempt.model;
	first_observe(req);
	http_inbound_stream_begin(req->caller, req->status, req->head);
}

static bool
on_ready(void *arg)
{
	return attempt_ready(arg);
}

static void
on_sent(void *arg)
{
	relay_request_t *req = arg;
	attempt_t *attempt = &req->attempt;
	relay_t *relay = req->relay;

	attempt->sent = true;
	attempt->sent_at = clock_boottime(relay->clock);
	endpoint_take_up(attempt->endpoint);
	if (req->sends == 0)
		stats_observe(
		    &relay->stats.added_ms, (double)request_age_ms(req));
	req->sends++;
	req->events = 0;
	req->may_have_run = true;
	req->unknown_sends++;
	stats_add(&relay->stats, STAT_ATTEMPTS, 1);
	attempt_watch_silence(req);
}

static void
on_head(void *arg, const http_msg_t *msg)
{
	relay_request_t *req = arg;
	attempt_t *attempt = &req->attempt;
	endpoint_answer_t *answer = &attempt->answer;

	req->relay->endpoint_words->read(msg, &req->arrival, answer);
	if (answer->unnamed && attempt->kept && !request_idempotent(req))
		answer->other_request = true;
	if (answer->other_request) {
		stats_add(&req->relay->stats, STAT_STRAY_ANSWERS, 1);
		attempt_over(req, ATTEMPT_UNKNOWN, "stray_answer");
		return;
	}
	attempt->headed = true;
	attempt_heard(req);
	prefill_queue_begun(&attempt->endpoint->unread, &attempt->ticket,
	    (double)timespec_to_ms(clock_boottime(req->relay->clock)));
	relay_guard_alive(req);
	attempt->first_ms = (double)timespec_ms_between(
	    attempt->sent_at, clock_boottime(req->relay->clock));
	if (answer->load_told)
		endpoint_told_load(attempt->endpoint, &answer->load);
	if (answer->not_run || answer->wrong_endpoint)
		return;
	if (req->route->kind == ROUTE_STREAM && success(msg->status) &&
	    answer->genuine)
		relay_guard_begun(req);
	if (req->begun) {
		if (!success(msg->status) || !answer->genuine)
			attempt_over(req, ATTEMPT_UNKNOWN, "resume_refused");
		return;
	}
	evbuffer_drain(req->kept, evbuffer_get_length(req->kept));
	req->failure_kept = false;
	free(req->head);
	req->head = head_lines(msg);
	req->status = msg->status;
	req->streaming = req->route->kind == ROUTE_STREAM &&
	    success(msg->status) && answer->genuine;
	req->confidence = answer->confidence;
	if (req->head == NULL)
		attempt_over(req, ATTEMPT_UNKNOWN, "head_too_large");
	else if (req->streaming)
		relay_model_judge(req);
}

static void
event_note(relay_request_t *req)
{
	struct timespec now = clock_boottime(req->relay->clock);
	double pause_ms;

	if (req->events++ == 0)
		req->events_since = now;
	stats_add(&req->relay->stats, STAT_EVENTS, 1);
	if (req->begun) {
		pause_ms = (double)timespec_ms_between(req->event_at, now);
		if (pause_ms > req->pause_ms)
			req->pause_ms = pause_ms;
	}
	req->event_at = now;
	relay_guard_event(req);
}

/* Pass on the events that are whole. @return false: the attempt is over */
static bool
events_pass(relay_request_t *req)
{
	scanned_event_t event;

	while (event_scan_next(&req->scan, &event)) {
		if (event.has_id && req->have_event &&
		    event.id <= req->last_event) {
			attempt_over(
			    req, ATTEMPT_UNKNOWN, "event_out_of_order");
			return false;
		}
		if (event.has_id) {
			req->have_event = true;
			req->last_event = event.id;
		}
		evbuffer_remove_buffer(req->scan.partial, req->kept, event.len);
		event_note(req);
	}
	if (evbuffer_get_length(req->kept) == 0)
		return true;
	if (!req->begun)
		answer_begin(req);
	http_inbound_stream_write(req->caller, req->kept);
	return true;
}

static void
caller_behind(relay_request_t *req)
{
	if (http_inbound_unsent_bytes(req->caller) < CALLER_BEHIND_MAX)
		return;
	req->paused = true;
	http_outbound_pause_reading(req->attempt.conn, true);
}

static void
on_body(void *arg, const char *bytes, size_t len)
{
	relay_request_t *req = arg;
	const endpoint_answer_t *answer = &req->attempt.answer;

	attempt_heard(req);
	if (answer->not_run || answer->wrong_endpoint)
		return;
	if (req->streaming) {
		if (!event_scan_add(&req->scan, bytes, len)) {
			attempt_over(req, ATTEMPT_UNKNOWN, "event_too_large");
			return;
		}
		if (events_pass(req) && req->begun)
			caller_behind(req);
		return;
	}
	evbuffer_add(req->kept, bytes, len);
	if (!req->begun &&
	    evbuffer_get_length(req->kept) > req->relay->bounds.body_kept)
		answer_begin(req);
	if (!req->begun)
		return;
	http_inbound_stream_write(req->caller, req->kept);
	caller_behind(req);
}

static void
stream_done(relay_request_t *req)
{
	http_inbound_t *caller = req->caller;

	if (event_scan_open(&req->scan)) {
		attempt_over(req, ATTEMPT_UNKNOWN, "event_cut");
		return;
	}
	if (!req->begun)
		answer_begin(req);
	attempt_answered(req);
	attempt_release(req);
	stats_add(&req->relay->stats, STAT_ANSWERED, 1);
	request_end(req, "answered", "whole_stream");
	http_inbound_stream_end(caller);
}

/* Pass on an answer that was kept whole. */
void
answer_pass(relay_request_t *req)
{
	http_inbound_t *caller = req->caller;
	struct evbuffer *body = req->kept;
	char *head = req->head;
	int status = req->status;

	first_observe(req);
	req->kept = NULL;
	req->head = NULL;
	stats_add(&req->relay->stats, STAT_ANSWERED, 1);
	request_end(req, "answered", "whole");
	http_inbound_respond(caller, status, head, body);
	evbuffer_free(body);
	free(head);
}

static void
kept_done(relay_request_t *req)
{
	const endpoint_answer_t *answer = &req->attempt.answer;
	http_inbound_t *caller = req->caller;

	if (success(req->status) && (!answer->genuine || answer->encoded)) {
		attempt_over(req, ATTEMPT_UNKNOWN, "not_genuine");
		return;
	}
	if (req->begun) {
		attempt_answered(req);
		attempt_release(req);
		request_end(req, "answered", "passed_on");
		http_inbound_stream_end(caller);
		return;
	}
	if (req->status >= STATUS_SERVER_ERROR) {
		attempt_over(req, ATTEMPT_FAILED, "endpoint_failed");
		return;
	}
	req->model = req->attempt.model;
	attempt_answered(req);
	attempt_release(req);
	answer_pass(req);
}

static void
on_done(void *arg)
{
	relay_request_t *req = arg;
	const endpoint_answer_t *answer = &req->attempt.answer;

	if (answer->not_run || answer->wrong_endpoint) {
		req->unknown_sends--;
		req->may_have_run = req->unknown_sends > 0;
		if (answer->wrong_endpoint)
			stats_add(&req->relay->stats, STAT_WRONG_ENDPOINT, 1);
		attempt_over(req, ATTEMPT_NOT_RUN,
		    answer->wrong_endpoint ? "wrong_endpoint" : "not_run");
	} else if (req->streaming) {
		stream_done(req);
	} else {
		kept_done(req);
	}
}

static void
on_failed(void *arg, http_outbound_failure_t failure)
{
	relay_request_t *req = arg;
	attempt_t *attempt = &req->attempt;

	if (failure == HTTP_OUTBOUND_NO_RESPONSE && attempt->kept) {
		endpoint_drop_links(attempt->endpoint);
		req->kept_dead = true;
	}
	attempt->broke = failure == HTTP_OUTBOUND_NO_RESPONSE ||
	    failure == HTTP_OUTBOUND_BAD_RESPONSE;
	attempt->refused = failure == HTTP_OUTBOUND_CONNECTION_REFUSED;
	switch (failure) {
	case HTTP_OUTBOUND_NOT_SENT:
		attempt_over(req, ATTEMPT_NOT_SENT, "connect");
		break;
	case HTTP_OUTBOUND_CONNECTION_REFUSED:
		attempt_over(req, ATTEMPT_NOT_SENT, "refused");
		break;
	case HTTP_OUTBOUND_NO_RESPONSE:
		attempt_over(req, ATTEMPT_UNKNOWN, "no_answer");
		break;
	case HTTP_OUTBOUND_BAD_RESPONSE:
		attempt_over(req, ATTEMPT_UNKNOWN, "broken");
		break;
	}
}

const http_outbound_ops_t answer_ops = {
    on_ready, on_sent, on_head, on_body, on_done, on_failed};

void
answer_drained(relay_request_t *req)
{
	if (!req->paused || req->attempt.endpoint == NULL)
		return;
	req->paused = false;
	http_outbound_pause_reading(req->attempt.conn, false);
}
