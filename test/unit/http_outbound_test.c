/**
 * @file
 * A request is sent only if its owner still wants it once the connection is
 * established, a connection whose sent bytes are not acknowledged fails, and
 * the end of one that is reset completes no response.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <event2/event.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/http_outbound.h"

#define SILENT_MS 300
/* Far longer than SILENT_MS, and far shorter than the kernel's own timeout. */
#define LIMIT_S 8
#define BODY_LEN (16U << 20)
#define WINDOW 4096

/** The owner of a request: counts the callbacks. */
typedef struct owner {
	bool wanted;
	int sent;
	int failed;
	http_defect_t defect;
	int heads;
	int completed;
	size_t received; /**< bytes of the body */
	http_outbound_failure_t failure;
	struct event_base *base;
	http_outbound_t *conn;
} owner_t;

static bool
on_ready(void *arg)
{
	owner_t *owner = arg;

	if (owner->wanted)
		return true;
	http_outbound_free(owner->conn);
	owner->conn = NULL;
	return false;
}

static void
on_sent(void *arg)
{
	((owner_t *)arg)->sent++;
}

static void
on_head(void *arg, const http_msg_t *msg)
{
	(void)msg;
	((owner_t *)arg)->heads++;
}

static void
on_body(void *arg, const char *bytes, size_t len)
{
	(void)bytes;
	((owner_t *)arg)->received += len;
}

static void
on_done(void *arg)
{
	owner_t *owner = arg;

	owner->completed++;
	if (owner->base != NULL)
		event_base_loopbreak(owner->base);
}

static void
on_failed(void *arg, http_outbound_failure_t failure)
{
	owner_t *owner = arg;

	owner->failed++;
	owner->defect = http_outbound_defect(owner->conn);
	owner->failure = failure;
	if (owner->base != NULL)
		event_base_loopbreak(owner->base);
}

static const http_outbound_ops_t ops = {
    on_ready, on_sent, on_head, on_body, on_done, on_failed};

/* Bytes of a request that a server receives. @param wanted whether its owner
 * still wants it once connected */
static ssize_t
bytes_received(bool wanted, owner_t *owner)
{
	struct event_base *base = event_base_new();
	struct sockaddr_in at = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(at);
	struct timeval limit = {0, 200000};
	http_address_t address = {.host = "127.0.0.1"};
	struct evbuffer *head = evbuffer_new();
	char bytes[64];
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int server;
	ssize_t got;

	assert_int_equal(bind(listener, (struct sockaddr *)&at, len), 0);
	assert_int_equal(listen(listener, 1), 0);
	getsockname(listener, (struct sockaddr *)&at, &len);
	address.port = ntohs(at.sin_port);
	*owner = (owner_t){.wanted = wanted};
	owner->conn = http_outbound_new(base, &address, NULL, 1000, 2000);
	evbuffer_add(head, "GET / HTTP/1.1\r\n\r\n", 18);
	http_outbound_send(owner->conn, &ops, owner, head, NULL, false);
	event_base_loopexit(base, &limit);
	event_base_dispatch(base);
	server = accept(listener, NULL, NULL);
	got = recv(server, bytes, sizeof(bytes), MSG_DONTWAIT);
	if (owner->conn != NULL)
		http_outbound_free(owner->conn);
	close(server);
	close(listener);
	evbuffer_free(head);
	event_base_free(base);
	return got;
}

static void
wanted_requests_are_sent(void **state)
{
	owner_t owner;

	(void)state;
	assert_int_equal(bytes_received(true, &owner), 18);
	assert_int_equal(owner.sent, 1);
}

static void
requests_abandoned_while_connecting_are_not_sent(void **state)
{
	owner_t owner;

	(void)state;
	assert_true(bytes_received(false, &owner) <= 0);
	assert_int_equal(owner.sent, 0);
}

/* Send more than the server reads, and wait. A server that stops reading
 * simulates a link that loses all packets: in both cases sent bytes are not
 * acknowledged, and no reset is received. */
static void
send_to_stalled_server(owner_t *owner, int64_t connect_timeout_ms,
    int64_t silence_timeout_ms, time_t limit_s)
{
	struct event_base *base = event_base_new();
	struct sockaddr_in at = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(at);
	struct timeval limit = {limit_s, 0};
	http_address_t address = {.host = "127.0.0.1"};
	struct evbuffer *head = evbuffer_new();
	struct evbuffer *body = evbuffer_new();
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int window = WINDOW;
	char *bytes = calloc(1, BODY_LEN);

	*owner = (owner_t){.wanted = true, .base = base};
	setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	assert_int_equal(bind(listener, (struct sockaddr *)&at, len), 0);
	assert_int_equal(listen(listener, 1), 0);
	getsockname(listener, (struct sockaddr *)&at, &len);
	address.port = ntohs(at.sin_port);
	owner->conn =
	    http_outbound_new(base, &address, NULL, connect_timeout_ms, 60000);
	http_outbound_limit_silence(owner->conn, silence_timeout_ms);
	evbuffer_add_printf(
	    head, "PUT / HTTP/1.1\r\nContent-Length: %u\r\n\r\n", BODY_LEN);
	evbuffer_add(body, bytes, BODY_LEN);
	http_outbound_send(owner->conn, &ops, owner, head, body, false);
	event_base_loopexit(base, &limit);
	event_base_dispatch(base);
	assert_int_equal(owner->sent, 1);
	http_outbound_free(owner->conn);
	close(listener);
	evbuffer_free(head);
	evbuffer_free(body);
	event_base_free(base);
	free(bytes);
}

