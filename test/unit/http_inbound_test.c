/**
 * @file
 * At the connection limit the server still accepts new connections: it closes
 * idle ones and those that send their request slowly, but none that waits for
 * its response.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <event2/event.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "common/http_inbound.h"

#define CONNECTIONS_MAX 4
#define STEP_US 50000
#define PORT_FIRST 18700
#define PORT_COUNT 200

static int handled;
static http_inbound_t *deferred;
static bool defer_response;

static void
on_request(void *arg, http_inbound_t *conn)
{
	(void)arg;
	handled++;
	if (defer_response)
		deferred = conn;
	else
		http_inbound_respond(conn, 200, "", NULL);
}

static void
on_closed(void *arg, http_inbound_t *conn)
{
	(void)arg;
	if (conn == deferred)
		deferred = NULL;
}

static void
on_drained(void *arg, http_inbound_t *conn)
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
    .on_closed = on_closed,
    .on_drained = on_drained,
    .on_refused = on_refused,
};

static inbound_budget_t budget;

typedef struct fixture {
	struct event_base *base;
	http_inbound_server_t *server;
	http_address_t address;
} fixture_t;

static void
run_loop(const fixture_t *fixture)
{
	struct timeval limit = {0, STEP_US};

	event_base_loopexit(fixture->base, &limit);
	event_base_dispatch(fixture->base);
}

static int
setup(void **state)
{
	static fixture_t fixture;
	const http_inbound_limits_t limits = {.head_max = 4096,
	    .body_max = 4096,
	    .read_timeout_ms = 60000,
	    .idle_timeout_ms = 60000,
	    .connections_max = CONNECTIONS_MAX};
	err_t err;

	handled = 0;
	defer_response = false;
	deferred = NULL;
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
teardown(void **state)
{
	fixture_t *fixture = *state;

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

	assert_int_equal(
	    connect(fd, (struct sockaddr *)&server, sizeof(server)), 0);
	if (text[0] != '\0')
		assert_true(send(fd, text, strlen(text), MSG_NOSIGNAL) > 0);
	run_loop(fixture);
	return fd;
}

static bool
response_received(int fd)
{
	char bytes[64] = "";

	return recv(fd, bytes, sizeof(bytes) - 1, MSG_DONTWAIT) > 0 &&
	    strncmp(bytes, "HTTP/1.1 200", 12) == 0;
}

static const char complete_request[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

static void
fill_then_request(const fixture_t *fixture, const char *text)
{
	int others[CONNECTIONS_MAX];

	for (int i = 0; i < CONNECTIONS_MAX; i++)
		others[i] = client(fixture, text);
	for (int i = 0; i < 3 * CONNECTIONS_MAX; i++) {
		int fd = client(fixture, complete_request);

		assert_true(response_received(fd));
		close(fd);
	}
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		close(others[i]);
	run_loop(fixture);
}

static void
idle_connections_are_evicted(void **state)
{
	fill_then_request(*state, "");
}

static void
connections_with_partial_heads_are_evicted(void **state)
{
	fill_then_request(*state, "GET / HTTP/1.1\r\nHos");
}

static void
reusable_connections_are_evicted(void **state)
{
	fill_then_request(*state, complete_request);
}

/* Connections made before the server is ready wait in the listen queue. */
static void
connections_wait_while_accepting_is_paused(void **state)
{
	const fixture_t *fixture = *state;
	int fd;

	http_inbound_pause_accepting(fixture->server, true);
	fd = client(fixture, complete_request);
	assert_int_equal(handled, 0);
	assert_false(response_received(fd));
	http_inbound_pause_accepting(fixture->server, false);
	run_loop(fixture);
	assert_true(response_received(fd));
	close(fd);
	run_loop(fixture);
}

/* A request in flight is never aborted for a new connection. */
static void
connections_awaiting_a_response_are_not_evicted(void **state)
{
	const fixture_t *fixture = *state;
	int fds[CONNECTIONS_MAX], more;

	defer_response = true;
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		fds[i] = client(fixture, complete_request);
	more = client(fixture, complete_request);
	assert_int_equal(handled, CONNECTIONS_MAX);
	assert_non_null(deferred);
	http_inbound_respond(deferred, 200, "", NULL);
	run_loop(fixture);
	assert_true(response_received(fds[CONNECTIONS_MAX - 1]));
	close(more);
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		close(fds[i]);
	run_loop(fixture);
}

/* Guards against a request that is handled without the part of its body that
 * exceeds the limit, as its last bytes came at once. */
static void
body_over_the_limit_is_refused_to_its_last_byte(void **state)
{
	static const char *const framings[] = {"Content-Length: 5000\r\n\r\n%s",
	    "Transfer-Encoding: chunked\r\n\r\n"
	    "1388\r\n%s\r\n0\r\n\r\n"};
	const fixture_t *fixture = *state;
	char body[5001], text[6000], answer[64];

	memset(body, 'x', sizeof(body) - 1);
	body[sizeof(body) - 1] = '\0';
	for (int i = 0; i < 2; i++) {
		size_t len = (size_t)snprintf(
		    text, sizeof(text), "POST / HTTP/1.1\r\nHost: a\r\n");
		int fd;

		snprintf(text + len, sizeof(text) - len, framings[i], body);
		fd = client(fixture, text);
		assert_int_equal(handled, 0);
		memset(answer, 0, sizeof(answer));
		assert_true(
		    recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT) > 0);
		assert_memory_equal(answer, "HTTP/1.1 413", 12);
		close(fd);
		run_loop(fixture);
	}
}

/* Accepting fails, as there is no descriptor left: idle connections give
 * way. */
static void
process_without_descriptors_accepts(void **state)
{
	const fixture_t *fixture = *state;
	int idle[CONNECTIONS_MAX - 1];
	struct rlimit before, few;
	int fd;

	for (int i = 0; i < CONNECTIONS_MAX - 1; i++)
		idle[i] = client(fixture, "");
	http_inbound_pause_accepting(fixture->server, true);
	fd = client(fixture, complete_request);
	assert_int_equal(getrlimit(RLIMIT_NOFILE, &before), 0);
	few = (struct rlimit){(rlim_t)fd + 1, before.rlim_max};
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &few), 0);
	http_inbound_pause_accepting(fixture->server, false);
	run_loop(fixture);
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &before), 0);
	assert_true(response_received(fd));
	/* Another one has left a descriptor spare. */
	assert_int_equal(http_inbound_connection_count(fixture->server),
	    CONNECTIONS_MAX - 2);
	close(fd);
	for (int i = 0; i < CONNECTIONS_MAX - 1; i++)
		close(idle[i]);
	run_loop(fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		body_over_the_limit_is_refused_to_its_last_byte, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		idle_connections_are_evicted, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		connections_with_partial_heads_are_evicted, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		reusable_connections_are_evicted, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		connections_wait_while_accepting_is_paused, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		connections_awaiting_a_response_are_not_evicted, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		process_without_descriptors_accepts, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
