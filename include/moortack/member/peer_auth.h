/**
 * @file
 * Who may be a peer: holders of the fleet's one CURVE key pair.
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

/** Give a socket the fleet's keys. */
void peer_auth_apply(const peer_auth_t *, void *socket, bool server);

/** Answer one question of ZeroMQ's authentication protocol; the socket's owner
 * is the peer_auth_t. */
void peer_auth_zap_handle(peer_socket_t *);

#endif
