/**
 * @file
 * A ZeroMQ socket on the event loop.
 */
#ifndef MOORTACK_MEMBER_PEER_SOCKET_H
#define MOORTACK_MEMBER_PEER_SOCKET_H

#include <event2/event.h>
#include <stdbool.h>
#include <zmq.h>

/** A socket and the event of its edge-triggered descriptor. */
typedef struct peer_socket {
	void *owner; /**< handed to whoever drains it */
	void *socket;
	struct event *event;
	void (*on_message)(struct peer_socket *);
} peer_socket_t;

/** @param context the ZeroMQ context @param drain reads one message */
bool peer_socket_open(peer_socket_t *, struct event_base *, void *context,
    int type, void (*drain)(peer_socket_t *), void *owner);
void peer_socket_close(peer_socket_t *);

/** After something was sent: look whether something came meanwhile, which the
 * edge-triggered descriptor tells no more. */
void peer_socket_schedule_read(peer_socket_t *);

/** One frame of a message. @return false when there was none */
bool peer_frame_read(void *socket, zmq_msg_t *frame, bool *more);

/** Skip the rest of a message. */
void peer_frames_skip(void *socket, bool more);

#endif
