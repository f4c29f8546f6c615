/**
 * @file
 * Each call ends with exactly one callback, and a call without a response leaks
 * nothing: evhttp itself does not free connections that were refused.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <malloc.h>
#include <signal.h>

#include "common/http_call.h"

#define CALLS 200
#define GROWTH_MAX 20000 /* bytes; a leaked connection takes over 1,000 */
#define ENDLESS_MAX (16U << 20) /* bytes; socket buffers hold some of them */

static void
count_refused(void *arg, const http_response_t *response)
{
	assert_int_equal(response->status, 0);
	(*(int *)arg)++;
}

/* A port that refuses connections: its socket is bound but not listening. */
static http_address_t
refusing_address(int *fd)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);
	http_address_t out = {.host = "127.0.0.1"};

	*fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(
	    bind(*fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(
	    getsockname(*fd, (struct sockaddr *)&address, &len), 0);
	out.port = ntohs(address.sin_port);
	return out;
}

static void
make_calls(struct event_base *base, const http_call_t *call, int *refused)
{
	for (int i = 0; i < CALLS; i++) {
		assert_true(
		    http_call_start(base, call, count_refused, refused));
		event_base_loop(base, 0);
	}
}

static void
refused_calls_leak_nothing(void **state)
{
	struct event_base *base = event_base_new();
	int fd;
	const http_address_t address = refusing_address(&fd);
	const http_call_t call = {.address = &address,
	    .method = EVHTTP_REQ_GET,
	    .path = "/",
	    .timeout_ms = 1000};
	int refused = 0;
	size_t before;

	(void)state;
	make_calls(base, &call, &refused);
	before = mallinfo2().uordblks;
	make_calls(base, &call, &refused);
	assert_int_equal(refused, 2 * CALLS);
	assert_true(mallinfo2().uordblks < before + GROWTH_MAX);
	evutil_closesocket(fd);
	event_base_free(base);
}

static void
cancelled_calls_report_no_response(void **state)
{
	struct event_base *base = event_base_new();
	int fd;
	const http_address_t address = refusing_address(&fd);
	const http_call_t call = {.address = &address,
	    .method = EVHTTP_REQ_GET,
	    .path = "/",
	    .timeout_ms = 1000};
	int ended = 0;

	(void)state;
	for (int i = 0; i < 5; i++)
		assert_true(
		    http_call_start(base, &call, count_refused, &ended));
	http_calls_cancel(base);
	assert_int_equal(ended, 5);
	evutil_closesocket(fd);
	event_base_free(base);
}

/** A server whose head never ends. */
typedef struct endless_server {
	struct event_base *base;
	struct evconnlistener *listener;
	struct bufferevent *bev;
	size_t sent;
} endless_server_t;

static void
head_write(struct bufferevent *bev, void *arg)
{
	static const char line[] = "X-Long: more and more and more\r\n";
	endless_server_t *server = arg;

	for (int i = 0; i < 100; i++)
		bufferevent_write(bev, line, sizeof(line) - 1);
	server->sent += 100 * (sizeof(line) - 1);
	if (server->sent > ENDLESS_MAX)
		event_base_loopbreak(server->base);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *address, int len, void *arg)
{
	endless_server_t *server = arg;

	(void)listener;
	(void)address;
	(void)len;
	server->bev =
	    bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(server->bev, NULL, head_write, NULL, server);
	bufferevent_enable(server->bev, EV_WRITE);
	bufferevent_write(server->bev, "HTTP/1.1 200 OK\r\n", 17);
}

static void
stop_after_call(void *arg, const http_response_t *response)
{
	assert_int_equal(response->status, 0);
	event_base_loopbreak(arg);
}

static void
head_without_end_ends_the_call(void **state)
{
	endless_server_t server = {.base = event_base_new()};
	struct sockaddr_in any = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(any);
	http_address_t address = {.host = "127.0.0.1"};
	const http_call_t call = {.address = &address,
	    .method = EVHTTP_REQ_GET,
	    .path = "/",
	    .timeout_ms = 5000};

	(void)state;
	signal(SIGPIPE, SIG_IGN);
	server.listener =
	    evconnlistener_new_bind(server.base, on_accept, &server,
		LEV_OPT_CLOSE_ON_FREE, 1, (struct sockaddr *)&any, sizeof(any));
	assert_non_null(server.listener);
	getsockname(evconnlistener_get_fd(server.listener),
	    (struct sockaddr *)&any, &len);
	address.port = ntohs(any.sin_port);
	assert_true(
	    http_call_start(server.base, &call, stop_after_call, server.base));
	event_base_dispatch(server.base);
	assert_in_range(server.sent, 1, ENDLESS_MAX);
	event_base_loop(server.base, EVLOOP_NONBLOCK);
	bufferevent_free(server.bev);
	evconnlistener_free(server.listener);
	http_calls_cancel(server.base);
	event_base_free(server.base);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(refused_calls_leak_nothing),
	    cmocka_unit_test(cancelled_calls_report_no_response),
	    cmocka_unit_test(head_without_end_ends_the_call),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
