#include "moortack/ledger/witness.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

struct witness_entry {
	uint8_t ticket[TICKET_ID_SIZE];
	witness_state_t state; /**< WITNESS_GRANTED, _COMPLETED or _REVOKED */
	uint64_t attempt;
	int64_t expires_ms;
	int status;
	void *body;
	size_t body_len;
	UT_hash_handle hh;
};

void
witness_init(witness_t *witness, uint32_t max)
{
	*witness = (witness_t){.entries_max = max, .next_expiry_ms = INT64_MAX};
}

static void
entry_remove(witness_t *witness, witness_entry_t *entry)
{
	HASH_DEL(witness->entries, entry);
	free(entry->body);
	free(entry);
}

void
witness_finish(witness_t *witness)
{
	witness_entry_t *entry, *next;

	HASH_ITER(hh, witness->entries, entry, next)
	{
		entry_remove(witness, entry);
	}
}

uint32_t
witness_count(const witness_t *witness)
{
	return HASH_COUNT(witness->entries);
}

static void
entries_expire(witness_t *witness)
{
	witness_entry_t *entry, *next;

	if (witness->latest_wall_ms < witness->next_expiry_ms)
		return;
	witness->next_expiry_ms = INT64_MAX;
	HASH_ITER(hh, witness->entries, entry, next)
	{
		if (entry->expires_ms <= witness->latest_wall_ms)
			entry_remove(witness, entry);
		else if (entry->expires_ms < witness->next_expiry_ms)
			witness->next_expiry_ms = entry->expires_ms;
	}
}

static witness_state_t
entry_add(
    witness_t *witness, const witness_query_t *query, witness_state_t state)
{
	witness_entry_t *entry;

	if (witness_count(witness) >= witness->entries_max)
		return WITNESS_FULL;
	entry = calloc(1, sizeof(*entry));
	if (entry == NULL)
		return WITNESS_FULL;
	memcpy(entry->ticket, query->ticket, TICKET_ID_SIZE);
	entry->state = state;
	entry->attempt = query->attempt;
	entry->expires_ms = query->expires_ms;
	HASH_ADD(hh, witness->entries, ticket, TICKET_ID_SIZE, entry);
	if (entry->expires_ms < witness->next_expiry_ms)
		witness->next_expiry_ms = entry->expires_ms;
	return state;
}

/* Apply a query on a ticket that is not in the table. */
static witness_state_t
unknown_ticket_apply(witness_t *witness, const witness_query_t *query)
{
	witness_state_t state;

	/* It may have been in the table and was removed. */
	if (query->expires_ms <= witness->latest_wall_ms)
		return WITNESS_EXPIRED;
	switch (query->op) {
	case WITNESS_OP_GRANT:
		state = entry_add(witness, query, WITNESS_GRANTED);
		return state == WITNESS_GRANTED ? WITNESS_GRANTED_TO_SENDER
						: state;
	case WITNESS_OP_REVOKE:
	case WITNESS_OP_UNSENT:
		return entry_add(witness, query, WITNESS_REVOKED);
	case WITNESS_OP_OUTCOME:
		break;
	}
	return WITNESS_ABSENT;
}

static void
outcome_record(witness_entry_t *entry, const witness_query_t *query)
{
	entry->state = WITNESS_COMPLETED;
	entry->status = query->status;
	if (query->body == NULL || query->body_len > WITNESS_BODY_MAX)
		return;
	entry->body = malloc(query->body_len + 1);
	if (entry->body == NULL)
		return;
	memcpy(entry->body, query->body, query->body_len);
	entry->body_len = query->body_len;
}

static witness_state_t
entry_apply(witness_entry_t *entry, const witness_query_t *query)
{
	if (entry->state != WITNESS_GRANTED || entry->attempt != query->attempt)
		return entry->state;
	switch (query->op) {
	case WITNESS_OP_GRANT:
		return WITNESS_GRANTED_TO_SENDER;
	case WITNESS_OP_UNSENT:
		entry->state = WITNESS_REVOKED;
		break;
	case WITNESS_OP_OUTCOME:
		outcome_record(entry, query);
		break;
	case WITNESS_OP_REVOKE:
		break;
	}
	return entry->state;
}

witness_response_t
witness_apply(witness_t *witness, const witness_query_t *query, int64_t wall_ms)
{
	witness_response_t response = {0};
	witness_entry_t *entry;

	if (wall_ms > witness->latest_wall_ms)
		witness->latest_wall_ms = wall_ms;
	entries_expire(witness);
	HASH_FIND(hh, witness->entries, query->ticket, TICKET_ID_SIZE, entry);
	if (entry == NULL) {
		response.state = unknown_ticket_apply(witness, query);
		return response;
	}
	response.state = entry_apply(entry, query);
	response.status = entry->status;
	response.body = entry->body;
	response.body_len = entry->body_len;
	return response;
}
