/**
 * @file
 * Probes whether a process still listens at an endpoint whose connections were
 * lost. After the process has ended, new connections are refused; after a
 * network failure, they are not.
 */
#ifndef MOORTACK_RELAY_CRASH_PROBE_H
#define MOORTACK_RELAY_CRASH_PROBE_H

#include <event2/event.h>

#include "moortack/relay/endpoint_set.h"

typedef enum probe_result {
	PROBE_ACCEPTED, /**< the connection was established */
	PROBE_REFUSED,	/**< no process listens there */
	PROBE_FAILED,	/**< no response, or another failure */
} probe_result_t;

typedef struct crash_probe crash_probe_t;

/** A scheduled or running probe, in a list of its owner. */
struct crash_probe {
	endpoint_t *endpoint; /**< a reference is held */
	struct event_base *base;
	struct event *timer;
	http_outbound_t *conn;
	uint32_t attempts;
	/** Called with each result. @return whether to try again */
	bool (*done)(void *arg, endpoint_t *, probe_result_t);
	void *arg;
	crash_probe_t **list;
	crash_probe_t *next;
};

/** Start a probe after this time, unless there is one of the endpoint already.
 * @param list the owner's probes */
void crash_probe_schedule(crash_probe_t **list, struct event_base *,
    endpoint_t *, int64_t after_ms,
    bool (*done)(void *arg, endpoint_t *, probe_result_t), void *arg);
/** Stop all probes of a list. */
void crash_probes_finish(crash_probe_t **list);

#endif
