/**
 * @file
 * The known endpoints by service: what they report about themselves, the
 * requests that this daemon has in flight there, and its connections to them.
 */
#ifndef MOORTACK_RELAY_ENDPOINT_SET_H
#define MOORTACK_RELAY_ENDPOINT_SET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "common/clock_source.h"
#include "common/http_outbound.h"
#include "moortack/reach/helpers.h"
#include "moortack/reach/reach.h"
#include "moortack/relay/endpoint_restrictions.h"
#include "moortack/relay/prefill_queue.h"
#include "moortack/relay/refusal_limit.h"
#include "moortack/relay/restriction_memory.h"
#include "moortack/relay/zone_table.h"
#include "moortack/rollout/canary_analysis.h"
#include "moortack/scheduling/price.h"

/** Longest name and its terminator: names are keys of rows, which have at most
 * 200 bytes. */
#define ENDPOINT_NAME_SIZE 201
/** Size of an endpoint's row as daemons keep it: its names, of which each byte
 * may take six, and the other fields. */
#define ENDPOINT_TEXT_SIZE (4 * 6 * ENDPOINT_NAME_SIZE + 512)
#define ENDPOINT_SUSPECTED_FAILURES_MAX 8

/** What an endpoint reports about itself; filled in by an endpoint source. */
typedef struct endpoint_info {
	char id[ENDPOINT_NAME_SIZE]; /**< of this incarnation */
	char service[ENDPOINT_NAME_SIZE];
	char zone[ENDPOINT_NAME_SIZE];
	char version[ENDPOINT_NAME_SIZE]; /**< of its software */
	http_address_t address;
	uint32_t slots; /**< requests that it processes concurrently */
	bool leaving;
	bool preemptible; /**< it may be taken back, with all of its zone */
	int64_t warmup_remaining_ms; /**< how long its warm-up after the start
					still takes */
	int64_t started_ms; /**< Unix time of this incarnation's start; 0: not
			       reported. An endpoint may restart under the same
			       id */
} endpoint_info_t;

/** How an entry relates to the incarnation that is known under its id. */
typedef enum incarnation_order {
	INCARNATION_FIRST,   /**< none is known */
	INCARNATION_SAME,    /**< it is of the known incarnation */
	INCARNATION_LATER,   /**< it is of one that started later */
	INCARNATION_EARLIER, /**< it is of one that started earlier, or doesn't
				report its start while the known one did */
} incarnation_order_t;

/** A load report that came with a response. */
typedef struct endpoint_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
} endpoint_load_t;

/** A response that was truncated, which may be due to a crash of the endpoint
 * or to a fault in its version. */
typedef struct suspected_failure {
	canary_observation_t observation;
	struct timespec at;
} suspected_failure_t;

typedef struct endpoint endpoint_t;
typedef struct endpoint_group endpoint_group_t;
typedef struct endpoint_connection endpoint_connection_t;
typedef struct endpoint_set endpoint_set_t;

/** An idle connection. */
struct endpoint_connection {
	endpoint_t *endpoint;
	http_outbound_t *conn;
	struct timespec idle_since;
	int64_t
	    idle_max_ms; /**< the endpoint closes it after about this time */
	endpoint_connection_t *next;
};

struct endpoint {
	endpoint_info_t info;
	endpoint_set_t *set;
	endpoint_group_t *group; /**< NULL: not in the set */
	zone_t *zone;		 /**< where it runs; owned by the set */
	uint32_t refs;		 /**< one of the set and one of each request */
	bool in_set;
	bool lapsed; /**< its entry was removed during an outage of the store */
	endpoint_info_t
	    *earlier_entry; /**< entry of an earlier incarnation that isn't
			       accepted yet; NULL: none */
	struct timespec earlier_entry_at; /**< when it came */
	uint32_t in_flight;		  /**< requests of this daemon */
	uint32_t connections; /**< of this daemon, in use and idle */
	endpoint_connection_t *idle_connections;
	struct timespec
	    idle_closed_at; /**< when it last closed an idle connection */
	endpoint_load_t load;
	struct timespec load_reported_at;
	uint32_t
	    load_reported_in_flight; /**< in_flight at the time of the report */
	bool load_reported;
	prefill_queue_t
	    prefill_queue; /**< prompts that it has still to prefill */
	price_t price;	   /**< from the waits that this daemon sees there */
	uint32_t failures; /**< consecutive */
	struct timespec ejected_until;
	suspected_failure_t suspected_failures[ENDPOINT_SUSPECTED_FAILURES_MAX];
	size_t suspected_failures_len;
	struct timespec cold_until; /**< from the warm-up that it reports, and
				       from failed connections to it */
	int64_t warmup_slot;	    /**< slot of warmup_share_left */
	uint32_t warmup_share_left; /**< requests that this daemon may still
				       send to it in the slot */
	endpoint_restrictions_t restrictions;
	rate_share_t rate_share; /**< if a rate limit is in force */
	refusal_share_t refusal_share;
	struct timespec port_closed_at; /**< when a connection was refused after
					   others had been lost; 0: never */
	struct timespec refused_at; /**< last request of any daemon for want of
				       room, while brittle; 0: none */
	uint32_t unresolved; /**< requests of this daemon, from the choice of
				the endpoint to the head of the response */
	uint64_t hash;	     /**< of the id and the start time */
	uint32_t
	    short_hash;	   /**< lower 32 bits of it, as sent to other daemons */
	UT_hash_handle hh; /**< by id */
	UT_hash_handle hh_short; /**< by short_hash */
};

