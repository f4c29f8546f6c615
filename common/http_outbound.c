#include "common/http_outbound.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "common/socket_state.h"

#define MS_PER_SEC 1000
#define US_PER_MS 1000
#define NO_TIMEOUT_S 86400
#define OUTBOUND_HEAD_MAX 65536 /* bytes */
/* Interval of TCP keep-alive probes, which begin after half of the silence
 * timeout; the kernel counts both in whole seconds. */
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_BEGIN_PART 2
/* The user timeout also ends a connection whose keep-alive probes are not
 * responded to, whatever their number, and the kernel looks only when the next
 * probe is due. With this much more than the silence timeout, a peer that is
 * silent for a second or so has a further probe to respond to. */
#define PROBED_SILENCE_MS 1500
/* How often, and for how long, an end of the peer's side is watched for a
 * reset. A peer that has closed the connection resets it within a round trip of
 * the next bytes that it receives, or of their retransmission. */
#define END_CHECK_MS 5
#define END_WAIT_MAX_MS 1000

struct http_outbound {
	struct bufferevent *bev;
	http_reader_t reader;
	const http_outbound_ops_t *ops; /**< NULL: no request in flight */
	void *arg;
	http_outbound_idle_closed_t idle_closed;
	void *idle_arg;
	struct evbuffer *unsent_request; /**< until connected */
	int64_t silence_timeout_ms;
	struct event *end_timer; /**< NULL: no end is watched */
	int64_t end_waited_ms;
	bool silence_limited; /**< http_outbound_limit_silence() is in force */
	bool connected;
	bool response_started;	 /**< a byte of it was received */
	bool response_completed; /**< without an error */
	bool ended_by_close;	 /**< by the end of the connection */
	http_defect_t defect;	 /**< of a bad response */
	bool in_reader;		 /**< during a callback of the reader */
	bool free_pending;	 /**< to be freed after the callback */
};

static void
on_head(void *arg, http_msg_t *msg)
{
	http_outbound_t *conn = arg;

	if (!conn->free_pending)
		conn->ops->on_head(conn->arg, msg);
}

static void
on_body(void *arg, const char *bytes, size_t len)
{
	http_outbound_t *conn = arg;

	if (!conn->free_pending)
		conn->ops->on_body(conn->arg, bytes, len);
}

static void
on_complete(void *arg)
{
	(void)arg;
}

static const http_reader_ops_t reader_ops = {on_head, on_body, on_complete};

static void
conn_destroy(http_outbound_t *conn)
{
	http_reader_finish(&conn->reader);
	if (conn->unsent_request != NULL)
		evbuffer_free(conn->unsent_request);
	if (conn->end_timer != NULL)
		event_free(conn->end_timer);
	bufferevent_free(conn->bev);
	free(conn);
}

static void
request_fail(http_outbound_t *conn, http_outbound_failure_t failure)
{
	const http_outbound_ops_t *ops = conn->ops;
	http_outbound_idle_closed_t idle_closed = conn->idle_closed;

	if (ops != NULL) {
		conn->ops = NULL;
		ops->on_failed(conn->arg, failure);
	} else if (idle_closed != NULL) {
		conn->idle_closed = NULL;
		idle_closed(conn->idle_arg, conn);
	}
}

static void
response_fail(http_outbound_t *conn, http_defect_t defect)
{
	conn->defect = defect;
	request_fail(conn,
	    conn->response_started ? HTTP_OUTBOUND_BAD_RESPONSE
				   : HTTP_OUTBOUND_NO_RESPONSE);
}

static void
request_complete(http_outbound_t *conn)
{
	const http_outbound_ops_t *ops = conn->ops;

	conn->response_completed = true;
	conn->ops = NULL;
	ops->on_complete(conn->arg);
}

/* Parse received bytes or, with @p end, the end of the connection. The
 * callbacks may free the connection. @return false if they did */
static bool
reader_step(http_outbound_t *conn, bool end, http_read_result_t *result)
{
	conn->in_reader = true;
	*result = end
	    ? http_reader_eof(&conn->reader)
	    : http_reader_feed(&conn->reader, bufferevent_get_input(conn->bev));
	conn->in_reader = false;
	if (!conn->free_pending)
		return true;
	conn_destroy(conn);
	return false;
}

static void
user_timeout_set(http_outbound_t *conn, int64_t ms)
{
	unsigned int unacknowledged = (unsigned int)ms;

	setsockopt(bufferevent_getfd(conn->bev), IPPROTO_TCP, TCP_USER_TIMEOUT,
	    &unacknowledged, sizeof(unacknowledged));
}

void
http_outbound_limit_silence(http_outbound_t *conn, int64_t ms)
{
	user_timeout_set(conn, ms);
	conn->silence_limited = true;
}

