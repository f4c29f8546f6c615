/**
 * @file
 * The relay: accepts callers' requests, whose bodies it does not interpret, and
 * forwards each to an endpoint of its route if the current configuration
 * permits it.
 */
#ifndef MOORTACK_RELAY_RELAY_H
#define MOORTACK_RELAY_RELAY_H

#include <event2/event.h>

#include "common/event_log.h"
#include "common/http_inbound.h"
#include "common/rng.h"
#include "moortack/duty/duties.h"
#include "moortack/reach/forward_head.h"
#include "moortack/relay/completion.h"
#include "moortack/relay/descriptor_shares.h"
#include "moortack/relay/dialect.h"
#include "moortack/relay/first_try.h"
#include "moortack/relay/gossip.h"
#include "moortack/relay/model_record.h"
#include "moortack/relay/prefill_rate.h"
#include "moortack/relay/prefix_index.h"
#include "moortack/relay/relay_config.h"
#include "moortack/relay/relay_contents.h"
#include "moortack/relay/relay_quarantine.h"
#include "moortack/relay/relay_stats.h"
#include "moortack/relay/request_duration.h"
#include "moortack/relay/retry_share.h"
#include "moortack/relay/rollouts.h"
#include "moortack/relay/warmup_share.h"
#include "moortack/replication/membership.h"
#include "moortack/replication/row_watch.h"
#include "moortack/scheduling/price.h"
#include "moortack/scheduling/wait_queue.h"

/** Limits set by the deployment. */
typedef struct relay_bounds {
	int64_t key_max_age_ms;	 /**< requests with a key are refused while the
				    configuration is older */
	int64_t config_stale_ms; /**< with an older configuration, an unknown
				    route or key is reported as
				    ERR_CONFIG_STALE: it may be new */
	retry_bounds_t retries;
	warmup_bounds_t warmup;
	double exposure_max;	    /**< part of the requests in the time of a
				       roll-out that a bad version may get */
	double exposure_tolerance;  /**< requests that it may get besides */
	uint32_t body_buffer_max;   /**< bytes of a response that are buffered
				       before it is forwarded */
	uint32_t requests_max;	    /**< in flight at the same time */
	uint32_t descriptors_max;   /**< of the process; 0: not known */
	size_t inbound_bytes_max;   /**< that all callers' connections may hold
				       together; 0: no limit */
	int64_t silence_timeout_ms; /**< an endpoint's connection is closed
				       after this long without data */
	int64_t reused_silence_timeout_ms; /**< the same for a reused connection
					      with an idempotent request */
	bool admission;	      /**< requests to crowded services wait or are
				 refused */
	uint32_t waiting_max; /**< requests that wait for one service */
} relay_bounds_t;

typedef struct relay_request relay_request_t;
typedef struct reach_probe reach_probe_t;

/** Statistics of one model of a service. */
typedef struct service_model {
	uint64_t name_hash;
	model_stats_t record;
	prefill_rate_t prefill_rate;
	decode_rate_t decode_rate;
} service_model_t;

/** Zones of a service whose prices are kept. */
#define PRICE_ZONES_MAX 8

/** Price of a service's endpoints in one zone. */
typedef struct zone_price {
	uint64_t zone_hash; /**< of the zone's name */
	price_t price;
} zone_price_t;

/** Retry budget, model statistics, prices and admission of one service. */
typedef struct service_state {
	relay_t *relay;
	char service[ENDPOINT_NAME_SIZE];
	retry_share_t retry_share;
	uint32_t retries_made;	   /**< since retries_logged_at */
	uint32_t retries_denied;   /**< since retries_logged_at */
	uint32_t retries_reserved; /**< not available since then, as the rest is
				      reserved for failures */
	struct timespec retries_logged_at; /**< last line of the log; 0: none */
	service_model_t models[MODELS_MAX];
	size_t models_len;
	zone_price_t zone_prices[PRICE_ZONES_MAX];
	service_admission_t admission;
	wait_queue_t wait_queue;
	struct event *wait_timer; /**< sends and refuses requests that wait;
				     NULL: none has waited so far */
	int64_t armed_ms;	  /**< when that was set last */
	int64_t capacity_at_ms;	  /**< when the capacity was computed; 0: not
				     yet */
	double prompt_share;	  /**< of its requests have a prompt */
	double prefill_full_ms;	  /**< of its latest prompts, nothing cached */
	double prefill_uncached_ms; /**< of the same, where they were sent */
	bool service_measured; /**< without a wait; until then it is estimated
				*/
	bool crowded_logged;
	int64_t crowded_logged_ms; /**< last line of the log; 0: none */
	UT_hash_handle hh;
} service_state_t;

