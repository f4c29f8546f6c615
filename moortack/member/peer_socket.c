#include "moortack/member/peer_socket.h"

#define SEND_QUEUE_MAX 1000
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 2000
/* TCP keepalive closes a connection whose peer no longer responds after
 * IDLE + COUNT * INTERVAL seconds. Until then queries on it time out, and other
 * members are queried. */
#define KEEPALIVE_IDLE_S 4
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_COUNT 3
#define MESSAGE_MAX_BYTES (4 << 20)
#define MESSAGES_PER_EVENT 8

/* The file descriptor is edge-triggered: reads until there are no more
 * messages. After MESSAGES_PER_EVENT messages the rest is left to another
 * event. */
static void
socket_read_messages(peer_socket_t *socket)
{
	for (int i = 0; i < MESSAGES_PER_EVENT; i++) {
		int events = 0;
		size_t size = sizeof(events);

		zmq_getsockopt(socket->socket, ZMQ_EVENTS, &events, &size);
		if ((events & ZMQ_POLLIN) == 0)
			return;
		socket->on_message(socket);
	}
	event_active(socket->event, EV_READ, 0);
}

static void
socket_readable(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	socket_read_messages(arg);
}

static void
keepalive_set(void *socket)
{
	static const int yes = 1;
	static const int idle_s = KEEPALIVE_IDLE_S;
	static const int interval_s = KEEPALIVE_INTERVAL_S;
	static const int count = KEEPALIVE_COUNT;

	zmq_setsockopt(socket, ZMQ_TCP_KEEPALIVE, &yes, sizeof(yes));
	zmq_setsockopt(socket, ZMQ_TCP_KEEPALIVE_IDLE, &idle_s, sizeof(idle_s));
	zmq_setsockopt(
	    socket, ZMQ_TCP_KEEPALIVE_INTVL, &interval_s, sizeof(interval_s));
	zmq_setsockopt(socket, ZMQ_TCP_KEEPALIVE_CNT, &count, sizeof(count));
}

bool
peer_socket_open(peer_socket_t *socket, struct event_base *base, void *context,
    int type, void (*on_message)(peer_socket_t *), void *owner)
{
	static const int linger = 0;
	static const int hwm = SEND_QUEUE_MAX;
	static const int reconnect = RECONNECT_MIN_MS;
	static const int reconnect_max = RECONNECT_MAX_MS;
	static const int immediate = 1;
	static const int64_t message_max_bytes = MESSAGE_MAX_BYTES;
	int fd;
	size_t size = sizeof(fd);

	*socket = (peer_socket_t){.owner = owner, .on_message = on_message};
	socket->socket = zmq_socket(context, type);
	if (socket->socket == NULL)
		return false;
	zmq_setsockopt(socket->socket, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(socket->socket, ZMQ_SNDHWM, &hwm, sizeof(hwm));
	zmq_setsockopt(
	    socket->socket, ZMQ_IMMEDIATE, &immediate, sizeof(immediate));
	zmq_setsockopt(socket->socket, ZMQ_MAXMSGSIZE, &message_max_bytes,
	    sizeof(message_max_bytes));
	zmq_setsockopt(
	    socket->socket, ZMQ_RECONNECT_IVL, &reconnect, sizeof(reconnect));
	zmq_setsockopt(socket->socket, ZMQ_RECONNECT_IVL_MAX, &reconnect_max,
	    sizeof(reconnect_max));
	keepalive_set(socket->socket);
	zmq_getsockopt(socket->socket, ZMQ_FD, &fd, &size);
	socket->event =
	    event_new(base, fd, EV_READ | EV_PERSIST, socket_readable, socket);
	return socket->event != NULL && event_add(socket->event, NULL) == 0;
}

void
peer_socket_close(peer_socket_t *socket)
{
	if (socket->event != NULL)
		event_free(socket->event);
	if (socket->socket != NULL)
		zmq_close(socket->socket);
	*socket = (peer_socket_t){0};
}

void
peer_socket_schedule_read(peer_socket_t *socket)
{
	event_active(socket->event, EV_READ, 0);
}

bool
peer_frame_read(void *socket, zmq_msg_t *frame, bool *more)
{
	zmq_msg_init(frame);
	if (zmq_msg_recv(frame, socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(frame);
		return false;
	}
	*more = zmq_msg_more(frame) != 0;
	return true;
}

void
peer_frames_skip(void *socket, bool more)
{
	zmq_msg_t frame;

	while (more && peer_frame_read(socket, &frame, &more))
		zmq_msg_close(&frame);
}
