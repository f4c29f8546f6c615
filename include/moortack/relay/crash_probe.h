/**
 * @file
 * Looks whether anything still listens at an endpoint whose connections broke:
 * a process that has ended refuses new ones, a link that was cut does not.
 */
#ifndef MOORTACK_RELAY_CRASH_PROBE_H
#define MOORTACK_RELAY_CRASH_PROBE_H

#include <event2/event.h>

#include "moortack/relay/endpoint_set.h"

typedef enum probe_result {
	PROBE_ACCEPTED,
	PROBE_REFUSED, /**< nothing listens there */
	PROBE_FAILED,  /**< no answer */
} probe_result_t;

typedef struct crash_probe crash_probe_t;

/** A probe under way, in a list of its owner's. */
struct crash_probe {
	endpoint_t *endpoint; /**< held */
	struct event_base *base;
	struct event *timer;
	http_outbound_t *conn;
	uint32_t attempts;
	/** @return whether to try again */
	bool (*done)(void *arg, endpoint_t *, probe_result_t);
	void *arg;
	crash_probe_t **list;
	crash_probe_t *next;
};

/** Look after this time, unless a probe of that endpoint is under way.
 * @param list of the owner's probes */
void crash_probe_schedule(crash_probe_t **list, struct event_base *,
    endpoint_t *, int64_t after_ms,
    bool (*done)(void *arg, endpoint_t *, probe_result_t), void *arg);
/** End all probes of a list. */
void crash_probes_finish(crash_probe_t **list);

#endif
