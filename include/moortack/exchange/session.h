/**
 * @file
 * A session: kept in a sealed token that the caller brings back, not in a
 * table.
 */
#ifndef MOORTACK_EXCHANGE_SESSION_H
#define MOORTACK_EXCHANGE_SESSION_H

#include "moortack/config/config.h"
#include "moortack/ledger/keyring.h"
#include "moortack/route/fleet.h"

typedef struct session {
	uint64_t id; /**< random; 0: none yet */
	char organisation[CONFIG_NAME_SIZE];
	char version[CONFIG_NAME_SIZE];
	char endpoint[ENDPOINT_ADDRESS_SIZE]; /**< likely holds its prefix */
	uint64_t revision;		      /**< at its start */
	int64_t expires_ms;		      /**< wall-clock */
} session_t;

bool
session_seal(const keyring_t *, const session_t *, char out[TOKEN_TEXT_MAX]);

/** Check a token: genuine, of this organisation, and not expired.
 * @return false with @p err filled */
bool session_open(const keyring_t *, const char *text, const char *organisation,
    int64_t wall_ms, session_t *out, err_t *err);

#endif
