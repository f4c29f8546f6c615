/**
 * @file
 * A whole relaying daemon, put together from ports: what it follows in the
 * store, the relay itself, its membership, and how it leaves.
 */
#ifndef MOORTACK_RELAY_RELAY_NODE_H
#define MOORTACK_RELAY_RELAY_NODE_H

#include "common/suspend_watch.h"
#include "moortack/relay/relay.h"
#include "moortack/relay/row_refusals.h"
#include "moortack/replication/row_sync.h"

/** Where the operator's and the endpoints' rows stand, and how they read. */
typedef struct row_dialect {
	const char *operator_table;
	const char *config_key;	       /**< in the orders' table */
	const char *rollout_prefix;    /**< of keys in the orders' table */
	const char *evacuation_prefix; /**< the same; a zone follows */
	const char *endpoints_table;
	/** @param before in force until now; may be NULL */
	relay_config_t *(*decode_config)(const char *text, size_t len,
	    const relay_config_t *previous, err_t *);
	bool (*decode_endpoint)(const char *id, const char *text, size_t len,
	    endpoint_info_t *, err_t *);
	bool (*decode_rollout_order)(const char *text, size_t len,
	    uint64_t number, rollout_order_t *, err_t *);
	/** Whether the rest of the key of an evacuation is a zone's name. */
	bool (*check_evacuation_zone)(const char *zone, err_t *);
	/** Whether two entries of an endpoint differ in nothing of weight. */
	bool (*endpoint_unchanged)(
	    const char *a, size_t a_len, const char *b, size_t b_len);
} row_dialect_t;

/** The ports of a node. */
typedef struct relay_ports {
	struct event_base *base;
	const clock_source_t *clock;
	rng_t *rng;
	row_store_t *store;
	const row_dialect_t *row_dialect;
	const caller_dialect_t *caller_dialect;
	const endpoint_dialect_t *endpoint_dialect;
	const rollout_status_encoder_t *rollout_status_encoder;
} relay_ports_t;

typedef struct zone_region {
	const char *zone;
	const char *region;
} zone_region_t;

typedef struct relay_node_settings {
	http_address_t listen;
	char name[MEMBER_NAME_SIZE]; /**< own address as callers use it */
	char zone[MEMBER_NAME_SIZE];
	char peer_address[MEMBER_NAME_SIZE]; /**< own address for other daemons
					      */
	const zone_region_t *zone_regions;   /**< not kept after the call */
	size_t zone_regions_len;
	double strength; /**< of the VM: cores */
	relay_bounds_t bounds;
	int64_t operator_poll_wait_ms; /**< a question may be held this long */
	int64_t endpoints_poll_pause_ms;  /**< between questions */
	int64_t operator_rows_max_age_ms; /**< rows older than this are asked
					     for elsewhere */
	int64_t endpoint_rows_max_age_ms; /**< the same for rows of endpoints */
	int64_t
	    lapsed_keep_ms; /**< entries that went in an outage may come back */
	int64_t session_window_ms; /**< requests of a session that belong
				      together */
	int64_t grace_ms; /**< between the order to stop and the kill */
	int64_t
	    down_listed_max_ms; /**< a daemon that is off may be named this long
				 */
	double log_lines_per_s;
	bool bootstrap; /**< no daemon has ever run before */
} relay_node_settings_t;

typedef struct relay_node {
	relay_ports_t ports;
	relay_node_settings_t settings;
	event_log_t log;
	endpoint_set_t endpoints;
	membership_t members;
	rollouts_t rollouts;
	relay_t relay;
	row_sync_t row_sync;
	gossip_t gossip;
	row_refusals_t refusals;
	struct timespec
	    store_available_at; /**< when the store answered again */
	bool keep_lapsed;	/**< entries may have gone in an outage */
	bool member_rows_read;	/**< the rows of the daemons, once */
	uint64_t store_era;	/**< of the store, as last read */
	uint64_t rows_kept;	/**< that an older copy had otherwise */
	struct event *tick_timer;
	suspend_watch_t suspend_watch;
	uint64_t suspensions; /**< of the VM, noticed */
	struct timespec report_sent_at;
	uint64_t calls_logged; /**< to the store, in the last line of them */
	struct timespec calls_logged_at;
	struct timespec leaving_since;
	bool leaving;
	void (*on_stopped)(void *arg); /**< told when the node may exit */
	void *on_stopped_arg;
} relay_node_t;

bool relay_node_init(relay_node_t *, const relay_ports_t *,
    const relay_node_settings_t *, err_t *);
void relay_node_finish(relay_node_t *);

/** Take over settings that may change while it runs. */
void relay_node_reload(relay_node_t *, const relay_node_settings_t *);

/** Stop in good order. @param gone called when all is done */
void
relay_node_shut_down(relay_node_t *, void (*on_stopped)(void *), void *arg);

bool relay_node_ready(const relay_node_t *);

#endif
