/**
 * @file
 * A single-use ticket: a sealed text that names the two daemons, by
 * incarnation, that may say whether it was used. No daemon's view of the
 * membership matters for it.
 */
#ifndef MOORTACK_LEDGER_TICKET_H
#define MOORTACK_LEDGER_TICKET_H

#include "moortack/config/config.h"
#include "moortack/ledger/keyring.h"
#include "moortack/ledger/redeem.h"

typedef struct ticket {
	uint8_t id[TICKET_ID_SIZE];
	char organisation[CONFIG_NAME_SIZE];
	int64_t expires_ms; /**< wall-clock */
	uint64_t witnesses[REDEEM_WITNESSES];
} ticket_t;

bool ticket_seal(const keyring_t *, const ticket_t *, char out[TOKEN_TEXT_MAX]);

/** @return false: not a genuine ticket */
bool ticket_open(const keyring_t *, const char *text, ticket_t *out);

#endif
