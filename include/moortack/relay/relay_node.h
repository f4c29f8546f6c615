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
#include "moortack/replication/row_source.h"

/** Where the operator's and the endpoints' rows stand, and how they read. */
typedef struct source_dialect {
	const char *orders_table;
	const char *config_key;	       /**< in the orders' table */
	const char *rollout_prefix;    /**< of keys in the orders' table */
	const char *evacuation_prefix; /**< the same; a zone follows */
	const char *endpoints_table;
	/** @param before in force until now; may be NULL */
	relay_config_t *(*config)(const char *text, size_t len,
	    const relay_config_t *before, err_t *);
	bool (*endpoint)(const char *id, const char *text, size_t len,
	    endpoint_info_t *, err_t *);
	bool (*order)(const char *text, size_t len, uint64_t number,
	    rollout_order_t *, err_t *);
	/** Whether the rest of the key of an evacuation is a zone's name. */
	bool (*evacuation_check)(const char *zone, err_t *);
	/** Whether two entries of an endpoint differ in nothing of weight. */
	bool (*endpoint_same)(
	    const char *a, size_t a_len, const char *b, size_t b_len);
} source_dialect_t;

/** The ports of a node. */
typedef struct relay_ports {
	struct event_base *base;
	const clock_source_t *clock;
	rng_t *rng;
	row_store_t *store;
	const source_dialect_t *sources;
	const caller_dialect_t *callers;
	const endpoint_dialect_t *endpoints;
	const rollout_status_encoder_t *rollouts;
} relay_ports_t;

typedef struct zone_region {
	const char *zone;
	const char *region;
} zone_region_t;

typedef struct relay_node_settings {
	http_address_t listen;
	char name[MEMBER_NAME_SIZE]; /**< own address as callers use it */
	char zone[MEMBER_NAME_SIZE];
	char peer[MEMBER_NAME_SIZE]; /**< own address for other daemons */
	const zone_region_t *zones;  /**< not kept after the call */
	size_t zones_len;
	double strength; /**< of the VM: cores */
	relay_bounds_t bounds;
	int64_t config_wait_ms;	    /**< a question may be held this long */
	int64_t endpoints_pause_ms; /**< between questions */
	int64_t old_ms; /**< rows older than this are asked for elsewhere */
	int64_t endpoints_old_ms; /**< the same for rows of endpoints */
	int64_t lapse_ms;   /**< entries that went in an outage may come back */
	int64_t session_ms; /**< requests of a session that belong together */
	int64_t grace_ms;   /**< between the order to stop and the kill */
	int64_t off_named_ms; /**< a daemon that is off may be named this long
			       */
	double log_per_s;
	bool first_start; /**< no daemon has ever run before */
} relay_node_settings_t;

typedef struct relay_node {
	relay_ports_t ports;
	relay_node_settings_t settings;
	event_log_t log;
	endpoint_set_t endpoints;
	membership_t members;
	rollouts_t rollouts;
	relay_t relay;
	row_sync_t source;
	gossip_t gossip;
	row_refusals_t refusals;
	struct timespec store_back; /**< when the store answered again */
	bool lapses;		    /**< entries may have gone in an outage */
	bool members_read;	    /**< the rows of the daemons, once */
	uint64_t era;		    /**< of the store, as last read */
	uint64_t rows_kept;	    /**< that an older copy had otherwise */
	struct event *tick;
	suspend_watch_t suspended;
	uint64_t suspensions; /**< of the VM, noticed */
	struct timespec reported;
	uint64_t calls_told; /**< to the store, in the last line of them */
	struct timespec calls_told_at;
	struct timespec leaving_since;
	bool leaving;
	void (*gone)(void *arg); /**< told when the node may exit */
	void *gone_arg;
} relay_node_t;

bool relay_node_init(relay_node_t *, const relay_ports_t *,
    const relay_node_settings_t *, err_t *);
void relay_node_finish(relay_node_t *);

/** Take over settings that may change while it runs. */
void relay_node_reload(relay_node_t *, const relay_node_settings_t *);

/** Stop in good order. @param gone called when all is done */
void relay_node_leave(relay_node_t *, void (*gone)(void *), void *arg);

bool relay_node_ready(const relay_node_t *);

#endif
