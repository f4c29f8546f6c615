/**
 * @file
 * What daemons tell each other of a prompt that was just sent to an endpoint,
 * or ask before they send one, and how it is sealed into a datagram with the
 * fleet's key.
 */
#ifndef MOORTACK_RELAY_GOSSIP_MESSAGE_H
#define MOORTACK_RELAY_GOSSIP_MESSAGE_H

#include <sodium.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GOSSIP_MESSAGE_PREFIXES_MAX 6
#define GOSSIP_MESSAGE_DIGESTS_MAX 5
#define GOSSIP_MESSAGE_CRASHES_MAX 3
/** Bytes of a datagram at most. */
#define GOSSIP_DATAGRAM_MAX 96

typedef enum gossip_kind {
	GOSSIP_PROMPT_SENT, /**< a prompt was sent to the endpoint */
	GOSSIP_QUERY, /**< what the endpoint still has to read, and keeps */
	GOSSIP_RESPONSE,
	GOSSIP_CRASH, /**< the endpoint crashed while these requests ran */
	GOSSIP_QUARANTINED, /**< the request is refused */
	GOSSIP_CLEARED,	    /**< the request ran without a crash */
	GOSSIP_KIND_COUNT   /* count */
} gossip_kind_t;

typedef struct gossip_message {
	gossip_kind_t kind;
	uint32_t endpoint_hash; /**< hash of its id */
	uint32_t query_id;	/**< of a question; its answer repeats it */
	uint32_t prefill_ms; /**< sent: that reading the prompt ought to take */
	uint32_t queue_wait_ms; /**< answer: until it begins to read one more */
	uint32_t cached_prefixes; /**< answer: how many of the question's
			  beginnings it keeps */
	uint32_t
	    prefixes[GOSSIP_MESSAGE_PREFIXES_MAX]; /**< hashes of beginnings
						 that others share, the
						 shortest first */
	size_t prefixes_len;
	uint64_t
	    digests[GOSSIP_MESSAGE_DIGESTS_MAX]; /**< see request_digest() */
	size_t digests_len;
	uint32_t version_hash; /**< crash, held: hash of service and version */
	uint32_t crashes[GOSSIP_MESSAGE_CRASHES_MAX]; /**< held: hashes of the
						    incarnations */
	size_t crashes_len;
	uint32_t quarantined_ms; /**< held: for how long already */
} gossip_message_t;

/** Both ends derive it from the fleet's secret. */
typedef struct gossip_key {
	uint8_t bytes[crypto_aead_chacha20poly1305_ietf_KEYBYTES];
} gossip_key_t;

void gossip_key_derive(gossip_key_t *, const char *fleet_secret);

/** @param out GOSSIP_DATAGRAM_MAX bytes @return how many are used */
size_t gossip_message_seal(
    const gossip_message_t *, const gossip_key_t *, uint8_t *out);
/** @return false: it is not from a daemon of this fleet, or not a message */
bool gossip_message_open(
    gossip_message_t *, const gossip_key_t *, const uint8_t *bytes, size_t len);

#endif
