/**
 * @file
 * Limits the connections that a bound ZeroMQ socket has accepted. ZeroMQ
 * accepts all of them, in a thread of its own, and reports each: beyond the
 * limit, the oldest one that has sent no message yet is closed.
 */
#ifndef MOORTACK_MEMBER_PEER_LISTENER_H
#define MOORTACK_MEMBER_PEER_LISTENER_H

#include <stdint.h>

#include "moortack/member/peer_socket.h"

typedef struct peer_conn peer_conn_t;

typedef struct peer_listener {
	peer_socket_t monitor;
	void *socket; /**< whose connections are limited; NULL: none */
	uint16_t port;
	uint32_t connections_max;
	peer_conn_t *strangers; /**< no message was received, oldest first */
	peer_conn_t *known;
	uint64_t closed; /**< connections, beyond the limit */
} peer_listener_t;

/** Bind a socket and limit its connections.
 * @param context of ZeroMQ
 * @param address tcp://IP:PORT
 * @param connections_max 0: no limit
 * @return false: it is not bound, with errno set; finish it all the same */
bool peer_listener_bind(peer_listener_t *, struct event_base *, void *context,
    void *socket, const char *address, uint32_t connections_max);
/** Takes effect with the next connection. */
void peer_listener_set_max(peer_listener_t *, uint32_t connections_max);
/** Call it for each message: its connection is kept.
 * @param body ZeroMQ tells the connection of this frame, not of the identity */
void peer_listener_on_message(peer_listener_t *, zmq_msg_t *body);
/** Call it before the socket is closed. */
void peer_listener_finish(peer_listener_t *);

#endif
