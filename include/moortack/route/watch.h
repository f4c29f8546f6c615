/**
 * @file
 * Polls the platform's list of VMs, the load reports of the endpoints on it,
 * and the rating service, and posts what it receives to the front.
 */
#ifndef MOORTACK_ROUTE_WATCH_H
#define MOORTACK_ROUTE_WATCH_H

#include "moortack/member/peers.h"
#include "moortack/options.h"
#include "moortack/route/fleet.h"

typedef struct endpoint_poller_sink {
	task_t *front;
	int list_kind;	  /**< message kind; body: a list of VMs, json_t */
	int load_kind;	  /**< message kind; body: load_report_t */
	int ratings_kind; /**< message kind; body: a list of ratings, json_t */
} endpoint_poller_sink_t;

typedef struct endpoint_poller endpoint_poller_t;

endpoint_poller_t *endpoint_poller_new(const process_context_t *,
    const options_t *, const endpoint_poller_sink_t *, err_t *err);
void endpoint_poller_free(endpoint_poller_t *);

#endif
