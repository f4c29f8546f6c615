#include "http_inbound_priv.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define MS_PER_SEC 1000
#define US_PER_MS 1000
/* Bytes buffered from a caller that sends ahead while its request is being
 * handled. */
#define PIPELINED_MAX 4096
#define NO_TIMEOUT_S 86400
/* No further request of a connection is read while more bytes of earlier
 * responses are unsent. */
#define PIPELINE_UNSENT_MAX 4096

static void inbound_read(http_inbound_t *conn);

static void
on_output_changed(
    struct evbuffer *output, const struct evbuffer_cb_info *info, void *arg)
{
	http_inbound_t *conn = arg;

	(void)output;
	conn->server->unsent_bytes += info->n_added;
	conn->server->unsent_bytes -= info->n_deleted;
	conn->written_bytes += info->n_deleted;
	inbound_charge(conn);
}

void
inbound_free(http_inbound_t *conn)
{
	http_inbound_server_t *server = conn->server;
	evutil_socket_t fd = bufferevent_getfd(conn->bev);

	if (conn->prev != NULL)
		conn->prev->next = conn->next;
	else
		server->connections = conn->next;
	if (conn->next != NULL)
		conn->next->prev = conn->prev;
	budget_entry_remove(&conn->entry);
	evbuffer_remove_cb(
	    bufferevent_get_output(conn->bev), on_output_changed, conn);
	server->unsent_bytes -= http_inbound_unsent_bytes(conn);
	inbound_wait_finish(conn);
	http_reader_finish(&conn->reader);
	/* libevent would close it only after all connections that wait have
	 * been accepted. */
	bufferevent_setfd(conn->bev, -1);
	evutil_closesocket(fd);
	bufferevent_free(conn->bev);
	free(conn);
}

static void
write_timeout_set(http_inbound_t *conn)
{
	int64_t ms = inbound_write_check_ms(conn);
	/* libevent may keep using an old timeout that is merely removed. */
	struct timeval read = {NO_TIMEOUT_S, 0};
	struct timeval write = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	bufferevent_set_timeouts(conn->bev, &read, &write);
}

/* The last byte was written. */
static void
linger_start(http_inbound_t *conn)
{
	if (conn->input_ended) {
		inbound_free(conn);
		return;
	}
	if (conn->server->tls != NULL)
		tls_close_notify(conn->bev);
	shutdown(bufferevent_getfd(conn->bev), SHUT_WR);
	inbound_wait_start(conn, INBOUND_WAIT_CLOSE);
}

/* Discard further input until the caller closes the connection or, once all is
 * written, for INBOUND_LINGER_MS. */
static void
inbound_linger(http_inbound_t *conn)
{
	conn->state = INBOUND_LINGERING;
	bufferevent_setwatermark(conn->bev, EV_READ, 0, 0);
	bufferevent_enable(conn->bev, EV_READ);
	inbound_wait_start(conn, INBOUND_WAIT_NONE);
	write_timeout_set(conn);
	inbound_charge(conn);
	if (http_inbound_unsent_bytes(conn) == 0)
		linger_start(conn);
}

void
inbound_refuse(http_inbound_t *conn, const err_t *err)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);

	conn->state = INBOUND_HANDLING;
	conn->close_after_response = true;
	conn->refused = true;
	conn->discarded_bytes = 0;
	inbound_wait_start(conn, INBOUND_WAIT_NONE);
	write_timeout_set(conn);
	evbuffer_drain(in, evbuffer_get_length(in));
	http_reader_reset(&conn->reader);
	inbound_charge(conn);
	conn->server->ops->on_refused(conn->server->arg, conn, err);
}

static void
on_head(void *arg, http_msg_t *msg)
{
	http_inbound_t *conn = arg;
	const char *expect = http_msg_field(msg, "Expect");
	static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";

	conn->refusal = inbound_body_check(conn);
	if (conn->refusal == ERR_NONE && expect != NULL &&
	    strcasecmp(expect, "100-continue") == 0)
		bufferevent_write(conn->bev, continue_response,
		    sizeof(continue_response) - 1);
}

static void
on_body(void *arg, const char *bytes, size_t len)
{
	http_inbound_t *conn = arg;
	struct evbuffer *body = conn->reader.msg.body;

	if (evbuffer_get_length(body) + conn->discarded_bytes + len >
	    conn->server->limits.body_max)
		conn->refusal = ERR_BODY_TOO_LARGE;
	else if (conn->server->ops->bodies_discarded)
		conn->discarded_bytes += len;
	else if (conn->refusal == ERR_NONE)
		evbuffer_add(body, bytes, len);
}

