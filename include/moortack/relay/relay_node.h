/**
 * @file
 * A relaying daemon, composed from its ports: its copy of the store's rows, the
 * relay itself, its membership in the fleet, and its shutdown.
 */
#ifndef MOORTACK_RELAY_RELAY_NODE_H
#define MOORTACK_RELAY_RELAY_NODE_H

#include "common/suspend_watch.h"
#include "moortack/duty/duties.h"
#include "moortack/relay/relay.h"
#include "moortack/relay/row_refusals.h"
#include "moortack/replication/row_source.h"

/** Tables and keys of the operator's and the endpoints' rows, and their
 * decoders. A decoder that returns false or NULL has set the error. */
typedef struct row_dialect {
	const char *operator_table;
	const char *config_key;	       /**< in the operator's table */
	const char *rollout_prefix;    /**< of keys in the operator's table */
	const char *evacuation_prefix; /**< the same; the zone's name follows */
	const char *endpoints_table;
	/** @param previous the current configuration, whose unchanged routes
	 * are shared; may be NULL */
	relay_config_t *(*decode_config)(const char *text, size_t len,
	    const relay_config_t *previous, err_t *);
	bool (*decode_endpoint)(const char *id, const char *text, size_t len,
	    endpoint_info_t *, err_t *);
	bool (*decode_rollout_order)(const char *text, size_t len,
	    uint64_t number, rollout_order_t *, err_t *);
	/** Whether the key of an evacuation ends with a valid name of a zone.
	 * @param zone the key without its prefix */
	bool (*check_evacuation_zone)(const char *zone, err_t *);
	/** Encodes what decode_endpoint() has read, so that daemons keep and
	 * send no more than that, and equal endpoints have equal values.
	 * NULL: rows are kept and sent as they are.
	 * @param size of the text; ENDPOINT_TEXT_SIZE
	 * @return its length, 0: it does not fit */
	size_t (*encode_endpoint)(
	    const endpoint_info_t *, char *text, size_t size);
	/** Whether two values of an endpoint's row differ only in what does not
	 * matter, such as the heartbeat. */
	bool (*endpoint_unchanged)(
	    const char *a, size_t a_len, const char *b, size_t b_len);
} row_dialect_t;

/** The ports of a node, which have to outlive it. */
typedef struct relay_ports {
	struct event_base *base;
	const clock_source_t *clock;
	rng_t *rng;
	row_store_t *store;
	const row_dialect_t *row_dialect;
	const caller_dialect_t *caller_dialect;
	const endpoint_dialect_t *endpoint_dialect;
	const rollout_status_encoder_t *rollout_status_encoder;
	duty_api_t *duty_api; /**< NULL: there are no duties */
	const contents_dialect_t *contents_dialect; /**< NULL: endpoints have no
						       such calls */
} relay_ports_t;

/** The region in which a zone is. */
typedef struct zone_region {
	const char *zone;
	const char *region;
} zone_region_t;

/** Settings; relay_node_reload() lists those that may change later. */
typedef struct relay_node_settings {
	http_address_t listen;
	http_address_t forward_listen; /**< where other daemons send requests
					  on; port 0: nowhere */
	char name[MEMBER_NAME_SIZE];   /**< own address for callers */
	char zone[MEMBER_NAME_SIZE];
	char peer_address[MEMBER_NAME_SIZE]; /**< own address for other daemons
					      */
	const zone_region_t *zone_regions;   /**< only read during the call */
	size_t zone_regions_len;
	double strength; /**< of the VM, in cores */
	relay_bounds_t bounds;
	int64_t operator_poll_wait_ms;	  /**< the store may hold a poll of the
					     operator's table this long */
	int64_t endpoints_poll_pause_ms;  /**< between a response and the next
					     poll */
	int64_t operator_rows_max_age_ms; /**< older rows are outdated: other
					     ways to get them are tried */
	int64_t
	    endpoint_rows_max_age_ms; /**< the same for the rows of endpoints */
	int64_t lapsed_keep_ms;	   /**< after an outage, endpoints whose entries
				      were removed in it are kept this long */
	int64_t session_window_ms; /**< requests of a session closer than this
				      belong together */
	int64_t grace_ms; /**< between the order to stop and the kill of the
			     process */
	int64_t down_listed_max_ms; /**< callers may be sent to a daemon that is
				       down for this long */
	duties_settings_t duties;   /**< vm and process are filled in */
	char source_address[INET_ADDRSTRLEN]; /**< of connections to endpoints;
						 "": the system chooses */
	double log_lines_per_s;
	bool bootstrap;	      /**< no daemon of the fleet has ever run */
	bool follow_contents; /**< of the caches of owned endpoints */
} relay_node_settings_t;

typedef struct relay_node {
	relay_ports_t ports;
	relay_node_settings_t settings;
	event_log_t log;
	work_meter_t meter;
	endpoint_set_t endpoints;
	membership_t members;
	rollouts_t rollouts;
	relay_t relay;
	row_sync_t row_sync;
	gossip_t gossip;
	duties_t duties;
	row_refusals_t refusals;
	struct timespec store_available_at; /**< end of the last outage, or
					       restore, of the store */
	bool keep_lapsed;	 /**< entries of endpoints may have been removed
				    because of an outage: they are kept as lapsed */
	bool endpoint_rows_read; /**< all rows of endpoints were read once */
	bool member_rows_read;	 /**< the rows of all daemons were read once */
	uint64_t store_era; /**< latest one known; the store starts a new one
			       when it is restored from an older copy */
	uint64_t rows_kept; /**< number of rows that were kept although a
			       restored copy of the store has an older state */
	struct event *tick_timer;
	suspend_watch_t suspend_watch;
	uint64_t suspensions; /**< of the VM; number of them */
	struct timespec report_sent_at;
	uint64_t
	    calls_logged; /**< calls to the store, as of the last line logged */
	struct timespec calls_logged_at;
	struct timespec leaving_since;
	bool leaving;
	void (*on_stopped)(void *arg); /**< called when the process may exit */
	void *on_stopped_arg;
} relay_node_t;

/** Compose the node, listen for callers, and start to read rows.
 * @return false with @p err set; the process has to exit then */
bool relay_node_init(relay_node_t *, const relay_ports_t *,
    const relay_node_settings_t *, err_t *);
void relay_node_finish(relay_node_t *);

/** Apply the settings that may change while the node runs: bounds,
 * zone_regions, endpoints_poll_pause_ms, endpoint_rows_max_age_ms, grace_ms and
 * down_listed_max_ms. The others are ignored. */
void relay_node_reload(relay_node_t *, const relay_node_settings_t *);

/** Start a graceful shutdown: the relay stops accepting work step by step, and
 * requests in flight may complete within the grace time.
 * @param on_stopped called once, when the process may exit */
void
relay_node_shut_down(relay_node_t *, void (*on_stopped)(void *), void *arg);

/** Whether the node can serve callers' requests and is not shutting down. */
bool relay_node_ready(const relay_node_t *);

#endif
