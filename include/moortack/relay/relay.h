/**
 * @file
 * The relay: takes opaque requests of callers, and passes each on to an
 * endpoint of its route under what the configuration in force allows.
 */
#ifndef MOORTACK_RELAY_RELAY_H
#define MOORTACK_RELAY_RELAY_H

#include <event2/event.h>

#include "common/event_log.h"
#include "common/http_inbound.h"
#include "common/rng.h"
#include "moortack/relay/dialect.h"
#include "moortack/relay/first_try.h"
#include "moortack/relay/gossip.h"
#include "moortack/relay/model_record.h"
#include "moortack/relay/prefill_rate.h"
#include "moortack/relay/prefix_memory.h"
#include "moortack/relay/relay_config.h"
#include "moortack/relay/relay_quarantine.h"
#include "moortack/relay/relay_stats.h"
#include "moortack/relay/retry_share.h"
#include "moortack/relay/rollouts.h"
#include "moortack/relay/warmup_share.h"
#include "moortack/replication/membership.h"
#include "moortack/replication/row_watch.h"

/** Bounds that the deployment sets. */
typedef struct relay_bounds {
	int64_t key_max_age_ms;	 /**< the configuration's age at which requests
				  with a key stop */
	int64_t config_stale_ms; /**< its age at which nothing is denied: what
			    isn't known may be new */
	retry_bounds_t retries;
	warmup_bounds_t warmup;
	uint32_t body_buffer_max;   /**< bytes of an answer kept before it is
			       passed on */
	uint32_t requests_max;	    /**< under way at the same time */
	int64_t silence_timeout_ms; /**< an endpoint's connection that is silent
			       for longer is given up */
	int64_t reused_silence_timeout_ms; /**< the same while a request that
				     may be repeated is sent on a kept one */
} relay_bounds_t;

typedef struct relay_request relay_request_t;

/** What is known of a model of a service. */
typedef struct service_model {
	uint64_t name_hash; /**< hash of it */
	model_record_t record;
	prefill_rate_t prefill_rate;
} service_model_t;

/** What is counted for each service. */
typedef struct service_state {
	char service[ENDPOINT_NAME_SIZE];
	retry_share_t retry_share;
	service_model_t models[MODELS_MAX];
	size_t models_len;
	UT_hash_handle hh;
} service_state_t;

/** What is known of the callers of a route. */
typedef struct route_callers {
	char *route; /**< its name */
	first_try_t retry_age;
	UT_hash_handle hh;
} route_callers_t;

struct relay {
	struct event_base *base;
	const clock_source_t *clock;
	rng_t *rng;
	event_log_t *log;
	const caller_dialect_t *caller_dialect;
	const endpoint_dialect_t *endpoint_dialect;
	endpoint_set_t *endpoints;
	membership_t *members;
	gossip_t *gossip; /**< of other daemons' sends */
	rollouts_t *rollouts;
	const row_watch_t *config_watch; /**< how old the configuration is */
	const row_watch_t *endpoint_watch;
	char zone[ENDPOINT_NAME_SIZE];
	relay_bounds_t bounds;
	relay_config_t *config; /**< NULL: none yet */
	relay_stats_t stats;
	service_state_t *service_states;
	route_callers_t *route_callers;
	prefix_memory_t prefix_index; /**< what endpoints were sent */
	http_inbound_server_t *server;
	relay_request_t *requests;
	uint32_t in_flight;
	uint32_t daemons_max_seen;  /**< seen; shares of bounds are cut by it */
	bool accepting;		    /**< new connections are taken */
	struct timespec started_at; /**< since when it listens */
	uint32_t last_query_number; /**< number of the last one */
	bool refusing_streams;	    /**< new streams are sent elsewhere */
	relay_quarantine_t quarantine;
	warmup_daemons_t warmup_daemons;
};

bool relay_init(relay_t *, const http_address_t *listen, err_t *);
void relay_finish(relay_t *);

/** Put a configuration in force; its reference is taken over. An older one
 * than that in force is dropped. */
void relay_configure(relay_t *, relay_config_t *);

/** Take new connections as soon as enough is known to serve, and before long in
 * any case: who comes a moment too early after a restart is served, not
 * refused. Called at each change of what is known, and a few times a second. */
void relay_accept_when_ready(relay_t *);

/** The endpoint's process has ended, and another one goes by its id: what was
 * sent to it gets no answer beyond what is on the way already. */
void relay_endpoint_restarted(relay_t *, const endpoint_t *);

/** The VM was suspended, and timers did not run: the time limits of requests
 * are those of their callers, who waited. */
void relay_vm_resumed(relay_t *);

/** Whether enough is known to serve. */
bool relay_ready(const relay_t *);

/** Remember the sessions whose requests are under way: a roll-out does not move
 * them. */
void relay_sessions_record(const relay_t *);

/** Tell the guards of roll-outs which answers are overdue; called a few times a
 * second. */
void relay_guard_look(relay_t *);

/** Requests under way at endpoints that a roll-out replaces; the argument is a
 * relay. */
uint32_t relay_old_version_in_flight(const void *relay, const rollout_t *);
/** The version of a service that most of its endpoints had at first. */
const char *relay_group_base_version(const void *relay, const char *service);

/** What other daemons tell and ask of prompts; the argument is a relay. */
extern const gossip_ops_t relay_gossip_ops;

/** Number of endpoints that are cold. */
uint32_t relay_cold_endpoints(const relay_t *);

/** Update the daemons among which the quotas of cold endpoints are divided;
 * called a few times a second.
 * @param first_read the daemons' rows were just read for the first time */
void relay_warmup_tick(relay_t *, bool first_read);

/** Take no new streams, and close connections behind their answers. */
void relay_drain(relay_t *);

#endif