static void
silent_connections_fail(void **state)
{
	owner_t owner;

	(void)state;
	send_to_stalled_server(&owner, 1000, SILENT_MS, LIMIT_S);
	assert_int_equal(owner.failed, 1);
	assert_int_equal(owner.failure, HTTP_OUTBOUND_NO_RESPONSE);
}

/* The connect timeout must not apply to an established connection whose server
 * reads slowly. */
static void
the_connect_timeout_ends_with_connecting(void **state)
{
	owner_t owner;

	(void)state;
	send_to_stalled_server(&owner, 200, 60000, 2);
	assert_int_equal(owner.failed, 0);
}

static void
connection_refusals_are_distinguished(void **state)
{
	struct event_base *base = event_base_new();
	struct sockaddr_in at = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(at);
	http_address_t address = {.host = "127.0.0.1"};
	struct evbuffer *head = evbuffer_new();
	owner_t owner = {.wanted = true, .base = base};
	int closed = socket(AF_INET, SOCK_STREAM, 0);

	(void)state;
	assert_int_equal(bind(closed, (struct sockaddr *)&at, len), 0);
	getsockname(closed, (struct sockaddr *)&at, &len);
	address.port = ntohs(at.sin_port);
	owner.conn = http_outbound_new(base, &address, NULL, 1000, 2000);
	evbuffer_add(head, "GET / HTTP/1.1\r\n\r\n", 18);
	http_outbound_send(owner.conn, &ops, &owner, head, NULL, false);
	event_base_dispatch(base);
	assert_int_equal(owner.failed, 1);
	assert_int_equal(owner.failure, HTTP_OUTBOUND_CONNECTION_REFUSED);
	http_outbound_free(owner.conn);
	close(closed);
	evbuffer_free(head);
	event_base_free(base);
}

/** How a server ends a connection on which it has responded. */
typedef enum server_end {
	END_RESET,	/**< resets it, the rest of the request unread */
	END_HALF_READ,	/**< ends its own side, and reads the rest */
	END_HALF_STALL, /**< ends its own side, and reads nothing */
	END_HALF_RESET, /**< ends its own side, and resets soon after */
} server_end_t;

/** A server that responds before it has read a request. */
typedef struct server {
	struct event_base *base;
	int listener;
	int fd; /**< -1: none, or closed */
	bool responded;
	const char *response;
	server_end_t end;
	struct event *accepting;
	struct event *reading;
	struct event *resetting;
} server_t;

static void
server_reset(evutil_socket_t fd, short what, void *arg)
{
	struct linger discard = {.l_onoff = 1};
	server_t *server = arg;

	(void)fd;
	(void)what;
	setsockopt(
	    server->fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
	close(server->fd);
	server->fd = -1;
}

static void
server_respond(server_t *server)
{
	static const struct timeval soon = {0, 100000};
	size_t len = strlen(server->response);

	assert_int_equal(send(server->fd, server->response, len, 0), len);
	server->responded = true;
	if (server->end != END_HALF_READ)
		event_del(server->reading);
	if (server->end == END_RESET)
		server_reset(server->fd, 0, server);
	else
		shutdown(server->fd, SHUT_WR);
	if (server->end == END_HALF_RESET)
		event_add(server->resetting, &soon);
}

static void
server_read(evutil_socket_t fd, short what, void *arg)
{
	static char bytes[WINDOW];
	server_t *server = arg;

	(void)what;
	if (recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT) <= 0)
		event_del(server->reading);
	else if (!server->responded)
		server_respond(server);
}

static void
server_accept(evutil_socket_t fd, short what, void *arg)
{
	server_t *server = arg;

	(void)what;
	server->fd = accept(fd, NULL, NULL);
	server->reading = event_new(server->base, server->fd,
	    EV_READ | EV_PERSIST, server_read, server);
	event_add(server->reading, NULL);
}