static void
on_complete(void *arg)
{
	(void)arg;
}

static const http_reader_ops_t reader_ops = {on_head, on_body, on_complete};

static void
inbound_handle(http_inbound_t *conn)
{
	http_inbound_server_t *server = conn->server;
	const http_msg_t *msg = &conn->reader.msg;
	bool valid;
	err_t err;

	conn->state = INBOUND_HANDLING;
	conn->request_bytes = evbuffer_get_length(conn->reader.msg.body);
	inbound_charge(conn);
	inbound_wait_start(conn, INBOUND_WAIT_NONE);
	write_timeout_set(conn);
	/* Keep reading, so that a close by the caller is noticed. */
	bufferevent_setwatermark(conn->bev, EV_READ, 0, PIPELINED_MAX);
	if (!msg->keep_alive)
		conn->close_after_response = true;
	valid = server->ops->host_optional ? http_msg_check_target(msg, &err)
					   : http_msg_check(msg, &err);
	if (!valid)
		inbound_refuse(conn, &err);
	else
		server->ops->on_request(server->arg, conn);
}

static void
inbound_refuse_body(http_inbound_t *conn)
{
	err_t err;

	err_set(&err, conn->refusal, "%s",
	    conn->refusal == ERR_MEMORY
		? "no memory is left for the request body"
		: "the request body is too large");
	conn->refusal = ERR_NONE;
	inbound_refuse(conn, &err);
}

static void
inbound_refuse_invalid(http_inbound_t *conn)
{
	const http_reader_t *reader = &conn->reader;
	err_t err;

	if (reader->head_too_large)
		err_set(
		    &err, ERR_HEAD_TOO_LARGE, "the request head is too large");
	else if (reader->out_of_memory)
		err_set(&err, ERR_MEMORY, "out of memory");
	else if (reader->syntax.defect != HTTP_DEFECT_NONE)
		err_set(&err, ERR_BAD_REQUEST, "invalid HTTP: %s",
		    http_defect_name(reader->syntax.defect));
	else
		err_set(&err, ERR_BAD_REQUEST, "%s",
		    http_errno_description(HTTP_PARSER_ERRNO(&reader->parser)));
	inbound_refuse(conn, &err);
}

static void
inbound_read(http_inbound_t *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	http_read_result_t result = http_reader_feed(&conn->reader, in);

	if (result == HTTP_READ_INVALID) {
		inbound_refuse_invalid(conn);
		return;
	}
	if (conn->refusal != ERR_NONE) {
		inbound_refuse_body(conn);
		return;
	}
	if (!inbound_request_room(conn))
		return;
	if (result == HTTP_READ_COMPLETE)
		inbound_handle(conn);
	else
		inbound_wait_update(conn);
}

/* Whether the caller has to read responses before it gets further ones. */
static bool
responses_wait(const http_inbound_t *conn)
{
	return http_inbound_unsent_bytes(conn) > PIPELINE_UNSENT_MAX;
}