/** Estimates of how long ago the callers of a route first tried, and of how
 * long its requests take. */
typedef struct route_callers {
	char *route; /**< name of the route */
	retry_age_t retry_age;
	request_duration_t duration;
	UT_hash_handle hh;
} route_callers_t;

/** Shares of rate limits that were computed in one slot. */
typedef struct rate_computations {
	int64_t slot;
	uint32_t count;
} rate_computations_t;

struct relay {
	struct event_base *base;
	const clock_source_t *clock;
	rng_t *rng;
	event_log_t *log;
	work_meter_t *meter; /**< NULL: none */
	const caller_dialect_t *caller_dialect;
	const endpoint_dialect_t *endpoint_dialect;
	endpoint_set_t *endpoints;
	membership_t *members;
	gossip_t *gossip; /**< prompts that other daemons sent */
	rollouts_t *rollouts;
	duties_t *duties;
	const row_watch_t *config_watch;   /**< for the configuration's age */
	const row_watch_t *endpoint_watch; /**< and the endpoints' */
	char zone[ENDPOINT_NAME_SIZE];
	relay_bounds_t bounds;
	relay_config_t *config; /**< NULL: none received yet */
	bool config_outdated;	/**< a later configuration could not be read, so
				   that the one before it is still in force */
	struct timespec config_current_at; /**< last time at which the one in
					      force was known to be the latest,
					      if it is outdated */
	relay_stats_t stats;
	service_state_t *service_states;
	route_callers_t *route_callers;
	prefix_index_t prefix_index;	 /**< prompts sent to endpoints */
	relay_contents_t contents;	 /**< what endpoints report to keep */
	inbound_budget_t inbound_budget; /**< of all listeners */
	descriptor_shares_t shares;
	http_inbound_server_t *server;
	relay_request_t *requests; /**< in flight, a linked list */
	uint32_t in_flight;
	uint32_t daemons_max_seen;  /**< largest number of daemons seen;
				       fleet-wide limits are divided by it */
	bool accepting;		    /**< new connections are accepted */
	bool draining;		    /**< the daemon leaves: nothing waits */
	struct timespec started_at; /**< when it began to listen */
	uint32_t last_query_number; /**< of owner_query_t */
	/** If it leaves: from when on requests that might not be answered
	 * before the end of the process are refused, and that end. */
	struct timespec certain_from, stops_at;
	relay_quarantine_t quarantine;
	warmup_daemons_t warmup_daemons;
	rate_computations_t rate_computations;
	reach_probe_t *reach_probes; /**< in progress, a linked list */
	forward_key_t forward_key;
	bool has_forward_key;
	uint16_t forward_port; /**< at which daemons accept each other's
				  requests; 0: none are sent on */
	http_inbound_server_t *forward_server; /**< NULL: there is none */
};

/** Listen for callers and other daemons, with one account of what they hold. */
bool relay_inbound_listen(relay_t *, const http_address_t *listen,
    const http_address_t *forward_listen, err_t *);
/** Put the limits of the configuration and of the deployment in force. */
void relay_inbound_limits_set(relay_t *);
void relay_inbound_write_metrics(const relay_t *, struct evbuffer *out);

/** Listen and initialise what the owner did not fill in.
 * @param forward_listen where other daemons send requests on; port 0: nowhere
 * @return false with @p err set: cannot listen, or out of memory */
bool relay_init(relay_t *, const http_address_t *listen,
    const http_address_t *forward_listen, err_t *);
/** Abort all requests and free what relay_init() allocated. */
void relay_finish(relay_t *);

/** Make a configuration the current one, and take over the caller's reference.
 * One that is not newer than the current one is released instead. */
void relay_configure(relay_t *, relay_config_t *);
/** The latest configuration could not be read: from now on the age of the
 * current one grows until relay_configure() gets one that is not older. */
void relay_config_mark_outdated(relay_t *);
/** Milliseconds since the current configuration was known to be the latest;
 * INT64_MAX: it never was. */
int64_t relay_config_age_ms(const relay_t *);

