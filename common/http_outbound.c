#include "common/http_outbound.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>

#define MS_PER_SEC 1000
#define US_PER_MS 1000
#define NEVER_S 86400
#define ANSWER_HEAD_MAX 65536 /* bytes */
/* The kernel asks an idle connection's other end whether it is there in whole
 * seconds only; how often, once it was silent for the first of them. */
#define PROBE_PAUSE_S 1

struct http_outbound {
	struct bufferevent *bev;
	http_reader_t reader;
	const http_outbound_ops_t *ops; /**< NULL: no request under way */
	void *arg;
	http_outbound_idle_closed_t idle_end;
	void *idle_arg;
	struct evbuffer *waiting; /**< until connected */
	bool connected;
	bool answered; /**< some byte of an answer came */
	bool whole;    /**< the answer ended in good order */
	bool inside;   /**< inside a callback of the reader */
	bool dead;     /**< free it after the callback */
};

static void
on_head(void *arg, http_msg_t *msg)
{
	http_outbound_t *conn = arg;

	if (!conn->dead)
		conn->ops->on_head(conn->arg, msg);
}

static void
on_body(void *arg, const char *bytes, size_t len)
{
	http_outbound_t *conn = arg;

	if (!conn->dead)
		conn->ops->on_body(conn->arg, bytes, len);
}

static void
on_whole(void *arg)
{
	(void)arg;
}

static const http_reader_ops_t reader_ops = {on_head, on_body, on_whole};

static void
conn_release(http_outbound_t *conn)
{
	http_reader_finish(&conn->reader);
	if (conn->waiting != NULL)
		evbuffer_free(conn->waiting);
	bufferevent_free(conn->bev);
	free(conn);
}

static void
request_fail(http_outbound_t *conn, http_outbound_failure_t failure)
{
	const http_outbound_ops_t *ops = conn->ops;
	http_outbound_idle_closed_t idle_end = conn->idle_end;

	if (ops != NULL) {
		conn->ops = NULL;
		ops->on_failed(conn->arg, failure);
	} else if (idle_end != NULL) {
		conn->idle_end = NULL;
		idle_end(conn->idle_arg, conn);
	}
}

static void
request_done(http_outbound_t *conn)
{
	const http_outbound_ops_t *ops = conn->ops;

	conn->whole = true;
	conn->ops = NULL;
	ops->on_complete(conn->arg);
}

/* Run a reader's step, during which the owner may free the connection.
 * @return false: it is gone */
static bool
reader_step(http_outbound_t *conn, bool end, http_read_result_t *result)
{
	conn->inside = true;
	*result = end
	    ? http_reader_eof(&conn->reader)
	    : http_reader_feed(&conn->reader, bufferevent_get_input(conn->bev));
	conn->inside = false;
	if (!conn->dead)
		return true;
	conn_release(conn);
	return false;
}

static void
on_readable(struct bufferevent *bev, void *arg)
{
	http_outbound_t *conn = arg;
	http_read_result_t result;

	(void)bev;
	if (conn->ops == NULL) {
		/* Nobody asked for these bytes. */
		conn->whole = false;
		request_fail(conn, HTTP_OUTBOUND_BAD_RESPONSE);
		return;
	}
	conn->answered = true;
	if (!reader_step(conn, false, &result))
		return;
	if (result == HTTP_READ_COMPLETE)
		request_done(conn);
	else if (result == HTTP_READ_INVALID)
		request_fail(conn, HTTP_OUTBOUND_BAD_RESPONSE);
}

static void
on_connected(http_outbound_t *conn)
{
	/* libevent goes on with a persistent event's old time limit when it is
	 * merely taken away: a long one replaces it. */
	static const struct timeval never = {NEVER_S, 0};

	conn->connected = true;
	bufferevent_set_timeouts(conn->bev, NULL, &never);
	if (conn->ops == NULL)
		return;
	if (!conn->ops->on_connected(conn->arg))
		return; /* the owner may have freed the connection */
	if (conn->waiting != NULL)
		bufferevent_write_buffer(conn->bev, conn->waiting);
	conn->ops->on_sent(conn->arg);
}

