#include <stdio.h>
#include <string.h>

#include "../front/front_priv.h"
#include "common/http_request.h"

static void
witness_query(exchange_t *exchange, int which, witness_op_t op,
    bool want_response, int status, const char *body, size_t len)
{
	witness_query_t query = {.op = op,
	    .expires_ms = exchange->ticket.expires_ms,
	    .attempt = exchange->attempt_id,
	    .status = status,
	    .body = body,
	    .body_len = len};

	memcpy(query.ticket, exchange->ticket.id, TICKET_ID_SIZE);
	witness_task_query(exchange->front->witness_task,
	    exchange->ticket.witnesses[which],
	    want_response ? exchange->tag : 0, which, &query);
}

void
exchange_ticket_redeem(exchange_t *exchange)
{
	exchange->phase = PHASE_REDEEM;
	if (exchange->attempt_id == 0)
		exchange->attempt_id =
		    rng_u64(exchange->front->process.rng) | 1;
	redeem_init(&exchange->redeem);
	for (int which = 0; which < REDEEM_WITNESSES; which++)
		witness_query(
		    exchange, which, WITNESS_OP_GRANT, true, 0, NULL, 0);
}

void
exchange_unsent_report(exchange_t *exchange)
{
	for (int which = 0; which < REDEEM_WITNESSES; which++) {
		if (redeem_may_be_granted(&exchange->redeem, which))
			witness_query(exchange, which, WITNESS_OP_UNSENT, false,
			    0, NULL, 0);
	}
	exchange->granted = false;
}

void
exchange_outcome_report(
    exchange_t *exchange, int status, const char *body, size_t len)
{
	for (int which = 0; which < REDEEM_WITNESSES; which++)
		witness_query(exchange, which, WITNESS_OP_OUTCOME, false,
		    status, body, len);
}

/* The request ran before: send its response again, if a witness has it. */
static void
response_replay(exchange_t *exchange, int status, const char *body)
{
	struct evbuffer *out;
	http_request_t *req = exchange->req;

	if (body == NULL || req == NULL) {
		exchange_fail(exchange, ERR_TICKET_USED,
		    "the request ran before, but its response was not stored");
		return;
	}
	out = evbuffer_new();
	evbuffer_add(out, body, strlen(body));
	http_request_set_closed(req, NULL, NULL);
	http_response_add_header(req, "Content-Type", "application/json");
	http_response_add_header(req, "Moortack-Replay", "1");
	http_request_respond(req, status, out);
	evbuffer_free(out);
	exchange->req = NULL;
	exchange_free(exchange);
}

static void
redeem_result_apply(exchange_t *exchange, int status, const char *body)
{
	redeem_result_t result = redeem_result(&exchange->redeem);

	if (result == REDEEM_PENDING)
		return;
	if (result == REDEEM_GRANTED) {
		exchange->granted = true;
		exchange_send(exchange);
		return;
	}
	exchange_unsent_report(exchange);
	exchange_endpoint_release(exchange);
	exchange->phase = PHASE_QUEUED;
	switch (result) {
	case REDEEM_NOT_RUN:
		exchange->known_not_run = true;
		exchange_fail(exchange, ERR_TICKET_REVOKED,
		    "nothing was run under this ticket or idempotency key, "
		    "nor will be; use a new one");
		return;
	case REDEEM_COMPLETED:
		response_replay(exchange, status, body);
		return;
	case REDEEM_WITNESS_FULL:
		exchange_fail(exchange, ERR_WITNESS_FULL,
		    "a witness has no capacity for more tickets");
		return;
	default:
		exchange_fail(exchange, ERR_UNKNOWN_OUTCOME,
		    "an earlier attempt under this ticket or idempotency key "
		    "may have run");
	}
}

void
exchange_witness_responded(exchange_t *exchange, int which, bool lost,
    witness_state_t state, int status, const char *body)
{
	if (exchange->phase != PHASE_REDEEM)
		return;
	if (lost)
		redeem_record_no_response(&exchange->redeem, which);
	else
		redeem_record_response(&exchange->redeem, which, state);
	redeem_result_apply(exchange, status, body);
}
