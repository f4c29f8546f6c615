#include "moortack/quarantine/request_digest.h"

#include <string.h>

/* Separates this key from others that are derived from the fleet's secret. */
#define KEY_CONTEXT "moortack request digests 1"
#define PART_KEY_CONTEXT "moortack part digests 1"
/* Set in the digests of parts, so that messages and rows need no field for the
 * kind of digest. */
#define PART_BIT (1ULL << 63)

void
request_digest_key_derive(request_digest_key_t *key, const char *fleet_secret)
{
	crypto_generichash(key->bytes, sizeof(key->bytes),
	    (const uint8_t *)fleet_secret, strlen(fleet_secret),
	    (const uint8_t *)KEY_CONTEXT, sizeof(KEY_CONTEXT) - 1);
	crypto_generichash(key->part_bytes, sizeof(key->part_bytes),
	    (const uint8_t *)fleet_secret, strlen(fleet_secret),
	    (const uint8_t *)PART_KEY_CONTEXT, sizeof(PART_KEY_CONTEXT) - 1);
}

/* The terminating zero is hashed too, and separates the string from what
 * follows. */
static void
hash_add_string(crypto_generichash_state *state, const char *string)
{
	crypto_generichash_update(
	    state, (const uint8_t *)string, strlen(string) + 1);
}

static void
hash_add_body(crypto_generichash_state *state, struct evbuffer *body)
{
	struct evbuffer_ptr position;
	struct evbuffer_iovec part;

	evbuffer_ptr_set(body, &position, 0, EVBUFFER_PTR_SET);
	while (evbuffer_peek(body, -1, &position, &part, 1) > 0) {
		crypto_generichash_update(state, part.iov_base, part.iov_len);
		if (evbuffer_ptr_set(
			body, &position, part.iov_len, EVBUFFER_PTR_ADD) != 0)
			return;
	}
}

uint64_t
request_digest(const request_digest_key_t *key, const char *caller,
    const char *target, struct evbuffer *body)
{
	uint8_t out[crypto_generichash_BYTES_MIN];
	crypto_generichash_state state;
	uint64_t digest;

	crypto_generichash_init(
	    &state, key->bytes, sizeof(key->bytes), sizeof(out));
	hash_add_string(&state, caller);
	hash_add_string(&state, target);
	hash_add_body(&state, body);
	crypto_generichash_final(&state, out, sizeof(out));
	memcpy(&digest, out, sizeof(digest));
	digest &= ~PART_BIT;
	return digest != 0 ? digest : 1;
}

uint64_t
part_digest(const request_digest_key_t *key, uint64_t id)
{
	uint8_t out[crypto_shorthash_BYTES];
	uint64_t digest;

	crypto_shorthash(
	    out, (const uint8_t *)&id, sizeof(id), key->part_bytes);
	memcpy(&digest, out, sizeof(digest));
	return digest | PART_BIT;
}

bool
digest_is_part(uint64_t digest)
{
	return (digest & PART_BIT) != 0;
}
