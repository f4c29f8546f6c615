/**
 * @file
 * The configuration of opaque routes: hosts and prefixes, the services behind
 * them, organisations with their keys, and the bounds for callers.
 *
 * A value is built once by a configuration source, then never changed, and
 * shared by count.
 */
#ifndef MOORTACK_RELAY_RELAY_CONFIG_H
#define MOORTACK_RELAY_RELAY_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "common/err.h"
#include "moortack/relay/model_choice.h"
#include "moortack/relay/region_list.h"

#define ROUTE_POOLS_MAX 16

/** What may be repeated. */
typedef enum route_kind {
	ROUTE_IDEMPOTENT,     /**< idempotent */
	ROUTE_NOT_IDEMPOTENT, /**< at most once for each attempt of a caller */
	ROUTE_STREAM,	      /**< events; idempotent if it may be resumed */
} route_kind_t;

/** A service that takes a part of a route's requests. */
typedef struct route_pool {
	char *service;
	uint32_t weight;
} route_pool_t;

/** A model that may answer, with its price. */
typedef struct route_model {
	char *name;
	double cost; /**< for 1,000 generated tokens; 0: not known */
} route_model_t;

/** Text that something was made from, as a hash; all zeros: not known. */
typedef struct text_hash {
	uint64_t low, high;
} text_hash_t;

/** A route is never changed either: a configuration shares those whose text is
 * the same with the one before it. */
typedef struct relay_route {
	uint32_t refs;
	text_hash_t text_hash;

	char *name;
	char *host;
	char *prefix;	  /**< begins and ends with a slash */
	char *lookup_key; /**< host and prefix joined, for the look-up */
	route_kind_t kind;
	int64_t timeout_ms; /**< longest wait for the answer; 0: none */
	int64_t latency_objective_ms; /**< to the answer, or the first event */
	int64_t event_gap_objective_ms; /**< longest between events; 0: none */
	int priority;			/**< 0 is the most urgent */
	uint32_t attempts_max;		/**< endpoints that may be tried */
	bool anonymous;			/**< no key is asked for */
	bool resumable;
	region_list_t regions; /**< to which its requests are restricted */
	route_pool_t pools[ROUTE_POOLS_MAX];
	size_t pools_len;
	route_model_t models[MODELS_MAX]; /**< smallest first */
	size_t models_len;
} relay_route_t;

/** A route's place in a configuration. */
typedef struct relay_route_entry {
	relay_route_t *route;
	UT_hash_handle hh;	/**< by the route's key */
	UT_hash_handle hh_text; /**< by its text, if that is known */
} relay_route_entry_t;

typedef struct relay_service {
	char *name;
	uint32_t connections_max; /**< of one endpoint, from all callers */
	int64_t warmup_ms;	  /**< how long its endpoints stay cold */
	double warmup_per_s;	  /**< requests a second that a cold endpoint
				     tolerates; 0: unlimited */
	UT_hash_handle hh;	  /**< by name */
} relay_service_t;

typedef struct relay_organisation {
	char *name;
	int priority;	       /**< goes before a route's; negative: none */
	region_list_t regions; /**< in addition to those of the route */
} relay_organisation_t;

typedef struct relay_key {
	char *text;
	relay_organisation_t *organisation;
	UT_hash_handle hh; /**< by text */
} relay_key_t;

typedef struct relay_config {
	uint64_t version;
	uint32_t refs;
	bool keys_required; /**< false: no organisations, no keys */
	relay_route_entry_t *routes;
	relay_route_entry_t *routes_by_text;
	/** Of all that its routes are made from besides their own texts. */
	text_hash_t routes_basis_hash;
	relay_service_t *services;
	relay_key_t *keys;
	relay_organisation_t **organisations;
	size_t organisations_len;
	size_t head_max;	 /**< bytes */
	size_t body_max;	 /**< bytes */
	int64_t read_timeout_ms; /**< for a head */
	int64_t idle_timeout_ms; /**< of a connection between requests */
} relay_config_t;

relay_config_t *relay_config_new(uint64_t version);
relay_config_t *relay_config_acquire(relay_config_t *);
void relay_config_release(relay_config_t *);

/** Add a route, whose reference is taken over, also on failure. */
bool relay_config_add_route(relay_config_t *, relay_route_t *, err_t *);
/** Add a service with default limits, which the caller may change.
 * @return NULL: out of memory */
relay_service_t *
relay_config_add_service(relay_config_t *, const char *name, err_t *);
relay_organisation_t *
relay_config_add_organisation(relay_config_t *, const char *name, int rank);
bool relay_config_add_key(
    relay_config_t *, const char *text, relay_organisation_t *, err_t *);

/** Give a route back; the last one frees it. */
void relay_route_release(relay_route_t *);

/** The hash of a text. */
text_hash_t text_hash_compute(const char *text, size_t len);
bool text_hash_equal(text_hash_t, text_hash_t);
/** A route that was made from this text, shared, or NULL. */
relay_route_t *relay_config_acquire_route(const relay_config_t *, text_hash_t);

/** The route with the longest prefix of @p target, or NULL.
 * @param host as the caller named it, with or without a port */
const relay_route_t *relay_config_find_route(
    const relay_config_t *, const char *host, const char *target);

/** Collect the regions of all routes of a host in an empty list.
 * @return false, with @p out empty: there is no such route, a route is not
 * restricted, or there are too many regions */
bool relay_config_collect_host_regions(
    const relay_config_t *, const char *host, region_list_t *out);

/** The organisation that holds the key, or NULL. */
const relay_organisation_t *
relay_config_find_organisation(const relay_config_t *, const char *text);

const relay_service_t *
relay_config_find_service(const relay_config_t *, const char *name);

#endif
