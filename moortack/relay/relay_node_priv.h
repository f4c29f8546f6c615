/**
 * @file
 * What the files of a node share: relay_rows.c takes the rows that a node
 * learns of, relay_node.c does the rest.
 */
#ifndef MOORTACK_RELAY_RELAY_NODE_PRIV_H
#define MOORTACK_RELAY_RELAY_NODE_PRIV_H

#include "moortack/relay/relay_node.h"

/** How a node takes rows; the argument is the node. */
extern const row_source_ops_t relay_rows_ops;

/** Entries that did not come back after an outage are gone. */
void relay_rows_lapsed_end(relay_node_t *);

/** Entries of earlier starts that nothing has contradicted are taken. */
void relay_rows_earlier_take(relay_node_t *);

/** Another daemon tells from now on which endpoints there are. */
void relay_rows_lapses_drop(relay_node_t *);

#endif
