/**
 * @file
 * Checks that a sealed token opens to the same content, and that arbitrary
 * bytes, a modified token and a token of another kind are refused.
 */
#include <string.h>

#include "input.h"
#include "moortack/exchange/session.h"
#include "moortack/ledger/ticket.h"

static const char keys[] =
    "1:0a0095df9ca11401ac40fb0ca03c2c7186d69f7e02c192abf87801b3437e4b8f,"
    "2:cdfb9a20bf06bc3e2a561991b54c0c7da304a2ac13d0711d42b5a398643c619e";

static void
sealed_ticket_check(const keyring_t *ring, const uint8_t *bytes, size_t len)
{
	ticket_t ticket = {
	    .organisation = "fachschule", .expires_ms = 5, .witnesses = {1, 2}};
	char text[TOKEN_TEXT_MAX];
	ticket_t opened;
	session_t session;
	err_t err;

	memcpy(ticket.id, bytes, len < TICKET_ID_SIZE ? len : TICKET_ID_SIZE);
	FUZZ_CHECK(ticket_seal(ring, &ticket, text));
	FUZZ_CHECK(ticket_open(ring, text, &opened));
	FUZZ_CHECK(memcmp(&opened.id, &ticket.id, TICKET_ID_SIZE) == 0);
	FUZZ_CHECK(opened.witnesses[1] == 2);
	FUZZ_CHECK(!session_open(ring, text, "fachschule", 0, &session, &err));
	FUZZ_CHECK(err.code == ERR_BAD_SESSION_TOKEN);
	if (len > 2) {
		size_t at = bytes[1] % strlen(text);
		char original = text[at];

		text[at] = (char)bytes[2];
		if (text[at] != original)
			FUZZ_CHECK(!ticket_open(ring, text, &opened));
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	char text[TOKEN_TEXT_MAX];
	keyring_t ring;
	ticket_t ticket;
	session_t session;
	err_t err;

	FUZZ_CHECK(sodium_init() >= 0);
	FUZZ_CHECK(keyring_parse(&ring, keys, &err));
	snprintf(text, sizeof(text), "%.*s", (int)(len < 900 ? len : 900),
	    (const char *)bytes);
	FUZZ_CHECK(!ticket_open(&ring, text, &ticket));
	FUZZ_CHECK(!session_open(&ring, text, "x", 0, &session, &err));
	sealed_ticket_check(&ring, bytes, len);
	return 0;
}