static void
on_end(http_outbound_t *conn, short what)
{
	bool in_order = (what & BEV_EVENT_EOF) != 0;
	bool refused = (what & BEV_EVENT_ERROR) != 0 &&
	    EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
	http_read_result_t result;

	if (conn->ops == NULL || !conn->connected) {
		request_fail(conn,
		    refused ? HTTP_OUTBOUND_CONNECTION_REFUSED
			    : HTTP_OUTBOUND_NOT_SENT);
		return;
	}
	if (in_order && conn->answered) {
		if (!reader_step(conn, true, &result))
			return;
		if (result == HTTP_READ_COMPLETE) {
			conn->reader.msg.keep_alive = false;
			request_done(conn);
			return;
		}
	}
	request_fail(conn,
	    conn->answered ? HTTP_OUTBOUND_BAD_RESPONSE
			   : HTTP_OUTBOUND_NO_RESPONSE);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	http_outbound_t *conn = arg;

	(void)bev;
	if ((what & BEV_EVENT_CONNECTED) != 0)
		on_connected(conn);
	else
		on_end(conn, what);
}

void
http_outbound_set_silence_timeout(http_outbound_t *conn, int64_t silent_ms)
{
	unsigned int unacknowledged = (unsigned int)silent_ms;

	setsockopt(bufferevent_getfd(conn->bev), IPPROTO_TCP, TCP_USER_TIMEOUT,
	    &unacknowledged, sizeof(unacknowledged));
}

/* An open connection may fall silent for good, while new ones work. */
static void
socket_tune(http_outbound_t *conn, int64_t silent_ms)
{
	evutil_socket_t fd = bufferevent_getfd(conn->bev);
	int idle_s = (int)(silent_ms / MS_PER_SEC);
	int pause_s = PROBE_PAUSE_S;
	int yes = 1;

	if (idle_s < 1)
		idle_s = 1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &yes, sizeof(yes));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &pause_s, sizeof(pause_s));
	http_outbound_set_silence_timeout(conn, silent_ms);
}

http_outbound_t *
http_outbound_new(struct event_base *base, const http_address_t *address,
    int64_t connect_ms, int64_t silent_ms)
{
	http_outbound_t *conn = calloc(1, sizeof(*conn));
	struct timeval limit = {
	    connect_ms / MS_PER_SEC, connect_ms % MS_PER_SEC * US_PER_MS};
	struct sockaddr_in to = {
	    .sin_family = AF_INET, .sin_port = htons(address->port)};

	if (conn == NULL)
		return NULL;
	conn->bev = bufferevent_socket_new(
	    base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	if (conn->bev == NULL ||
	    inet_pton(AF_INET, address->host, &to.sin_addr) != 1) {
		if (conn->bev != NULL)
			bufferevent_free(conn->bev);
		free(conn);
		return NULL;
	}
	http_reader_init(
	    &conn->reader, HTTP_RESPONSE, &reader_ops, conn, ANSWER_HEAD_MAX);
	bufferevent_setcb(conn->bev, on_readable, NULL, on_event, conn);
	bufferevent_set_timeouts(conn->bev, &limit, &limit);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(
		conn->bev, (struct sockaddr *)&to, sizeof(to)) != 0) {
		conn_release(conn);
		return NULL;
	}
	socket_tune(conn, silent_ms);
	return conn;
}

void
http_outbound_free(http_outbound_t *conn)
{
	conn->ops = NULL;
	conn->idle_end = NULL;
	if (conn->inside)
		conn->dead = true;
	else
		conn_release(conn);
}

void
http_outbound_send(http_outbound_t *conn, const http_outbound_ops_t *ops,
    void *arg, struct evbuffer *head, struct evbuffer *body, bool no_body)
{
	http_reader_reset(&conn->reader);
	conn->reader.no_body = no_body;
	conn->ops = ops;
	conn->arg = arg;
	conn->idle_end = NULL;
	conn->answered = false;
	conn->whole = false;
	if (conn->connected) {
		bufferevent_write_buffer(conn->bev, head);
		if (body != NULL)
			bufferevent_write_buffer(conn->bev, body);
		ops->on_sent(arg);
		return;
	}
	conn->waiting = evbuffer_new();
	evbuffer_add_buffer(conn->waiting, head);
	if (body != NULL)
		evbuffer_add_buffer(conn->waiting, body);
}

bool
http_outbound_reusable(const http_outbound_t *conn)
{
	return conn->whole && conn->reader.msg.keep_alive &&
	    evbuffer_get_length(bufferevent_get_input(conn->bev)) == 0 &&
	    evbuffer_get_length(bufferevent_get_output(conn->bev)) == 0;
}

void
http_outbound_set_idle(
    http_outbound_t *conn, http_outbound_idle_closed_t ended, void *arg)
{
	conn->idle_end = ended;
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
