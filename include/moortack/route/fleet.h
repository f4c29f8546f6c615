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
	ENDPOINT_GONE,	  /**< its row is free once nothing is in flight */
} endpoint_state_t;

typedef struct endpoint {
	char address[ENDPOINT_ADDRESS_SIZE]; /**< IP:PORT */
	char place_name[CONFIG_NAME_SIZE];
	char version_names[ENDPOINT_VERSIONS_MAX][CONFIG_NAME_SIZE];
	uint32_t version_count;
	endpoint_state_t state;
	bool listed; /**< in the latest list of VMs */
	bool reported_once;

	/* In terms of the configuration in force. */
	handle_t place;
	version_set_t versions;

	/* Load. */
	uint32_t slots;
	uint32_t reported;	     /**< running and queued, from all */
	uint32_t inflight_at_report; /**< of this daemon */
	uint32_t inflight;	     /**< of this daemon, now */
	double first_token_ms;	     /**< moving average; 0: no sample */

	/* Health. */
	uint32_t failures;  /**< in a row */
	uint32_t ejections; /**< since the last success */
	bool ejected;
	bool probing; /**< one request tries it out */
	struct timespec ejected_until;
	struct timespec since; /**< of its slow start */
} endpoint_t;

typedef struct fleet {
	table_t endpoints; /**< endpoint_t */
} fleet_t;

/** What a load report said. */
typedef struct load_report {
	char address[ENDPOINT_ADDRESS_SIZE];
	bool answered; /**< false: it could not be reached */
	bool leaving;
	bool lists_versions;
	uint32_t running;
	uint32_t queued;
	uint32_t slots;
	char version_names[ENDPOINT_VERSIONS_MAX][CONFIG_NAME_SIZE];
	uint32_t version_count;
} load_report_t;

void fleet_init(fleet_t *);
void fleet_finish(fleet_t *);

endpoint_t *fleet_at(const fleet_t *, handle_t);

/** @return HANDLE_NONE when there is none at the address */
handle_t fleet_find(const fleet_t *, const char *address);

/** Start taking over a list of VMs: all are unlisted until listed again. */
void fleet_list_begin(fleet_t *);

/** One endpoint of the list.
 * @param versions names, shared; @return its handle or HANDLE_NONE */
handle_t fleet_list(fleet_t *, const char *address, const char *place,
    bool leaving, struct timespec now);

/** Endpoints that were not listed are leaving, then gone. */
void fleet_list_end(fleet_t *);

/** Take over a load report. @return true when the endpoint starts to leave */
bool fleet_report(fleet_t *, const load_report_t *, const config_t *);

/** Translate names into handles of a new configuration. */
void fleet_resolve(fleet_t *, const config_t *);

/** An endpoint leaves: no new work from here on. */
void endpoint_leave(endpoint_t *);

/** Add a version that the endpoint serves, by its name. */
void endpoint_serve(endpoint_t *, const char *version);

bool endpoint_serves(const endpoint_t *, handle_t version);

#endif