/** The endpoints of a service. */
struct endpoint_group {
	char service[ENDPOINT_NAME_SIZE];
	endpoint_t **ring; /**< sorted by hash, so that all daemons have the
			      same order */
	size_t len;
	size_t cap;
	uint32_t in_flight;    /**< requests of this daemon at all of them */
	double in_flight_mean; /**< moving average of in_flight over some
				  seconds */
	char base_version[ENDPOINT_NAME_SIZE]; /**< version in force before any
						  order; "": not known yet */
	bool base_proven; /**< all endpoints were read, and after them the
			     orders, of which none is for the service; else it
			     is the version that most endpoints have */
	struct timespec new_alone_since; /**< only endpoints of a version that
					    is being rolled out are known; 0:
					    there are others */
	brittle_notice_t brittle;	 /**< the last one of any of them */
	uint32_t service_hash;		 /**< as other daemons are sent it */
	reach_t reach;			 /**< this daemon's links to them */
	struct timespec
	    unreachable_at; /**< last failure while none can be reached */
	helpers_t helpers;  /**< used while the links are lost */
	struct timespec reach_ask_at;	/**< next queries to other daemons */
	struct timespec reach_probe_at; /**< next probes of endpoints */
	int64_t reach_probe_ms;		/**< between two rounds of probes */
	struct timespec
	    reach_probed_at; /**< last probe for a query of another daemon */
	UT_hash_handle hh;
};

struct endpoint_set {
	const clock_source_t *clock;
	endpoint_t *endpoints;
	endpoint_t *by_short_hash;
	endpoint_group_t *groups;
	zone_table_t zones;
	uint64_t changes;	/**< endpoints added and removed */
	size_t earlier_entries; /**< number of endpoints with an entry of an
				   earlier incarnation */
	restriction_memory_t removed_restrictions; /**< of removed endpoints */
	char source_address[INET_ADDRSTRLEN]; /**< of connections to endpoints;
						 "": the system chooses */
};

/** Endpoints by what is in force for them. */
typedef struct endpoint_counts {
	uint32_t leaving;      /**< by their entry */
	uint32_t draining;     /**< by one of their responses */
	uint32_t backing_off;  /**< want no requests of this daemon */
	uint32_t rate_limited; /**< have named a rate limit */
} endpoint_counts_t;

void endpoint_set_init(endpoint_set_t *, const clock_source_t *);
void endpoint_set_finish(endpoint_set_t *);

/** How an entry relates to the known endpoint, which may be NULL. */
incarnation_order_t
endpoint_compare_incarnation(const endpoint_t *known, const endpoint_info_t *);
/** Applies an endpoint's entry. A later incarnation replaces the known one and
 * all state of it. An entry of an earlier incarnation is stored beside the
 * known one, and stops new requests if it says that the endpoint is leaving.
 * @return the endpoint with that id, or NULL: out of memory */
endpoint_t *endpoint_set_update(endpoint_set_t *, const endpoint_info_t *);
/** Finds an entry of an earlier incarnation that no other entry has
 * contradicted for long enough: the endpoint's clock was set back before it
 * restarted.
 * @return false: there is none */
bool endpoint_set_find_earlier(const endpoint_set_t *, endpoint_info_t *out);
/** Refusals in 1,000 s that it bears; negative: no endpoint of its service is
 * known to be brittle. */
