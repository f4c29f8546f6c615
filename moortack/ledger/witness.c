#include "moortack/ledger/witness.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

struct witness_entry {
	uint8_t ticket[TICKET_ID_SIZE];
	witness_state_t state; /**< WENT, DONE or DEAD */
	uint64_t attempt;
	int64_t expires_ms;
	int status;
	void *answer;
	size_t answer_len;
	UT_hash_handle hh;
};

void
witness_init(witness_t *witness, uint32_t max)
{
	*witness = (witness_t){.entries_max = max, .next_expiry_ms = INT64_MAX};
}

static void
entry_drop(witness_t *witness, witness_entry_t *entry)
{
	HASH_DEL(witness->entries, entry);
	free(entry->answer);
	free(entry);
}

void
witness_finish(witness_t *witness)
{
	witness_entry_t *entry, *next;

	HASH_ITER(hh, witness->entries, entry, next)
	{
		entry_drop(witness, entry);
	}
}

uint32_t
witness_count(const witness_t *witness)
{
	return HASH_COUNT(witness->entries);
}

static void
expire(witness_t *witness)
{
	witness_entry_t *entry, *next;

	if (witness->latest_wall_ms < witness->next_expiry_ms)
		return;
	witness->next_expiry_ms = INT64_MAX;
	HASH_ITER(hh, witness->entries, entry, next)
	{
		if (entry->expires_ms <= witness->latest_wall_ms)
			entry_drop(witness, entry);
		else if (entry->expires_ms < witness->next_expiry_ms)
			witness->next_expiry_ms = entry->expires_ms;
	}
}

static witness_state_t
entry_add(
    witness_t *witness, const witness_query_t *question, witness_state_t state)
{
	witness_entry_t *entry;

	if (witness_count(witness) >= witness->entries_max)
		return WITNESS_FULL;
	entry = calloc(1, sizeof(*entry));
	if (entry == NULL)
		return WITNESS_FULL;
	memcpy(entry->ticket, question->ticket, TICKET_ID_SIZE);
	entry->state = state;
	entry->attempt = question->attempt;
	entry->expires_ms = question->expires_ms;
	HASH_ADD(hh, witness->entries, ticket, TICKET_ID_SIZE, entry);
	if (entry->expires_ms < witness->next_expiry_ms)
		witness->next_expiry_ms = entry->expires_ms;
	return state;
}

/* A ticket that this witness holds nothing of. */
static witness_state_t
absent_ask(witness_t *witness, const witness_query_t *question)
{
	witness_state_t state;

	/* It may have been held and dropped. */
	if (question->expires_ms <= witness->latest_wall_ms)
		return WITNESS_EXPIRED;
	switch (question->op) {
	case WITNESS_OP_GRANT:
		state = entry_add(witness, question, WITNESS_GRANTED);
		return state == WITNESS_GRANTED ? WITNESS_GRANTED_TO_SENDER
						: state;
	case WITNESS_OP_REVOKE:
	case WITNESS_OP_UNSENT:
		return entry_add(witness, question, WITNESS_REVOKED);
	case WITNESS_OP_OUTCOME:
		break;
	}
	return WITNESS_ABSENT;
}

static void
outcome_take(witness_entry_t *entry, const witness_query_t *question)
{
	entry->state = WITNESS_COMPLETED;
	entry->status = question->status;
	if (question->body == NULL || question->body_len > WITNESS_BODY_MAX)
		return;
	entry->answer = malloc(question->body_len + 1);
	if (entry->answer == NULL)
		return;
	memcpy(entry->answer, question->body, question->body_len);
	entry->answer_len = question->body_len;
}

static witness_state_t
entry_ask(witness_entry_t *entry, const witness_query_t *question)
{
	if (entry->state != WITNESS_GRANTED ||
	    entry->attempt != question->attempt)
		return entry->state;
	switch (question->op) {
	case WITNESS_OP_GRANT:
		return WITNESS_GRANTED_TO_SENDER;
	case WITNESS_OP_UNSENT:
		entry->state = WITNESS_REVOKED;
		break;
	case WITNESS_OP_OUTCOME:
		outcome_take(entry, question);
		break;
	case WITNESS_OP_REVOKE:
		break;
	}
	return entry->state;
}

witness_response_t
witness_apply(
    witness_t *witness, const witness_query_t *question, int64_t wall_ms)
{
	witness_response_t answer = {0};
	witness_entry_t *entry;

	if (wall_ms > witness->latest_wall_ms)
		witness->latest_wall_ms = wall_ms;
	expire(witness);
	HASH_FIND(
	    hh, witness->entries, question->ticket, TICKET_ID_SIZE, entry);
	if (entry == NULL) {
		answer.state = absent_ask(witness, question);
		return answer;
	}
	answer.state = entry_ask(entry, question);
	answer.status = entry->status;
	answer.body = entry->answer;
	answer.body_len = entry->answer_len;
	return answer;
}