static void
server_listen(server_t *server, http_address_t *address)
{
	struct sockaddr_in at = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(at);
	int window = WINDOW;

	server->fd = -1;
	server->listener = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(
	    server->listener, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	assert_int_equal(
	    bind(server->listener, (struct sockaddr *)&at, len), 0);
	assert_int_equal(listen(server->listener, 1), 0);
	getsockname(server->listener, (struct sockaddr *)&at, &len);
	address->port = ntohs(at.sin_port);
	server->accepting = event_new(
	    server->base, server->listener, EV_READ, server_accept, server);
	server->resetting = evtimer_new(server->base, server_reset, server);
	event_add(server->accepting, NULL);
}

static void
server_finish(server_t *server)
{
	event_free(server->accepting);
	event_free(server->resetting);
	if (server->reading != NULL)
		event_free(server->reading);
	if (server->fd >= 0)
		close(server->fd);
	close(server->listener);
}

/* Send a request of 16 MB to a server that responds before it has read it. */
static void
send_to_early_server(owner_t *owner, const char *response, server_end_t end)
{
	struct event_base *base = event_base_new();
	server_t server = {.base = base, .response = response, .end = end};
	http_address_t address = {.host = "127.0.0.1"};
	struct timeval limit = {LIMIT_S, 0};
	struct evbuffer *head = evbuffer_new();
	struct evbuffer *body = evbuffer_new();
	char *bytes = calloc(1, BODY_LEN);

	*owner = (owner_t){.wanted = true, .base = base};
	server_listen(&server, &address);
	owner->conn = http_outbound_new(base, &address, NULL, 1000, 60000);
	evbuffer_add_printf(
	    head, "PUT / HTTP/1.1\r\nContent-Length: %u\r\n\r\n", BODY_LEN);
	evbuffer_add(body, bytes, BODY_LEN);
	http_outbound_send(owner->conn, &ops, owner, head, body, false);
	event_base_loopexit(base, &limit);
	event_base_dispatch(base);
	http_outbound_free(owner->conn);
	server_finish(&server);
	evbuffer_free(head);
	evbuffer_free(body);
	event_base_free(base);
	free(bytes);
}

#define UNFRAMED "HTTP/1.1 200 OK\r\n\r\npart"
#define FRAMED "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"

/* The error of a write that fails hides that of the read that follows. */
static void
reset_during_an_upload_completes_no_response(void **state)
{
	static const server_end_t ends[] = {END_RESET, END_HALF_RESET};
	owner_t owner;

	(void)state;
	for (int i = 0; i < 40; i++) {
		send_to_early_server(&owner, UNFRAMED, ends[i % 2]);
		assert_int_equal(owner.completed, 0);
		assert_int_equal(owner.failed, 1);
	}
}

/* Bytes received before the reset are read even if a write fails first. */
static void
whole_response_ahead_of_a_reset_is_read(void **state)
{
	owner_t owner;

	(void)state;
	for (int i = 0; i < 40; i++) {
		send_to_early_server(&owner, FRAMED, END_RESET);
		assert_int_equal(owner.completed, 1);
		assert_int_equal(owner.received, 4);
	}
}

/* None of their fields is read by any owner of a connection. */
static void
broken_heads_are_not_given_to_the_owner(void **state)
{
	static const struct {
		const char *response;
		http_defect_t defect;
	} cases[] = {{"HTTP/1.1 000 Zero\r\nContent-Length: 4\r\n\r\npart",
			 HTTP_DEFECT_STATUS},
	    {"HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\npart", HTTP_DEFECT_FIELD_NAME},
	    {"HTTP/1.1 200 OK\r\nX: 1\r\n", HTTP_DEFECT_TRUNCATED}};
	owner_t owner;

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		send_to_early_server(&owner, cases[i].response, END_HALF_STALL);
		assert_int_equal(owner.heads, 0);
		assert_int_equal(owner.failed, 1);
		assert_int_equal(owner.failure, HTTP_OUTBOUND_BAD_RESPONSE);
		assert_int_equal(owner.defect, cases[i].defect);
	}
}

static void
half_closed_connection_completes_a_response(void **state)
{
	owner_t owner;

	(void)state;
	send_to_early_server(&owner, UNFRAMED, END_HALF_READ);
	assert_int_equal(owner.completed, 1);
	assert_int_equal(owner.received, 4);
	send_to_early_server(&owner, UNFRAMED, END_HALF_STALL);
	assert_int_equal(owner.completed, 1);
	assert_int_equal(owner.received, 4);
	send_to_early_server(&owner, FRAMED, END_HALF_STALL);
	assert_int_equal(owner.completed, 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(wanted_requests_are_sent),
	    cmocka_unit_test(requests_abandoned_while_connecting_are_not_sent),
	    cmocka_unit_test(silent_connections_fail),
	    cmocka_unit_test(the_connect_timeout_ends_with_connecting),
	    cmocka_unit_test(connection_refusals_are_distinguished),
	    cmocka_unit_test(reset_during_an_upload_completes_no_response),
	    cmocka_unit_test(whole_response_ahead_of_a_reset_is_read),
	    cmocka_unit_test(broken_heads_are_not_given_to_the_owner),
	    cmocka_unit_test(half_closed_connection_completes_a_response),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
