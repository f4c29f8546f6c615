/**
 * @file
 * Names a request by its path, caller and body: the same one that comes again,
 * at any daemon, has the same name. Keyed with the fleet's secret, so that
 * nobody can make two requests with one name.
 */
#ifndef MOORTACK_QUARANTINE_REQUEST_DIGEST_H
#define MOORTACK_QUARANTINE_REQUEST_DIGEST_H

#include <event2/buffer.h>
#include <sodium.h>
#include <stdint.h>

/** All daemons of a fleet derive it from the fleet's secret. */
typedef struct request_digest_key {
	uint8_t bytes[crypto_generichash_KEYBYTES];
} request_digest_key_t;

void
request_digest_key_derive(request_digest_key_t *, const char *fleet_secret);

/** @param caller name of the organisation; "": none
 * @param target path and query
 * @return never 0 */
uint64_t request_digest(const request_digest_key_t *, const char *caller,
    const char *target, struct evbuffer *body);

#endif
