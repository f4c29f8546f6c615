#include "moortack/member/peer_listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <uthash.h>

#define MONITOR_ADDRESS "inproc://peer-listener"
/* Within which a connection has to prove that it belongs to the fleet. */
#define HANDSHAKE_MS 5000
#define ENDPOINT_MAX 128

struct peer_conn {
	int fd;
	UT_hash_handle hh;
};

static bool
conn_remove(peer_conn_t **conns, int fd)
{
	peer_conn_t *conn;

	HASH_FIND_INT(*conns, &fd, conn);
	if (conn == NULL)
		return false;
	HASH_DEL(*conns, conn);
	free(conn);
	return true;
}

static void
conn_add(peer_conn_t **conns, int fd)
{
	peer_conn_t *conn = calloc(1, sizeof(*conn));

	if (conn == NULL)
		return;
	conn->fd = fd;
	HASH_ADD_INT(*conns, fd, conn);
}

static void
conns_clear(peer_conn_t **conns)
{
	while (*conns != NULL)
		conn_remove(conns, (*conns)->fd);
}

/* Ends a connection, which ZeroMQ then closes. It may have closed it already
 * and not reported that yet, so that the descriptor is another socket's. */
static void
conn_shut_down(peer_listener_t *listener, int fd)
{
	struct sockaddr_in own, peer;
	socklen_t own_len = sizeof(own), peer_len = sizeof(peer);

	if (getsockname(fd, (struct sockaddr *)&own, &own_len) != 0 ||
	    own.sin_family != AF_INET ||
	    ntohs(own.sin_port) != listener->port ||
	    getpeername(fd, (struct sockaddr *)&peer, &peer_len) != 0)
		return;
	shutdown(fd, SHUT_RDWR);
	listener->closed++;
}

static void
on_accepted(peer_listener_t *listener, int fd)
{
	conn_remove(&listener->strangers, fd);
	conn_remove(&listener->known, fd);
	conn_add(&listener->strangers, fd);
	while (listener->connections_max > 0 && listener->strangers != NULL &&
	    HASH_COUNT(listener->strangers) + HASH_COUNT(listener->known) >
		listener->connections_max) {
		int oldest = listener->strangers->fd;

		conn_shut_down(listener, oldest);
		conn_remove(&listener->strangers, oldest);
	}
}

static void
on_monitor_event(peer_socket_t *monitor)
{
	peer_listener_t *listener = monitor->owner;
	zmq_msg_t frame;
	uint16_t event = 0;
	uint32_t value = 0;
	const char *bytes;
	bool more;

	if (!peer_frame_read(monitor->socket, &frame, &more))
		return;
	bytes = zmq_msg_data(&frame);
	if (zmq_msg_size(&frame) == sizeof(event) + sizeof(value)) {
		memcpy(&event, bytes, sizeof(event));
		memcpy(&value, bytes + sizeof(event), sizeof(value));
	}
	zmq_msg_close(&frame);
	peer_frames_skip(monitor->socket, more);
	if (event == ZMQ_EVENT_ACCEPTED) {
		on_accepted(listener, (int)value);
	} else if (event == ZMQ_EVENT_DISCONNECTED &&
	    !conn_remove(&listener->strangers, (int)value)) {
		conn_remove(&listener->known, (int)value);
	}
}

static uint16_t
bound_port(void *socket)
{
	char endpoint[ENDPOINT_MAX] = "";
	size_t size = sizeof(endpoint);
	const char *colon;

	zmq_getsockopt(socket, ZMQ_LAST_ENDPOINT, endpoint, &size);
	colon = strrchr(endpoint, ':');
	return colon != NULL ? (uint16_t)atoi(colon + 1) : 0;
}

bool
peer_listener_bind(peer_listener_t *listener, struct event_base *base,
    void *context, void *socket, const char *address, uint32_t connections_max)
{
	static const int handshake_ms = HANDSHAKE_MS;

	*listener = (peer_listener_t){
	    .socket = socket, .connections_max = connections_max};
	zmq_setsockopt(
	    socket, ZMQ_HANDSHAKE_IVL, &handshake_ms, sizeof(handshake_ms));
	if (zmq_socket_monitor(socket, MONITOR_ADDRESS,
		ZMQ_EVENT_ACCEPTED | ZMQ_EVENT_DISCONNECTED) != 0 ||
	    !peer_socket_open(&listener->monitor, base, context, ZMQ_PAIR,
		on_monitor_event, listener) ||
	    zmq_connect(listener->monitor.socket, MONITOR_ADDRESS) != 0 ||
	    zmq_bind(socket, address) != 0)
		return false;
	peer_socket_schedule_read(&listener->monitor);
	listener->port = bound_port(socket);
	return true;
}

void
peer_listener_set_max(peer_listener_t *listener, uint32_t connections_max)
{
	listener->connections_max = connections_max;
}

void
peer_listener_on_message(peer_listener_t *listener, zmq_msg_t *body)
{
	int fd = zmq_msg_get(body, ZMQ_SRCFD);

	if (conn_remove(&listener->strangers, fd))
		conn_add(&listener->known, fd);
}

void
peer_listener_finish(peer_listener_t *listener)
{
	if (listener->socket != NULL)
		zmq_socket_monitor(listener->socket, NULL, 0);
	peer_socket_close(&listener->monitor);
	conns_clear(&listener->strangers);
	conns_clear(&listener->known);
	*listener = (peer_listener_t){0};
}
