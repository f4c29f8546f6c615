#include "moortack/relay/gossip_message.h"

#include <string.h>

#include "moortack/wire/peer.pb-c.h"

/* Separates the key from other keys derived from the fleet's secret. */
#define KEY_CONTEXT "moortack send notes 1"
/* Random for each datagram. Twelve bytes, since with a longer nonce most of a
 * datagram would be overhead. */
#define NONCE_SIZE crypto_aead_chacha20poly1305_ietf_NPUBBYTES
#define TAG_SIZE crypto_aead_chacha20poly1305_ietf_ABYTES
#define PLAIN_MAX (GOSSIP_DATAGRAM_MAX - NONCE_SIZE - TAG_SIZE)

void
gossip_key_derive(gossip_key_t *key, const char *fleet_secret)
{
	crypto_generichash(key->bytes, sizeof(key->bytes),
	    (const uint8_t *)fleet_secret, strlen(fleet_secret),
	    (const uint8_t *)KEY_CONTEXT, sizeof(KEY_CONTEXT) - 1);
}

size_t
gossip_message_seal(
    const gossip_message_t *message, const gossip_key_t *key, uint8_t *out)
{
	Wire__GossipMessage wire = WIRE__GOSSIP_MESSAGE__INIT;
	uint8_t plain[PLAIN_MAX];
	unsigned long long sealed;
	size_t len;

	wire.kind = message->kind;
	wire.endpoint = message->endpoint_hash;
	wire.number = message->query_id;
	wire.read_ms = message->prefill_ms;
	wire.wait_ms = message->queue_wait_ms;
	wire.kept = message->cached_prefixes;
	wire.listed = message->listed;
	wire.n_prefixes = message->parts_len;
	wire.prefixes = (uint32_t *)(uintptr_t)message->parts;
	wire.n_digests = message->digests_len;
	wire.digests = (uint64_t *)(uintptr_t)message->digests;
	wire.version = message->version_hash;
	wire.n_crashes = message->crashes_len;
	wire.crashes = (uint32_t *)(uintptr_t)message->crashes;
	wire.held_ms = message->age_ms;
	wire.limited = message->rate_limited;
	wire.rate = message->rate_milli;
	wire.noticed_ms = message->noticed_ms;
	wire.service = message->service_hash;
	wire.reaches = message->reaches;
	wire.contact_ms = message->contact_age_ms;
	wire.busy = message->load;
	wire.price_milli = message->price_milli;
	len = wire__gossip_message__pack(&wire, plain);
	randombytes_buf(out, NONCE_SIZE);
	crypto_aead_chacha20poly1305_ietf_encrypt(out + NONCE_SIZE, &sealed,
	    plain, len, NULL, 0, NULL, out, key->bytes);
	return NONCE_SIZE + (size_t)sealed;
}

static bool
message_from_wire(gossip_message_t *message, const Wire__GossipMessage *wire)
{
	if (wire->n_prefixes > GOSSIP_MESSAGE_PARTS_MAX ||
	    wire->n_digests > GOSSIP_MESSAGE_DIGESTS_MAX ||
	    wire->n_crashes > GOSSIP_MESSAGE_CRASHES_MAX ||
	    wire->kind >= GOSSIP_KIND_COUNT)
		return false;
	*message = (gossip_message_t){.kind = (gossip_kind_t)wire->kind,
	    .endpoint_hash = wire->endpoint,
	    .query_id = wire->number,
	    .prefill_ms = wire->read_ms,
	    .queue_wait_ms = wire->wait_ms,
	    .cached_prefixes = wire->kept,
	    .listed = wire->listed,
	    .parts_len = wire->n_prefixes,
	    .digests_len = wire->n_digests,
	    .version_hash = wire->version,
	    .crashes_len = wire->n_crashes,
	    .age_ms = wire->held_ms,
	    .rate_limited = wire->limited,
	    .rate_milli = wire->rate,
	    .noticed_ms = wire->noticed_ms,
	    .service_hash = wire->service,
	    .reaches = wire->reaches,
	    .contact_age_ms = wire->contact_ms,
	    .load = wire->busy,
	    .price_milli = wire->price_milli};
	for (size_t i = 0; i < wire->n_prefixes; i++)
		message->parts[i] = wire->prefixes[i];
	for (size_t i = 0; i < wire->n_digests; i++)
		message->digests[i] = wire->digests[i];
	for (size_t i = 0; i < wire->n_crashes; i++)
		message->crashes[i] = wire->crashes[i];
	return true;
}

bool
gossip_message_open(gossip_message_t *message, const gossip_key_t *key,
    const uint8_t *bytes, size_t len)
{
	uint8_t plain[PLAIN_MAX];
	unsigned long long plain_len;
	Wire__GossipMessage *wire;
	bool valid;

	if (len > GOSSIP_DATAGRAM_MAX || len < NONCE_SIZE + TAG_SIZE ||
	    crypto_aead_chacha20poly1305_ietf_decrypt(plain, &plain_len, NULL,
		bytes + NONCE_SIZE, len - NONCE_SIZE, NULL, 0, bytes,
		key->bytes) != 0)
		return false;
	wire = wire__gossip_message__unpack(NULL, (size_t)plain_len, plain);
	if (wire == NULL)
		return false;
	valid = message_from_wire(message, wire);
	wire__gossip_message__free_unpacked(wire, NULL);
	return valid;
}
