#include "http_inbound_priv.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <inttypes.h>
#include <math.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>

#define BACKLOG 1024
/* How long no connection is accepted after the system has refused one, as there
 * is no descriptor or memory left: the listening socket stays readable. */
#define ACCEPT_PAUSE_US 100000
/* Bounds the time that a caller can take by sending on. */
#define FLUSH_READS_MAX 64

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *address, int len, void *arg)
{
	http_inbound_server_t *server = arg;

	(void)listener;
	(void)address;
	(void)len;
	if (inbound_accept_room(server)) {
		inbound_open(server, fd);
		return;
	}
	server->share.budget->turned_away++;
	evutil_closesocket(fd);
}

static void
on_accept_pause_over(evutil_socket_t fd, short what, void *arg)
{
	http_inbound_server_t *server = arg;

	(void)fd;
	(void)what;
	if (server->listener != NULL && !server->paused)
		evconnlistener_enable(server->listener);
}

static void
on_accept_error(struct evconnlistener *listener, void *arg)
{
	http_inbound_server_t *server = arg;
	struct timeval pause = {0, ACCEPT_PAUSE_US};

	if (inbound_descriptor_free(server))
		return;
	evconnlistener_disable(listener);
	event_add(&server->accept_timer, &pause);
}

http_inbound_server_t *
http_inbound_listen(struct event_base *base, inbound_budget_t *budget,
    const http_address_t *address, const http_inbound_ops_t *ops, void *arg,
    err_t *err)
{
	http_inbound_server_t *server = calloc(1, sizeof(*server));
	struct sockaddr_in bind_address = {
	    .sin_family = AF_INET, .sin_port = htons(address->port)};

	if (server == NULL) {
		err_set(err, ERR_MEMORY, "out of memory");
		return NULL;
	}
	server->base = base;
	server->ops = ops;
	server->arg = arg;
	if (inet_pton(AF_INET, address->host, &bind_address.sin_addr) == 1)
		server->listener = evconnlistener_new_bind(base, on_accept,
		    server, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, BACKLOG,
		    (struct sockaddr *)&bind_address, sizeof(bind_address));
	if (server->listener == NULL) {
		err_set(err, ERR_SETTING, "cannot listen on %s:%u",
		    address->host, address->port);
		free(server);
		return NULL;
	}
	inbound_receive_buffer_limit(evconnlistener_get_fd(server->listener));
	evconnlistener_set_error_cb(server->listener, on_accept_error);
	event_assign(
	    &server->accept_timer, base, -1, 0, on_accept_pause_over, server);
	inbound_share_init(&server->share, budget);
	inbound_connection_bytes_set(server);
	return server;
}

void
http_inbound_server_free(http_inbound_server_t *server)
{
	while (server->connections != NULL)
		inbound_free(server->connections);
	if (server->listener != NULL)
		evconnlistener_free(server->listener);
	event_del(&server->accept_timer);
	inbound_share_finish(&server->share);
	free(server);
}

void
http_inbound_set_limits(
    http_inbound_server_t *server, const http_inbound_limits_t *limits)
{
	server->limits = *limits;
	server->share.connections_max = limits->connections_max;
	http_inbound_make_room(server);
}

void
http_inbound_set_tls(http_inbound_server_t *server, tls_t *tls)
{
	server->tls = tls;
	inbound_connection_bytes_set(server);
}

void
http_inbound_pause_accepting(http_inbound_server_t *server, bool pause)
{
	server->paused = pause;
	if (server->listener == NULL)
		return;
	if (pause)
		evconnlistener_disable(server->listener);
	else
		evconnlistener_enable(server->listener);
}

void
http_inbound_drain(http_inbound_server_t *server)
{
	server->draining = true;
}

static bool
is_idle(const http_inbound_t *conn)
{
	return conn->state == INBOUND_READING &&
	    !inbound_request_started(conn) &&
	    http_inbound_unsent_bytes(conn) == 0;
}

