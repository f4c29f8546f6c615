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
	*witness = (witness_t){.max = max, .next_expiry_ms = INT64_MAX};
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

	if (witness->wall_ms < witness->next_expiry_ms)
		return;
	witness->next_expiry_ms = INT64_MAX;
	HASH_ITER(hh, witness->entries, entry, next)
	{
		if (entry->expires_ms <= witness->wall_ms)
			entry_drop(witness, entry);
		else if (entry->expires_ms < witness->next_expiry_ms)
			witness->next_expiry_ms = entry->expires_ms;
	}
}

static witness_state_t
entry_add(witness_t *witness, const witness_question_t *question,
    witness_state_t state)
{
	witness_entry_t *entry;

	if (witness_count(witness) >= witness->max)
		return WITNESS_REFUSED;
	entry = calloc(1, sizeof(*entry));
	if (entry == NULL)
		return WITNESS_REFUSED;
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
absent_ask(witness_t *witness, const witness_question_t *question)
{
	witness_state_t state;

	/* It may have been held and dropped. */
	if (question->expires_ms <= witness->wall_ms)
		return WITNESS_EXPIRED;
	switch (question->op) {
	case WITNESS_GO:
		state = entry_add(witness, question, WITNESS_WENT);
		return state == WITNESS_WENT ? WITNESS_YOURS : state;
	case WITNESS_KILL:
	case WITNESS_UNSENT:
		return entry_add(witness, question, WITNESS_DEAD);
	case WITNESS_OUTCOME:
		break;
	}
	return WITNESS_ABSENT;
}

static void
outcome_take(witness_entry_t *entry, const witness_question_t *question)
{
	entry->state = WITNESS_DONE;
	entry->status = question->status;
	if (question->answer == NULL ||
	    question->answer_len > WITNESS_ANSWER_MAX)
		return;
	entry->answer = malloc(question->answer_len + 1);
	if (entry->answer == NULL)
		return;
	memcpy(entry->answer, question->answer, question->answer_len);
	entry->answer_len = question->answer_len;
}

static witness_state_t
entry_ask(witness_entry_t *entry, const witness_question_t *question)
{
	if (entry->state != WITNESS_WENT || entry->attempt != question->attempt)
		return entry->state;
	switch (question->op) {
	case WITNESS_GO:
		return WITNESS_YOURS;
	case WITNESS_UNSENT:
		entry->state = WITNESS_DEAD;
		break;
	case WITNESS_OUTCOME:
		outcome_take(entry, question);
		break;
	case WITNESS_KILL:
		break;
	}
	return entry->state;
}

witness_answer_t
witness_ask(
    witness_t *witness, const witness_question_t *question, int64_t wall_ms)
{
	witness_answer_t answer = {0};
	witness_entry_t *entry;

	if (wall_ms > witness->wall_ms)
		witness->wall_ms = wall_ms;
	expire(witness);
	HASH_FIND(
	    hh, witness->entries, question->ticket, TICKET_ID_SIZE, entry);
	if (entry == NULL) {
		answer.state = absent_ask(witness, question);
		return answer;
	}
	answer.state = entry_ask(entry, question);
	answer.status = entry->status;
	answer.answer = entry->answer;
	answer.answer_len = entry->answer_len;
	return answer;
}
