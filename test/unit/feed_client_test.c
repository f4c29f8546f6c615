/**
 * @file
 * Whom a daemon follows, and who gives no answer: a process that stands still
 * keeps its connections, and its kernel goes on taking new ones. It is told as
 * slow, and then as lost, before what was learned from it is older than the
 * bounds that the rest is worked out from.
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

/* An answer is held for half a second at most: who answers is never slow. */
#define SLOW_EARLIEST_MS 600
#define SLOW_LATEST_MS 900
#define LOST_LATEST_MS 1600
#define LIMIT_S 5

/** A daemon that follows, and when it was told what. */
typedef struct follower {
	struct event_base *base;
	clock_source_t clock;
	feed_client_t client;
	struct timespec asked;
	int64_t slow_ms; /**< after it asked; 0: not told */
	int64_t lost_ms;
} follower_t;

static int64_t
since_asked(const follower_t *follower)
{
	return timespec_ms_between(
	    follower->asked, clock_boottime(&follower->clock));
}

static void
on_ask(void *arg, feed_question_t *question)
{
	follower_t *follower = arg;

	strcpy(question->name, "follower");
	follower->asked = clock_boottime(&follower->clock);
}

static void
on_answer(void *arg, feed_answer_t *answer, struct timespec asked)
{
	(void)arg;
	(void)answer;
	(void)asked;
	fail_msg("an answer of a process that stands still");
}

static void
on_slow(void *arg)
{
	follower_t *follower = arg;

	follower->slow_ms = since_asked(follower);
}

static void
on_lost(void *arg)
{
	follower_t *follower = arg;

	follower->lost_ms = since_asked(follower);
	event_base_loopbreak(follower->base);
}

static const feed_client_ops_t client_ops = {
    on_ask, on_answer, on_slow, on_lost};

/* A socket that takes connections, and that nobody reads. */
static int
still_listen(char address[64])
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
one_that_stands_still_is_told_as_lost(void **state)
{
	char public[Z85_KEY_SIZE], secret[Z85_KEY_SIZE], address[64];
	struct timeval limit = {LIMIT_S, 0};
	follower_t follower = {.base = event_base_new()};
	void *context = zmq_ctx_new();
	int still = still_listen(address);
	peer_auth_t auth;
	err_t err;

	(void)state;
	clock_system_init(&follower.clock);
	assert_int_equal(zmq_curve_keypair(public, secret), 0);
	assert_true(peer_auth_init(&auth, secret, &err));
	assert_true(feed_client_init(&follower.client, follower.base,
	    &follower.clock, context, &auth, &client_ops, &follower));
	assert_true(feed_client_follow(&follower.client, address));
	event_base_loopexit(follower.base, &limit);
	event_base_dispatch(follower.base);
	assert_in_range(follower.slow_ms, SLOW_EARLIEST_MS, SLOW_LATEST_MS);
	assert_in_range(follower.lost_ms, follower.slow_ms, LOST_LATEST_MS);
	feed_client_finish(&follower.client);
	zmq_ctx_term(context);
	close(still);
	event_base_free(follower.base);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(one_that_stands_still_is_told_as_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
