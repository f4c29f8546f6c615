/**
 * @file
 * The task that reads the platform's list of VMs and the load reports of the
 * endpoints on it, and posts both to the front.
 */
#ifndef MOORTACK_ROUTE_WATCH_H
#define MOORTACK_ROUTE_WATCH_H

#include "moortack/member/peers.h"
#include "moortack/options.h"
#include "moortack/route/fleet.h"

typedef struct watch_ports {
	task_t *front;
	int list;    /**< kind; body: a list of VMs, json_t */
	int load;    /**< kind; body: load_report_t */
	int ratings; /**< kind; body: a list of ratings, json_t */
} watch_ports_t;

typedef struct watch watch_t;

watch_t *watch_new(const process_context_t *, const options_t *,
    const watch_ports_t *, err_t *err);
void watch_free(watch_t *);

#endif
