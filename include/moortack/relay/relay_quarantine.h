/**
 * @file
 * Refuses requests, and parts of prompts, that crash endpoints. Collects the
 * crashes that this daemon detects, exchanges them with other daemons by
 * datagrams, and keeps suspects in the store, where they outlast all daemons.
 */
#ifndef MOORTACK_RELAY_RELAY_QUARANTINE_H
#define MOORTACK_RELAY_RELAY_QUARANTINE_H

#include <event2/buffer.h>

#include "moortack/quarantine/crash_evidence.h"
#include "moortack/quarantine/proven_parts.h"
#include "moortack/quarantine/quarantine.h"
#include "moortack/quarantine/request_digest.h"
#include "moortack/relay/crash_probe.h"
#include "moortack/relay/gossip.h"
#include "moortack/replication/row_store.h"

/** Prefix of the keys of suspects' rows in the system's table. */
#define QUARANTINE_PREFIX "quarantine/"
#define QUARANTINE_RESEND_MAX 32

typedef struct relay relay_t;

typedef struct relay_quarantine {
	relay_t *relay;
	row_store_t *store;
	request_digest_key_t key;
	bool key_known; /**< the fleet's secret is known */
	quarantine_t table;
	proven_parts_t proven;		   /**< by responses to this daemon */
	unresolved_attempts_t interrupted; /**< connection lost */
	unresolved_attempts_t abandoned;   /**< may still be running */
	crash_probe_t *probes;
	struct event *stop_event; /**< ends quarantined requests in flight */
	/** Messages to send once more, since datagrams get lost. */
	gossip_message_t resend[QUARANTINE_RESEND_MAX];
	size_t resend_len;
	const char *source; /**< of the current update, for the log */
	bool write_pending;
	struct timespec write_after;
	struct timespec versions_checked_at; /**< against those in use */
	uint64_t crash_count;	/**< of endpoints, detected by this daemon */
	uint64_t cleared_count; /**< suspects that ran without a crash */
} relay_quarantine_t;

bool relay_quarantine_init(relay_quarantine_t *, relay_t *, row_store_t *);
void relay_quarantine_finish(relay_quarantine_t *);
/** Set the fleet's secret; without it, requests have no digests. */
void relay_quarantine_set_secret(relay_quarantine_t *, const char *secret);
/** Announce, store and expire what is due; called a few times a second. */
void relay_quarantine_tick(relay_quarantine_t *);

/** The endpoint's incarnation has ended without leaving first.
 * @param how how the daemon knows, for the log */
void relay_quarantine_endpoint_crashed(
    relay_quarantine_t *, const endpoint_t *, const char *how);
/** A connection to an endpoint that was begun at this time was accepted: the
 * links were sound then. Endpoints that refused one at that time have crashed,
 * whatever listens at their addresses by now. */
void
relay_quarantine_links_proved(relay_quarantine_t *, struct timespec sound_at);
/** The endpoint's row was removed, though it had not announced that it leaves.
 */
void
relay_quarantine_endpoint_removed(relay_quarantine_t *, const endpoint_t *);
/** Process a message from another daemon; the argument is a relay. */
void relay_quarantine_receive(
    void *relay, const struct sockaddr_in *from, const gossip_message_t *);

/** Apply a row whose key starts with QUARANTINE_PREFIX; on false, the error is
 * set. */
bool relay_quarantine_apply_row(relay_quarantine_t *, const row_t *, err_t *);

/** Write gauges and counters in the Prometheus text format. */
void relay_quarantine_write_metrics(
    const relay_quarantine_t *, struct evbuffer *out);

#endif
