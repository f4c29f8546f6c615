/**
 * @file
 * Internals shared by the files of a node: relay_rows.c applies rows,
 * endpoint_rows.c those of endpoints, zone_rows.c those of evacuations, and
 * relay_node.c holds everything else.
 */
#ifndef MOORTACK_RELAY_RELAY_NODE_PRIV_H
#define MOORTACK_RELAY_RELAY_NODE_PRIV_H

#include "moortack/relay/relay_node.h"

/** Callbacks for rows and the state of the store; their argument is a
 * relay_node_t. */
extern const row_sync_ops_t relay_rows_ops;

/** Whether the row is of a later era than @p known: the store was restored from
 * an older copy since @p known was read.
 * @param known may be NULL */
bool relay_row_has_later_era(const cached_row_t *known, const row_t *);
/** Keep the known value, or deletion, of a row under the version of a row that
 * a restored older copy of the store holds. */
void relay_row_keep_known(
    relay_node_t *, row_table_t, const cached_row_t *known, const row_t *);

/** Log the numbers of calls to the store so far, at intervals, if there were
 * new ones; called a few times a second. */
void relay_store_calls_log(relay_node_t *);

/** Apply the row of an evacuation, or its removal. */
void relay_evacuation_apply_row(relay_node_t *, const row_t *);
/** End evacuations that have been unconfirmed for too long; called a few times
 * a second. */
void relay_evacuations_expire(relay_node_t *);

/** Apply the row of an endpoint, or its removal. */
void relay_endpoint_apply_row(relay_node_t *, const row_t *);
/** Remove the endpoints whose entries did not come back in time after an outage
 * of the store; called a few times a second. */
void relay_endpoints_remove_lapsed(relay_node_t *);

/** Accept entries of earlier incarnations that no other entry has contradicted;
 * called a few times a second. */
void relay_endpoints_accept_earlier(relay_node_t *);

/** Apply removals of endpoints at once from now on: this daemon follows another
 * one, whose removals are final. */
void relay_endpoints_stop_keeping_lapsed(relay_node_t *);

/** Period of a node's timer, in ms. */
#define RELAY_TICK_MS 200

/** Advance the shutdown of a daemon that leaves; called at each tick. */
void relay_node_shutdown_step(relay_node_t *);

#endif
