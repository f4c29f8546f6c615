#include "moortack/exchange/session.h"

#include <stdio.h>
#include <string.h>

#include "moortack/wire/peer.pb-c.h"

#define PAYLOAD_MAX 512

bool
session_seal(
    const keyring_t *ring, const session_t *session, char out[TOKEN_TEXT_MAX])
{
	Wire__Session wire = WIRE__SESSION__INIT;
	uint8_t payload[PAYLOAD_MAX];

	wire.id.data = (uint8_t *)&session->id;
	wire.id.len = sizeof(session->id);
	wire.organisation = (char *)session->organisation;
	wire.version = (char *)session->version;
	wire.endpoint = (char *)session->endpoint;
	wire.revision = session->revision;
	wire.expires_ms = session->expires_ms;
	if (wire__session__get_packed_size(&wire) > sizeof(payload))
		return false;
	return token_seal(ring, TOKEN_SESSION, payload,
	    wire__session__pack(&wire, payload), out);
}

static bool
session_decode(const Wire__Session *wire, session_t *out)
{
	if (wire == NULL || wire->id.len != sizeof(out->id))
		return false;
	*out = (session_t){
	    .revision = wire->revision, .expires_ms = wire->expires_ms};
	memcpy(&out->id, wire->id.data, sizeof(out->id));
	snprintf(out->organisation, sizeof(out->organisation), "%s",
	    wire->organisation);
	snprintf(out->version, sizeof(out->version), "%s", wire->version);
	snprintf(out->endpoint, sizeof(out->endpoint), "%s", wire->endpoint);
	return true;
}

bool
session_open(const keyring_t *ring, const char *text, const char *organisation,
    int64_t wall_ms, session_t *out, err_t *err)
{
	uint8_t payload[PAYLOAD_MAX];
	size_t len =
	    token_open(ring, TOKEN_SESSION, text, payload, sizeof(payload));
	Wire__Session *wire =
	    len > 0 ? wire__session__unpack(NULL, len, payload) : NULL;
	bool valid = session_decode(wire, out);

	if (wire != NULL)
		wire__session__free_unpacked(wire, NULL);
	if (!valid)
		return err_set(
		    err, ERR_BAD_SESSION_TOKEN, "the session token is invalid");
	if (strcmp(out->organisation, organisation) != 0)
		return err_set(err, ERR_BAD_SESSION_TOKEN,
		    "the session belongs to another organisation");
	if (out->expires_ms <= wall_ms)
		return err_set(
		    err, ERR_BAD_SESSION_TOKEN, "the session has expired");
	return true;
}
