/**
 * @file
 * Stateful fuzzing of single-use tickets: two witnesses, and attempts at any
 * daemon and in any order. Messages are lost, repeated, late and out of order,
 * witnesses go down, attempts are suspended for long, and clocks differ.
 *
 * The oracle is a count and a flag for each ticket: it runs at most once, and
 * if "not run" was reported, it never ran before and never runs after.
 */
#include <string.h>

#include "input.h"
#include "moortack/ledger/redeem.h"

#define TICKETS 3
#define ATTEMPTS 12
#define MESSAGES 96
#define WITNESS_MAX 8
#define TTL_MS 100
#define SKEW_MS 40

typedef enum attempt_phase {
	ATTEMPT_NONE,
	ATTEMPT_QUERYING,
	ATTEMPT_GRANTED, /**< may be sent, or be suspended for long before that
			  */
	ATTEMPT_ENDED,
} attempt_phase_t;

typedef struct attempt {
	attempt_phase_t phase;
	int ticket;
	redeem_t redeem;
} attempt_t;

/** In flight to a witness or, after that, its response. */
typedef struct message {
	bool used;
	bool responded;
	int attempt;
	int witness;
	witness_op_t op;
	witness_state_t state;
} message_t;

typedef struct world {
	witness_t witnesses[REDEEM_WITNESSES];
	bool down[REDEEM_WITNESSES];
	int64_t wall_ms;
	int64_t expires_ms[TICKETS];
	attempt_t attempts[ATTEMPTS];
	message_t messages[MESSAGES];
	int runs[TICKETS];
	bool reported_not_run[TICKETS]; /**< "not run" was reported */
} world_t;

static void
message_send(world_t *world, int attempt, int witness, witness_op_t op)
{
	for (int i = 0; i < MESSAGES; i++) {
		if (world->messages[i].used)
			continue;
		world->messages[i] = (message_t){.used = true,
		    .attempt = attempt,
		    .witness = witness,
		    .op = op};
		return;
	}
}

static void
unsent_report(world_t *world, int attempt)
{
	for (int w = 0; w < REDEEM_WITNESSES; w++) {
		if (redeem_may_be_granted(&world->attempts[attempt].redeem, w))
			message_send(world, attempt, w, WITNESS_OP_UNSENT);
	}
}

static void
attempt_start(world_t *world, input_t *input)
{
	int n = (int)input_below(input, ATTEMPTS);
	attempt_t *attempt = &world->attempts[n];

	if (attempt->phase != ATTEMPT_NONE)
		return;
	attempt->phase = ATTEMPT_QUERYING;
	attempt->ticket = (int)input_below(input, TICKETS);
	redeem_init(&attempt->redeem);
	for (int w = 0; w < REDEEM_WITNESSES; w++)
		message_send(world, n, w, WITNESS_OP_GRANT);
}

static void
attempt_evaluate(world_t *world, int n)
{
	attempt_t *attempt = &world->attempts[n];
	redeem_result_t result;

	if (attempt->phase != ATTEMPT_QUERYING)
		return;
	result = redeem_result(&attempt->redeem);
	if (result == REDEEM_PENDING)
		return;
	if (result == REDEEM_GRANTED) {
		attempt->phase = ATTEMPT_GRANTED;
		return;
	}
	attempt->phase = ATTEMPT_ENDED;
	if (result == REDEEM_NOT_RUN) {
		FUZZ_CHECK(world->runs[attempt->ticket] == 0);
		world->reported_not_run[attempt->ticket] = true;
	}
	unsent_report(world, n);
}

static void
witness_respond(world_t *world, message_t *message)
{
	const attempt_t *attempt = &world->attempts[message->attempt];
	witness_query_t query = {.op = message->op,
	    .expires_ms = world->expires_ms[attempt->ticket],
	    .attempt = (uint64_t)message->attempt + 1,
	    .body = "x",
	    .body_len = 1};
	/* The witnesses' clocks differ. */
	int64_t wall_ms = world->wall_ms + message->witness * SKEW_MS;

	if (world->down[message->witness]) {
		message->used = false;
		return;
	}
	query.ticket[0] = (uint8_t)attempt->ticket;
	message->state =
	    witness_apply(&world->witnesses[message->witness], &query, wall_ms)
		.state;
	message->responded = true;
	if (message->op != WITNESS_OP_GRANT)
		message->used = false;
}

static void
message_deliver(world_t *world, input_t *input)
{
	message_t *message = &world->messages[input_below(input, MESSAGES)];

	if (!message->used)
		return;
	if (!message->responded) {
		witness_respond(world, message);
		return;
	}
	message->used = false;
	redeem_record_response(&world->attempts[message->attempt].redeem,
	    message->witness, message->state);
	attempt_evaluate(world, message->attempt);
}

/* A query or a response is lost, or a query is repeated. */
static void
message_lose_or_repeat(world_t *world, input_t *input, bool repeat)
{
	message_t *message = &world->messages[input_below(input, MESSAGES)];

	if (!message->used)
		return;
	if (repeat)
		message_send(
		    world, message->attempt, message->witness, message->op);
	else
		message->used = false;
}

static void
attempt_time_out(world_t *world, input_t *input)
{
	int n = (int)input_below(input, ATTEMPTS);

	redeem_record_no_response(&world->attempts[n].redeem,
	    (int)input_below(input, REDEEM_WITNESSES));
	attempt_evaluate(world, n);
}

static void
attempt_finish(world_t *world, input_t *input, bool send)
{
	int n = (int)input_below(input, ATTEMPTS);
	attempt_t *attempt = &world->attempts[n];

	if (attempt->phase != ATTEMPT_GRANTED)
		return;
	attempt->phase = ATTEMPT_ENDED;
	if (!send) {
		/* It was granted and is given up unsent, which is "not run". */
		FUZZ_CHECK(world->runs[attempt->ticket] == 0);
		world->reported_not_run[attempt->ticket] = true;
		unsent_report(world, n);
		return;
	}
	world->runs[attempt->ticket]++;
	FUZZ_CHECK(world->runs[attempt->ticket] <= 1);
	FUZZ_CHECK(!world->reported_not_run[attempt->ticket]);
	for (int w = 0; w < REDEEM_WITNESSES; w++)
		message_send(world, n, w, WITNESS_OP_OUTCOME);
}

static void
step(world_t *world, input_t *input)
{
	switch (input_below(input, 12)) {
	case 0:
	case 1:
		attempt_start(world, input);
		break;
	case 2:
	case 3:
	case 4:
	case 5:
	case 6:
		message_deliver(world, input);
		break;
	case 7:
		message_lose_or_repeat(
		    world, input, input_below(input, 2) == 0);
		break;
	case 8:
		attempt_time_out(world, input);
		break;
	case 9:
		attempt_finish(world, input, true);
		break;
	case 10:
		attempt_finish(world, input, false);
		break;
	default:
		if (input_below(input, 8) == 0)
			world->down[input_below(input, REDEEM_WITNESSES)] =
			    true;
		else
			world->wall_ms += input_below(input, TTL_MS);
		break;
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	static world_t world;
	input_t input = {bytes, len, 0};

	memset(&world, 0, sizeof(world));
	for (int w = 0; w < REDEEM_WITNESSES; w++)
		witness_init(&world.witnesses[w], WITNESS_MAX);
	for (int t = 0; t < TICKETS; t++)
		world.expires_ms[t] = TTL_MS + t * TTL_MS;
	while (!input_at_end(&input))
		step(&world, &input);
	for (int w = 0; w < REDEEM_WITNESSES; w++)
		witness_finish(&world.witnesses[w]);
	return 0;
}
