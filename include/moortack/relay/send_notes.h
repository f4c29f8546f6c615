/**
 * @file
 * Tells other daemons of the prompts that this one sends, and takes what they
 * tell: so that each knows what an endpoint still has to read, and what it
 * keeps. By datagrams, since what comes late is false: nothing is sent again,
 * nothing waits, nothing is kept.
 */
#ifndef MOORTACK_RELAY_SEND_NOTES_H
#define MOORTACK_RELAY_SEND_NOTES_H

#include <event2/event.h>

#include <netinet/in.h>

#include "common/err.h"
#include "moortack/relay/companions.h"
#include "moortack/relay/send_note.h"

typedef struct send_notes {
	const clock_source_t *clock;
	const membership_t *members;
	void (*taken)(void *arg, const send_note_t *);
	void *arg;
	evutil_socket_t fd; /**< negative: none */
	struct event *readable;
	send_note_key_t key;
	bool keyed;
	struct sockaddr_in companions[COMPANIONS_MAX];
	size_t companions_len;
	double unheard;	  /**< part of all daemons' sends that this one does not
			     hear of, 0 to 1 */
	double allowance; /**< bytes that may be sent now */
	struct timespec allowed_at;
	uint64_t sent; /**< datagrams */
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t refused; /**< datagrams that could not be opened */
	uint64_t skipped; /**< notes beyond the allowance */
} send_notes_t;

/** @param address IP:PORT that other daemons know; "": tell and take nothing
 * @param taken told of each note of another daemon */
bool send_notes_init(send_notes_t *, struct event_base *,
    const clock_source_t *, const membership_t *, const char *address,
    void (*taken)(void *arg, const send_note_t *), void *arg, err_t *);
void send_notes_finish(send_notes_t *);

/** The fleet's secret is known: notes may be told. */
void send_notes_set_secret(send_notes_t *, const char *fleet_secret);

/** Look again who the companions are; called a few times a second. */
void send_notes_tick(send_notes_t *);

/** Whether a prompt that takes this long to be read is worth telling: the less
 * may be sent, the longer ones only. */
bool send_notes_worth(send_notes_t *, double read_ms);
/** Tell the companions. */
void send_notes_tell(send_notes_t *, const send_note_t *);

#endif
