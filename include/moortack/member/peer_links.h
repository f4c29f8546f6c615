/**
 * @file
 * Open connections to other daemons: at most one to each. Above a maximum
 * number, the least recently used are closed.
 */
#ifndef MOORTACK_MEMBER_PEER_LINKS_H
#define MOORTACK_MEMBER_PEER_LINKS_H

#include <uthash.h>

#include "moortack/member/members.h"
#include "moortack/member/peer_auth.h"
#include "moortack/member/peer_socket.h"

/** An open connection to a member. */
typedef struct peer_link {
	uint64_t incarnation;
	struct timespec used_at;
	bool established; /**< a message was sent on it */
	peer_socket_t socket;
	UT_hash_handle hh;
} peer_link_t;

typedef struct peer_links {
	struct event_base *base;
	const clock_source_t *clock;
	void *context; /**< ZeroMQ context */
	const peer_auth_t *auth;
	char own_host[MEMBER_ADDRESS_SIZE];  /**< IP address to connect from */
	void (*on_message)(peer_socket_t *); /**< reads one message */
	void *owner;			     /**< owner of the sockets */
	members_t *members;		     /**< a reference */
	peer_link_t *open_links;
} peer_links_t;

/** The connection to a member, opened if needed; NULL: it is not a member, or
 * the connection cannot be opened. */
peer_link_t *peer_links_get(peer_links_t *, uint64_t incarnation);
/** Sets the membership: closes connections to removed members and opens those
 * to partners. */
void peer_links_members_set(peer_links_t *, members_t *);
/** Closes the least recently used connections above the maximum. */
void peer_links_evict(peer_links_t *);
void peer_links_finish(peer_links_t *);

#endif
