#include "moortack/ledger/witness_task.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include <sodium.h>

#define WITNESS_TIMEOUT_MS 400

enum witness_message {
	WITNESS_FRONT_QUERY, /**< front_query_t */
	WITNESS_PEER_QUERY,
	WITNESS_PEER_RESPONSE,
};

/** A query of this daemon's front, to any witness. */
typedef struct front_query {
	uint64_t incarnation;
	uint64_t tag;
	int witness_index;
	witness_query_t query;
	uint8_t *body; /**< a copy, to which query.body points */
} front_query_t;

struct witness_task {
	process_context_t process;
	peers_t *peers;
	task_t task;
	task_t *front;
	int front_kind;
	witness_t witness;
};

static void
front_query_free(void *body)
{
	front_query_t *front_query = body;

	free(front_query->body);
	free(front_query);
}

void
witness_result_free(void *body)
{
	witness_result_t *result = body;

	free(result->body);
	free(result);
}

static void
result_post(witness_task_t *task, uint64_t tag, int witness_index,
    bool no_response, const witness_response_t *response)
{
	witness_result_t *result;

	if (tag == 0)
		return;
	result = calloc(1, sizeof(*result));
	if (result == NULL)
		return;
	result->tag = tag;
	result->witness_index = witness_index;
	result->no_response = no_response;
	result->state = response->state;
	result->status = response->status;
	if (response->body != NULL)
		result->body = calloc(1, response->body_len + 1);
	if (result->body != NULL) {
		memcpy(result->body, response->body, response->body_len);
		result->body_len = response->body_len;
	}
	task_post(task->front, task->front_kind, result, witness_result_free);
}

static witness_response_t
query_apply(witness_task_t *task, const witness_query_t *query)
{
	char id[TICKET_ID_SIZE * 2 + 1];
	witness_response_t response = witness_apply(&task->witness, query,
	    timespec_to_ms(clock_wall(task->process.clock)));

	sodium_bin2hex(id, sizeof(id), query->ticket, TICKET_ID_SIZE);
	if (response.state == WITNESS_GRANTED_TO_SENDER) {
		counter_add(task->process.counters, COUNTER_TICKETS_GRANTED, 1);
		timeline_add(
		    task->process.timeline, EVENT_TICKET_GRANTED, id, "%s", "");
	} else if (query->op != WITNESS_OP_OUTCOME &&
	    response.state == WITNESS_REVOKED) {
		counter_add(task->process.counters, COUNTER_TICKETS_REVOKED, 1);
		timeline_add(
		    task->process.timeline, EVENT_TICKET_REVOKED, id, "%s", "");
	}
	return response;
}

/* The tag of a query to a peer: the lowest bit is the witness's index. */
static uint64_t
peer_tag(uint64_t tag, int witness_index)
{
	return tag << 1 | (uint64_t)witness_index;
}

static void
query_send(witness_task_t *task, const front_query_t *front_query)
{
	const witness_query_t *query = &front_query->query;
	Wire__TicketAsk wire = WIRE__TICKET_ASK__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	const peer_query_options_t peer_query = {.to = front_query->incarnation,
	    .timeout_ms = WITNESS_TIMEOUT_MS,
	    .task = front_query->tag != 0 ? &task->task : NULL,
	    .kind = WITNESS_PEER_RESPONSE,
	    .tag = peer_tag(front_query->tag, front_query->witness_index)};

	wire.op = (Wire__TicketAsk__Op)query->op;
	wire.ticket.data = (uint8_t *)query->ticket;
	wire.ticket.len = TICKET_ID_SIZE;
	wire.expires_ms = query->expires_ms;
	wire.attempt = query->attempt;
	wire.status = query->status;
	wire.answer.data = front_query->body;
	wire.answer.len = front_query->body != NULL ? query->body_len : 0;
	envelope.body_case = WIRE__ENVELOPE__BODY_TICKET_ASK;
	envelope.ticket_ask = &wire;
	peers_query(task->peers, &peer_query, &envelope);
}

