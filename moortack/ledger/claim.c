#include "moortack/ledger/claim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLAIM_KEY_SIZE 384
#define CLAIM_TRIES 3

typedef struct claim {
	store_t *store;
	char key[CLAIM_KEY_SIZE];
	char *ticket;
	claim_done_t done;
	void *arg;
	uint64_t tag;
	int tries;
} claim_t;

static bool claim_read(claim_t *);

static void
claim_finish(claim_t *claim, const char *ticket)
{
	claim->done(claim->arg, claim->tag, ticket);
	free(claim->ticket);
	free(claim);
}

static void
claim_write_done(void *arg, store_result_t result, const json_t *response)
{
	claim_t *claim = arg;

	(void)response;
	if (result == STORE_OK) {
		claim_finish(claim, claim->ticket);
		return;
	}
	/* Another claim came first, or the response was lost: reading the row
	 * again shows which ticket is bound. */
	if (result == STORE_RATE_LIMITED || ++claim->tries >= CLAIM_TRIES ||
	    !claim_read(claim))
		claim_finish(claim, NULL);
}

static void
claim_read_done(void *arg, store_result_t result, const json_t *response)
{
	claim_t *claim = arg;
	const char *ticket = store_response_value(response, claim->key);

	if (result != STORE_OK)
		claim_finish(claim, NULL);
	else if (ticket != NULL)
		claim_finish(claim, ticket);
	else if (!store_txn(claim->store,
		     json_pack("[o]", store_row_new(claim->key, NULL)),
		     json_pack("[o]", store_row_new(claim->key, claim->ticket)),
		     claim_write_done, claim))
		claim_finish(claim, NULL);
}

static bool
claim_read(claim_t *claim)
{
	return store_get(
	    claim->store, json_pack("[s]", claim->key), claim_read_done, claim);
}

bool
claim_start(store_t *store, const char *organisation, const char *key,
    const char *ticket, claim_done_t done, void *arg, uint64_t tag)
{
	claim_t *claim = calloc(1, sizeof(*claim));

	if (claim == NULL)
		return false;
	*claim =
	    (claim_t){.store = store, .done = done, .arg = arg, .tag = tag};
	snprintf(
	    claim->key, sizeof(claim->key), "claim/%s/%s", organisation, key);
	claim->ticket = strdup(ticket);
	if (claim->ticket == NULL || !claim_read(claim)) {
		free(claim->ticket);
		free(claim);
		return false;
	}
	return true;
}