int64_t endpoint_brittle_milli(const endpoint_t *);
/** Whether it is leaving, by its entry or by one of its responses. */
bool endpoint_is_leaving(const endpoint_t *);
/** Milliseconds for which it wants no requests of this daemon; 0: none. */
int64_t endpoint_backoff_ms(const endpoint_t *);
/** Whether it may get new requests: it is not leaving, and its zone is not
 * evacuated. */
bool endpoint_accepts_requests(const endpoint_t *);
/** Requests that this daemon has in flight at the endpoints of a zone. */
uint32_t endpoint_set_zone_in_flight(const endpoint_set_t *, const zone_t *);
/** The same for all evacuated zones. */
uint32_t endpoint_set_evacuated_in_flight(const endpoint_set_t *);
/** Treats the endpoint as cold for at least this long from now. */
void endpoint_mark_cold(endpoint_t *, int64_t ms);
/** Its entry was removed during an outage of the store: the endpoint stays in
 * use for a while. */
void endpoint_mark_lapsed(endpoint_t *);
/** Removes an endpoint from the set; its requests in flight continue. */
void endpoint_set_remove(endpoint_set_t *, endpoint_t *);
endpoint_t *endpoint_set_find(const endpoint_set_t *, const char *id);
endpoint_t *
endpoint_set_find_by_short_hash(const endpoint_set_t *, uint32_t hash);
endpoint_group_t *
endpoint_set_find_group(const endpoint_set_t *, const char *service);

/** Counts the endpoints by what is in force for them. */
endpoint_counts_t endpoint_set_count(const endpoint_set_t *);

/** @return false: out of memory */
bool endpoint_group_add(endpoint_group_t *, endpoint_t *);
void endpoint_group_remove(endpoint_group_t *, const endpoint_t *);
/** Index in the ring of the first endpoint whose hash is not less than this
 * one; the ring's length: there is none. */
size_t endpoint_group_lower_bound(const endpoint_group_t *, uint64_t hash);
/** Sets the base version, if it is not known, to the version that most
 * endpoints of the service have: endpoints of other versions are not used until
 * an order names them. */
void endpoint_group_learn_base_version(endpoint_group_t *);
void endpoint_set_learn_base_versions(endpoint_set_t *);
/** The same, also if it is known, and for good: all endpoints were read, and
 * after them the orders, of which none is for the service. */
void endpoint_group_prove_base_version(endpoint_group_t *);
/** The version that an order for the new version replaces: the base version if
 * it is proven, else the version that most of the other endpoints have.
 * @return "": not known */
const char *
endpoint_group_replaced_version(endpoint_group_t *, const char *new_version);
/** Forgets the base versions that are not proven. */
void endpoint_set_forget_base_versions(endpoint_set_t *);

/** Updates the moving averages of requests in flight; called a few times a
 * second. */
void endpoint_set_sample_in_flight(endpoint_set_t *);

endpoint_t *endpoint_hold(endpoint_t *);
void endpoint_release(endpoint_t *);

/** Starts to connect to the endpoint; see http_outbound_new(). The caller owns
 * the connection. */
http_outbound_t *endpoint_connect(const endpoint_t *, struct event_base *,
    int64_t connect_timeout_ms, int64_t silence_timeout_ms);
/** Takes a connection out of the pool that has been idle for less than its
 * limit and @p max_ms, or NULL; the caller owns it. */
http_outbound_t *endpoint_take_connection(endpoint_t *, int64_t max_ms);
/** Puts a connection into the pool.
 * @param idle_max_ms how long it may stay idle */
void
endpoint_keep_connection(endpoint_t *, http_outbound_t *, int64_t idle_max_ms);

/** Closes all idle connections: a reused one was closed or lost, and the others
 * are likely to be, too. */
void endpoint_close_idle(endpoint_t *);

/** A request of this daemon was sent to it. */
void endpoint_request_started(endpoint_t *);
/** That request has ended there. */
void endpoint_request_ended(endpoint_t *);
void endpoint_record_load(endpoint_t *, const endpoint_load_t *);
/** It has responded, which ends an ejection, or an attempt has failed. */
void endpoint_record_success(endpoint_t *);
void endpoint_record_failure(endpoint_t *);
/** It refused a connection: ejects it without waiting for further failures. */
void endpoint_record_refused(endpoint_t *);
/** Another incarnation responds at its address: ejects it for longer than its
 * outdated entry remains. */
void endpoint_record_superseded(endpoint_t *);
bool endpoint_is_ejected(const endpoint_t *);

/** Estimated number of requests that it holds, of all daemons.
 * @param daemons number of daemons that send to it */
double endpoint_estimate_load(const endpoint_t *, uint32_t daemons);

#endif
