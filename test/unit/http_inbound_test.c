/**
 * @file
 * Who takes new connections goes on taking them: idle ones and slow readers
 * make room.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <event2/event.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/http_inbound.h"

#define PLACES 4
#define STEP_US 50000
#define PORT_FIRST 18700
#define PORTS 200

static int handled;
static http_inbound_t *held;
static bool hold;

static void
on_request(void *arg, http_inbound_t *conn)
{
	(void)arg;
	handled++;
	if (hold)
		held = conn;
	else
		http_inbound_respond(conn, 200, "", NULL);
}

static void
on_gone(void *arg, http_inbound_t *conn)
{
	(void)arg;
	if (conn == held)
		held = NULL;
}

static void
on_drained(void *arg, http_inbound_t *conn)
{
	(void)arg;
	(void)conn;
}

static void
on_refused(void *arg, const err_t *err)
{
	(void)arg;
	(void)err;
}

static const http_inbound_ops_t ops = {
    on_request, on_gone, on_drained, on_refused};

typedef struct fixture {
	struct event_base *base;
	http_inbound_server_t *server;
	http_address_t address;
} fixture_t;

static void
step(const fixture_t *fixture)
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
	    .connections_max = PLACES};
	err_t err;

	handled = 0;
	hold = false;
	held = NULL;
	fixture = (fixture_t){
	    .base = event_base_new(), .address = {.host = "127.0.0.1"}};
	for (int i = 0; i < PORTS && fixture.server == NULL; i++) {
		fixture.address.port =
		    (uint16_t)(PORT_FIRST + (getpid() + i) % PORTS);
		fixture.server = http_inbound_listen(
		    fixture.base, &fixture.address, &ops, NULL, &err);
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
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons(fixture->address.port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	if (text[0] != '\0')
		assert_true(send(fd, text, strlen(text), MSG_NOSIGNAL) > 0);
	step(fixture);
	return fd;
}

static bool
answered(int fd)
{
	char bytes[64] = "";

	return recv(fd, bytes, sizeof(bytes) - 1, MSG_DONTWAIT) > 0 &&
	    strncmp(bytes, "HTTP/1.1 200", 12) == 0;
}

static const char whole[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

static void
fill_and_ask(const fixture_t *fixture, const char *text)
{
	int others[PLACES];

	for (int i = 0; i < PLACES; i++)
		others[i] = client(fixture, text);
	for (int i = 0; i < 3 * PLACES; i++) {
		int fd = client(fixture, whole);

		assert_true(answered(fd));
		close(fd);
	}
	for (int i = 0; i < PLACES; i++)
		close(others[i]);
	step(fixture);
}

static void
idle_connections_make_room(void **state)
{
	fill_and_ask(*state, "");
}

static void
slow_heads_make_room(void **state)
{
	fill_and_ask(*state, "GET / HTTP/1.1\r\nHos");
}

static void
those_that_were_served_make_room(void **state)
{
	fill_and_ask(*state, whole);
}

/* Connections that come before a server is ready wait for it. */
static void
early_connections_wait(void **state)
{
	const fixture_t *fixture = *state;
	int fd;

	http_inbound_pause_accepting(fixture->server, true);
	fd = client(fixture, whole);
	assert_int_equal(handled, 0);
	assert_false(answered(fd));
	http_inbound_pause_accepting(fixture->server, false);
	step(fixture);
	assert_true(answered(fd));
	close(fd);
	step(fixture);
}

/* A request under way is never cut off for a new connection. */
static void
who_waits_for_an_answer_keeps_its_place(void **state)
{
	const fixture_t *fixture = *state;
	int fds[PLACES], more;

	hold = true;
	for (int i = 0; i < PLACES; i++)
		fds[i] = client(fixture, whole);
	more = client(fixture, whole);
	assert_int_equal(handled, PLACES);
	assert_non_null(held);
	http_inbound_respond(held, 200, "", NULL);
	step(fixture);
	assert_true(answered(fds[PLACES - 1]));
	close(more);
	for (int i = 0; i < PLACES; i++)
		close(fds[i]);
	step(fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		idle_connections_make_room, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		slow_heads_make_room, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		those_that_were_served_make_room, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		early_connections_wait, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		who_waits_for_an_answer_keeps_its_place, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
