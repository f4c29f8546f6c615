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

static int heard;

static void
count_message(peer_socket_t *socket)
{
	zmq_msg_t frame;
	bool more = true;

	while (more && peer_frame_read(socket->socket, &frame, &more)) {
		heard++;
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

	heard = 0;
	server->base = event_base_new();
	server->context = zmq_ctx_new();
	assert_int_equal(zmq_curve_keypair(public, secret), 0);
	assert_true(peer_auth_init(&server->auth, secret, &err));
	assert_true(peer_socket_open(&server->zap, server->base,
	    server->context, ZMQ_REP, peer_auth_zap_handle, &server->auth));
	assert_int_equal(
	    zmq_bind(server->zap.socket, "inproc://zeromq.zap.01"), 0);
	assert_true(peer_socket_open(&server->router, server->base,
	    server->context, ZMQ_ROUTER, count_message, NULL));
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
send_as(server_t *server, const peer_auth_t *client)
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
	for (int i = 0; i < TURNS && heard == 0; i++) {
		event_base_loopexit(server->base, &turn);
		event_base_dispatch(server->base);
	}
	zmq_close(dealer);
	zmq_ctx_term(context);
}

static void
the_fleet_is_heard(void **state)
{
	server_t server;

	(void)state;
	server_start(&server);
	send_as(&server, &server.auth);
	assert_true(heard > 0);
	server_stop(&server);
}

static void
a_stranger_is_not(void **state)
{
	char public[Z85_KEY_SIZE], secret[Z85_KEY_SIZE];
	peer_auth_t stranger;
	server_t server;
	err_t err;

	(void)state;
	server_start(&server);
	assert_int_equal(zmq_curve_keypair(public, secret), 0);
	assert_true(peer_auth_init(&stranger, secret, &err));
	send_as(&server, &stranger);
	assert_int_equal(heard, 0);
	server_stop(&server);
}

static void
bad_keys_are_settings_errors(void **state)
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
	    cmocka_unit_test(the_fleet_is_heard),
	    cmocka_unit_test(a_stranger_is_not),
	    cmocka_unit_test(bad_keys_are_settings_errors),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
