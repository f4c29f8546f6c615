#include <stdio.h>

#include "relay_request.h"

/* The service's links are checked once the route is known; see
 * relay_accept_request(). */
err_code_t
relay_forward_check(
    const relay_t *relay, const http_msg_t *msg, forward_head_t *head)
{
	const char *text = http_msg_field(msg, FORWARD_HEADER);
	arrival_t arrival;
	err_t err;

	if (!relay->has_forward_key)
		return ERR_NOT_READY;
	if (!relay->caller_dialect->read(msg, &arrival, &err))
		return err.code;
	if (text == NULL || http_msg_field_count(msg, FORWARD_HEADER) != 1 ||
	    !forward_head_open(head, &relay->forward_key, arrival.id, text))
		return ERR_PEERS_UNAVAILABLE;
	if (!relay_can_serve(relay))
		return ERR_NOT_READY;
	/* A request that the sender's configuration allows may be denied by an
	 * older one. */
	if (relay->config->version < head->config_version)
		return ERR_CONFIG_STALE;
	return ERR_NONE;
}

void
relay_forward_result_line(
    bool from_daemon, err_code_t code, uint32_t sends, char *out)
{
	const forward_result_t result = {.code = code, .sends = sends};
	char text[FORWARD_RESULT_SIZE];

	out[0] = '\0';
	if (!from_daemon)
		return;
	forward_result_format(&result, text);
	snprintf(out, FORWARD_LINE_SIZE, FORWARD_HEADER ": %s\r\n", text);
}
