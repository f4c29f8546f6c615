/**
 * @file
 * A parent that does not respond: a stopped process keeps its connections, and
 * its kernel goes on accepting new ones. It has to be reported as slow, and
 * then as timed out, before the rows received from it are older than the
 * limits allow.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "moortack/replication/feed_client.h"

/* A request is held for half a second at most: a daemon that responds is never
 * slow. */
#define SLOW_EARLIEST_MS 600
#define SLOW_LATEST_MS 900
#define TIMEOUT_LATEST_MS 1600
#define LIMIT_S 5

/** A daemon that follows another, and when its callbacks were called. */
typedef struct follower {
	struct event_base *base;
	clock_source_t clock;
	feed_client_t client;
	struct timespec sent_at;
	int64_t slow_ms; /**< after the request; 0: not called */
	int64_t timeout_ms;
} follower_t;

static int64_t
ms_since_request(const follower_t *follower)
{
	return timespec_ms_between(
	    follower->sent_at, clock_boottime(&follower->clock));
}

static void
on_prepare(void *arg, feed_request_t *request)
{
	follower_t *follower = arg;

	strcpy(request->name, "follower");
	follower->sent_at = clock_boottime(&follower->clock);
}

static bool
on_response(void *arg, feed_response_t *response, struct timespec sent_at)
{
	(void)arg;
	(void)response;
	(void)sent_at;
	fail_msg("a response of a stopped process");
	return true;
}

static void
on_slow(void *arg)
{
	follower_t *follower = arg;

	follower->slow_ms = ms_since_request(follower);
}

static void
on_timeout(void *arg)
{
	follower_t *follower = arg;

	follower->timeout_ms = ms_since_request(follower);
	event_base_loopbreak(follower->base);
}

static const feed_client_ops_t client_ops = {
    on_prepare, on_response, on_slow, on_timeout};

/* Listens on a socket that accepts connections and is never read. */
static int
unread_socket_listen(char address[64])
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
	assert_int_equal(bind(fd, (struct sockaddr *)&at, len), 0);
	assert_int_equal(listen(fd, 4), 0);
	getsockname(fd, (struct sockaddr *)&at, &len);
	snprintf(address, 64, "tcp://127.0.0.1:%u", ntohs(at.sin_port));
	return fd;
}

static void
a_stopped_parent_is_slow_and_then_times_out(void **state)
{
	char public[Z85_KEY_SIZE], secret[Z85_KEY_SIZE], address[64];
	struct timeval limit = {LIMIT_S, 0};
	follower_t follower = {.base = event_base_new()};
	void *context = zmq_ctx_new();
	int unread_socket = unread_socket_listen(address);
	peer_auth_t auth;
	err_t err;

	(void)state;
	clock_system_init(&follower.clock);
	assert_int_equal(zmq_curve_keypair(public, secret), 0);
	assert_true(peer_auth_init(&auth, secret, &err));
	assert_true(feed_client_init(&follower.client, follower.base,
	    &follower.clock, context, &auth, &client_ops, &follower));
	assert_true(feed_client_connect(&follower.client, address));
	event_base_loopexit(follower.base, &limit);
	event_base_dispatch(follower.base);
	assert_in_range(follower.slow_ms, SLOW_EARLIEST_MS, SLOW_LATEST_MS);
	assert_in_range(
	    follower.timeout_ms, follower.slow_ms, TIMEOUT_LATEST_MS);
	feed_client_finish(&follower.client);
	zmq_ctx_term(context);
	close(unread_socket);
	event_base_free(follower.base);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_stopped_parent_is_slow_and_then_times_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
