/**
 * @file
 * The settings of a daemon, as checked values.
 */
#ifndef MOORTACK_OPTIONS_H
#define MOORTACK_OPTIONS_H

#include <stdint.h>

#include "common/settings.h"

typedef struct options {
	char listen[SETTING_TEXT_SIZE];
	char peer_listen[SETTING_TEXT_SIZE];
	char peer_advertise[SETTING_TEXT_SIZE];
	char place[SETTING_TEXT_SIZE];
	char store[SETTING_TEXT_SIZE];
	char vm_list[SETTING_TEXT_SIZE];
	char rating[SETTING_TEXT_SIZE];
	char tls_cert[SETTING_TEXT_SIZE];
	char tls_key[SETTING_TEXT_SIZE];
	char operators[SETTING_TEXT_SIZE];
	char token_keys[SETTING_TEXT_SIZE];
	char peer_key[SETTING_TEXT_SIZE];
	int64_t log_level;
	int64_t head_ms;      /**< between reads of the store's head */
	int64_t heartbeat_ms; /**< between heartbeats to a peer */
	int64_t fresh_ms;     /**< how long proof of freshness is valid */
	int64_t outage_ms;    /**< how long peers may confirm freshness in an
				 outage of the store */
	int64_t dead_ms;      /**< time without a message after which a peer is
				 removed */
	int64_t store_timeout_ms;
	int64_t load_ms;       /**< between rounds of reading load reports */
	int64_t load_reads;    /**< load reports read in a round */
	int64_t list_ms;       /**< between reads of the VM list */
	int64_t rating_ms;     /**< between reads of ratings */
	int64_t rate_percent;  /**< share of responses sent to be rated */
	int64_t slow_first_ms; /**< a later first token counts as bad */
	int64_t flush_ms;
	int64_t held_ms;
	int64_t bills_max;
	int64_t tickets_max;
	int64_t ticket_ttl_ms;
	int64_t session_ttl_ms;
	int64_t entries_ttl_ms;
	int64_t exchanges_max;
	int64_t waiting_max;
	int64_t cutoff_ms;
	int64_t deadline_ms; /**< of a request that sets none */
	int64_t upstream_idle_ms;
	int64_t drain_ms; /**< to finish after SIGTERM */
	int64_t orders_lease_ms;
	int64_t lease_ms; /**< of a deferred request */
	int64_t body_max;
	int64_t memory_mb; /**< of the VM */
	int64_t retry_percent;
	int64_t guard;
	int64_t guard_limit;
} options_t;

#endif
