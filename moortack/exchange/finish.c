#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../front/front_priv.h"
#include "common/http_server.h"
#include "common/log.h"
#include "moortack/exchange/deferred.h"

static const char end_mark[] = "data: [DONE]\n\n";

void
exchange_line(const exchange_t *exchange, bill_line_t *out)
{
	const config_t *config = exchange->front->config;
	const model_t *model =
	    config_model_at(config, config_model(config, exchange->model));
	uint64_t units = exchange->engine ? exchange->sse.tokens : 1;

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
	    .at_ms = timespec_ms(clock_wall(exchange->front->process.clock)),
	    .line_count = exchange->line_count,
	    .cut = cut};
	memcpy(bill->lines, exchange->lines, sizeof(bill->lines));
	exchange_line(exchange, &bill->lines[bill->line_count++]);
	snprintf(bill->request, sizeof(bill->request), "%s", exchange->id);
	memcpy(bill->organisation, exchange->organisation,
	    sizeof(bill->organisation));
}

static void
endpoint_done(exchange_t *exchange)
{
	endpoint_t *endpoint =
	    endpoint_table_at(&exchange->front->fleet, exchange->endpoint);

	if (endpoint != NULL)
		endpoint_attempt_succeeded(endpoint, (double)exchange->first_ms,
		    clock_elapsed(exchange->front->process.clock));
	exchange->endpoint = HANDLE_NONE;
}

static void
outcome_tell(exchange_t *exchange)
{
	size_t len = 0;
	const char *body = NULL;

	if (!exchange->keyed)
		return;
	if (!exchange->stream && exchange->answer != NULL) {
		len = evbuffer_get_length(exchange->answer);
		body = (const char *)evbuffer_pullup(exchange->answer, -1);
	}
	exchange_outcome(exchange, exchange->status, body, len);
}

void
exchange_whole(exchange_t *exchange)
{
	front_t *front = exchange->front;
	bill_t bill;

	endpoint_done(exchange);
	exchange_learn_answer(exchange);
	if (exchange_cascade_up(exchange))
		return;
	bill_fill(exchange, false, &bill);
	if (exchange->job != NULL) {
		deferred_done(exchange, &bill);
		exchange_end(exchange);
		front_dispatch(front);
		return;
	}
	outcome_tell(exchange);
	exchange->phase = PHASE_BILL;
	billing_record(front->billing, &bill, exchange->tag);
	if (front->admission.waiting_count > 0)
		front_dispatch(front);
}

static void
stream_end(exchange_t *exchange)
{
	struct evbuffer *out = evbuffer_new();

	evbuffer_add(out, end_mark, sizeof(end_mark) - 1);
	evhttp_send_reply_chunk(exchange->req, out);
	evhttp_send_reply_end(exchange->req);
	evbuffer_free(out);
}

static void
plain_end(exchange_t *exchange)
{
	exchange_answer_headers(exchange);
	http_answer_header(exchange->req, "Content-Type", "application/json");
	evhttp_send_reply(
	    exchange->req, exchange->status, NULL, exchange->answer);
}

void
exchange_billed(exchange_t *exchange)
{
	front_t *front = exchange->front;

	if (exchange->req != NULL) {
		http_request_unwatch(exchange->req);
		if (exchange->stream)
			stream_end(exchange);
		else
			plain_end(exchange);
		exchange->req = NULL;
		counter_add(front->process.counters, COUNTER_ANSWERS, 1);
		counter_add(front->process.counters, COUNTER_TOKENS,
		    exchange->sse.tokens);
		timeline_add(front->process.timeline, EVENT_ANSWER_DONE,
		    exchange->id, "%llu tokens",
		    (unsigned long long)exchange->sse.tokens);
	}
	exchange_end(exchange);
}

/* A failure inside a stream that has begun: an event, and no end mark. */
static void
stream_cut(exchange_t *exchange, const err_t *err)
{
	front_t *front = exchange->front;
	struct evbuffer *out = evbuffer_new();
	json_t *body = failure_json(front, err, NULL, 0);
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	evbuffer_add_printf(out, "event: error\ndata: %s\n\n", text);
	evhttp_send_reply_chunk(exchange->req, out);
	evhttp_send_reply_end(exchange->req);
	evbuffer_free(out);
	free(text);
	counter_add(front->process.counters, COUNTER_STREAMS_CUT, 1);
}

/* What a keyed request's refusal may say of earlier attempts. */
static const char *
ran_word(const exchange_t *exchange, const err_t *err)
{
	if (!exchange->keyed || exchange->settled)
		return NULL;
	return err_info(err->code)->ran == ERR_NOT_RUN ? "unknown" : NULL;
}

/* A new ticket with the failure saves the caller a round trip. */
static json_t *
ticket_offer(exchange_t *exchange, err_code_t code)
{
	char sealed[TOKEN_TEXT_MAX];
	ticket_t ticket;

	if (code != ERR_TICKET_DEAD)
		return NULL;
	ticket_mint(exchange->front, exchange->organisation, &ticket);
	if (!ticket_seal(&exchange->front->keyring, &ticket, sealed))
		return NULL;
	return json_pack("{s:s}", "ticket", sealed);
}

static void
failure_tell(exchange_t *exchange, const err_t *err)
{
	http_request_unwatch(exchange->req);
	if (exchange->reply_started) {
		stream_cut(exchange, err);
	} else {
		http_answer_header(
		    exchange->req, "Moortack-Request", exchange->id);
		answer_failure(exchange->front, exchange->req, err,
		    ran_word(exchange, err), ticket_offer(exchange, err->code));
	}
	exchange->req = NULL;
}

/* A stream that its caller left, or that broke, is billed as delivered. */
static void
cut_bill(exchange_t *exchange)
{
	bill_t bill;

	if (!exchange->engine ||
	    (exchange->sse.tokens == 0 && exchange->line_count == 0))
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
	if (exchange->phase == PHASE_TICKET)
		exchange_unsent(exchange);
	if (exchange->granted && !exchange->ran) {
		exchange_unsent(exchange);
		exchange->settled = true;
	}
	timeline_add(front->process.timeline,
	    exchange->reply_started ? EVENT_ANSWER_CUT : EVENT_REQUEST_REFUSED,
	    exchange->id, "%s", err_info(code)->name);
	if (exchange->job != NULL)
		deferred_failed(exchange, &err);
	else
		cut_bill(exchange);
	if (exchange->req != NULL)
		failure_tell(exchange, &err);
	exchange_end(exchange);
}

void
exchange_end(exchange_t *exchange)
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
	if (exchange->answer != NULL)
		evbuffer_free(exchange->answer);
	json_decref(exchange->body);
	front_exchange_free(front, exchange);
}
