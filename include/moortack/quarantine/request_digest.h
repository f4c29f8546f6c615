/**
 * @file
 * Identifies a request by a hash of its caller, path and body, so that a repeat
 * of it has the same digest at any daemon, and a part of a prompt, so that
 * requests that share it have a digest in common. The hashes are keyed with the
 * fleet's secret, so that nobody can construct two requests or parts with the
 * same digest.
 */
#ifndef MOORTACK_QUARANTINE_REQUEST_DIGEST_H
#define MOORTACK_QUARANTINE_REQUEST_DIGEST_H

#include <event2/buffer.h>
#include <sodium.h>
#include <stdbool.h>
#include <stdint.h>

/** Key that all daemons of a fleet derive from the fleet's secret. */
typedef struct request_digest_key {
	uint8_t bytes[crypto_generichash_KEYBYTES];
	uint8_t part_bytes[crypto_shorthash_KEYBYTES]; /**< for parts */
} request_digest_key_t;

void
request_digest_key_derive(request_digest_key_t *, const char *fleet_secret);

/** Digest of a request.
 * @param caller name of the organisation; "": none
 * @param target path and query
 * @return never 0 */
uint64_t request_digest(const request_digest_key_t *, const char *caller,
    const char *target, struct evbuffer *body);

/** Digest of a part of a prompt; differs from the digests of all requests.
 * @param id equal for equal parts
 * @return never 0 */
uint64_t part_digest(const request_digest_key_t *, uint64_t id);
/** Whether it is the digest of a part; false: of a request. */
bool digest_is_part(uint64_t digest);

#endif
