/**
 * @file
 * Tells other daemons of the prompts that this one sends, and takes what they
 * tell: so that it is known what an endpoint still has to read, and what it
 * keeps. A small fleet tells all; in a larger one the endpoint's owner is told
 * (endpoint_owner.h), and asked before a prompt is placed. By datagrams, since
 * what comes late is false: nothing is sent again, nothing waits, nothing is
 * kept.
 */
#ifndef MOORTACK_RELAY_GOSSIP_H
#define MOORTACK_RELAY_GOSSIP_H

#include <event2/event.h>

#include <netinet/in.h>

#include "common/err.h"
#include "moortack/relay/endpoint_owner.h"
#include "moortack/relay/gossip_message.h"
#include "moortack/relay/gossip_peers.h"

typedef struct gossip_ops {
	/** Another daemon has sent a prompt. */
	void (*on_prompt_sent)(void *arg, const gossip_message_t *);
	/** Another daemon asks this one: fill in the answer.
	 * @return false: nothing is known, don't answer */
	bool (*on_query)(void *arg, const gossip_message_t *question,
	    gossip_message_t *answer);
	/** The answer to a question of this daemon. */
	void (*on_response)(void *arg, const gossip_message_t *);
	/** What another daemon knows of requests that crash endpoints. */
	void (*on_crash_message)(void *arg, const gossip_message_t *);
} gossip_ops_t;

typedef struct gossip {
	const clock_source_t *clock;
	const membership_t *members;
	const gossip_ops_t *ops;
	void *arg;
	evutil_socket_t fd; /**< negative: none */
	struct event *readable;
	gossip_key_t key;
	bool has_key;
	struct sockaddr_in peers[GOSSIP_PEERS_MAX];
	size_t peers_len;
	bool uses_owners;     /**< the fleet is too large to tell all */
	double unheard_share; /**< part of all daemons' sends that this one does
			 not hear of, 0 to 1 */
	double send_budget;   /**< bytes that may be sent now */
	struct timespec send_budget_at;
	uint64_t datagrams_sent; /**< datagrams */
	uint64_t bytes_sent;
	uint64_t datagrams_received;
	uint64_t datagrams_refused;  /**< datagrams that could not be opened */
	uint64_t messages_skipped;   /**< messages beyond the allowance */
	uint64_t queries_sent;	     /**< questions sent */
	uint64_t responses_received; /**< answers that came */
} gossip_t;

/** @param address IP:PORT that other daemons know; "": tell and take nothing */
bool gossip_init(gossip_t *, struct event_base *, const clock_source_t *,
    const membership_t *, const char *address, const gossip_ops_t *, void *arg,
    err_t *);
void gossip_finish(gossip_t *);

/** The fleet's secret is known: messages may be told. */
void gossip_set_secret(gossip_t *, const char *fleet_secret);

/** Look again who the gossip peers are; called a few times a second. */
void gossip_tick(gossip_t *);

/** Whether a prompt that takes this long to be read is worth telling: the less
 * may be sent, the longer ones only. */
bool gossip_should_send(gossip_t *, double read_ms);
/** Tell all, or the endpoint's owner.
 * @param zone the endpoint's */
void gossip_send(gossip_t *, const char *zone, const gossip_message_t *);

/** Tell all gossip peers, or, in a larger fleet, the owners of the digests that
 * it names. */
void gossip_send_to_owners(gossip_t *, const gossip_message_t *);
/** Tell each daemon that serves, whatever the size of the fleet. */
void gossip_broadcast(gossip_t *, const gossip_message_t *);
/** Whether this daemon is the digest's owner: one of all that serve, by
 * rendezvous hashing. */
bool gossip_owns_digest(const gossip_t *, uint64_t digest);

/** Whether questions may be asked now: the fleet has owners, and enough may be
 * sent.
 * @param read_ms as above */
bool gossip_may_query(gossip_t *, double read_ms);
/** Ask the endpoint's owner.
 * @return false: this daemon keeps that account itself */
bool gossip_query(gossip_t *, const char *zone, const gossip_message_t *);

#endif
