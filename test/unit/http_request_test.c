/**
 * @file
 * A request outlives its connection, and its parsed body has a part in the
 * account of the process.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/http_request.h"

#define STEP_US 50000
#define PORT_FIRST 18500
#define PORT_COUNT 100
#define BUDGET_BYTES 4194304
#define BODY_MAX 300000

typedef struct fixture {
	struct event_base *base;
	inbound_budget_t budget;
	http_request_server_t server;
	http_address_t address;
	http_request_t *kept;
	bool closed;
	bool keep;
	size_t bytes_held; /**< while the parsed body is */
	err_t err;
} fixture_t;

static void
on_request(void *arg, http_request_t *req)
{
	fixture_t *fixture = arg;
	json_t *body;

	if (fixture->keep) {
		fixture->kept = req;
		return;
	}
	if (http_request_has_method(req, "GET")) {
		char value[16] = "none";

		http_request_query_param(req, "a", value, sizeof(value));
		http_response_add_header(req, "X-Path", http_request_path(req));
		http_response_add_header(req, "X-Param", value);
		http_response_add_header(req, "X-Bad", "a\r\nX-Worse: b");
		http_request_respond(req, 200, NULL);
		return;
	}
	body = http_request_json(req, &fixture->err);
	fixture->bytes_held = fixture->budget.bytes;
	if (body == NULL)
		http_request_respond(
		    req, err_info(fixture->err.code)->http_status, NULL);
	else
		http_respond_json(req, 200, body);
}

static void
on_refused(void *arg, http_request_t *req, const err_t *err)
{
	(void)arg;
	http_request_respond(req, err_info(err->code)->http_status, NULL);
}

static void
on_closed(void *arg)
{
	((fixture_t *)arg)->closed = true;
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
	static const http_inbound_limits_t limits = {.head_max = 4096,
	    .body_max = BODY_MAX,
	    .read_timeout_ms = 60000,
	    .idle_timeout_ms = 60000,
	    .connections_max = 16};
	static fixture_t fixture;
	bool listening = false;
	err_t err;

	fixture = (fixture_t){.base = event_base_new(),
	    .server = {.on_request = on_request,
		.on_refused = on_refused,
		.arg = &fixture},
	    .address = {.host = "127.0.0.1"}};
	inbound_budget_init(&fixture.budget, BUDGET_BYTES);
	for (int i = 0; i < PORT_COUNT && !listening; i++) {
		fixture.address.port =
		    (uint16_t)(PORT_FIRST + (getpid() + i) % PORT_COUNT);
		listening = http_request_listen(&fixture.server, fixture.base,
		    &fixture.budget, &fixture.address, NULL, &limits, &err);
	}
	assert_true(listening);
	*state = &fixture;
	return 0;
}

static int
teardown(void **state)
{
	fixture_t *fixture = *state;

	http_request_server_finish(&fixture->server);
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
	size_t len = strlen(text), sent = 0;

	assert_int_equal(
	    connect(fd, (struct sockaddr *)&server, sizeof(server)), 0);
	while (sent < len) {
		ssize_t part = send(
		    fd, text + sent, len - sent, MSG_NOSIGNAL | MSG_DONTWAIT);

		sent += part > 0 ? (size_t)part : 0;
		run_loop(fixture);
	}
	run_loop(fixture);
	return fd;
}

static void
expect_response(int fd, const char *start, const char *part)
{
	char bytes[512] = "";

	assert_true(recv(fd, bytes, sizeof(bytes) - 1, MSG_DONTWAIT) > 0);
	assert_memory_equal(bytes, start, strlen(start));
	assert_non_null(strstr(bytes, part));
	assert_null(strstr(bytes, "X-Worse"));
	close(fd);
}

/* A body of empty objects, of which each takes 80 times its text. */
static char *
objects_post(size_t len)
{
	char *text = malloc(len + 256);
	int head = sprintf(text,
	    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n"
	    "{\"a\":[{}",
	    8 + len / 3 * 3 + 2);

	for (size_t i = 0; i < len / 3; i++)
		memcpy(text + head + 3 * i, ",{}", 3);
	strcpy(text + head + len / 3 * 3, "]}");
	return text;
}

static void
request_is_responded_to(void **state)
{
	const fixture_t *fixture = *state;

	expect_response(
	    client(fixture, "GET /p?a=b HTTP/1.1\r\nHost: a\r\n\r\n"),
	    "HTTP/1.1 200", "X-Path: /p\r\nX-Param: b\r\n");
	expect_response(client(fixture, "GET p HTTP/1.1\r\n\r\n"),
	    "HTTP/1.1 400", "Connection: close\r\n");
}

static void
request_outlives_its_connection(void **state)
{
	fixture_t *fixture = *state;
	int fd;

	fixture->keep = true;
	fd = client(fixture, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	assert_non_null(fixture->kept);
	close(fd);
	run_loop(fixture);
	assert_null(http_request_header(fixture->kept, "Host"));
	http_request_respond(fixture->kept, 200, NULL);
	assert_null(fixture->server.requests);
}

static void
closed_connection_is_reported(void **state)
{
	fixture_t *fixture = *state;
	int fd;

	fixture->keep = true;
	fd = client(fixture, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	http_request_set_closed(fixture->kept, on_closed, fixture);
	close(fd);
	run_loop(fixture);
	assert_true(fixture->closed);
	assert_null(fixture->server.requests);
}

static void
parsed_body_is_in_the_account(void **state)
{
	fixture_t *fixture = *state;
	char *post = objects_post(30000);

	expect_response(client(fixture, post), "HTTP/1.1 200", "{\"a\":[{},{}");
	assert_true(fixture->bytes_held > 80 * 30000);
	assert_true(fixture->budget.bytes < 100000);
	free(post);
}

static void
body_that_parses_to_more_than_the_memory_is_refused(void **state)
{
	fixture_t *fixture = *state;
	char *post = objects_post(60000);

	expect_response(client(fixture, post), "HTTP/1.1 503", "");
	assert_int_equal(fixture->err.code, ERR_MEMORY);
	assert_int_equal(fixture->budget.refused, 1);
	free(post);
}

/* The stream goes on to be written, as an endpoint sends it, to a caller that
 * reads none of it. */
static void
caller_that_reads_no_stream_is_hung_up_on(void **state)
{
	fixture_t *fixture = *state;
	struct evbuffer *bytes = evbuffer_new();
	static char event[60000];
	int fd;

	fixture->keep = true;
	fd = client(fixture, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	http_request_set_closed(fixture->kept, on_closed, fixture);
	http_request_stream_begin(fixture->kept, 200);
	for (int i = 0; i < 400 && !fixture->closed; i++) {
		evbuffer_add(bytes, event, sizeof(event));
		http_request_stream_write(fixture->kept, bytes);
		assert_int_equal(evbuffer_get_length(bytes), 0);
		assert_true(
		    fixture->budget.bytes < BUDGET_BYTES + 2 * sizeof(event));
		if (i % 20 == 0)
			run_loop(fixture);
	}
	run_loop(fixture);
	assert_true(fixture->closed);
	assert_null(fixture->server.requests);
	evbuffer_free(bytes);
	close(fd);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		request_is_responded_to, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		request_outlives_its_connection, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		closed_connection_is_reported, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		parsed_body_is_in_the_account, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		body_that_parses_to_more_than_the_memory_is_refused, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		caller_that_reads_no_stream_is_hung_up_on, setup, teardown),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
