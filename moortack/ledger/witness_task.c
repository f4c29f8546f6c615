#include "moortack/ledger/witness_task.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include <sodium.h>

#define WITNESS_TIMEOUT_MS 400

enum witness_message {
	WITNESS_LOCAL, /**< a local_ask_t */
	WITNESS_PEER_ASKS,
	WITNESS_PEER_SAYS,
};

typedef struct local_ask {
	uint64_t incarnation;
	uint64_t tag;
	int which;
	witness_query_t question;
	uint8_t *answer; /**< a copy that the question points into */
} local_ask_t;

struct witness_task {
	process_t process;
	peers_t *peers;
	task_t task;
	task_t *front;
	int front_kind;
	witness_t witness;
};

static void
local_ask_free(void *body)
{
	local_ask_t *ask = body;

	free(ask->answer);
	free(ask);
}

void
witness_result_free(void *body)
{
	witness_result_t *news = body;

	free(news->body);
	free(news);
}

static void
news_post(witness_task_t *task, uint64_t tag, int which, bool lost,
    const witness_response_t *answer)
{
	witness_result_t *news;

	if (tag == 0)
		return;
	news = calloc(1, sizeof(*news));
	if (news == NULL)
		return;
	news->tag = tag;
	news->witness_index = which;
	news->no_response = lost;
	news->state = answer->state;
	news->status = answer->status;
	if (answer->body != NULL)
		news->body = calloc(1, answer->body_len + 1);
	if (news->body != NULL) {
		memcpy(news->body, answer->body, answer->body_len);
		news->body_len = answer->body_len;
	}
	task_post(task->front, task->front_kind, news, witness_result_free);
}

static witness_response_t
ask_here(witness_task_t *task, const witness_query_t *question)
{
	char id[TICKET_ID_SIZE * 2 + 1];
	witness_response_t answer = witness_apply(&task->witness, question,
	    timespec_to_ms(clock_wall(task->process.clock)));

	sodium_bin2hex(id, sizeof(id), question->ticket, TICKET_ID_SIZE);
	if (answer.state == WITNESS_GRANTED_TO_SENDER) {
		counter_add(task->process.counters, COUNTER_TICKETS_GRANTED, 1);
		timeline_add(
		    task->process.timeline, EVENT_TICKET_GRANTED, id, "%s", "");
	} else if (question->op != WITNESS_OP_OUTCOME &&
	    answer.state == WITNESS_REVOKED) {
		counter_add(task->process.counters, COUNTER_TICKETS_REVOKED, 1);
		timeline_add(
		    task->process.timeline, EVENT_TICKET_REVOKED, id, "%s", "");
	}
	return answer;
}

/* The tag of a question to a peer holds which witness it is. */
static uint64_t
peer_tag(uint64_t tag, int which)
{
	return tag << 1 | (uint64_t)which;
}

static void
ask_peer(witness_task_t *task, const local_ask_t *local)
{
	const witness_query_t *question = &local->question;
	Wire__TicketAsk wire = WIRE__TICKET_ASK__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	const peer_ask_t ask = {.to = local->incarnation,
	    .timeout_ms = WITNESS_TIMEOUT_MS,
	    .task = local->tag != 0 ? &task->task : NULL,
	    .kind = WITNESS_PEER_SAYS,
	    .tag = peer_tag(local->tag, local->which)};

	wire.op = (Wire__TicketAsk__Op)question->op;
	wire.ticket.data = (uint8_t *)question->ticket;
	wire.ticket.len = TICKET_ID_SIZE;
	wire.expires_ms = question->expires_ms;
	wire.attempt = question->attempt;
	wire.status = question->status;
	wire.answer.data = local->answer;
	wire.answer.len = local->answer != NULL ? question->body_len : 0;
	envelope.body_case = WIRE__ENVELOPE__BODY_TICKET_ASK;
	envelope.ticket_ask = &wire;
	peers_ask(task->peers, &ask, &envelope);
}

static void
local_take(witness_task_t *task, const local_ask_t *local)
{
	witness_response_t answer;

	if (local->incarnation != task->process.incarnation) {
		ask_peer(task, local);
		return;
	}
	answer = ask_here(task, &local->question);
	news_post(task, local->tag, local->which, false, &answer);
}

static void
peer_asks(witness_task_t *task, const peer_question_t *question)
{
	const Wire__TicketAsk *wire = question->envelope->ticket_ask;
	witness_query_t ask = {.op = (witness_op_t)wire->op,
	    .expires_ms = wire->expires_ms,
	    .attempt = wire->attempt,
	    .status = wire->status,
	    .body = wire->answer.data,
	    .body_len = wire->answer.len};
	Wire__TicketAnswer out = WIRE__TICKET_ANSWER__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	witness_response_t answer;

	if (wire->ticket.len != TICKET_ID_SIZE || ask.op > WITNESS_OP_UNSENT)
		return;
	memcpy(ask.ticket, wire->ticket.data, TICKET_ID_SIZE);
	answer = ask_here(task, &ask);
	out.state = (Wire__TicketAnswer__State)answer.state;
	out.status = answer.status;
	out.answer.data = (uint8_t *)answer.body;
	out.answer.len = answer.body != NULL ? answer.body_len : 0;
	envelope.body_case = WIRE__ENVELOPE__BODY_TICKET_ANSWER;
	envelope.ticket_answer = &out;
	peers_answer(task->peers, question, &envelope);
}

static void
peer_says(witness_task_t *task, const peer_answer_t *said)
{
	witness_response_t answer = {0};
	const Wire__TicketAnswer *wire;
	bool lost = said->envelope == NULL ||
	    said->envelope->body_case != WIRE__ENVELOPE__BODY_TICKET_ANSWER;

	if (!lost) {
		wire = said->envelope->ticket_answer;
		answer.state = (witness_state_t)wire->state;
		answer.status = wire->status;
		answer.body = wire->answer.data;
		answer.body_len = wire->answer.len;
	}
	news_post(task, said->tag >> 1, (int)(said->tag & 1), lost, &answer);
}

static void
handle(void *state, task_msg_t *msg)
{
	witness_task_t *task = state;

	switch ((enum witness_message)msg->kind) {
	case WITNESS_LOCAL:
		local_take(task, msg->body);
		break;
	case WITNESS_PEER_ASKS:
		peer_asks(task, msg->body);
		break;
	case WITNESS_PEER_SAYS:
		peer_says(task, msg->body);
		break;
	}
}

void
witness_task_query(witness_task_t *task, uint64_t incarnation, uint64_t tag,
    int which, const witness_query_t *question)
{
	local_ask_t *ask = calloc(1, sizeof(*ask));

	if (ask == NULL)
		return;
	ask->incarnation = incarnation;
	ask->tag = tag;
	ask->which = which;
	ask->question = *question;
	if (question->body != NULL && question->body_len <= WITNESS_BODY_MAX) {
		ask->answer = malloc(question->body_len + 1);
		if (ask->answer != NULL)
			memcpy(ask->answer, question->body, question->body_len);
	}
	ask->question.body = ask->answer;
	task_post(&task->task, WITNESS_LOCAL, ask, local_ask_free);
}

witness_task_t *
witness_task_new(const process_t *process, peers_t *peers, uint32_t max,
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
	task_init(&task->task, process->base, handle, task);
	peers_route(peers, WIRE__ENVELOPE__BODY_TICKET_ASK, &task->task,
	    WITNESS_PEER_ASKS);
	return task;
}

void
witness_task_free(witness_task_t *task)
{
	task_finish(&task->task);
	witness_finish(&task->witness);
	free(task);
}