/** Accept connections once the daemon is ready to serve, or at the latest after
 * a bounded delay. Until then connections wait in the kernel, so that callers
 * that connect right after a restart are served instead of refused. Called when
 * new rows arrive, and a few times a second. */
void relay_accept_when_ready(relay_t *);

/** The endpoint's process has ended, and a new one has taken over its id:
 * requests sent to the old process get no response data beyond what is already
 * in transit. */
void relay_endpoint_restarted(relay_t *, const endpoint_t *);

/** The VM was suspended, and timers did not run: restart the time limits of all
 * requests with what is left for their callers, who kept waiting. */
void relay_vm_resumed(relay_t *);

/** Whether requests can be served that need no key: all that is known of
 * routes, endpoints and roll-outs is there, but may be outdated. */
bool relay_can_serve(const relay_t *);
/** Whether the configuration, endpoints and states of roll-outs are known and
 * recent enough to serve requests. */
bool relay_ready(const relay_t *);

/** Record the sessions whose requests are in flight at an old version: a
 * roll-out does not move them. */
void relay_sessions_record(const relay_t *);

/** Report overdue responses to the canary analysis of roll-outs; called a few
 * times a second. */
void relay_canary_check_overdue(relay_t *);

/** Number of requests in flight at endpoints that a roll-out replaces.
 * @param relay a relay_t
 * @param route hash of a route's name; 0: of all routes */
uint32_t relay_old_version_in_flight(
    const void *relay, const rollout_t *, uint64_t route);
/** Slots of an endpoint of a roll-out's new version; 0: none is known.
 * @param relay a relay_t */
uint32_t relay_new_version_slots(const void *relay, const rollout_t *);
/** Add requests at the new version that were sent before this time and still
 * wait for what the canary analysis observes. */
void relay_new_version_waiting(const void *relay, const rollout_t *,
    struct timespec sent_before, canary_cohort_t *sum);
/** Whether all endpoints of the new version are in one group. */
bool relay_new_version_is_one_group(const void *relay, const rollout_t *);

/** See rollouts_t.replaced_version.
 * @param relay a relay_t */
const char *relay_group_replaced_version(
    const void *relay, const char *service, const char *new_version);

/** Callbacks for messages of other daemons about prompts and crashes; their
 * argument is a relay_t. */
extern const gossip_ops_t relay_gossip_ops;

/** The fleet's secret is known: requests may be sent on through other daemons,
 * and accepted from them. */
void relay_set_secret(relay_t *, const char *fleet_secret);

/** Probe endpoints that can't be reached, ask other daemons whether they reach
 * them, and give up what was sent on through a daemon that is silent; called a
 * few times a second. */
void relay_reach_tick(relay_t *);

/** Number of services whose endpoints this daemon can't reach. */
uint32_t relay_unreachable_services(const relay_t *);

/** Write the highest price of each service as a metric. */
void relay_price_write_metrics(const relay_t *, struct evbuffer *out);

/** Number of cold endpoints. */
uint32_t relay_cold_endpoints(const relay_t *);

/** Pass each service for which capacity may be ordered.
 * @param source a relay_t */
void
relay_each_capacity_service(void *source, capacity_view_cb_t pass, void *arg);

/** Update the set of daemons among which the quotas of cold endpoints are
 * divided; called a few times a second.
 * @param first_read the daemons' rows were just read for the first time */
void relay_warmup_tick(relay_t *, bool first_read);

/** Close this part, 0 to 1, of the idle connections of callers and of other
 * daemons that send requests on. */
void relay_close_idle(relay_t *, double part);
/** Accept no new connections of either, and close the idle ones. */
void relay_stop_accepting(relay_t *);
/** Whether requests are under way, or responses not yet written to the sockets.
 */
bool relay_has_responses(const relay_t *);
/** Before the process ends: refuse the requests that were not sent, and leave
 * unsent responses to the system. */
void relay_refuse_unsent(relay_t *);

/** Log the services that have become crowded, and those of which that has
 * ended; called a few times a second. */
void relay_admission_tick(relay_t *);
/** Number of requests that wait for a place at an endpoint. */
uint32_t relay_admission_waiting(const relay_t *);
/** Number of crowded services. */
uint32_t relay_admission_crowded(const relay_t *);

/** Close each caller's connection after its next response, and send the
 * requests that wait for a place at an endpoint. From now on requests are
 * refused that can't be expected to end before the process does. */
void
relay_drain(relay_t *, struct timespec certain_from, struct timespec stops_at);

#endif
