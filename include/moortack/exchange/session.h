/**
 * @file
 * A session. Its state is stored in no table: it is in a sealed token, which
 * the caller sends back with each request.
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
	char endpoint[ENDPOINT_ADDRESS_SIZE]; /**< prefix likely cached there */
	uint64_t revision;  /**< of the configuration at its start */
	int64_t expires_ms; /**< wall-clock */
} session_t;

/** Seal a session into the text of a token. @return false if it can't be */
bool
session_seal(const keyring_t *, const session_t *, char out[TOKEN_TEXT_MAX]);

/** Open a token, which must be authentic, of this organisation and not expired.
 * @return false with @p err filled */
bool session_open(const keyring_t *, const char *text, const char *organisation,
    int64_t wall_ms, session_t *out, err_t *err);

#endif
