#include "moortack/ledger/keyring.h"

#include <stdlib.h>
#include <string.h>

#define HEADER_SIZE 2 /* key id, kind */
#define TOKEN_BYTES_MAX 700

static const char base64url_alphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
    "abcdefghijklmnopqrstuvwxyz0123456789-_";

bool
keyring_parse(keyring_t *ring, const char *text, err_t *err)
{
	*ring = (keyring_t){0};
	while (*text != '\0') {
		char *end;
		long id = strtol(text, &end, 10);
		size_t len = 0;
		const char *after;

		if (ring->count == KEYRING_MAX || end == text || *end != ':' ||
		    id < 0 || id > UINT8_MAX ||
		    sodium_hex2bin(ring->keys[ring->count].key,
			crypto_auth_KEYBYTES, end + 1, strcspn(end + 1, ","),
			NULL, &len, &after) != 0 ||
		    len != crypto_auth_KEYBYTES)
			return err_set(err, ERR_SETTING,
			    "token-keys: expected 1 to %d keys as ID:HEX, "
			    "with 64 hex digits each",
			    KEYRING_MAX);
		ring->keys[ring->count++].id = (uint8_t)id;
		text = after + (*after == ',');
	}
	if (ring->count == 0)
		return err_set(err, ERR_SETTING, "token-keys: no key is given");
	return true;
}

bool
token_seal(const keyring_t *ring, token_kind_t kind, const void *payload,
    size_t len, char out[TOKEN_TEXT_MAX])
{
	uint8_t bytes[TOKEN_BYTES_MAX];

	if (HEADER_SIZE + len + crypto_auth_BYTES > sizeof(bytes))
		return false;
	bytes[0] = ring->keys[0].id;
	bytes[1] = (uint8_t)kind;
	memcpy(bytes + HEADER_SIZE, payload, len);
	len += HEADER_SIZE;
	crypto_auth(bytes + len, bytes, len, ring->keys[0].key);
	sodium_bin2base64(out, TOKEN_TEXT_MAX, bytes, len + crypto_auth_BYTES,
	    sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	return true;
}

size_t
token_open(const keyring_t *ring, token_kind_t kind, const char *text,
    uint8_t *out, size_t size)
{
	uint8_t bytes[TOKEN_BYTES_MAX];
	size_t len;

	/* libsodium accepts some bytes above 127 as letters. */
	if (text[strspn(text, base64url_alphabet)] != '\0' ||
	    sodium_base642bin(bytes, sizeof(bytes), text, strlen(text), NULL,
		&len, NULL, sodium_base64_VARIANT_URLSAFE_NO_PADDING) != 0 ||
	    len <= HEADER_SIZE + crypto_auth_BYTES || bytes[1] != kind)
		return 0;
	len -= crypto_auth_BYTES;
	for (int i = 0; i < ring->count; i++) {
		if (ring->keys[i].id != bytes[0])
			continue;
		if (crypto_auth_verify(
			bytes + len, bytes, len, ring->keys[i].key) != 0 ||
		    len - HEADER_SIZE > size)
			return 0;
		memcpy(out, bytes + HEADER_SIZE, len - HEADER_SIZE);
		return len - HEADER_SIZE;
	}
	return 0;
}
