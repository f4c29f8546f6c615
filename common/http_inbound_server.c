#include "http_inbound_priv.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>

#define BACKLOG 1024

/* Make room for a new connection by closing the one that has been idle for the
 * longest time or, if none is idle, the one whose request has been incomplete
 * for the longest time. Connections that wait for a response are never closed.
 * @return false if all of them do */
static bool
waiting_connection_evict(http_inbound_server_t *server)
{
	http_inbound_t *oldest = NULL;

	for (http_inbound_t *conn = server->connections; conn != NULL;
	     conn = conn->next) {
		if (conn->state != INBOUND_READING)
			continue;
		if (oldest == NULL ||
		    inbound_request_started(conn) <
			inbound_request_started(oldest) ||
		    (inbound_request_started(conn) ==
			    inbound_request_started(oldest) &&
			conn->wait_seq < oldest->wait_seq))
			oldest = conn;
	}
	if (oldest == NULL)
		return false;
	inbound_free(oldest);
	return true;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *address, int len, void *arg)
{
	http_inbound_server_t *server = arg;

	(void)listener;
	(void)address;
	(void)len;
	if (server->connections_len >= server->limits.connections_max &&
	    !waiting_connection_evict(server))
		evutil_closesocket(fd);
	else
		inbound_open(server, fd);
}

http_inbound_server_t *
http_inbound_listen(struct event_base *base, const http_address_t *address,
    const http_inbound_ops_t *ops, void *arg, err_t *err)
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
	return server;
}

void
http_inbound_server_free(http_inbound_server_t *server)
{
	while (server->connections != NULL)
		inbound_free(server->connections);
	if (server->listener != NULL)
		evconnlistener_free(server->listener);
	free(server);
}

void
http_inbound_set_limits(
    http_inbound_server_t *server, const http_inbound_limits_t *limits)
{
	server->limits = *limits;
}

void
http_inbound_pause_accepting(http_inbound_server_t *server, bool pause)
{
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

void
http_inbound_stop_accepting(http_inbound_server_t *server)
{
	http_inbound_t *next;

	if (server->listener != NULL)
		evconnlistener_free(server->listener);
	server->listener = NULL;
	for (http_inbound_t *conn = server->connections; conn != NULL;
	     conn = next) {
		next = conn->next;
		if (conn->state == INBOUND_READING &&
		    !conn->reader.in_message &&
		    evbuffer_get_length(bufferevent_get_input(conn->bev)) == 0)
			inbound_free(conn);
	}
}

uint32_t
http_inbound_connection_count(const http_inbound_server_t *server)
{
	return server->connections_len;
}
