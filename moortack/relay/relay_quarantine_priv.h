/**
 * @file
 * Functions shared by the files of the relay's quarantine:
 * relay_crashes.c detects crashes, relay_quarantine.c announces them
 * and quarantines requests, and quarantine_rows.c stores suspects.
 */
#ifndef MOORTACK_RELAY_RELAY_QUARANTINE_PRIV_H
#define MOORTACK_RELAY_RELAY_QUARANTINE_PRIV_H

#include "moortack/relay/relay_quarantine.h"

/** Hash of an endpoint's service and version. */
uint32_t endpoint_version_hash(const endpoint_t *);
/** Send a message to the owners of the digests, and once more at the next tick,
 * since datagrams get lost. */
void quarantine_announce(relay_quarantine_t *, const gossip_message_t *);
/** Probe endpoints of abandoned attempts, resume requests whose probe ended
 * without a result, and remove expired attempts; called a few times a second.
 */
void quarantine_check_unresolved(relay_quarantine_t *);
/** Whether this daemon has to write the suspect into the store. */
bool quarantine_should_write(const relay_quarantine_t *, const suspect_t *);
/** Write the suspects that are not in the store, unless a write is pending. */
void quarantine_rows_write(relay_quarantine_t *);
/** Remove a suspect's row from the store, if it has one. */
void quarantine_row_remove(relay_quarantine_t *, const suspect_t *);

#endif