static void
front_query_handle(witness_task_t *task, const front_query_t *front_query)
{
	witness_response_t response;

	if (front_query->incarnation != task->process.incarnation) {
		query_send(task, front_query);
		return;
	}
	response = query_apply(task, &front_query->query);
	result_post(task, front_query->tag, front_query->witness_index, false,
	    &response);
}

static void
peer_query_handle(witness_task_t *task, const peer_query_t *peer_query)
{
	const Wire__TicketAsk *wire = peer_query->envelope->ticket_ask;
	witness_query_t query = {.op = (witness_op_t)wire->op,
	    .expires_ms = wire->expires_ms,
	    .attempt = wire->attempt,
	    .status = wire->status,
	    .body = wire->answer.data,
	    .body_len = wire->answer.len};
	Wire__TicketAnswer wire_response = WIRE__TICKET_ANSWER__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	witness_response_t response;

	if (wire->ticket.len != TICKET_ID_SIZE || query.op > WITNESS_OP_UNSENT)
		return;
	memcpy(query.ticket, wire->ticket.data, TICKET_ID_SIZE);
	response = query_apply(task, &query);
	wire_response.state = (Wire__TicketAnswer__State)response.state;
	wire_response.status = response.status;
	wire_response.answer.data = (uint8_t *)response.body;
	wire_response.answer.len =
	    response.body != NULL ? response.body_len : 0;
	envelope.body_case = WIRE__ENVELOPE__BODY_TICKET_ANSWER;
	envelope.ticket_answer = &wire_response;
	peers_respond(task->peers, peer_query, &envelope);
}

static void
peer_response_handle(witness_task_t *task, const peer_response_t *peer_response)
{
	witness_response_t response = {0};
	const Wire__TicketAnswer *wire;
	bool no_response = peer_response->envelope == NULL ||
	    peer_response->envelope->body_case !=
		WIRE__ENVELOPE__BODY_TICKET_ANSWER;

	if (!no_response) {
		wire = peer_response->envelope->ticket_answer;
		response.state = (witness_state_t)wire->state;
		response.status = wire->status;
		response.body = wire->answer.data;
		response.body_len = wire->answer.len;
	}
	result_post(task, peer_response->tag >> 1,
	    (int)(peer_response->tag & 1), no_response, &response);
}

static void
message_handle(void *state, task_msg_t *msg)
{
	witness_task_t *task = state;

	switch ((enum witness_message)msg->kind) {
	case WITNESS_FRONT_QUERY:
		front_query_handle(task, msg->body);
		break;
	case WITNESS_PEER_QUERY:
		peer_query_handle(task, msg->body);
		break;
	case WITNESS_PEER_RESPONSE:
		peer_response_handle(task, msg->body);
		break;
	}
}

void
witness_task_query(witness_task_t *task, uint64_t incarnation, uint64_t tag,
    int witness_index, const witness_query_t *query)
{
	front_query_t *front_query = calloc(1, sizeof(*front_query));

	if (front_query == NULL)
		return;
	front_query->incarnation = incarnation;
	front_query->tag = tag;
	front_query->witness_index = witness_index;
	front_query->query = *query;
	if (query->body != NULL && query->body_len <= WITNESS_BODY_MAX) {
		front_query->body = malloc(query->body_len + 1);
		if (front_query->body != NULL)
			memcpy(front_query->body, query->body, query->body_len);
	}
	front_query->query.body = front_query->body;
	task_post(
	    &task->task, WITNESS_FRONT_QUERY, front_query, front_query_free);
}

witness_task_t *
witness_task_new(const process_context_t *process, peers_t *peers, uint32_t max,
    task_t *front, int kind)
{
	witness_task_t *task = calloc(1, sizeof(*task));

	if (task == NULL)
		return NULL;
	task->process = *process;
	task->peers = peers;
	task->front = front;
	task->front_kind = kind;
	witness_init(&task->witness, max);
	task_init(&task->task, process->base, message_handle, task);
	peers_handler_set(peers, WIRE__ENVELOPE__BODY_TICKET_ASK, &task->task,
	    WITNESS_PEER_QUERY);
	return task;
}

void
witness_task_free(witness_task_t *task)
{
	task_finish(&task->task);
	witness_finish(&task->witness);
	free(task);
}
