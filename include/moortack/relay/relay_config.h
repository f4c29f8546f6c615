/**
 * @file
 * The configuration of routes whose bodies are not interpreted: hosts and
 * prefixes, the services behind them, organisations with their keys, and the
 * limits for callers.
 *
 * A configuration is built once by a decoder, then never changed, and
 * reference-counted.
 */
#ifndef MOORTACK_RELAY_RELAY_CONFIG_H
#define MOORTACK_RELAY_RELAY_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "common/err.h"
#include "moortack/duty/capacity_plan.h"
#include "moortack/relay/model_choice.h"
#include "moortack/relay/region_list.h"

/** Which requests of a route may be sent again. */
typedef enum route_kind {
	ROUTE_IDEMPOTENT,     /**< may be sent again */
	ROUTE_NOT_IDEMPOTENT, /**< executed at most once for each attempt of a
				 caller */
	ROUTE_STREAM, /**< the response is a stream of events; idempotent if it
			 is resumable */
} route_kind_t;

/** A service that gets a share of a route's requests. */
typedef struct route_pool {
	char *service;
	uint64_t weight; /**< share of the sum of all weights */
} route_pool_t;

/** A model that may serve a request, with its price. */
typedef struct route_model {
	char *name;
	double cost; /**< of 1,000 generated tokens; 0: unknown */
} route_model_t;

/** Hash of the text that something was decoded from; all zeros: unknown. */
typedef struct text_hash {
	uint64_t low, high;
} text_hash_t;

/** A route is never changed either: a configuration shares the routes whose
 * text is unchanged with the previous configuration. */
typedef struct relay_route {
	uint32_t refs;
	text_hash_t text_hash;

	char *name;
	char *host;
	char *prefix;	  /**< starts and ends with a slash */
	char *lookup_key; /**< host and prefix joined, for the look-up */
	route_kind_t kind;
	int64_t timeout_ms; /**< for the response; 0: no limit */
	int64_t
	    latency_objective_ms; /**< until the response, or its first event */
	int64_t event_gap_objective_ms; /**< longest time between two events; 0:
					   none */
	int priority;			/**< 0 is the highest */
	uint32_t
	    attempts_max; /**< how often a request may be sent to endpoints */
	bool anonymous;	  /**< no key is required */
	bool resumable;	  /**< a stream may be continued after its last event */
	region_list_t regions; /**< restriction of the endpoints */
	route_pool_t *pools;
	size_t pools_len;
	route_model_t *models; /**< smallest first */
	size_t models_len;     /**< at most MODELS_MAX */
	bool unreadable; /**< its requests are refused: more than its host and
			    prefix could not be decoded */
} relay_route_t;

/** A route in the hash tables of one configuration. */
typedef struct relay_route_entry {
	relay_route_t *route;
	UT_hash_handle hh;	/**< by lookup_key */
	UT_hash_handle hh_text; /**< by text_hash, if that is known */
} relay_route_entry_t;

typedef struct relay_service {
	char *name;
	uint32_t
	    connections_max; /**< to one endpoint, of all daemons together */
	int64_t
	    warmup_ms; /**< how long its endpoints are cold after their start */
	double warmup_per_s;	    /**< requests a second that a cold endpoint
				       tolerates; 0: unlimited */
	uint32_t event_tokens;	    /**< output tokens that an event of a stream
				       holds; 0: not known */
	capacity_limits_t capacity; /**< what may be ordered for it */
	uint32_t contents_calls_max; /**< calls for its contents that each of
					its endpoints holds; 0: it offers none
				      */
	UT_hash_handle hh;	     /**< by name */
} relay_service_t;

typedef struct relay_organisation {
	char *name;
	int priority; /**< replaces that of the route; negative: none */
	region_list_t
	    regions;	 /**< restriction in addition to that of the route */
	bool unreadable; /**< its requests are refused: its restrictions could
			    not be decoded */
} relay_organisation_t;

