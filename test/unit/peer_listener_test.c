/**
 * @file
 * Connections that send no message do not take the place of a daemon's, and
 * their number is limited.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "moortack/member/peer_listener.h"

#define ADDRESS "tcp://127.0.0.1:*"
#define CONNECTIONS_MAX 4
#define STRANGERS 40
#define TURNS 200
#define TURN_US 10000

typedef struct fixture {
	struct event_base *base;
	void *context;
	void *client_context;
	void *dealer;
	peer_socket_t router;
	peer_listener_t listener;
	int messages;
	int strangers[STRANGERS];
} fixture_t;

static void
on_message(peer_socket_t *socket)
{
	fixture_t *fixture = socket->owner;
	zmq_msg_t frame;
	bool more = true;

	while (more && peer_frame_read(socket->socket, &frame, &more)) {
		if (!more)
			peer_listener_on_message(&fixture->listener, &frame);
		zmq_msg_close(&frame);
	}
	fixture->messages++;
}

static void
turn(fixture_t *fixture)
{
	struct timeval limit = {0, TURN_US};

	event_base_loopexit(fixture->base, &limit);
	event_base_dispatch(fixture->base);
}

static int
setup(void **state)
{
	static const int linger = 0, never = 3600000;
	static fixture_t fixture;
	char endpoint[64];
	size_t size = sizeof(endpoint);

	memset(&fixture, 0, sizeof(fixture));
	fixture.base = event_base_new();
	fixture.context = zmq_ctx_new();
	assert_true(peer_socket_open(&fixture.router, fixture.base,
	    fixture.context, ZMQ_ROUTER, on_message, &fixture));
	assert_true(peer_listener_bind(&fixture.listener, fixture.base,
	    fixture.context, fixture.router.socket, ADDRESS, CONNECTIONS_MAX));
	assert_true(fixture.listener.port != 0);
	zmq_getsockopt(
	    fixture.router.socket, ZMQ_LAST_ENDPOINT, endpoint, &size);
	fixture.client_context = zmq_ctx_new();
	fixture.dealer = zmq_socket(fixture.client_context, ZMQ_DEALER);
	zmq_setsockopt(fixture.dealer, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(
	    fixture.dealer, ZMQ_RECONNECT_IVL, &never, sizeof(never));
	assert_int_equal(zmq_connect(fixture.dealer, endpoint), 0);
	*state = &fixture;
	return 0;
}

static int
teardown(void **state)
{
	fixture_t *fixture = *state;

	zmq_close(fixture->dealer);
	zmq_ctx_term(fixture->client_context);
	peer_listener_finish(&fixture->listener);
	peer_socket_close(&fixture->router);
	zmq_ctx_term(fixture->context);
	event_base_free(fixture->base);
	return 0;
}

static void
message_is_received(fixture_t *fixture)
{
	int before = fixture->messages;

	assert_int_equal(zmq_send(fixture->dealer, "x", 1, 0), 1);
	for (int i = 0; i < TURNS && fixture->messages == before; i++)
		turn(fixture);
	assert_int_equal(fixture->messages, before + 1);
}

static void
strangers_connect(fixture_t *fixture)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons(fixture->listener.port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	for (int i = 0; i < STRANGERS; i++) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		assert_int_equal(
		    connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
		fixture->strangers[i] = fd;
	}
}

/* How many have not been closed by the listener. */
static int
strangers_left(const fixture_t *fixture)
{
	int left = 0;
	char bytes[256];

	for (int i = 0; i < STRANGERS; i++) {
		ssize_t len;

		do
			len = recv(fixture->strangers[i], bytes, sizeof(bytes),
			    MSG_DONTWAIT);
		while (len > 0);
		left += len < 0;
	}
	return left;
}

static void
daemon_keeps_its_connection_beside_strangers(void **state)
{
	fixture_t *fixture = *state;

	message_is_received(fixture);
	strangers_connect(fixture);
	for (int i = 0; i < TURNS && strangers_left(fixture) >= CONNECTIONS_MAX;
	     i++)
		turn(fixture);
	assert_int_equal(strangers_left(fixture), CONNECTIONS_MAX - 1);
	assert_int_equal(
	    fixture->listener.closed, STRANGERS - (CONNECTIONS_MAX - 1));
	message_is_received(fixture);
	for (int i = 0; i < STRANGERS; i++)
		close(fixture->strangers[i]);
}

/* A descriptor that ZeroMQ has closed and the process uses for something else
 * is left alone. */
static void
strangers_that_leave_are_forgotten(void **state)
{
	fixture_t *fixture = *state;

	message_is_received(fixture);
	for (int round = 0; round < 3; round++) {
		strangers_connect(fixture);
		for (int i = 0; i < STRANGERS; i++)
			close(fixture->strangers[i]);
		for (int i = 0; i < TURNS &&
		     (i < 10 || fixture->listener.strangers != NULL);
		     i++)
			turn(fixture);
		assert_null(fixture->listener.strangers);
	}
	message_is_received(fixture);
	assert_non_null(fixture->listener.known);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		daemon_keeps_its_connection_beside_strangers, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		strangers_that_leave_are_forgotten, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