static void
silence_limit_end(http_outbound_t *conn)
{
	if (conn->silence_limited)
		user_timeout_set(
		    conn, conn->silence_timeout_ms + PROBED_SILENCE_MS);
	conn->silence_limited = false;
}

static void
on_readable(struct bufferevent *bev, void *arg)
{
	http_outbound_t *conn = arg;
	http_read_result_t result;

	(void)bev;
	if (conn->ops == NULL) {
		/* Bytes without a request. */
		conn->response_completed = false;
		request_fail(conn, HTTP_OUTBOUND_BAD_RESPONSE);
		return;
	}
	conn->response_started = true;
	silence_limit_end(conn);
	if (!reader_step(conn, false, &result))
		return;
	if (result == HTTP_READ_COMPLETE)
		request_complete(conn);
	else if (result == HTTP_READ_INVALID)
		response_fail(conn, http_reader_defect(&conn->reader));
}

static void
on_connected(http_outbound_t *conn)
{
	/* libevent keeps using a persistent event's old timeout when it is
	 * merely removed, so a long one replaces it. */
	static const struct timeval never = {NO_TIMEOUT_S, 0};

	conn->connected = true;
	bufferevent_set_timeouts(conn->bev, NULL, &never);
	if (conn->ops == NULL)
		return;
	if (!conn->ops->on_connected(conn->arg))
		return; /* the callback may have freed the connection */
	if (conn->unsent_request != NULL)
		bufferevent_write_buffer(conn->bev, conn->unsent_request);
	conn->ops->on_sent(conn->arg);
}

/* The peer has ended its side of the connection. */
static void
response_end(http_outbound_t *conn)
{
	http_read_result_t result;

	if (!reader_step(conn, true, &result))
		return;
	if (result != HTTP_READ_COMPLETE) {
		response_fail(conn, http_reader_defect(&conn->reader));
		return;
	}
	conn->reader.msg.keep_alive = false;
	conn->ended_by_close = true;
	request_complete(conn);
}

/* Whether a response that ends with its connection may turn out to be reset,
 * since part of the request is still on its way. */
static bool
end_is_uncertain(const http_outbound_t *conn)
{
	return conn->end_waited_ms < END_WAIT_MAX_MS &&
	    http_reader_ends_by_close(&conn->reader) &&
	    (evbuffer_get_length(bufferevent_get_output(conn->bev)) > 0 ||
		socket_unacknowledged_bytes(bufferevent_getfd(conn->bev)) > 0);
}

static void
end_check(http_outbound_t *conn)
{
	static const struct timeval interval = {0, END_CHECK_MS * US_PER_MS};

	if (socket_was_reset(bufferevent_getfd(conn->bev))) {
		response_fail(conn, HTTP_DEFECT_RESET);
	} else if (end_is_uncertain(conn) && conn->end_timer != NULL &&
	    event_add(conn->end_timer, &interval) == 0) {
		conn->end_waited_ms += END_CHECK_MS;
	} else {
		response_end(conn);
	}
}

static void
on_end_timer(evutil_socket_t fd, short what, void *arg)
{
	http_outbound_t *conn = arg;

	(void)fd;
	(void)what;
	if (conn->ops != NULL)
		end_check(conn);
}

static void
on_disconnected(http_outbound_t *conn, short what)
{
	bool failed = (what & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0;
	bool eof = (what & BEV_EVENT_EOF) != 0 &&
	    (what & BEV_EVENT_READING) != 0 && !failed;
	bool refused = (what & BEV_EVENT_ERROR) != 0 &&
	    EVUTIL_SOCKET_ERROR() == ECONNREFUSED;

	if (conn->ops == NULL || !conn->connected) {
		request_fail(conn,
		    refused ? HTTP_OUTBOUND_CONNECTION_REFUSED
			    : HTTP_OUTBOUND_NOT_SENT);
		return;
	}
	/* Bytes received before the reset are read first. */
	if ((what & BEV_EVENT_READING) == 0 &&
	    socket_was_reset(bufferevent_getfd(conn->bev)))
		return;
	/* A write that fails takes the error from the socket, so that the next
	 * read seems to find an orderly end. */
	if (!eof || !conn->response_started) {
		response_fail(conn, HTTP_DEFECT_RESET);
		return;
	}
	if (conn->end_timer == NULL)
		conn->end_timer = evtimer_new(
		    bufferevent_get_base(conn->bev), on_end_timer, conn);
	end_check(conn);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	http_outbound_t *conn = arg;

	(void)bev;
	if ((what & BEV_EVENT_CONNECTED) != 0)
		on_connected(conn);
	else
		on_disconnected(conn, what);
}

/* Detect connections that have stopped carrying packets without a reset,
 * although new connections to the same server work. */
static void
socket_set_options(http_outbound_t *conn)
{
	evutil_socket_t fd = bufferevent_getfd(conn->bev);
	int idle_s =
	    (int)(conn->silence_timeout_ms / KEEPALIVE_BEGIN_PART / MS_PER_SEC);
	int interval_s = KEEPALIVE_INTERVAL_S;
	int yes = 1;

	if (idle_s < 1)
		idle_s = 1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &yes, sizeof(yes));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
	user_timeout_set(conn, conn->silence_timeout_ms + PROBED_SILENCE_MS);
}

