#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../front/front_priv.h"
#include "common/http_request.h"
#include "common/log.h"
#include "moortack/exchange/deferred.h"

static const char done_event[] = "data: [DONE]\n\n";

void
exchange_bill_line(const exchange_t *exchange, bill_line_t *out)
{
	const config_t *config = exchange->front->config;
	const model_t *model =
	    config_model_at(config, config_model_find(config, exchange->model));
	uint64_t units = exchange->is_engine ? exchange->sse.tokens : 1;

	*out = (bill_line_t){.tokens_in = exchange->tokens_in,
	    .tokens_out = exchange->sse.tokens,
	    .cost = model != NULL ? model->cost * units : 0};
	memcpy(out->version, exchange->version, sizeof(out->version));
	memcpy(out->place, exchange->endpoint_place, sizeof(out->place));
}

static void
bill_fill(const exchange_t *exchange, bool cut, bill_t *bill)
{
	*bill = (bill_t){
	    .at_ms = timespec_to_ms(clock_wall(exchange->front->process.clock)),
	    .line_count = exchange->bill_line_count,
	    .truncated = cut};
	memcpy(bill->lines, exchange->bill_lines, sizeof(bill->lines));
	exchange_bill_line(exchange, &bill->lines[bill->line_count++]);
	snprintf(bill->request, sizeof(bill->request), "%s", exchange->id);
	memcpy(bill->organisation, exchange->organisation,
	    sizeof(bill->organisation));
}

static void
endpoint_record_success(exchange_t *exchange)
{
	endpoint_t *endpoint =
	    endpoint_table_at(&exchange->front->fleet, exchange->endpoint);

	if (endpoint != NULL)
		endpoint_attempt_succeeded(endpoint,
		    (double)exchange->first_byte_ms,
		    clock_boottime(exchange->front->process.clock));
	exchange->endpoint = HANDLE_NONE;
}

static void
outcome_report(exchange_t *exchange)
{
	size_t len = 0;
	const char *body = NULL;

	if (!exchange->at_most_once)
		return;
	if (!exchange->streaming && exchange->response_body != NULL) {
		len = evbuffer_get_length(exchange->response_body);
		body =
		    (const char *)evbuffer_pullup(exchange->response_body, -1);
	}
	exchange_outcome_report(exchange, exchange->status, body, len);
}

void
exchange_response_completed(exchange_t *exchange)
{
	front_t *front = exchange->front;
	bill_t bill;

	endpoint_record_success(exchange);
	exchange_response_record(exchange);
	if (exchange_cascade_escalate(exchange))
		return;
	bill_fill(exchange, false, &bill);
	if (exchange->job != NULL) {
		deferred_completed(exchange, &bill);
		exchange_free(exchange);
		front_dispatch(front);
		return;
	}
	outcome_report(exchange);
	exchange->phase = PHASE_BILLING;
	billing_record(front->billing, &bill, exchange->tag);
	if (front->admission.waiting_count > 0)
		front_dispatch(front);
}

static void
stream_finish(exchange_t *exchange)
{
	struct evbuffer *out = evbuffer_new();

	evbuffer_add(out, done_event, sizeof(done_event) - 1);
	http_request_stream_write(exchange->req, out);
	http_request_stream_end(exchange->req);
	evbuffer_free(out);
}

static void
plain_response_send(exchange_t *exchange)
{
	exchange_response_headers_add(exchange);
	http_response_add_header(
	    exchange->req, "Content-Type", "application/json");
	http_request_respond(
	    exchange->req, exchange->status, exchange->response_body);
}

void
exchange_bill_recorded(exchange_t *exchange)
{
	front_t *front = exchange->front;

	if (exchange->req != NULL) {
		http_request_set_closed(exchange->req, NULL, NULL);
		if (exchange->streaming)
			stream_finish(exchange);
		else
			plain_response_send(exchange);
		exchange->req = NULL;
		counter_add(front->process.counters, COUNTER_RESPONSES, 1);
		counter_add(front->process.counters, COUNTER_TOKENS,
		    exchange->sse.tokens);
		timeline_add(front->process.timeline, EVENT_RESPONSE_COMPLETED,
		    exchange->id, "%llu tokens",
		    (unsigned long long)exchange->sse.tokens);
	}
	exchange_free(exchange);
}

