/**
 * @file
 * Each call ends with exactly one callback, also if its response has no end or
 * only trickles in, a response that is not valid HTTP is none, and a call
 * without a response leaks nothing: evhttp itself does not free connections
 * that were refused.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "common/http_call.h"

#define CALLS 200
#define GROWTH_MAX 20000 /* bytes; a leaked connection takes over 1,000 */
#define TRICKLE_MS 50
#define TRICKLE_MAX 40		/* pieces of a response */
#define ENDLESS_MAX (16U << 20) /* bytes; socket buffers hold some of them */
#define UPLOAD_LEN (16U << 20)	/* bytes */
#define PIECE 5			/* bytes of a response at a time */

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

/* Calls a server until the call ends without a response. */
static void
server_call(endless_server_t *server, evconnlistener_cb accept, int timeout_ms)
{
	struct sockaddr_in any = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(any);
	http_address_t address = {.host = "127.0.0.1"};
	const http_call_t call = {.address = &address,
	    .method = EVHTTP_REQ_GET,
	    .path = "/",
	    .timeout_ms = timeout_ms};

	signal(SIGPIPE, SIG_IGN);
	server->listener = evconnlistener_new_bind(server->base, accept, server,
	    LEV_OPT_CLOSE_ON_FREE, 1, (struct sockaddr *)&any, sizeof(any));
	assert_non_null(server->listener);
	getsockname(evconnlistener_get_fd(server->listener),
	    (struct sockaddr *)&any, &len);
	address.port = ntohs(any.sin_port);
	assert_true(http_call_start(
	    server->base, &call, stop_after_call, server->base));
	event_base_dispatch(server->base);
}

static void
server_free(endless_server_t *server)
{
	event_base_loop(server->base, EVLOOP_NONBLOCK);
	bufferevent_free(server->bev);
	evconnlistener_free(server->listener);
	http_calls_cancel(server->base);
	event_base_free(server->base);
}

static void
head_without_end_ends_the_call(void **state)
{
	endless_server_t server = {.base = event_base_new()};

	(void)state;
	server_call(&server, on_accept, 5000);
	assert_in_range(server.sent, 1, ENDLESS_MAX);
	server_free(&server);
}

static void
on_trickle(evutil_socket_t fd, short what, void *arg)
{
	endless_server_t *server = arg;

	(void)fd;
	(void)what;
	if (server->bev != NULL)
		bufferevent_write(server->bev, "x", 1);
	if (++server->sent == TRICKLE_MAX)
		event_base_loopbreak(server->base);
}

static void
on_accept_trickling(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *address, int len, void *arg)
{
	endless_server_t *server = arg;

	on_accept(listener, fd, address, len, arg);
	bufferevent_setcb(server->bev, NULL, NULL, NULL, NULL);
	bufferevent_write(server->bev, "Content-Length: 1000000\r\n\r\n", 27);
}

/* Guards against a response that keeps the call for as long as it trickles in,
 * while what the caller knows grows old. */
static void
response_that_trickles_in_ends_the_call(void **state)
{
	const struct timeval pause = {0, TRICKLE_MS * 1000};
	endless_server_t server = {.base = event_base_new()};
	struct event *timer =
	    event_new(server.base, -1, EV_PERSIST, on_trickle, &server);

	(void)state;
	event_add(timer, &pause);
	server_call(&server, on_accept_trickling, 2 * TRICKLE_MS);
	assert_in_range(server.sent, 1, TRICKLE_MAX - 1);
	event_free(timer);
	server_free(&server);
}

/** A server that sends one response, and what a call gets of it. */
typedef struct text_server {
	struct event_base *base;
	struct bufferevent *bev;
	const char *response;
	size_t sent;
	size_t piece;
	bool resets; /**< the connection, while the request is sent */
	int status;
	char body[64];
	int ended;
} text_server_t;

static void
text_reset(text_server_t *server)
{
	struct linger discard = {.l_onoff = 1};

	setsockopt(bufferevent_getfd(server->bev), SOL_SOCKET, SO_LINGER,
	    &discard, sizeof(discard));
	bufferevent_free(server->bev);
	server->bev = NULL;
}

static void
text_write(struct bufferevent *bev, void *arg)
{
	text_server_t *server = arg;
	size_t left = strlen(server->response) - server->sent;
	size_t len = left < server->piece ? left : server->piece;

	bufferevent_write(bev, server->response + server->sent, len);
	server->sent += len;
	if (server->sent == strlen(server->response) && len == 0 &&
	    server->resets)
		text_reset(server);
}

static void
text_read(struct bufferevent *bev, void *arg)
{
	text_server_t *server = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	evbuffer_drain(in, evbuffer_get_length(in));
	if (server->sent > 0)
		return;
	if (server->resets)
		bufferevent_disable(bev, EV_READ);
	bufferevent_setcb(bev, text_read, text_write, NULL, server);
	text_write(bev, server);
}

static void
text_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *address, int len, void *arg)
{
	text_server_t *server = arg;

	(void)listener;
	(void)address;
	(void)len;
	server->bev =
	    bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(server->bev, text_read, NULL, NULL, server);
	bufferevent_enable(server->bev, EV_READ | EV_WRITE);
}