typedef struct relay_key {
	char *text;
	relay_organisation_t *organisation;
	UT_hash_handle hh; /**< by text */
} relay_key_t;

typedef struct relay_config {
	uint64_t version;
	uint32_t refs;
	bool keys_required; /**< false: requests need no key, as there are no
			       organisations */
	relay_route_entry_t *routes;
	relay_route_entry_t *routes_by_text;
	/** Hash of all that its routes depend on besides their own texts. */
	text_hash_t routes_basis_hash;
	relay_service_t *services;
	relay_key_t *keys;
	relay_organisation_t **organisations;
	size_t organisations_len;
	size_t head_max;	 /**< bytes */
	size_t body_max;	 /**< bytes */
	int64_t read_timeout_ms; /**< for the head of a request */
	int64_t idle_timeout_ms; /**< of a connection between requests */
	/** Lengths of the look-up keys of its routes, longest first. */
	size_t *key_lens;
	size_t key_lens_len;
	uint32_t parts_refused; /**< that could not be decoded; the others are
				   in force */
	err_t refused_why;	/**< of the first of them */
} relay_config_t;

/** A configuration with default limits and one reference.
 * @return NULL: out of memory */
relay_config_t *relay_config_new(uint64_t version);
/** Add a reference to a configuration, which may be NULL. */
relay_config_t *relay_config_acquire(relay_config_t *);
/** Drop a reference; the last one frees it. NULL is ignored. */
void relay_config_release(relay_config_t *);

/** Add a route, and take over the caller's reference, also on failure.
 * @return false with the error set: another route has the same host and prefix,
 * or out of memory */
bool relay_config_add_route(relay_config_t *, relay_route_t *, err_t *);
/** Add a service with default limits, which the caller may change.
 * @return NULL: out of memory */
relay_service_t *
relay_config_add_service(relay_config_t *, const char *name, err_t *);
/** Add an organisation.
 * @param priority see relay_organisation_t
 * @return NULL: out of memory */
relay_organisation_t *
relay_config_add_organisation(relay_config_t *, const char *name, int priority);
/** Add a key of an organisation, which may have it already.
 * @return false with the error set: another organisation has the key, or out of
 * memory */
bool relay_config_add_key(
    relay_config_t *, const char *text, relay_organisation_t *, err_t *);

/** Record a part of the configuration that could not be decoded.
 * @param why its error */
void relay_config_refuse_part(relay_config_t *, const err_t *why);

/** Append a service with its weight.
 * @return false: out of memory */
bool
relay_route_add_pool(relay_route_t *, const char *service, uint64_t weight);
/** Append a model. Of more than MODELS_MAX, the last one replaces the one
 * before it, so that the largest is kept.
 * @return false: out of memory */
bool relay_route_add_model(relay_route_t *, const char *name);
/** Drop a reference to a route; the last one frees it. */
void relay_route_release(relay_route_t *);

/** The hash of a text. */
text_hash_t text_hash_compute(const char *text, size_t len);
bool text_hash_equal(text_hash_t, text_hash_t);
/** A new reference to the route that was decoded from the text with this hash,
 * or NULL. */
relay_route_t *relay_config_acquire_route(const relay_config_t *, text_hash_t);

/** The route of the host with the longest prefix of @p target, or NULL.
 * @param host as the caller sent it, with or without a port
 * @param target path of the request; its query is ignored */
const relay_route_t *relay_config_find_route(
    const relay_config_t *, const char *host, const char *target);

/** Collect the regions of all routes of a host in an empty list.
 * @return false, with @p out empty: the host has no route, a route is not
 * restricted, or out of memory */
bool relay_config_collect_host_regions(
    const relay_config_t *, const char *host, region_list_t *out);

/** The organisation that the key belongs to, or NULL. */
const relay_organisation_t *
relay_config_find_organisation(const relay_config_t *, const char *text);

/** The service of that name, or NULL. */
const relay_service_t *
relay_config_find_service(const relay_config_t *, const char *name);

#endif
