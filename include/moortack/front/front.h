/**
 * @file
 * The task that serves callers and operators over HTTP. It owns the exchanges
 * and the state by which they are routed.
 */
#ifndef MOORTACK_FRONT_FRONT_H
#define MOORTACK_FRONT_FRONT_H

#include "moortack/config/registry.h"
#include "moortack/ledger/billing.h"
#include "moortack/ledger/witness_task.h"
#include "moortack/member/peers.h"
#include "moortack/options.h"
#include "moortack/store/store.h"

/** Messages that other tasks post to the front. */
enum front_message {
	FRONT_CONFIG,	      /**< config_t */
	FRONT_FRESHNESS,      /**< freshness_update_t */
	FRONT_MEMBERS,	      /**< members_t */
	FRONT_ADMIN_RESPONSE, /**< admin_response_t */
	FRONT_WITNESS_RESULT, /**< witness_result_t */
	FRONT_BILLING_RESULT, /**< billing_result_t */
	FRONT_BILLING_STATUS, /**< billing_status_t */
	FRONT_VMS,	      /**< a list of VMs, json_t */
	FRONT_LOAD,	      /**< load_report_t */
	FRONT_ENDPOINT_LEFT,  /**< peer_query_t: an endpoint is leaving */
	FRONT_GUARD_STOP,     /**< peer_query_t: a version was stopped */
	FRONT_RATINGS,	      /**< a list of ratings, json_t */
};

typedef struct front front_t;

/** @param drained called once, after front_drain(), when no exchange and no
 * unflushed billing record is left */
front_t *front_new(const process_context_t *, const options_t *, store_t *,
    peers_t *, void (*drained)(void *), void *arg, err_t *err);
void front_free(front_t *);

/** The task to which the messages are posted. */
task_t *front_task(front_t *);

/** Set the tasks to which the front itself posts. */
void front_set_tasks(front_t *, registry_t *, witness_task_t *, billing_t *);

/** Stop accepting requests once the entry lists that callers hold have expired,
 * finish those in flight, then call the callback for being drained. */
void front_drain(front_t *);

/** The number of exchanges in progress. */
uint32_t front_exchange_count(const front_t *);

/** Fail every exchange, as the time to drain is over.
 * @return exchanges that were failed */
uint32_t front_exchanges_abort(front_t *);

#endif