static void
input_trigger(http_inbound_t *conn)
{
	/* Deferred, so that pipelined requests can't nest on the stack. */
	if (evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0)
		bufferevent_trigger(conn->bev, EV_READ,
		    BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

static void
reading_pause(http_inbound_t *conn, bool pause)
{
	if (pause)
		bufferevent_disable(conn->bev, EV_READ);
	else if (conn->reading_paused)
		bufferevent_enable(conn->bev, EV_READ);
	conn->reading_paused = pause;
}

/* All responses were written. */
static void
reading_resume(http_inbound_t *conn)
{
	bool paused = conn->reading_paused;

	reading_pause(conn, false);
	inbound_wait_update(conn);
	if (paused)
		input_trigger(conn);
}

/* No more is read from a closing connection than a request may have. */
static void
inbound_discard(http_inbound_t *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);

	conn->discarded_bytes += evbuffer_get_length(in);
	evbuffer_drain(in, evbuffer_get_length(in));
	if (conn->discarded_bytes > conn->server->limits.body_max)
		bufferevent_disable(conn->bev, EV_READ);
}

static void
on_readable(struct bufferevent *bev, void *arg)
{
	http_inbound_t *conn = arg;

	(void)bev;
	if (conn->state == INBOUND_READING && responses_wait(conn))
		reading_pause(conn, true);
	else if (conn->state == INBOUND_READING)
		inbound_read(conn);
	else if (conn->state == INBOUND_LINGERING)
		inbound_discard(conn);
	else
		inbound_charge(conn);
}

static void
on_written(struct bufferevent *bev, void *arg)
{
	http_inbound_t *conn = arg;

	(void)bev;
	if (conn->state == INBOUND_LINGERING)
		linger_start(conn);
	else if (conn->state == INBOUND_READING)
		reading_resume(conn);
	else if (conn->state == INBOUND_STREAMING)
		conn->server->ops->on_drained(conn->server->arg, conn);
}

/* @return false: the caller reads nothing */
static bool
write_continue(http_inbound_t *conn)
{
	if (!inbound_caller_reads(conn, inbound_write_check_ms(conn)))
		return false;
	bufferevent_enable(conn->bev, EV_WRITE);
	inbound_charge(conn);
	return true;
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	http_inbound_t *conn = arg;
	http_inbound_server_t *server = conn->server;

	/* The TLS handshake is complete. */
	if ((what & BEV_EVENT_CONNECTED) != 0)
		return;
	if ((what & BEV_EVENT_TIMEOUT) != 0 &&
	    (what & BEV_EVENT_WRITING) != 0 && write_continue(conn))
		return;
	/* A caller that has ended its own side may still read the response. */
	if ((what & BEV_EVENT_EOF) != 0 &&
	    http_inbound_unsent_bytes(conn) > 0 &&
	    (conn->state == INBOUND_LINGERING ||
		conn->state == INBOUND_READING)) {
		conn->state = INBOUND_LINGERING;
		conn->input_ended = true;
		bufferevent_disable(bev, EV_READ);
		return;
	}
	if (conn->state == INBOUND_HANDLING || conn->state == INBOUND_STREAMING)
		server->ops->on_closed(server->arg, conn);
	inbound_free(conn);
}

bool
inbound_request_started(const http_inbound_t *conn)
{
	return conn->reader.in_message ||
	    evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0;
}

void
inbound_open(http_inbound_server_t *server, evutil_socket_t fd)
{
	http_inbound_t *conn = calloc(1, sizeof(*conn));
	int yes = 1;

	if (conn == NULL) {
		evutil_closesocket(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
	conn->server = server;
	conn->bev = server->tls != NULL
	    ? tls_server_bufferevent(server->tls, server->base, fd)
	    : bufferevent_socket_new(server->base, fd, 0);
	if (conn->bev == NULL) {
		evutil_closesocket(fd);
		free(conn);
		return;
	}
	http_reader_init(&conn->reader, HTTP_REQUEST, &reader_ops, conn,
	    server->limits.head_max);
	conn->next = server->connections;
	if (server->connections != NULL)
		server->connections->prev = conn;
	server->connections = conn;
	budget_entry_add(&conn->entry, &server->share, conn, 0);
	inbound_charge(conn);
	bufferevent_setcb(conn->bev, on_readable, on_written, on_event, conn);
	evbuffer_add_cb(
	    bufferevent_get_output(conn->bev), on_output_changed, conn);
	inbound_wait_init(conn);
	inbound_wait_start(conn, INBOUND_WAIT_IDLE);
	write_timeout_set(conn);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
}

void
inbound_response_completed(http_inbound_t *conn)
{
	conn->user_data = NULL;
	conn->request_bytes = 0;
	conn->discarded_bytes = 0;
	conn->handler_bytes = 0;
	if (conn->close_after_response) {
		inbound_linger(conn);
		return;
	}
	http_reader_reset(&conn->reader);
	conn->state = INBOUND_READING;
	conn->wait = INBOUND_WAIT_NONE;
	inbound_charge(conn);
	bufferevent_setwatermark(conn->bev, EV_READ, 0, 0);
	write_timeout_set(conn);
	inbound_wait_update(conn);
	input_trigger(conn);
}

const http_msg_t *
http_inbound_request(const http_inbound_t *conn)
{
	return &conn->reader.msg;
}

void
http_inbound_set_user_data(http_inbound_t *conn, void *user_data)
{
	conn->user_data = user_data;
}

void *
http_inbound_user_data(const http_inbound_t *conn)
{
	return conn->user_data;
}

void
http_inbound_abort(http_inbound_t *conn)
{
	inbound_free(conn);
}

size_t
http_inbound_unsent_bytes(const http_inbound_t *conn)
{
	return evbuffer_get_length(bufferevent_get_output(conn->bev));
}
