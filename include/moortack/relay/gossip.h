/**
 * @file
 * Notifies other daemons of the prompts that this one sends, and receives their
 * notifications, from which the prefill queues and cached prefixes of the
 * endpoints are estimated. In a small fleet all daemons are notified; in a
 * larger one the endpoint's owner (endpoint_owner.h) is notified, and queried
 * before a prompt is placed. Messages are UDP datagrams, since late ones are
 * outdated: there is no retransmission, queueing or storage.
 */
#ifndef MOORTACK_RELAY_GOSSIP_H
#define MOORTACK_RELAY_GOSSIP_H

#include <event2/event.h>

#include <netinet/in.h>

#include "common/err.h"
#include "common/rng.h"
#include "moortack/relay/endpoint_owner.h"
#include "moortack/relay/gossip_message.h"
#include "moortack/relay/gossip_peers.h"

typedef struct gossip_ops {
	/** Another daemon has sent a prompt to an endpoint. */
	void (*on_prompt_sent)(void *arg, const gossip_message_t *);
	/** Another daemon queries this one: fill in the response.
	 * @return false: nothing is known, don't respond */
	bool (*on_query)(void *arg, const gossip_message_t *query,
	    gossip_message_t *response);
	/** The response to a query of this daemon. */
	void (*on_response)(void *arg, const gossip_message_t *);
	/** Another daemon reports on requests that crash endpoints. */
	void (*on_crash_message)(void *arg, const struct sockaddr_in *from,
	    const gossip_message_t *);
	/** Another daemon reports an endpoint's rate limit.
	 * @return whether it was news, and has to be passed on */
	bool (*on_rate_limit)(void *arg, const gossip_message_t *);
	/** Another daemon reports that the endpoints of a service are brittle.
	 * @return whether it was news, and has to be passed on */
	bool (*on_brittle)(void *arg, const gossip_message_t *);
	/** Another daemon asks whether this one reaches the endpoints of a
	 * service: fill in the report.
	 * @return false: it is not known, don't respond */
	bool (*on_reach_query)(
	    void *arg, const gossip_message_t *query, gossip_message_t *report);
	/** The response to such a query of this daemon. */
	void (*on_reach_report)(void *arg, const struct sockaddr_in *from,
	    const gossip_message_t *);
} gossip_ops_t;

typedef struct gossip {
	const clock_source_t *clock;
	const membership_t *members;
	const gossip_ops_t *ops;
	void *arg;
	rng_t *rng;	    /**< to spread messages; set by the owner after
			       gossip_init() */
	evutil_socket_t fd; /**< negative: none */
	struct event *readable;
	gossip_key_t key;
	bool has_key;
	struct sockaddr_in peers[GOSSIP_PEERS_MAX];
	size_t peers_len;
	bool uses_owners; /**< the fleet is too large to notify all daemons */
	double unreported_share; /**< share of all daemons' prompts that this
				 one isn't notified of, 0 to 1 */
	double send_budget;	 /**< bytes that may be sent now */
	struct timespec send_budget_at;
	uint64_t datagrams_sent;
	uint64_t bytes_sent;
	uint64_t datagrams_received;
	uint64_t datagrams_refused; /**< datagrams that could not be decrypted
				       and decoded */
	uint64_t messages_skipped;  /**< messages not sent for lack of budget */
	uint64_t queries_sent;
	uint64_t responses_received;
} gossip_t;

/** @param address IP:PORT at which other daemons reach this one; "": send and
 * receive nothing */
bool gossip_init(gossip_t *, struct event_base *, const clock_source_t *,
    const membership_t *, const char *address, const gossip_ops_t *, void *arg,
    err_t *);
void gossip_finish(gossip_t *);

/** The fleet's secret is known: messages may be sent. */
void gossip_set_secret(gossip_t *, const char *fleet_secret);

/** Updates the gossip peers; called a few times a second. */
void gossip_tick(gossip_t *);

/** Whether a prompt with this prefill time is worth a message: the smaller the
 * remaining budget, the longer the prompt has to be. */
bool gossip_should_send(gossip_t *, double prefill_ms);
/** Sends a message to all gossip peers, or in a larger fleet to the endpoint's
 * owner.
 * @param zone the endpoint's */
void gossip_send(gossip_t *, const char *zone, const gossip_message_t *);

/** Sends a message to all gossip peers, or in a larger fleet to the owners of
 * the digests in it. */
void gossip_send_to_owners(gossip_t *, const gossip_message_t *);
/** Sends a message to the owner of its first digest, whatever the size of the
 * fleet, unless that is this daemon. */
void gossip_send_to_owner(gossip_t *, const gossip_message_t *);
/** Sends a message to each daemon that serves, whatever the size of the fleet.
 */
void gossip_broadcast(gossip_t *, const gossip_message_t *);
/** Sends a message to all gossip peers, or in a larger fleet to a few random
 * daemons, each of which passes it on if it is news there. Skipped if the send
 * budget is used up. */
void gossip_spread(gossip_t *, const gossip_message_t *);
/** Sends a message to one daemon. */
void gossip_send_to(
    gossip_t *, const struct sockaddr_in *, const gossip_message_t *);
/** Sends a message to a few random daemons that serve. Finds them without
 * looking at all members. */
void gossip_send_to_some(gossip_t *, size_t count, const gossip_message_t *);
/** Whether this daemon is the digest's owner: one of all that serve, by
 * rendezvous hashing. */
bool gossip_owns_digest(const gossip_t *, uint64_t digest);

/** Whether queries may be sent now: the fleet is large enough to have owners,
 * and the send budget allows it.
 * @param prefill_ms as above */
bool gossip_may_query(gossip_t *, double prefill_ms);
/** Queries the endpoint's owner.
 * @return false: this daemon is the owner itself */
bool gossip_query(gossip_t *, const char *zone, const gossip_message_t *);

#endif
