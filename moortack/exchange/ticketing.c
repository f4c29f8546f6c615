#include <stdio.h>
#include <string.h>

#include "../front/front_priv.h"
#include "common/http_server.h"

static void
ask(exchange_t *exchange, int which, witness_op_t op, bool answer, int status,
    const char *body, size_t len)
{
	witness_question_t question = {.op = op,
	    .expires_ms = exchange->ticket.expires_ms,
	    .attempt = exchange->attempt_id,
	    .status = status,
	    .answer = body,
	    .answer_len = len};

	memcpy(question.ticket, exchange->ticket.id, TICKET_ID_SIZE);
	witness_task_ask(exchange->front->witnesses,
	    exchange->ticket.witnesses[which], answer ? exchange->tag : 0,
	    which, &question);
}

void
exchange_redeem(exchange_t *exchange)
{
	exchange->phase = PHASE_TICKET;
	if (exchange->attempt_id == 0)
		exchange->attempt_id =
		    rng_u64(exchange->front->process.rng) | 1;
	redeem_init(&exchange->redeem);
	for (int which = 0; which < REDEEM_WITNESSES; which++)
		ask(exchange, which, WITNESS_GO, true, 0, NULL, 0);
}

void
exchange_unsent(exchange_t *exchange)
{
	for (int which = 0; which < REDEEM_WITNESSES; which++) {
		if (redeem_may_hold(&exchange->redeem, which))
			ask(exchange, which, WITNESS_UNSENT, false, 0, NULL, 0);
	}
	exchange->granted = false;
}

void
exchange_outcome(exchange_t *exchange, int status, const char *body, size_t len)
{
	for (int which = 0; which < REDEEM_WITNESSES; which++)
		ask(exchange, which, WITNESS_OUTCOME, false, status, body, len);
}

/* It ran before: its answer again if a witness kept it. */
static void
replay(exchange_t *exchange, int status, const char *answer)
{
	struct evbuffer *out;
	struct evhttp_request *req = exchange->req;

	if (answer == NULL || req == NULL) {
		exchange_fail(exchange, ERR_TICKET_USED,
		    "it ran before; its answer was not kept");
		return;
	}
	out = evbuffer_new();
	evbuffer_add(out, answer, strlen(answer));
	http_request_unwatch_close(req);
	http_response_add_header(req, "Content-Type", "application/json");
	http_response_add_header(req, "Moortack-Replay", "1");
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
	exchange->req = NULL;
	exchange_end(exchange);
}

static void
result_take(exchange_t *exchange, int status, const char *answer)
{
	redeem_result_t result = redeem_result(&exchange->redeem);

	if (result == REDEEM_WAIT)
		return;
	if (result == REDEEM_GO) {
		exchange->granted = true;
		exchange_send(exchange);
		return;
	}
	exchange_unsent(exchange);
	exchange_endpoint_release(exchange);
	exchange->phase = PHASE_WAIT;
	switch (result) {
	case REDEEM_NOT_RUN:
		exchange->settled = true;
		exchange_fail(exchange, ERR_TICKET_REVOKED,
		    "it was not run under this ticket or key and never will "
		    "be; take a new one");
		return;
	case REDEEM_DONE:
		replay(exchange, status, answer);
		return;
	case REDEEM_BUSY:
		exchange_fail(exchange, ERR_WITNESS_FULL,
		    "a witness holds as many tickets as it may");
		return;
	default:
		exchange_fail(exchange, ERR_UNKNOWN_OUTCOME,
		    "an earlier attempt under this ticket or key may have "
		    "run");
	}
}

void
exchange_witness(exchange_t *exchange, int which, bool lost,
    witness_state_t state, int status, const char *answer)
{
	if (exchange->phase != PHASE_TICKET)
		return;
	if (lost)
		redeem_lost(&exchange->redeem, which);
	else
		redeem_answer(&exchange->redeem, which, state);
	result_take(exchange, status, answer);
}
