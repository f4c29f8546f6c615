/**
 * @file
 * The endpoints that a daemon knows: the platform's list of them, their load
 * reports, which lag, and this daemon's own observations.
 */
#ifndef MOORTACK_ROUTE_FLEET_H
#define MOORTACK_ROUTE_FLEET_H

#include "common/clock_source.h"
#include "common/table.h"
#include "moortack/config/config.h"

#define ENDPOINT_ADDRESS_SIZE 64
#define ENDPOINT_VERSIONS_MAX 16
#define ENDPOINT_DEFAULT_SLOTS 8

typedef enum endpoint_state {
	ENDPOINT_LIVE,
	ENDPOINT_LEAVING, /**< completes its requests; gets no new ones */
	ENDPOINT_REMOVED, /**< its row is reused once nothing is in flight */
} endpoint_state_t;

typedef struct endpoint {
	char address[ENDPOINT_ADDRESS_SIZE]; /**< IP:PORT */
	char place_name[CONFIG_NAME_SIZE];
	char version_names[ENDPOINT_VERSIONS_MAX][CONFIG_NAME_SIZE];
	uint32_t version_count;
	endpoint_state_t state;
	bool listed; /**< in the latest list of VMs */
	bool load_reported;

	/* Handles of the configuration in force. */
	handle_t place;
	version_set_t versions;

	/* Load. */
	uint32_t slots;		      /**< requests that it runs at once */
	uint32_t reported_load;	      /**< running and queued, of all daemons */
	uint32_t in_flight_at_report; /**< of this daemon, at the last report */
	uint32_t in_flight;	      /**< of this daemon */
	double
	    first_token_ms; /**< moving average, milliseconds; 0: no sample */

	/* Health. */
	uint32_t failures;  /**< consecutive */
	uint32_t ejections; /**< since the last success */
	bool ejected;
	bool probing; /**< the request that tests an ejected endpoint is in
			 flight */
	struct timespec ejected_until;
	struct timespec slow_start_at; /**< when it was added, or recovered from
					  an ejection */
} endpoint_t;

typedef struct endpoint_table {
	table_t endpoints; /**< endpoint_t */
} endpoint_table_t;

/** The result of polling an endpoint for its load. */
typedef struct load_report {
	char address[ENDPOINT_ADDRESS_SIZE];
	bool responded; /**< false: no valid load report came */
	bool leaving;
	bool has_versions;
	uint32_t running;
	uint32_t queued;
	uint32_t slots;
	char version_names[ENDPOINT_VERSIONS_MAX][CONFIG_NAME_SIZE];
	uint32_t version_count;
} load_report_t;

void endpoint_table_init(endpoint_table_t *);
void endpoint_table_finish(endpoint_table_t *);

/** @return NULL if there is no such row */
endpoint_t *endpoint_table_at(const endpoint_table_t *, handle_t);

/** @return HANDLE_NONE if there is no endpoint with the address */
handle_t endpoint_table_find(const endpoint_table_t *, const char *address);

/** Starts applying a list of VMs: marks all endpoints as not listed. */
void endpoint_table_update_begin(endpoint_table_t *);

/** Applies one entry of the list: adds the endpoint if it is new.
 * @param leaving the list says that it is leaving
 * @return its handle; HANDLE_NONE: out of memory */
handle_t endpoint_table_update_entry(endpoint_table_t *, const char *address,
    const char *place, bool leaving, struct timespec now);

/** Ends applying a list: endpoints that it doesn't name are marked as leaving,
 * and as removed once they have nothing in flight. */
void endpoint_table_update_end(endpoint_table_t *);

/** Applies a load report; one without a response changes nothing.
 * @return true if a live endpoint reported that it is leaving */
bool endpoint_table_apply_report(
    endpoint_table_t *, const load_report_t *, const config_t *);

/** Looks up the names of places and versions in a new configuration. */
void endpoint_table_resolve(endpoint_table_t *, const config_t *);

/** Marks a live endpoint as leaving: it gets no new requests. */
void endpoint_mark_leaving(endpoint_t *);

/** Adds a version that the endpoint serves, by its name; it counts after
 * endpoint_table_resolve(). Versions over ENDPOINT_VERSIONS_MAX are dropped. */
void endpoint_add_version(endpoint_t *, const char *version);

bool endpoint_serves(const endpoint_t *, handle_t version);

#endif
