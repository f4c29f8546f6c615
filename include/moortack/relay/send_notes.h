/**
 * @file
 * Tells other daemons of the prompts that this one sends, and takes what they
 * tell: so that it is known what an endpoint still has to read, and what it
 * keeps. A small fleet tells all; in a larger one the endpoint's owner is told
 * (owners.h), and asked before a prompt is placed. By datagrams, since what
 * comes late is false: nothing is sent again, nothing waits, nothing is kept.
 */
#ifndef MOORTACK_RELAY_SEND_NOTES_H
#define MOORTACK_RELAY_SEND_NOTES_H

#include <event2/event.h>

#include <netinet/in.h>

#include "common/err.h"
#include "moortack/relay/gossip_peers.h"
#include "moortack/relay/owners.h"
#include "moortack/relay/send_note.h"

typedef struct send_notes_ops {
	/** Another daemon has sent a prompt. */
	void (*sent)(void *arg, const send_note_t *);
	/** Another daemon asks this one: fill in the answer.
	 * @return false: nothing is known, don't answer */
	bool (*asked)(
	    void *arg, const send_note_t *question, send_note_t *answer);
	/** The answer to a question of this daemon. */
	void (*answered)(void *arg, const send_note_t *);
	/** What another daemon knows of requests that crash endpoints. */
	void (*crash)(void *arg, const send_note_t *);
} send_notes_ops_t;

typedef struct send_notes {
	const clock_source_t *clock;
	const membership_t *members;
	const send_notes_ops_t *ops;
	void *arg;
	evutil_socket_t fd; /**< negative: none */
	struct event *readable;
	send_note_key_t key;
	bool keyed;
	struct sockaddr_in peers[GOSSIP_PEERS_MAX];
	size_t peers_len;
	bool owners;	  /**< the fleet is too large to tell all */
	double unheard;	  /**< part of all daemons' sends that this one does not
			     hear of, 0 to 1 */
	double allowance; /**< bytes that may be sent now */
	struct timespec allowed_at;
	uint64_t sent; /**< datagrams */
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t refused;  /**< datagrams that could not be opened */
	uint64_t skipped;  /**< notes beyond the allowance */
	uint64_t asked;	   /**< questions sent */
	uint64_t answered; /**< answers that came */
} send_notes_t;

/** @param address IP:PORT that other daemons know; "": tell and take nothing */
bool send_notes_init(send_notes_t *, struct event_base *,
    const clock_source_t *, const membership_t *, const char *address,
    const send_notes_ops_t *, void *arg, err_t *);
void send_notes_finish(send_notes_t *);

/** The fleet's secret is known: notes may be told. */
void send_notes_set_secret(send_notes_t *, const char *fleet_secret);

/** Look again who the gossip peers are; called a few times a second. */
void send_notes_tick(send_notes_t *);

/** Whether a prompt that takes this long to be read is worth telling: the less
 * may be sent, the longer ones only. */
bool send_notes_worth(send_notes_t *, double read_ms);
/** Tell all, or the endpoint's owner.
 * @param place the endpoint's */
void send_notes_tell(send_notes_t *, const char *place, const send_note_t *);

/** Tell all gossip peers, or, in a larger fleet, the owners of the digests that
 * it names. */
void send_notes_tell_owners(send_notes_t *, const send_note_t *);
/** Tell each daemon that serves, whatever the size of the fleet. */
void send_notes_tell_each(send_notes_t *, const send_note_t *);
/** Whether this daemon is the digest's owner: one of all that serve, by
 * rendezvous hashing. */
bool send_notes_owns(const send_notes_t *, uint64_t digest);

/** Whether questions may be asked now: the fleet has owners, and enough may be
 * sent.
 * @param read_ms as above */
bool send_notes_may_ask(send_notes_t *, double read_ms);
/** Ask the endpoint's owner.
 * @return false: this daemon keeps that account itself */
bool send_notes_ask(send_notes_t *, const char *place, const send_note_t *);

#endif
