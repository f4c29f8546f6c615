/**
 * @file
 * Keeps requests that crash endpoints from them: collects the crashes that this
 * daemon sees, tells and hears of others' by datagrams, and keeps verdicts in
 * the store, where they outlast all daemons.
 */
#ifndef MOORTACK_RELAY_RELAY_QUARANTINE_H
#define MOORTACK_RELAY_RELAY_QUARANTINE_H

#include <event2/buffer.h>

#include "moortack/quarantine/quarantine.h"
#include "moortack/quarantine/request_digest.h"
#include "moortack/quarantine/unresolved_attempts.h"
#include "moortack/relay/crash_probe.h"
#include "moortack/relay/gossip.h"
#include "moortack/replication/row_store.h"

/** Prefix of the rows of verdicts in the system's table. */
#define QUARANTINE_PREFIX "quarantine/"
#define QUARANTINE_RESEND_MAX 32

typedef struct relay relay_t;

typedef struct relay_quarantine {
	relay_t *relay;
	row_store_t *store;
	request_digest_key_t key;
	bool key_known; /**< the fleet's secret is known */
	quarantine_t table;
	unresolved_attempts_t interrupted;
	unresolved_attempts_t abandoned; /**< attempts that were given up */
	crash_probe_t *probes;
	struct event
	    *stop_event; /**< requests under way that are refused now */
	/** Told again once, since datagrams get lost. */
	gossip_message_t resend[QUARANTINE_RESEND_MAX];
	size_t resend_len;
	const char *source; /**< of what is taken now, for the log */
	bool write_pending;
	struct timespec write_after;
	struct timespec versions_checked_at; /**< at the versions in use */
	uint64_t crash_count;	/**< of endpoints, seen by this daemon */
	uint64_t cleared_count; /**< requests that ran after a crash */
} relay_quarantine_t;

bool relay_quarantine_init(relay_quarantine_t *, relay_t *, row_store_t *);
void relay_quarantine_finish(relay_quarantine_t *);
/** Requests can be told apart from now on. */
void relay_quarantine_set_secret(relay_quarantine_t *, const char *secret);
/** Tell, write and expire what is due; called a few times a second. */
void relay_quarantine_tick(relay_quarantine_t *);

/** The endpoint's incarnation has ended without leaving.
 * @param how this is known, for the log */
void relay_quarantine_endpoint_crashed(
    relay_quarantine_t *, const endpoint_t *, const char *how);
/** Its entry has gone. */
void
relay_quarantine_endpoint_removed(relay_quarantine_t *, const endpoint_t *);
/** Another daemon tells; the argument is a relay. */
void relay_quarantine_receive(void *relay, const gossip_message_t *);

/** A row whose key begins with QUARANTINE_PREFIX; false fills the error. */
bool relay_quarantine_apply_row(relay_quarantine_t *, const row_t *, err_t *);

/** Gauges and counters in the Prometheus text format. */
void relay_quarantine_write_metrics(
    const relay_quarantine_t *, struct evbuffer *out);

#endif
