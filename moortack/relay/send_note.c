#include "moortack/relay/send_note.h"

#include <string.h>

#include "moortack/wire/peer.pb-c.h"

/* Told apart from other uses of the fleet's secret. */
#define KEY_CONTEXT "moortack send notes 1"
/* A random one for each datagram; twelve bytes, since most of a datagram would
 * else be its envelope. */
#define NONCE crypto_aead_chacha20poly1305_ietf_NPUBBYTES
#define TAG crypto_aead_chacha20poly1305_ietf_ABYTES
#define PLAIN_MAX (SEND_NOTE_SIZE - NONCE - TAG)

void
send_note_key_derive(send_note_key_t *key, const char *fleet_secret)
{
	crypto_generichash(key->bytes, sizeof(key->bytes),
	    (const uint8_t *)fleet_secret, strlen(fleet_secret),
	    (const uint8_t *)KEY_CONTEXT, sizeof(KEY_CONTEXT) - 1);
}

size_t
send_note_seal(
    const send_note_t *note, const send_note_key_t *key, uint8_t *out)
{
	Wire__SendNote message = WIRE__SEND_NOTE__INIT;
	uint8_t plain[PLAIN_MAX];
	unsigned long long sealed;
	size_t len;

	message.kind = note->kind;
	message.endpoint = note->endpoint;
	message.number = note->number;
	message.read_ms = note->read_ms;
	message.wait_ms = note->wait_ms;
	message.kept = note->kept;
	message.n_prefixes = note->prefixes_len;
	message.prefixes = (uint32_t *)(uintptr_t)note->prefixes;
	message.n_digests = note->digests_len;
	message.digests = (uint64_t *)(uintptr_t)note->digests;
	message.version = note->version;
	message.n_crashes = note->crashes_len;
	message.crashes = (uint32_t *)(uintptr_t)note->crashes;
	message.held_ms = note->held_ms;
	len = wire__send_note__pack(&message, plain);
	randombytes_buf(out, NONCE);
	crypto_aead_chacha20poly1305_ietf_encrypt(
	    out + NONCE, &sealed, plain, len, NULL, 0, NULL, out, key->bytes);
	return NONCE + (size_t)sealed;
}

static bool
message_read(send_note_t *note, const Wire__SendNote *message)
{
	if (message->n_prefixes > SEND_NOTE_PREFIXES_MAX ||
	    message->n_digests > SEND_NOTE_DIGESTS_MAX ||
	    message->n_crashes > SEND_NOTE_CRASHES_MAX ||
	    message->kind >= NOTE_KINDS)
		return false;
	*note = (send_note_t){.kind = (note_kind_t)message->kind,
	    .endpoint = message->endpoint,
	    .number = message->number,
	    .read_ms = message->read_ms,
	    .wait_ms = message->wait_ms,
	    .kept = message->kept,
	    .prefixes_len = message->n_prefixes,
	    .digests_len = message->n_digests,
	    .version = message->version,
	    .crashes_len = message->n_crashes,
	    .held_ms = message->held_ms};
	for (size_t i = 0; i < message->n_prefixes; i++)
		note->prefixes[i] = message->prefixes[i];
	for (size_t i = 0; i < message->n_digests; i++)
		note->digests[i] = message->digests[i];
	for (size_t i = 0; i < message->n_crashes; i++)
		note->crashes[i] = message->crashes[i];
	return true;
}

bool
send_note_open(send_note_t *note, const send_note_key_t *key,
    const uint8_t *bytes, size_t len)
{
	uint8_t plain[PLAIN_MAX];
	unsigned long long plain_len;
	Wire__SendNote *message;
	bool read;

	if (len > SEND_NOTE_SIZE || len < NONCE + TAG ||
	    crypto_aead_chacha20poly1305_ietf_decrypt(plain, &plain_len, NULL,
		bytes + NONCE, len - NONCE, NULL, 0, bytes, key->bytes) != 0)
		return false;
	message = wire__send_note__unpack(NULL, (size_t)plain_len, plain);
	if (message == NULL)
		return false;
	read = message_read(note, message);
	wire__send_note__free_unpacked(message, NULL);
	return read;
}
