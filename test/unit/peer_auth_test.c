/**
 * @file
 * Messages are received only from clients that hold the fleet's secret key; to
 * know its public key isn't enough.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <string.h>

#include "moortack/member/peer_auth.h"

#define ADDRESS "tcp://127.0.0.1:*"
#define TURNS 60
#define TURN_US 10000

static int messages_received;

static void
message_count(peer_socket_t *socket)
{
	zmq_msg_t frame;
	bool more = true;

	while (more && peer_frame_read(socket->socket, &frame, &more)) {
		messages_received++;
		zmq_msg_close(&frame);
	}
}

/* A server with the fleet's keys, and its address. */
typedef struct server {
	struct event_base *base;
	void *context;
	peer_auth_t auth;
	peer_socket_t zap;
	peer_socket_t router;
	char endpoint[64];
} server_t;

static void
server_start(server_t *server)
{
	char public[Z85_KEY_SIZE], secret[Z85_KEY_SIZE];
	size_t size = sizeof(server->endpoint);
	err_t err;

	messages_received = 0;
	server->base = event_base_new();
	server->context = zmq_ctx_new();
	assert_int_equal(zmq_curve_keypair(public, secret), 0);
	assert_true(peer_auth_init(&server->auth, secret, &err));
	assert_true(peer_socket_open(&server->zap, server->base,
	    server->context, ZMQ_REP, peer_auth_zap_handle, &server->auth));
	assert_int_equal(
	    zmq_bind(server->zap.socket, "inproc://zeromq.zap.01"), 0);
	assert_true(peer_socket_open(&server->router, server->base,
	    server->context, ZMQ_ROUTER, message_count, NULL));
	peer_auth_apply(&server->auth, server->router.socket, true);
	assert_int_equal(zmq_bind(server->router.socket, ADDRESS), 0);
	zmq_getsockopt(
	    server->router.socket, ZMQ_LAST_ENDPOINT, server->endpoint, &size);
}

static void
server_stop(server_t *server)
{
	peer_socket_close(&server->router);
	peer_socket_close(&server->zap);
	zmq_ctx_term(server->context);
	event_base_free(server->base);
}

/* Sends a message with the client's keys and runs the server until it receives
 * it, or for at most TURNS * TURN_US. */
static void
message_send_as(server_t *server, const peer_auth_t *client)
{
	static const int linger = 0;
	void *context = zmq_ctx_new();
	void *dealer = zmq_socket(context, ZMQ_DEALER);
	struct timeval turn = {0, TURN_US};

	zmq_setsockopt(dealer, ZMQ_LINGER, &linger, sizeof(linger));
	peer_auth_apply(client, dealer, false);
	zmq_setsockopt(
	    dealer, ZMQ_CURVE_SERVERKEY, server->auth.public_key, Z85_KEY_SIZE);
	assert_int_equal(zmq_connect(dealer, server->endpoint), 0);
	zmq_send(dealer, "x", 1, 0);
	for (int i = 0; i < TURNS && messages_received == 0; i++) {
		event_base_loopexit(server->base, &turn);
		event_base_dispatch(server->base);
	}
	zmq_close(dealer);
	zmq_ctx_term(context);
}

static void
fleet_key_is_accepted(void **state)
{
	server_t server;

	(void)state;
	server_start(&server);
	message_send_as(&server, &server.auth);
	assert_true(messages_received > 0);
	server_stop(&server);
}

static void
other_key_is_rejected(void **state)
{
	char public[Z85_KEY_SIZE], secret[Z85_KEY_SIZE];
	peer_auth_t other;
	server_t server;
	err_t err;

	(void)state;
	server_start(&server);
	assert_int_equal(zmq_curve_keypair(public, secret), 0);
	assert_true(peer_auth_init(&other, secret, &err));
	message_send_as(&server, &other);
	assert_int_equal(messages_received, 0);
	server_stop(&server);
}

static void
invalid_key_is_a_setting_error(void **state)
{
	peer_auth_t auth;
	err_t err;

	(void)state;
	assert_false(peer_auth_init(&auth, "short", &err));
	assert_int_equal(err.code, ERR_SETTING);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(fleet_key_is_accepted),
	    cmocka_unit_test(other_key_is_rejected),
	    cmocka_unit_test(invalid_key_is_a_setting_error),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