void
http_inbound_close_idle(http_inbound_server_t *server, double part)
{
	uint32_t idle = 0;
	http_inbound_t *next;

	for (const http_inbound_t *conn = server->connections; conn != NULL;
	     conn = conn->next)
		idle += is_idle(conn);
	idle = (uint32_t)ceil(idle * part);
	for (http_inbound_t *conn = server->connections;
	     conn != NULL && idle > 0; conn = next) {
		next = conn->next;
		if (!is_idle(conn))
			continue;
		inbound_free(conn);
		idle--;
	}
}

void
http_inbound_stop_accepting(http_inbound_server_t *server)
{
	if (server->listener != NULL)
		evconnlistener_free(server->listener);
	server->listener = NULL;
	http_inbound_close_idle(server, 1);
}

bool
http_inbound_has_responses(const http_inbound_server_t *server)
{
	for (const http_inbound_t *conn = server->connections; conn != NULL;
	     conn = conn->next) {
		if ((conn->state != INBOUND_READING && !conn->lingered) ||
		    http_inbound_unsent_bytes(conn) > 0)
			return true;
	}
	return false;
}

/* Moves what is unsent to the socket, from where it is still sent after the
 * process has ended, and reads what was received: closing a socket with unread
 * bytes would reset the connection. */
static void
inbound_flush(http_inbound_t *conn)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	int fd = bufferevent_getfd(conn->bev);
	int size = (int)evbuffer_get_length(out);
	char discarded[4096];

	bufferevent_disable(conn->bev, EV_READ | EV_WRITE);
	if (size > 0) {
		/* The bufferevent keeps its output frozen. */
		evbuffer_unfreeze(out, 1);
		setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
		evbuffer_write(out, fd);
	}
	shutdown(fd, SHUT_WR);
	for (int i = 0; i < FLUSH_READS_MAX; i++) {
		if (recv(fd, discarded, sizeof(discarded), MSG_DONTWAIT) <= 0)
			break;
	}
}

void
http_inbound_flush(http_inbound_server_t *server)
{
	for (http_inbound_t *conn = server->connections; conn != NULL;
	     conn = conn->next) {
		if (conn->state == INBOUND_LINGERING ||
		    (conn->state == INBOUND_READING &&
			http_inbound_unsent_bytes(conn) > 0))
			inbound_flush(conn);
	}
}

size_t
http_inbound_server_unsent_bytes(const http_inbound_server_t *server)
{
	return server->unsent_bytes;
}

uint32_t
http_inbound_connection_count(const http_inbound_server_t *server)
{
	return server->share.connections;
}

static void
metric_write(struct evbuffer *out, const char *prefix, const char *name,
    const char *type, const char *help, uint64_t value)
{
	evbuffer_add_printf(out,
	    "# HELP %s_inbound_%s %s\n# TYPE %s_inbound_%s %s\n"
	    "%s_inbound_%s %" PRIu64 "\n",
	    prefix, name, help, prefix, name, type, prefix, name, value);
}

void
http_inbound_write_metrics(
    const inbound_budget_t *budget, const char *prefix, struct evbuffer *out)
{
	static const char *const phases[BUDGET_PHASES] = {
	    "closing", "idle", "incomplete", "busy"};

	metric_write(out, prefix, "bytes", "gauge",
	    "Memory that callers' connections hold, with what the system "
	    "receives for them.",
	    budget->bytes);
	metric_write(out, prefix, "bytes_max", "gauge",
	    "Memory that they may hold together.", budget->bytes_max);
	metric_write(out, prefix, "connections", "gauge",
	    "Connections of callers, over all listeners.", budget->connections);
	metric_write(out, prefix, "refused_total", "counter",
	    "Requests for which no memory was left.", budget->refused);
	metric_write(out, prefix, "turned_away_total", "counter",
	    "New connections that were closed at once, as none gave way.",
	    budget->turned_away);
	evbuffer_add_printf(out,
	    "# HELP %s_inbound_closed_total Connections that gave way, by what "
	    "they did.\n# TYPE %s_inbound_closed_total counter\n",
	    prefix, prefix);
	for (int i = 0; i < BUDGET_PHASES; i++)
		evbuffer_add_printf(out,
		    "%s_inbound_closed_total{phase=\"%s\"} %" PRIu64 "\n",
		    prefix, phases[i], budget->closed[i]);
}
