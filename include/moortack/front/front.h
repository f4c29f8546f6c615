/**
 * @file
 * The task that faces callers and operators over HTTP, and owns the exchanges
 * and what they are decided by.
 */
#ifndef MOORTACK_FRONT_FRONT_H
#define MOORTACK_FRONT_FRONT_H

#include "moortack/config/registry.h"
#include "moortack/ledger/billing.h"
#include "moortack/ledger/witness_task.h"
#include "moortack/member/peers.h"
#include "moortack/options.h"
#include "moortack/store/store.h"

/** Messages that others post to the front. */
enum front_message {
	FRONT_CONFIG,  /**< config_t */
	FRONT_FRESH,   /**< freshness_update_t */
	FRONT_MEMBERS, /**< members_t */
	FRONT_ADMIN,   /**< admin_response_t */
	FRONT_WITNESS, /**< witness_news_t */
	FRONT_BILLED,  /**< billing_news_t */
	FRONT_ROOM,    /**< billing_room_t */
	FRONT_VMS,     /**< a list of VMs, json_t */
	FRONT_LOAD,    /**< load_report_t */
	FRONT_LEFT,    /**< peer_query_t: an endpoint leaves */
	FRONT_GUARD,   /**< peer_query_t: a version was stopped */
	FRONT_RATINGS, /**< a list of ratings, json_t */
};

typedef struct front front_t;

/** @param drained called once, after front_drain(), when nothing is left */
front_t *front_new(const process_context_t *, const options_t *, store_t *,
    peers_t *, void (*drained)(void *), void *arg, err_t *err);
void front_free(front_t *);

/** Where others post to. */
task_t *front_task(front_t *);

/** Introduce the tasks that the front itself posts to. */
void front_connect(front_t *, registry_t *, witness_task_t *, billing_t *);

/** Finish what is in progress, take no more, then call drained. */
void front_drain(front_t *);

/** Exchanges under way. */
uint32_t front_busy(const front_t *);

/** End every exchange with an error: the time to drain is over.
 * @return how many were cut */
uint32_t front_cut(front_t *);

#endif
