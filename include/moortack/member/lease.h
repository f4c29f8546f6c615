/**
 * @file
 * A lease in the platform's table, with a fencing number that grows each time
 * it changes hands. Its row is "lease/NAME": {"holder","fence","until_ms"}.
 *
 * A holder may act only while the lease is usable: by the clock that counts
 * suspended time, from before it was asked for, and with a margin left. What it
 * orders carries the fencing number, for those that look at it; for those that
 * don't, orders must be such that a late one does no harm.
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
	int64_t fence;		    /**< of this holder, while held */
	struct timespec expires_at; /**< elapsed clock */
	struct timespec requested_at;
	int64_t requested_fence;
} lease_t;

void lease_init(lease_t *, const process_context_t *, store_t *,
    const char *name, int64_t ttl_ms);

/** Ask for the lease, or to keep it; the outcome shows in lease_usable(). */
void lease_request(lease_t *);

/** Whether the holder may act now, for as long as an order takes. */
bool lease_usable(const lease_t *);

#endif
