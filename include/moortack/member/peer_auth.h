/**
 * @file
 * Authenticates peers: a peer must hold the CURVE key pair of the fleet.
 */
#ifndef MOORTACK_MEMBER_PEER_AUTH_H
#define MOORTACK_MEMBER_PEER_AUTH_H

#include <stdint.h>

#include "common/err.h"
#include "moortack/member/peer_socket.h"

#define Z85_KEY_SIZE 41
#define CURVE_KEY_SIZE 32

typedef struct peer_auth {
	char secret_key[Z85_KEY_SIZE];
	char public_key[Z85_KEY_SIZE];
	uint8_t public_key_bytes[CURVE_KEY_SIZE];
} peer_auth_t;

/** @param secret 40 characters of Z85 */
bool peer_auth_init(peer_auth_t *, const char *secret, err_t *err);

/** Sets the fleet's keys on a socket. */
void peer_auth_apply(const peer_auth_t *, void *socket, bool server);

/** Handles one request of the ZeroMQ Authentication Protocol (ZAP). The owner
 * of the socket is the peer_auth_t. */
void peer_auth_zap_handle(peer_socket_t *);

#endif
