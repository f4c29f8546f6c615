/**
 * @file
 * A lease in the platform's table, with a fencing token that grows each time
 * the lease gets another holder. Its row is "lease/NAME":
 * {"holder","fence","until_ms"}.
 *
 * A holder may act only while the lease is usable. Its time is measured on the
 * clock that counts suspended time, from before the lease was requested, and
 * less a safety margin. The holder's orders carry the fencing token for
 * receivers that check it; for those that don't, an order must do no harm if it
 * arrives late.
 */
#ifndef MOORTACK_MEMBER_LEASE_H
#define MOORTACK_MEMBER_LEASE_H

#include "moortack/member/peers.h"
#include "moortack/store/store.h"

#define LEASE_NAME_SIZE 32

typedef struct lease {
	const process_context_t *process;
	store_t *store;
	char name[LEASE_NAME_SIZE];
	int64_t ttl_ms;
	bool held;
	bool request_pending;
	int64_t fence; /**< fencing token of this daemon, while held */
	struct timespec expires_at; /**< boot time clock */
	struct timespec requested_at;
	int64_t requested_fence;
} lease_t;

void lease_init(lease_t *, const process_context_t *, store_t *,
    const char *name, int64_t ttl_ms);

/** Requests the lease, or its renewal; see lease_usable() for the outcome. */
void lease_request(lease_t *);

/** Whether this daemon holds the lease with enough time left to carry
 * out an order. */
bool lease_usable(const lease_t *);

#endif