/* @param source NULL: the system chooses the local address
 * @return -1: no socket could be created, or bound to the address */
static evutil_socket_t
socket_create(const char *source)
{
	evutil_socket_t fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct sockaddr_in local = {.sin_family = AF_INET};

	if (fd < 0 || source == NULL)
		return fd;
	if (inet_pton(AF_INET, source, &local.sin_addr) == 1 &&
	    bind(fd, (struct sockaddr *)&local, sizeof(local)) == 0)
		return fd;
	evutil_closesocket(fd);
	return -1;
}

http_outbound_t *
http_outbound_new(struct event_base *base, const http_address_t *address,
    const char *source, int64_t connect_timeout_ms, int64_t silence_timeout_ms)
{
	http_outbound_t *conn = calloc(1, sizeof(*conn));
	struct timeval limit = {connect_timeout_ms / MS_PER_SEC,
	    connect_timeout_ms % MS_PER_SEC * US_PER_MS};
	struct sockaddr_in server = {
	    .sin_family = AF_INET, .sin_port = htons(address->port)};
	evutil_socket_t fd = socket_create(source);

	if (conn != NULL && fd >= 0 &&
	    inet_pton(AF_INET, address->host, &server.sin_addr) == 1)
		conn->bev = bufferevent_socket_new(
		    base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	if (conn == NULL || conn->bev == NULL) {
		if (fd >= 0)
			evutil_closesocket(fd);
		free(conn);
		return NULL;
	}
	http_reader_init(
	    &conn->reader, HTTP_RESPONSE, &reader_ops, conn, OUTBOUND_HEAD_MAX);
	bufferevent_setcb(conn->bev, on_readable, NULL, on_event, conn);
	bufferevent_set_timeouts(conn->bev, &limit, &limit);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(
		conn->bev, (struct sockaddr *)&server, sizeof(server)) != 0) {
		conn_destroy(conn);
		return NULL;
	}
	conn->silence_timeout_ms = silence_timeout_ms;
	socket_set_options(conn);
	return conn;
}

void
http_outbound_free(http_outbound_t *conn)
{
	conn->ops = NULL;
	conn->idle_closed = NULL;
	if (conn->in_reader)
		conn->free_pending = true;
	else
		conn_destroy(conn);
}

void
http_outbound_reset(http_outbound_t *conn)
{
	struct linger discard = {.l_onoff = 1, .l_linger = 0};

	setsockopt(bufferevent_getfd(conn->bev), SOL_SOCKET, SO_LINGER,
	    &discard, sizeof(discard));
	http_outbound_free(conn);
}

void
http_outbound_send(http_outbound_t *conn, const http_outbound_ops_t *ops,
    void *arg, struct evbuffer *head, struct evbuffer *body, bool no_body)
{
	http_reader_reset(&conn->reader);
	if (no_body)
		http_reader_expect_no_body(&conn->reader);
	conn->ops = ops;
	conn->arg = arg;
	conn->idle_closed = NULL;
	conn->response_started = false;
	conn->response_completed = false;
	conn->defect = HTTP_DEFECT_NONE;
	if (conn->connected) {
		bufferevent_write_buffer(conn->bev, head);
		if (body != NULL)
			bufferevent_write_buffer(conn->bev, body);
		ops->on_sent(arg);
		return;
	}
	conn->unsent_request = evbuffer_new();
	evbuffer_add_buffer(conn->unsent_request, head);
	if (body != NULL)
		evbuffer_add_buffer(conn->unsent_request, body);
}

bool
http_outbound_reusable(const http_outbound_t *conn)
{
	return conn->response_completed && conn->reader.msg.keep_alive &&
	    evbuffer_get_length(bufferevent_get_input(conn->bev)) == 0 &&
	    evbuffer_get_length(bufferevent_get_output(conn->bev)) == 0;
}

bool
http_outbound_ended_by_close(const http_outbound_t *conn)
{
	return conn->ended_by_close;
}

http_defect_t
http_outbound_defect(const http_outbound_t *conn)
{
	return conn->defect;
}

void
http_outbound_set_idle(
    http_outbound_t *conn, http_outbound_idle_closed_t closed, void *arg)
{
	conn->idle_closed = closed;
	conn->idle_arg = arg;
	http_outbound_pause_reading(conn, false);
}

void
http_outbound_pause_reading(http_outbound_t *conn, bool pause)
{
	if (pause)
		bufferevent_disable(conn->bev, EV_READ);
	else
		bufferevent_enable(conn->bev, EV_READ);
}
