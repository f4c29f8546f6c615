/**
 * @file
 * What the files of the relay's quarantine share: relay_quarantine.c decides
 * and tells, quarantine_rows.c keeps verdicts in the store.
 */
#ifndef MOORTACK_RELAY_RELAY_QUARANTINE_PRIV_H
#define MOORTACK_RELAY_RELAY_QUARANTINE_PRIV_H

#include "moortack/relay/relay_quarantine.h"

/** Names the service and the version of an endpoint. */
uint32_t endpoint_version_hash(const endpoint_t *);
/** Tell the owners of the digests, and once more with the next tick. */
void quarantine_announce(relay_quarantine_t *, const gossip_message_t *);
/** Look after endpoints at which runs were given up, let no request wait for a
 * probe that is over, and drop evidence that is too old to come to anything;
 * called a few times a second. */
void quarantine_check_unresolved(relay_quarantine_t *);
/** Whether this daemon is to write the verdict into the store. */
bool quarantine_should_write(const relay_quarantine_t *, const suspect_t *);
/** Write the verdicts that are not in the store, unless a write is out. */
void quarantine_rows_write(relay_quarantine_t *);
/** Take the row of a verdict out of the store, if it has one. */
void quarantine_row_remove(relay_quarantine_t *, const suspect_t *);

#endif