/* Reports a failure in a stream that has started: an error event, and no end
 * marker. */
static void
stream_fail(exchange_t *exchange, const err_t *err)
{
	front_t *front = exchange->front;
	struct evbuffer *out = evbuffer_new();
	json_t *body = failure_json(front, err, NULL, 0);
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	evbuffer_add_printf(out, "event: error\ndata: %s\n\n", text);
	http_request_stream_write(exchange->req, out);
	http_request_stream_end(exchange->req);
	evbuffer_free(out);
	free(text);
	counter_add(front->process.counters, COUNTER_STREAMS_TRUNCATED, 1);
}

/* Overrides what an error reports as "ran": although this attempt was not run,
 * an earlier one under the same ticket or idempotency key may have been. NULL:
 * no override. */
static const char *
ran_override(const exchange_t *exchange, const err_t *err)
{
	if (!exchange->at_most_once || exchange->known_not_run)
		return NULL;
	return err_info(err->code)->execution == ERR_NOT_EXECUTED ? "unknown"
								  : NULL;
}

/* A new ticket in the error response saves the caller a round trip. */
static json_t *
ticket_offer(exchange_t *exchange, err_code_t code)
{
	char sealed[TOKEN_TEXT_MAX];
	ticket_t ticket;

	if (code != ERR_TICKET_REVOKED)
		return NULL;
	ticket_issue(exchange->front, exchange->organisation, &ticket);
	if (!ticket_seal(&exchange->front->keyring, &ticket, sealed))
		return NULL;
	return json_pack("{s:s}", "ticket", sealed);
}

static void
failure_send(exchange_t *exchange, const err_t *err)
{
	http_request_set_closed(exchange->req, NULL, NULL);
	if (exchange->response_started) {
		stream_fail(exchange, err);
	} else {
		http_response_add_header(
		    exchange->req, "Moortack-Request", exchange->id);
		failure_respond(exchange->front, exchange->req, err,
		    ran_override(exchange, err),
		    ticket_offer(exchange, err->code));
	}
	exchange->req = NULL;
}

/* If the caller disconnected or the response was truncated, what was delivered
 * is billed. */
static void
partial_bill_record(exchange_t *exchange)
{
	bill_t bill;

	if (!exchange->is_engine ||
	    (exchange->sse.tokens == 0 && exchange->bill_line_count == 0))
		return;
	bill_fill(exchange, true, &bill);
	billing_record(exchange->front->billing, &bill, 0);
}

void
exchange_fail(exchange_t *exchange, err_code_t code, const char *detail)
{
	front_t *front = exchange->front;
	err_t err;

	err_set(&err, code, "%s", detail);
	admission_remove(&front->admission, &exchange->waiter);
	exchange_upstream_cancel(exchange);
	exchange_endpoint_release(exchange);
	if (exchange->phase == PHASE_REDEEM)
		exchange_unsent_report(exchange);
	if (exchange->granted && !exchange->may_have_run) {
		exchange_unsent_report(exchange);
		exchange->known_not_run = true;
	}
	timeline_add(front->process.timeline,
	    exchange->response_started ? EVENT_RESPONSE_TRUNCATED
				       : EVENT_REQUEST_REFUSED,
	    exchange->id, "%s", err_info(code)->name);
	if (exchange->job != NULL)
		deferred_failed(exchange, &err);
	else
		partial_bill_record(exchange);
	if (exchange->req != NULL)
		failure_send(exchange, &err);
	exchange_free(exchange);
}

void
exchange_free(exchange_t *exchange)
{
	front_t *front = exchange->front;

	admission_remove(&front->admission, &exchange->waiter);
	if (exchange->upstream_req != NULL) {
		evhttp_cancel_request(exchange->upstream_req);
		evhttp_connection_free(exchange->upstream->conn);
		free(exchange->upstream);
	}
	exchange_endpoint_release(exchange);
	sse_finish(&exchange->sse);
	if (exchange->response_body != NULL)
		evbuffer_free(exchange->response_body);
	json_decref(exchange->body);
	front_exchange_free(front, exchange);
}
