/**
 * @file
 * Guards against cutting a complete response because its caller reads slowly:
 * while the connection closes, waits for a next request, is idle for too long
 * by what was received, takes no more bytes for longer than its write timeout,
 * is at the connection limit, or is at the end of the process.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/http_inbound.h"

#define BODY_SIZE (1 << 20)
#define RECEIVE_BUFFER 4096
#define CONNECTIONS_MAX 2
#define IDLE_MS 200
/* Longer than a closing connection lingers, and than a connection may be idle.
 */
#define PAUSE_MS 1400
#define WRITE_TIMEOUT_MS 400
#define CALLER_WAIT_MS 4000
/* A caller that reads this much in each step takes longer to empty a third of
 * the socket's queue, before which it takes no more, than the write timeout. */
#define SLOW_BYTES 1000
#define SLOW_STEPS 100
#define STEP_MS 20
#define PORT_FIRST 18900
#define PORT_COUNT 200

static const char close_request[] =
    "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
static const char keep_request[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
static const char waiting_request[] =
    "GET /waiting HTTP/1.1\r\nHost: a\r\n\r\n";

static inbound_budget_t budget;

typedef struct fixture {
	struct event_base *base;
	http_inbound_server_t *server;
	http_address_t address;
} fixture_t;

static void
on_request(void *arg, http_inbound_t *conn)
{
	struct evbuffer *body = evbuffer_new();
	static char bytes[BODY_SIZE];

	(void)arg;
	evbuffer_add(body, bytes, sizeof(bytes));
	if (strcmp(http_inbound_request(conn)->target, "/waiting") == 0)
		http_inbound_set_caller_wait(conn, CALLER_WAIT_MS);
	http_inbound_respond(conn, 200, "", body);
	evbuffer_free(body);
}

static void
on_conn(void *arg, http_inbound_t *conn)
{
	(void)arg;
	(void)conn;
}

static void
on_refused(void *arg, http_inbound_t *conn, const err_t *err)
{
	(void)arg;
	http_inbound_respond(conn, err_info(err->code)->http_status, "", NULL);
}

static const http_inbound_ops_t ops = {
    .on_request = on_request,
    .on_closed = on_conn,
    .on_drained = on_conn,
    .on_refused = on_refused,
};

static void
run_loop(const fixture_t *fixture, int ms)
{
	struct timeval limit = {ms / 1000, ms % 1000 * 1000};

	event_base_loopexit(fixture->base, &limit);
	event_base_dispatch(fixture->base);
}

static const http_inbound_limits_t limits = {.head_max = 4096,
    .body_max = 4096,
    .read_timeout_ms = IDLE_MS,
    .idle_timeout_ms = IDLE_MS,
    .connections_max = CONNECTIONS_MAX};

static int
setup(void **state)
{
	static fixture_t fixture;
	err_t err;

	inbound_budget_init(&budget, SIZE_MAX);
	fixture = (fixture_t){
	    .base = event_base_new(), .address = {.host = "127.0.0.1"}};
	for (int i = 0; i < PORT_COUNT && fixture.server == NULL; i++) {
		fixture.address.port =
		    (uint16_t)(PORT_FIRST + (getpid() + i) % PORT_COUNT);
		fixture.server = http_inbound_listen(
		    fixture.base, &budget, &fixture.address, &ops, NULL, &err);
	}
	assert_non_null(fixture.server);
	http_inbound_set_limits(fixture.server, &limits);
	*state = &fixture;
	return 0;
}

static int
setup_write_timeout(void **state)
{
	http_inbound_limits_t short_limits = limits;
	fixture_t *fixture;

	setup(state);
	fixture = *state;
	short_limits.write_timeout_ms = WRITE_TIMEOUT_MS;
	http_inbound_set_limits(fixture->server, &short_limits);
	return 0;
}

static int
teardown(void **state)
{
	fixture_t *fixture = *state;

	if (fixture->server != NULL)
		http_inbound_server_free(fixture->server);
	event_base_free(fixture->base);
	return 0;
}

static int
client(const fixture_t *fixture, const char *text)
{
	struct sockaddr_in server = {.sin_family = AF_INET,
	    .sin_port = htons(fixture->address.port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int size = RECEIVE_BUFFER, segment = 1400;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	/* The system buffers much more with the segments of the loopback
	 * interface. */
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	assert_int_equal(
	    connect(fd, (struct sockaddr *)&server, sizeof(server)), 0);
	assert_true(send(fd, text, strlen(text), MSG_NOSIGNAL) > 0);
	run_loop(fixture, STEP_MS);
	assert_true(http_inbound_server_unsent_bytes(fixture->server) > 0);
	return fd;
}

/* Reads until nothing more comes.
 * @return bytes */
static size_t
read_rest(const fixture_t *fixture, int fd)
{
	static char bytes[BODY_SIZE];
	size_t len = 0;
	ssize_t count;

	for (int idle = 0; idle < 50; idle++) {
		count = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (count == 0)
			break;
		if (count > 0) {
			len += (size_t)count;
			idle = 0;
		}
		run_loop(fixture, 1);
	}
	return len;
}

/* Reads until the response is whole, or nothing more comes.
 * @return bytes of the body */
static size_t
read_body(const fixture_t *fixture, int fd)
{
	static char bytes[BODY_SIZE + 4096];
	size_t len = 0, head_len = 0;

	for (int idle = 0; idle < 50 && len < sizeof(bytes) - 1;) {
		ssize_t count = recv(
		    fd, bytes + len, sizeof(bytes) - 1 - len, MSG_DONTWAIT);

		if (count == 0)
			break;
		if (count > 0) {
			len += (size_t)count;
			idle = 0;
			bytes[len] = '\0';
			if (head_len == 0 && strstr(bytes, "\r\n\r\n") != NULL)
				head_len = (size_t)(strstr(bytes, "\r\n\r\n") +
				    4 - bytes);
			if (head_len > 0 && len - head_len >= BODY_SIZE)
				break;
			continue;
		}
		idle++;
		run_loop(fixture, 1);
	}
	return len - head_len;
}

static void
closing_connection_lingers_after_the_last_byte(void **state)
{
	const fixture_t *fixture = *state;
	int fd = client(fixture, close_request);

	run_loop(fixture, PAUSE_MS);
	assert_int_equal(read_body(fixture, fd), BODY_SIZE);
	close(fd);
}

static void
connection_is_not_idle_while_its_response_is_unsent(void **state)
{
	const fixture_t *fixture = *state;
	int fd = client(fixture, keep_request);

	run_loop(fixture, PAUSE_MS);
	assert_int_equal(read_body(fixture, fd), BODY_SIZE);
	assert_int_equal(http_inbound_server_unsent_bytes(fixture->server), 0);
	/* From now on it is. */
	assert_int_equal(http_inbound_connection_count(fixture->server), 1);
	run_loop(fixture, 2 * IDLE_MS);
	assert_int_equal(http_inbound_connection_count(fixture->server), 0);
	close(fd);
}

static void
caller_that_reads_steadily_is_not_stalled(void **state)
{
	static const char *const requests[] = {close_request, keep_request};
	const fixture_t *fixture = *state;

	for (int i = 0; i < 2; i++) {
		int fd = client(fixture, requests[i]);
		char bytes[SLOW_BYTES];
		size_t len = 0;

		for (int n = 0; n < SLOW_STEPS; n++) {
			ssize_t count =
			    recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

			len += count > 0 ? (size_t)count : 0;
			run_loop(fixture, STEP_MS);
		}
		assert_int_equal(
		    http_inbound_connection_count(fixture->server), 1);
		len += read_rest(fixture, fd);
		assert_true(len >= BODY_SIZE);
		close(fd);
		run_loop(fixture, 2 * IDLE_MS);
	}
}

static void
caller_that_reads_nothing_is_disconnected(void **state)
{
	const fixture_t *fixture = *state;
	int fd = client(fixture, keep_request);

	run_loop(fixture, 3 * WRITE_TIMEOUT_MS);
	assert_int_equal(http_inbound_connection_count(fixture->server), 0);
	close(fd);
}

static void
caller_that_waits_for_its_response_may_read_nothing(void **state)
{
	const fixture_t *fixture = *state;
	int fd = client(fixture, waiting_request);

	run_loop(fixture, 3 * WRITE_TIMEOUT_MS);
	assert_int_equal(read_body(fixture, fd), BODY_SIZE);
	close(fd);
}

static void
unsent_response_is_not_evicted(void **state)
{
	const fixture_t *fixture = *state;
	int fds[CONNECTIONS_MAX], more;

	for (int i = 0; i < CONNECTIONS_MAX; i++)
		fds[i] = client(fixture, keep_request);
	more = client(fixture, keep_request);
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		assert_int_equal(read_body(fixture, fds[i]), BODY_SIZE);
		close(fds[i]);
	}
	close(more);
}

static void
end_of_requests_does_not_end_the_response(void **state)
{
	static const char *const requests[] = {close_request, keep_request};
	const fixture_t *fixture = *state;

	for (int i = 0; i < 2; i++) {
		int fd = client(fixture, requests[i]);

		shutdown(fd, SHUT_WR);
		run_loop(fixture, PAUSE_MS);
		assert_int_equal(read_body(fixture, fd), BODY_SIZE);
		run_loop(fixture, STEP_MS);
		assert_int_equal(
		    http_inbound_connection_count(fixture->server), 0);
		close(fd);
	}
}

static void
server_that_stops_accepting_sends_unsent_responses(void **state)
{
	const fixture_t *fixture = *state;
	int fd = client(fixture, keep_request);

	http_inbound_drain(fixture->server);
	http_inbound_close_idle(fixture->server, 1);
	http_inbound_stop_accepting(fixture->server);
	run_loop(fixture, PAUSE_MS);
	assert_true(http_inbound_has_responses(fixture->server));
	assert_int_equal(read_body(fixture, fd), BODY_SIZE);
	run_loop(fixture, 2 * IDLE_MS);
	assert_false(http_inbound_has_responses(fixture->server));
	assert_int_equal(http_inbound_connection_count(fixture->server), 0);
	close(fd);
}

/* Bytes in the socket are sent although the server is gone, and input
 * that it has not read does not reset the connection. */
static void
flushed_response_outlives_the_server(void **state)
{
	fixture_t *fixture = *state;
	int fd = client(fixture, close_request);
	size_t unsent = http_inbound_server_unsent_bytes(fixture->server);
	size_t left;

	assert_true(
	    send(fd, keep_request, strlen(keep_request), MSG_NOSIGNAL) > 0);
	http_inbound_flush(fixture->server);
	left = http_inbound_server_unsent_bytes(fixture->server);
	assert_true(left < unsent);
	http_inbound_server_free(fixture->server);
	fixture->server = NULL;
	assert_int_equal(read_body(fixture, fd), BODY_SIZE - left);
	close(fd);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		closing_connection_lingers_after_the_last_byte, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		connection_is_not_idle_while_its_response_is_unsent, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		caller_that_reads_steadily_is_not_stalled, setup_write_timeout,
		teardown),
	    cmocka_unit_test_setup_teardown(
		caller_that_reads_nothing_is_disconnected, setup_write_timeout,
		teardown),
	    cmocka_unit_test_setup_teardown(
		caller_that_waits_for_its_response_may_read_nothing,
		setup_write_timeout, teardown),
	    cmocka_unit_test_setup_teardown(
		unsent_response_is_not_evicted, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		end_of_requests_does_not_end_the_response, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		server_that_stops_accepting_sends_unsent_responses, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		flushed_response_outlives_the_server, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
