/**
 * @file
 * What the files of a node share: relay_rows.c takes the rows that a node
 * learns of, endpoint_rows.c those of endpoints, zone_rows.c those of
 * evacuations, relay_node.c does the rest.
 */
#ifndef MOORTACK_RELAY_RELAY_NODE_PRIV_H
#define MOORTACK_RELAY_RELAY_NODE_PRIV_H

#include "moortack/relay/relay_node.h"

/** How a node takes rows; the argument is the node. */
extern const row_sync_ops_t relay_rows_ops;

/** Whether the store was restored from an older copy after @p known. */
bool relay_row_has_later_era(const cached_row_t *known, const row_t *);
/** Keep the known value under the version of a row that is older. */
void relay_row_keep_known(
    relay_node_t *, row_table_t, const cached_row_t *known, const row_t *);

/** Apply a row of an evacuation that was written or removed. */
void relay_evacuation_apply_row(relay_node_t *, const row_t *);
/** End evacuations that stayed unconfirmed for too long; called a few times a
 * second. */
void relay_evacuations_expire(relay_node_t *);

/** Apply an endpoint's row that was written or removed. */
void relay_endpoint_apply_row(relay_node_t *, const row_t *);
/** Entries that did not come back after an outage are gone. */
void relay_endpoints_remove_lapsed(relay_node_t *);

/** Entries of earlier starts that nothing has contradicted are taken. */
void relay_endpoints_accept_earlier(relay_node_t *);

/** Another daemon tells from now on which endpoints there are. */
void relay_endpoints_stop_keeping_lapsed(relay_node_t *);

#endif
