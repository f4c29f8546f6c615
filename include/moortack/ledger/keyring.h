/**
 * @file
 * The keys that authenticate tokens, by id, so that they can be rotated: the
 * first key seals new tokens, and every key opens those that it sealed. A
 * sealed token is authenticated, not encrypted.
 */
#ifndef MOORTACK_LEDGER_KEYRING_H
#define MOORTACK_LEDGER_KEYRING_H

#include <sodium.h>
#include <stddef.h>
#include <stdint.h>

#include "common/err.h"

#define KEYRING_MAX 4
#define TOKEN_TEXT_MAX 1024

/** What a token is for. A token of one kind isn't accepted as another. */
typedef enum token_kind {
	TOKEN_SESSION = 1,
	TOKEN_TICKET = 2,
} token_kind_t;

typedef struct keyring {
	struct {
		uint8_t id;
		uint8_t key[crypto_auth_KEYBYTES];
	} keys[KEYRING_MAX];
	int count;
} keyring_t;

/** Parse "ID:HEX,ID:HEX", with ids from 0 to 255 and keys of 32 bytes. */
bool keyring_parse(keyring_t *, const char *text, err_t *err);

/** Encode a payload with its authenticator as text.
 * @return false when it doesn't fit */
bool token_seal(const keyring_t *, token_kind_t, const void *payload,
    size_t len, char out[TOKEN_TEXT_MAX]);

/** Verify a token and copy out its payload.
 * @param size of @p out, bytes
 * @return length of the payload, bytes; 0 when the token isn't genuine or its
 * payload doesn't fit */
size_t token_open(const keyring_t *, token_kind_t, const char *text,
    uint8_t *out, size_t size);

#endif
