#include "moortack/member/peer_auth.h"

#include <string.h>

#define ZAP_FRAMES 7

/* ZAP (ZeroMQ RFC 27): only a client with the fleet's key pair may connect. */
void
peer_auth_zap_handle(peer_socket_t *socket)
{
	static const char *const statuses[2][2] = {
	    {"400", "not of this fleet"}, {"200", "OK"}};
	const peer_auth_t *auth = socket->owner;
	zmq_msg_t frames[ZAP_FRAMES];
	int count = 0;
	bool more = true;
	bool known;

	while (more && count < ZAP_FRAMES &&
	    peer_frame_read(socket->socket, &frames[count], &more))
		count++;
	peer_frames_skip(socket->socket, more && count == ZAP_FRAMES);
	known = count == ZAP_FRAMES &&
	    zmq_msg_size(&frames[6]) == CURVE_KEY_SIZE &&
	    memcmp(zmq_msg_data(&frames[6]), auth->public_key_bytes,
		CURVE_KEY_SIZE) == 0;
	if (count >= 2) {
		zmq_send(socket->socket, "1.0", 3, ZMQ_SNDMORE);
		zmq_send(socket->socket, zmq_msg_data(&frames[1]),
		    zmq_msg_size(&frames[1]), ZMQ_SNDMORE);
		zmq_send(socket->socket, statuses[known][0], 3, ZMQ_SNDMORE);
		zmq_send(socket->socket, statuses[known][1],
		    strlen(statuses[known][1]), ZMQ_SNDMORE);
		zmq_send(socket->socket, "", 0, ZMQ_SNDMORE);
		zmq_send(socket->socket, "", 0, 0);
	}
	for (int i = 0; i < count; i++)
		zmq_msg_close(&frames[i]);
}

void
peer_auth_apply(const peer_auth_t *auth, void *socket, bool server)
{
	int yes = 1;

	zmq_setsockopt(
	    socket, ZMQ_CURVE_SECRETKEY, auth->secret_key, Z85_KEY_SIZE);
	zmq_setsockopt(
	    socket, ZMQ_CURVE_PUBLICKEY, auth->public_key, Z85_KEY_SIZE);
	if (server) {
		zmq_setsockopt(socket, ZMQ_CURVE_SERVER, &yes, sizeof(yes));
		zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, "fleet", 5);
	} else {
		zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, auth->public_key,
		    Z85_KEY_SIZE);
	}
}

bool
peer_auth_init(peer_auth_t *auth, const char *secret, err_t *err)
{
	if (strlen(secret) != Z85_KEY_SIZE - 1 ||
	    zmq_curve_public(auth->public_key, secret) != 0 ||
	    zmq_z85_decode(auth->public_key_bytes, auth->public_key) == NULL)
		return err_set(err, ERR_SETTING,
		    "peer-key: must be a CURVE secret key, 40 characters of "
		    "Z85");
	memcpy(auth->secret_key, secret, Z85_KEY_SIZE);
	return true;
}
