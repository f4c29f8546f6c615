/**
 * @file
 * The messages by which daemons notify each other of a prompt sent to an
 * endpoint, query an endpoint's owner before they send one, and report requests
 * that crash endpoints; and how they are encrypted into a datagram with the
 * fleet's key.
 */
#ifndef MOORTACK_RELAY_GOSSIP_MESSAGE_H
#define MOORTACK_RELAY_GOSSIP_MESSAGE_H

#include <sodium.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GOSSIP_MESSAGE_PARTS_MAX 6
#define GOSSIP_MESSAGE_DIGESTS_MAX 5
#define GOSSIP_MESSAGE_CRASHES_MAX 3
/** Maximum size of a datagram's payload, in bytes. */
#define GOSSIP_DATAGRAM_MAX 96

typedef enum gossip_kind {
	GOSSIP_PROMPT_SENT, /**< a prompt was sent to the endpoint */
	GOSSIP_QUERY,	    /**< requests the endpoint's queue wait and cached
			       prefixes */
	GOSSIP_RESPONSE,
	GOSSIP_CRASH, /**< the endpoint crashed while these requests ran */
	GOSSIP_QUARANTINED, /**< the request is quarantined: it is refused */
	GOSSIP_CLEARED,	    /**< the request ran without a crash */
	GOSSIP_RATE_LIMIT,  /**< the endpoint has named a rate limit, or none */
	GOSSIP_REACH_QUERY, /**< asks whether the daemon reaches the endpoints
			       of a service */
	GOSSIP_REACH_REPORT, /**< the response */
	GOSSIP_BRITTLE,	     /**< an endpoint of the service has said that it is
				brittle */
	GOSSIP_KIND_COUNT
} gossip_kind_t;

typedef struct gossip_message {
	gossip_kind_t kind;
	uint32_t endpoint_hash; /**< short hash of the endpoint's incarnation */
	uint32_t query_id;	/**< of a query; its response repeats it */
	uint32_t prefill_ms;	/**< prompt sent: expected prefill time */
	uint32_t queue_wait_ms; /**< response: until the endpoint starts to
				   prefill another prompt */
	uint32_t cached_prefixes; /**< response: number of the query's leading
				     parts that the endpoint has cached */
	bool listed; /**< response: by what the endpoint itself lists */
	uint32_t parts[GOSSIP_MESSAGE_PARTS_MAX]; /**< hashes of the leading
						     parts, which other prompts
						     share; see part_hash() */
	size_t parts_len;
	uint64_t
	    digests[GOSSIP_MESSAGE_DIGESTS_MAX]; /**< see request_digest() */
	size_t digests_len;
	uint32_t version_hash; /**< crash, quarantined: hash of the service and
				  version */
	uint32_t
	    crashes[GOSSIP_MESSAGE_CRASHES_MAX]; /**< quarantined: hashes of the
						    incarnations that crashed */
	size_t crashes_len;
	uint32_t age_ms; /**< crash: time since then; quarantined: for how long
			    already */
	bool rate_limited;     /**< rate limit: there is one */
	uint32_t rate_milli;   /**< rate limit: requests in 1,000 s; brittle:
				  refusals */
	uint32_t service_hash; /**< reach query, report, brittle: of the
				  service's name */
	bool reaches;	       /**< reach report: see helper_report_t */
	uint32_t contact_age_ms;
	uint32_t load;
	uint32_t price_milli; /**< response: the endpoint's price in
				 thousandths; 0: unknown */
	uint64_t noticed_ms; /**< rate limit, brittle: see rate_report_t; by the
				store's clock */
} gossip_message_t;

/** All daemons derive it from the fleet's secret. */
typedef struct gossip_key {
	uint8_t bytes[crypto_aead_chacha20poly1305_ietf_KEYBYTES];
} gossip_key_t;

void gossip_key_derive(gossip_key_t *, const char *fleet_secret);

/** @param out GOSSIP_DATAGRAM_MAX bytes
 * @return how many are used */
size_t gossip_message_seal(
    const gossip_message_t *, const gossip_key_t *, uint8_t *out);
/** @return false: it is not from a daemon of this fleet, or not a message */
bool gossip_message_open(
    gossip_message_t *, const gossip_key_t *, const uint8_t *bytes, size_t len);

#endif
