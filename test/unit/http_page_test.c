/**
 * @file
 * A page is served without a Host header, without the body of the request, and
 * while its clients hold all connections that it may have.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/http_page.h"

#define CONNECTIONS_MAX 4
#define STEP_US 50000
#define PORT_FIRST 18900
#define PORT_COUNT 100
#define BODY_BYTES 200000

typedef struct fixture {
	struct event_base *base;
	inbound_budget_t budget;
	http_page_t page;
	http_address_t address;
} fixture_t;

static void
on_page(void *arg, http_inbound_t *caller, const char *query)
{
	struct evbuffer *out = evbuffer_new();

	(void)arg;
	evbuffer_add_printf(out, "query=%s", query);
	http_inbound_respond(caller, 200, NULL, out);
	evbuffer_free(out);
}

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
	bool listening = false;
	err_t err;

	fixture = (fixture_t){.base = event_base_new(),
	    .page = {.path = "/page", .handler = on_page},
	    .address = {.host = "127.0.0.1"}};
	inbound_budget_init(&fixture.budget, SIZE_MAX);
	for (int i = 0; i < PORT_COUNT && !listening; i++) {
		fixture.address.port =
		    (uint16_t)(PORT_FIRST + (getpid() + i) % PORT_COUNT);
		listening = http_page_listen(&fixture.page, fixture.base,
		    &fixture.budget, &fixture.address, CONNECTIONS_MAX, &err);
	}
	assert_true(listening);
	*state = &fixture;
	return 0;
}

static int
teardown(void **state)
{
	fixture_t *fixture = *state;

	http_page_finish(&fixture->page);
	assert_int_equal(fixture->budget.bytes, 0);
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

static void
expect_response(int fd, const char *start, const char *end)
{
	char bytes[256] = "";
	ssize_t len = recv(fd, bytes, sizeof(bytes) - 1, MSG_DONTWAIT);

	assert_true(len >= (ssize_t)strlen(end));
	assert_memory_equal(bytes, start, strlen(start));
	assert_string_equal(bytes + len - strlen(end), end);
	close(fd);
}

static void
page_needs_no_host(void **state)
{
	const fixture_t *fixture = *state;

	expect_response(client(fixture, "GET /page?a=b HTTP/1.1\r\n\r\n"),
	    "HTTP/1.1 200", "query=a=b");
	expect_response(client(fixture, "GET /page HTTP/1.0\r\n\r\n"),
	    "HTTP/1.1 200", "query=");
	expect_response(client(fixture, "HEAD /page HTTP/1.1\r\n\r\n"),
	    "HTTP/1.1 200", "Content-Length: 6\r\n\r\n");
}

static void
other_paths_are_not_found(void **state)
{
	const fixture_t *fixture = *state;

	expect_response(client(fixture, "GET /pages HTTP/1.1\r\n\r\n"),
	    "HTTP/1.1 404", "\r\n\r\n");
	expect_response(
	    client(fixture, "GET / HTTP/1.1\r\n\r\n"), "HTTP/1.1 404", "\r\n");
}

static void
bodies_are_received_and_not_kept(void **state)
{
	static char body[BODY_BYTES];
	const fixture_t *fixture = *state;
	char head[64];
	int fd;

	memset(body, 'x', sizeof(body));
	snprintf(head, sizeof(head),
	    "POST /page HTTP/1.1\r\nContent-Length: %d\r\n\r\n", BODY_BYTES);
	fd = client(fixture, head);
	for (size_t sent = 0; sent < sizeof(body) - 1;) {
		ssize_t len = send(fd, body + sent, sizeof(body) - 1 - sent,
		    MSG_NOSIGNAL | MSG_DONTWAIT);

		sent += len > 0 ? (size_t)len : 0;
		run_loop(fixture);
	}
	run_loop(fixture);
	assert_true(fixture->budget.bytes < BODY_BYTES / 2);
	assert_int_equal(send(fd, body, 1, MSG_NOSIGNAL), 1);
	run_loop(fixture);
	expect_response(fd, "HTTP/1.1 200", "query=");
	expect_response(client(fixture,
			    "POST /page HTTP/1.1\r\n"
			    "Content-Length: 99999999\r\n\r\n"),
	    "HTTP/1.1 413", "\r\n\r\n");
}

static void
page_is_served_beside_clients_that_send_nothing(void **state)
{
	const fixture_t *fixture = *state;
	int others[3 * CONNECTIONS_MAX];

	for (int i = 0; i < 3 * CONNECTIONS_MAX; i++)
		others[i] = client(fixture, i % 2 == 0 ? "" : "GET /p");
	expect_response(client(fixture, "GET /page HTTP/1.1\r\n\r\n"),
	    "HTTP/1.1 200", "query=");
	assert_true(http_inbound_connection_count(fixture->page.server) <=
	    CONNECTIONS_MAX);
	for (int i = 0; i < 3 * CONNECTIONS_MAX; i++)
		close(others[i]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		page_needs_no_host, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		other_paths_are_not_found, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		bodies_are_received_and_not_kept, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		page_is_served_beside_clients_that_send_nothing, setup,
		teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
