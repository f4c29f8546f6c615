/**
 * @file
 * Binds a caller's idempotency key to one ticket, in the platform's table: the
 * first claim wins, and later ones read its ticket. Requests that come with a
 * ticket need no claim.
 */
#ifndef MOORTACK_LEDGER_CLAIM_H
#define MOORTACK_LEDGER_CLAIM_H

#include <stdint.h>

#include "moortack/store/store.h"

/** @param ticket the sealed ticket that the key is bound to; NULL when
 * the store's responses didn't show which it is */
typedef void (*claim_done_t)(void *arg, uint64_t tag, const char *ticket);

/**
 * Read or claim the ticket of an idempotency key.
 * @param ticket the sealed ticket to bind if the key is new
 * @return false when it could not be started; the callback isn't called then
 */
bool claim_start(store_t *, const char *organisation, const char *key,
    const char *ticket, claim_done_t, void *arg, uint64_t tag);

#endif
