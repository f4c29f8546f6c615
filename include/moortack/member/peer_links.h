/**
 * @file
 * Open connections to other daemons, one each, at most so many: those that were
 * not used for longest are closed.
 */
#ifndef MOORTACK_MEMBER_PEER_LINKS_H
#define MOORTACK_MEMBER_PEER_LINKS_H

#include <uthash.h>

#include "moortack/member/members.h"
#include "moortack/member/peer_auth.h"
#include "moortack/member/peer_socket.h"

/** An open connection to one member. */
typedef struct peer_link {
	uint64_t incarnation;
	struct timespec used_at;
	bool established; /**< something was sent on it */
	peer_socket_t socket;
	UT_hash_handle hh;
} peer_link_t;

typedef struct peer_links {
	struct event_base *base;
	const clock_source_t *clock;
	void *context; /**< of ZeroMQ */
	const peer_auth_t *auth;
	char own_host[MEMBER_ADDRESS_SIZE];  /**< IP of its own */
	void (*on_message)(peer_socket_t *); /**< something is there to read */
	void *owner;			     /**< of the sockets */
	members_t *members;		     /**< held */
	peer_link_t *open_links;
} peer_links_t;

/** The connection to a member, opened if need be; NULL: it is none. */
peer_link_t *peer_links_get(peer_links_t *, uint64_t incarnation);
/** Another membership: close what leads to nobody, open those to partners. */
void peer_links_members_set(peer_links_t *, members_t *);
/** Close those beyond the bound. */
void peer_links_evict(peer_links_t *);
void peer_links_finish(peer_links_t *);

#endif
