#include "moortack/ledger/ticket.h"

#include <stdio.h>
#include <string.h>

#include "moortack/wire/peer.pb-c.h"

#define PAYLOAD_MAX 256

bool
ticket_seal(
    const keyring_t *ring, const ticket_t *ticket, char out[TOKEN_TEXT_MAX])
{
	Wire__Ticket wire = WIRE__TICKET__INIT;
	uint8_t payload[PAYLOAD_MAX];

	wire.id.data = (uint8_t *)ticket->id;
	wire.id.len = TICKET_ID_SIZE;
	wire.organisation = (char *)ticket->organisation;
	wire.expires_ms = ticket->expires_ms;
	wire.witness = ticket->witnesses[0];
	wire.second = ticket->witnesses[1];
	if (wire__ticket__get_packed_size(&wire) > sizeof(payload))
		return false;
	return token_seal(ring, TOKEN_TICKET, payload,
	    wire__ticket__pack(&wire, payload), out);
}

bool
ticket_open(const keyring_t *ring, const char *text, ticket_t *out)
{
	uint8_t payload[PAYLOAD_MAX];
	size_t len =
	    token_open(ring, TOKEN_TICKET, text, payload, sizeof(payload));
	Wire__Ticket *wire =
	    len > 0 ? wire__ticket__unpack(NULL, len, payload) : NULL;
	bool valid = wire != NULL && wire->id.len == TICKET_ID_SIZE;

	if (valid) {
		*out = (ticket_t){.expires_ms = wire->expires_ms,
		    .witnesses = {wire->witness, wire->second}};
		memcpy(out->id, wire->id.data, TICKET_ID_SIZE);
		snprintf(out->organisation, sizeof(out->organisation), "%s",
		    wire->organisation);
	}
	if (wire != NULL)
		wire__ticket__free_unpacked(wire, NULL);
	return valid;
}
