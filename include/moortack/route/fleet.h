/**
 * @file
 * The endpoints that a daemon knows: what the platform lists, what they report
 * with a lag, and what this daemon saw of them itself.
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
	ENDPOINT_LEAVING, /**< finishes what it has; no new work */
	ENDPOINT_REMOVED, /**< its row is free once nothing is in flight */
} endpoint_state_t;

typedef struct endpoint {
	char address[ENDPOINT_ADDRESS_SIZE]; /**< IP:PORT */
	char place_name[CONFIG_NAME_SIZE];
	char version_names[ENDPOINT_VERSIONS_MAX][CONFIG_NAME_SIZE];
	uint32_t version_count;
	endpoint_state_t state;
	bool listed; /**< in the latest list of VMs */
	bool load_reported;

	/* In terms of the configuration in force. */
	handle_t place;
	version_set_t versions;

	/* Load. */
	uint32_t slots;
	uint32_t reported_load;	      /**< running and queued, from all */
	uint32_t in_flight_at_report; /**< of this daemon */
	uint32_t in_flight;	      /**< of this daemon, now */
	double first_token_ms;	      /**< moving average; 0: no sample */

	/* Health. */
	uint32_t failures;  /**< in a row */
	uint32_t ejections; /**< since the last success */
	bool ejected;
	bool probing; /**< one request tries it out */
	struct timespec ejected_until;
	struct timespec slow_start_at; /**< of its slow start */
} endpoint_t;

typedef struct endpoint_table {
	table_t endpoints; /**< endpoint_t */
} endpoint_table_t;

/** What a load report said. */
typedef struct load_report {
	char address[ENDPOINT_ADDRESS_SIZE];
	bool responded; /**< false: it could not be reached */
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

endpoint_t *endpoint_table_at(const endpoint_table_t *, handle_t);

/** @return HANDLE_NONE when there is none at the address */
handle_t endpoint_table_find(const endpoint_table_t *, const char *address);

/** Start taking over a list of VMs: all are unlisted until listed again. */
void endpoint_table_update_begin(endpoint_table_t *);

/** One endpoint of the list.
 * @param versions names, shared; @return its handle or HANDLE_NONE */
handle_t endpoint_table_update_entry(endpoint_table_t *, const char *address,
    const char *place, bool leaving, struct timespec now);

/** Endpoints that were not listed are leaving, then gone. */
void endpoint_table_update_end(endpoint_table_t *);

/** Take over a load report. @return true when the endpoint starts to leave */
bool endpoint_table_apply_report(
    endpoint_table_t *, const load_report_t *, const config_t *);

/** Translate names into handles of a new configuration. */
void endpoint_table_resolve(endpoint_table_t *, const config_t *);

/** An endpoint leaves: no new work from here on. */
void endpoint_mark_leaving(endpoint_t *);

/** Add a version that the endpoint serves, by its name. */
void endpoint_add_version(endpoint_t *, const char *version);

bool endpoint_serves(const endpoint_t *, handle_t version);

#endif