static void
text_received(void *arg, const http_response_t *response)
{
	text_server_t *server = arg;

	server->ended++;
	server->status = response->status;
	if (response->body_len < sizeof(server->body) && response->status != 0)
		memcpy(server->body, response->body, response->body_len);
	event_base_loopbreak(server->base);
}

/* Call a server that gives this response.
 * @param upload bytes of the request's body */
static text_server_t
text_call(const char *response, size_t piece, bool resets, size_t upload)
{
	text_server_t server = {.base = event_base_new(),
	    .response = response,
	    .piece = piece,
	    .resets = resets};
	struct sockaddr_in any = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(any);
	http_address_t address = {.host = "127.0.0.1"};
	char *body = calloc(1, upload + 1);
	const http_call_t call = {.address = &address,
	    .method = EVHTTP_REQ_POST,
	    .path = "/",
	    .body = body,
	    .body_len = upload,
	    .timeout_ms = 20000};
	struct evconnlistener *listener =
	    evconnlistener_new_bind(server.base, text_accept, &server,
		LEV_OPT_CLOSE_ON_FREE, 1, (struct sockaddr *)&any, sizeof(any));

	signal(SIGPIPE, SIG_IGN);
	getsockname(
	    evconnlistener_get_fd(listener), (struct sockaddr *)&any, &len);
	address.port = ntohs(any.sin_port);
	assert_true(
	    http_call_start(server.base, &call, text_received, &server));
	event_base_dispatch(server.base);
	event_base_loop(server.base, EVLOOP_NONBLOCK);
	assert_int_equal(server.ended, 1);
	if (server.bev != NULL)
		bufferevent_free(server.bev);
	evconnlistener_free(listener);
	http_calls_cancel(server.base);
	event_base_free(server.base);
	free(body);
	return server;
}

#define OK "HTTP/1.1 200 OK\r\n"
#define LENGTH "Content-Length: 2\r\n\r\nok"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"

static void
broken_responses_are_none(void **state)
{
	static const char *const responses[] = {"HTTP/1.1 000 Zero\r\n" LENGTH,
	    "HTTP/1.1 042 Low\r\n" LENGTH, "HTTP/1.1 20 Short\r\n" LENGTH,
	    "HTTP/1.1 2 00\r\n" LENGTH, "HTTP/1.1 0200 OK\r\n" LENGTH,
	    "HTTP/1.1 600 High\r\n" LENGTH, "HTTP/1.1 999 High\r\n" LENGTH,
	    "HTTP/1.1 101 Switching\r\n" LENGTH, "HTTP/2.0 200 OK\r\n" LENGTH,
	    "HTTQ/1.1 200 OK\r\n" LENGTH, OK "X Y: 1\r\n" LENGTH,
	    OK "X : 1\r\n" LENGTH, OK "X\001Y: 1\r\n" LENGTH,
	    OK "X: 1\r\n more\r\n" LENGTH, OK "Content-Length : 1\r\n" LENGTH,
	    OK "Content-Length: 1\r\n" LENGTH,
	    OK "Transfer-Encoding: foo\r\n" LENGTH,
	    OK "Transfer-Encoding: chun ked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	    CHUNKED "2\r\nokXX0\r\n\r\n",
	    CHUNKED "2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
	    CHUNKED "2;\001\r\nok\r\n0\r\n\r\n"};

	(void)state;
	for (size_t i = 0; i < 2 * sizeof(responses) / sizeof(responses[0]);
	     i++) {
		text_server_t server = text_call(
		    responses[i / 2], i % 2 == 0 ? 4096 : PIECE, false, 0);

		if (server.status != 0)
			fail_msg(
			    "status %d: %s", server.status, responses[i / 2]);
	}
}

static void
sound_responses_are_received(void **state)
{
	static const char *const responses[] = {OK LENGTH,
	    "HTTP/1.1 200 \r\n" LENGTH, "HTTP/1.0 200 OK\r\n" LENGTH,
	    OK "!#$%&'*+-.^_`|~09azAZ:\r\nX: a\tb \xe9\xff\r\n" LENGTH,
	    "HTTP/1.1 100 Continue\r\n\r\n" OK LENGTH,
	    CHUNKED "2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n"};

	(void)state;
	for (size_t i = 0; i < 2 * sizeof(responses) / sizeof(responses[0]);
	     i++) {
		text_server_t server = text_call(
		    responses[i / 2], i % 2 == 0 ? 4096 : PIECE, false, 0);

		if (server.status != 200)
			fail_msg(
			    "status %d: %s", server.status, responses[i / 2]);
		assert_string_equal(server.body, "ok");
	}
}

static void
reset_during_an_upload_is_no_response(void **state)
{
	(void)state;
	for (int i = 0; i < 20; i++)
		assert_int_equal(
		    text_call(OK "\r\npart", 4096, true, UPLOAD_LEN).status, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(refused_calls_leak_nothing),
	    cmocka_unit_test(cancelled_calls_report_no_response),
	    cmocka_unit_test(head_without_end_ends_the_call),
	    cmocka_unit_test(response_that_trickles_in_ends_the_call),
	    cmocka_unit_test(broken_responses_are_none),
	    cmocka_unit_test(sound_responses_are_received),
	    cmocka_unit_test(reset_during_an_upload_is_no_response),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
