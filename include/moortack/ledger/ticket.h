/**
 * @file
 * A single-use ticket: a sealed text that names its two witnesses, the daemons
 * that record whether it was used, by their incarnations. Hence it doesn't
 * depend on any daemon's view of the membership.
 */
#ifndef MOORTACK_LEDGER_TICKET_H
#define MOORTACK_LEDGER_TICKET_H

#include "moortack/config/config.h"
#include "moortack/ledger/keyring.h"
#include "moortack/ledger/redeem.h"

typedef struct ticket {
	uint8_t id[TICKET_ID_SIZE];
	char organisation[CONFIG_NAME_SIZE];
	int64_t expires_ms;		      /**< wall-clock */
	uint64_t witnesses[REDEEM_WITNESSES]; /**< incarnations */
} ticket_t;

/** @return false when it doesn't fit */
bool ticket_seal(const keyring_t *, const ticket_t *, char out[TOKEN_TEXT_MAX]);

/** @return false when the text isn't a genuine ticket */
bool ticket_open(const keyring_t *, const char *text, ticket_t *out);

#endif
