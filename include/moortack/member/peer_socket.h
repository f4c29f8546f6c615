/**
 * @file
 * A ZeroMQ socket whose messages are read from the event loop.
 */
#ifndef MOORTACK_MEMBER_PEER_SOCKET_H
#define MOORTACK_MEMBER_PEER_SOCKET_H

#include <event2/event.h>
#include <stdbool.h>
#include <zmq.h>

/** A socket and the event for its edge-triggered file descriptor. */
typedef struct peer_socket {
	void *owner; /**< for use by on_message */
	void *socket;
	struct event *event;
	void (*on_message)(struct peer_socket *);
} peer_socket_t;

/** @param context the ZeroMQ context @param type of the ZeroMQ socket
 * @param on_message reads one message */
bool peer_socket_open(peer_socket_t *, struct event_base *, void *context,
    int type, void (*on_message)(peer_socket_t *), void *owner);
void peer_socket_close(peer_socket_t *);

/** Schedules a read after a send: the send may have consumed the edge of the
 * file descriptor for a message that arrived meanwhile. */
void peer_socket_schedule_read(peer_socket_t *);

/** Reads one frame of a message. @param more receives whether further frames
 * follow @return false if there was none */
bool peer_frame_read(void *socket, zmq_msg_t *frame, bool *more);

/** Skips the remaining frames of a message. */
void peer_frames_skip(void *socket, bool more);

#endif
