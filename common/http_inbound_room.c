/* Keeps what connections hold within the account of the process. */
#include "http_inbound_priv.h"

#include <sys/socket.h>

/* What a connection takes beside what was received and is unsent: its buffers
 * and timers, about 3 KB, and what the system receives for it before it is
 * read, half as much again as the size of the receive buffer. TLS adds its
 * state and its buffers. */
#define CONNECTION_BYTES 16384
#define TLS_BYTES 57344
#define RECEIVE_BUFFER 8192
/* The same for a connection that receives a large body; more than its first
 * receive buffer does not slow down callers that are some ms away. */
#define LARGE_RECEIVE_BUFFER 32768
#define LARGE_RECEIVE_BYTES 49152

void
inbound_receive_buffer_limit(evutil_socket_t listener)
{
	int size = RECEIVE_BUFFER;

	/* Accepted sockets inherit it, so that their first window has it. */
	setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
}

static void
receive_buffer_enlarge(http_inbound_t *conn)
{
	int size = LARGE_RECEIVE_BUFFER;

	if (conn->receive_bytes > 0 ||
	    inbound_budget_is_crowded(conn->server->share.budget))
		return;
	setsockopt(bufferevent_getfd(conn->bev), SOL_SOCKET, SO_RCVBUF, &size,
	    sizeof(size));
	conn->receive_bytes = LARGE_RECEIVE_BYTES;
}

static bool
is_closing(const http_inbound_t *conn)
{
	return conn->state == INBOUND_LINGERING &&
	    (conn->lingered || conn->refused);
}

/* Whether the connection only waits for a caller that has stopped to read. */
static bool
is_stalled(const http_inbound_t *conn)
{
	return conn->stalled_ms > 0 &&
	    (conn->state == INBOUND_READING ||
		conn->state == INBOUND_LINGERING);
}

static budget_phase_t
phase_of(const http_inbound_t *conn)
{
	if (http_inbound_unsent_bytes(conn) > 0)
		return is_stalled(conn) ? BUDGET_CLOSING : BUDGET_BUSY;
	if (is_closing(conn))
		return BUDGET_CLOSING;
	if (conn->state != INBOUND_READING)
		return BUDGET_BUSY;
	return inbound_request_started(conn) ? BUDGET_INCOMPLETE : BUDGET_IDLE;
}

static size_t
bytes_of(const http_inbound_t *conn)
{
	size_t body = conn->state == INBOUND_READING
	    ? evbuffer_get_length(conn->reader.msg.body)
	    : conn->request_bytes;

	return conn->server->share.connection_bytes + conn->receive_bytes +
	    conn->handler_bytes + body + http_reader_head_bytes(&conn->reader) +
	    evbuffer_get_length(bufferevent_get_input(conn->bev)) +
	    http_inbound_unsent_bytes(conn);
}

void
inbound_charge(http_inbound_t *conn)
{
	budget_entry_set(&conn->entry, phase_of(conn), bytes_of(conn));
}

static void
refuse_without_room(http_inbound_t *conn)
{
	err_t err;

	conn->server->share.budget->refused++;
	err_set(&err, ERR_MEMORY, "no memory is left for the request");
	inbound_refuse(conn, &err);
}

static void
give_way(budget_entry_t *entry)
{
	http_inbound_t *conn = entry->owner;

	if (entry->phase == BUDGET_INCOMPLETE && budget_entry_is_large(entry)) {
		refuse_without_room(conn);
		return;
	}
	entry->share->budget->closed[entry->phase]++;
	inbound_free(conn);
}

/* @param except the connection for which room is made; NULL: a new one
 * @return false: it finds none */
static bool
room_make(inbound_budget_t *budget, size_t bytes, bool large,
    const budget_entry_t *except)
{
	while (!inbound_budget_has_room(budget, bytes, large)) {
		budget_entry_t *victim = inbound_budget_victim(budget, large);

		if (victim == NULL || victim == except)
			return false;
		give_way(victim);
	}
	return true;
}

void
inbound_connection_bytes_set(http_inbound_server_t *server)
{
	server->share.connection_bytes =
	    CONNECTION_BYTES + (server->tls != NULL ? TLS_BYTES : 0);
}

bool
inbound_accept_room(http_inbound_server_t *server)
{
	inbound_share_t *share = &server->share;
	budget_entry_t *victim;

	if (share->connections >= share->connections_max) {
		victim = inbound_share_victim(share);
		if (victim == NULL)
			return false;
		give_way(victim);
	}
	return room_make(share->budget, share->connection_bytes, false, NULL);
}

bool
inbound_descriptor_free(http_inbound_server_t *server)
{
	budget_entry_t *victim = inbound_share_victim(&server->share);

	if (victim == NULL)
		return false;
	server->share.budget->closed[victim->phase]++;
	inbound_free(victim->owner);
	return true;
}

bool
inbound_request_room(http_inbound_t *conn)
{
	inbound_charge(conn);
	if (room_make(conn->server->share.budget, 0,
		budget_entry_is_large(&conn->entry), &conn->entry))
		return true;
	refuse_without_room(conn);
	return false;
}

err_code_t
inbound_body_check(http_inbound_t *conn)
{
	const http_parser *parser = &conn->reader.parser;
	const http_inbound_server_t *server = conn->server;
	bool announced = (parser->flags & F_CONTENTLENGTH) != 0;

	if (announced && parser->content_length > server->limits.body_max)
		return ERR_BODY_TOO_LARGE;
	if (server->ops->bodies_discarded)
		return ERR_NONE;
	if (announced &&
	    !inbound_share_may_fit(
		&server->share, (size_t)parser->content_length)) {
		server->share.budget->refused++;
		return ERR_MEMORY;
	}
	if (conn->reader.msg.chunked ||
	    (announced && parser->content_length > RECEIVE_BUFFER))
		receive_buffer_enlarge(conn);
	return ERR_NONE;
}

void
http_inbound_set_handler_bytes(http_inbound_t *conn, size_t bytes)
{
	conn->handler_bytes = bytes;
	inbound_charge(conn);
}

bool
http_inbound_reserve(http_inbound_t *conn, size_t bytes)
{
	http_inbound_set_handler_bytes(conn, bytes);
	if (room_make(conn->server->share.budget, 0,
		budget_entry_is_large(&conn->entry), &conn->entry))
		return true;
	http_inbound_set_handler_bytes(conn, 0);
	conn->server->share.budget->refused++;
	return false;
}

void
http_inbound_hang_up(http_inbound_t *conn)
{
	conn->server->share.budget->closed[BUDGET_BUSY]++;
	shutdown(bufferevent_getfd(conn->bev), SHUT_RDWR);
}

void
http_inbound_release_body(http_inbound_t *conn)
{
	struct evbuffer *body = conn->reader.msg.body;

	evbuffer_drain(body, evbuffer_get_length(body));
	conn->request_bytes = 0;
	inbound_charge(conn);
}

void
http_inbound_make_room(http_inbound_server_t *server)
{
	inbound_share_t *share = &server->share;
	budget_entry_t *victim;

	while (share->connections > share->connections_max &&
	    (victim = inbound_share_victim(share)) != NULL)
		give_way(victim);
	room_make(share->budget, 0, false, NULL);
}
