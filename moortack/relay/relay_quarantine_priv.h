/**
 * @file
 * Functions shared by the files of the relay's quarantine:
 * relay_crashes.c detects crashes, relay_parts.c weighs which parts of prompts
 * may cause them, relay_quarantine.c announces suspects and quarantines them,
 * and quarantine_rows.c stores them.
 */
#ifndef MOORTACK_RELAY_RELAY_QUARANTINE_PRIV_H
#define MOORTACK_RELAY_RELAY_QUARANTINE_PRIV_H

#include "moortack/relay/relay_quarantine.h"
#include "relay_request.h"

/** Hash of an endpoint's service and version. */
uint32_t endpoint_version_hash(const endpoint_t *);
/** Whether the version's service has endpoints, but none of this version.
 * @param version as above */
bool endpoint_version_unused(const endpoint_set_t *, uint32_t version);

/** Probe whether a process listens at the endpoint, unless a probe of it is
 * scheduled. */
void quarantine_probe(relay_quarantine_t *, endpoint_t *, int64_t after_ms);

/** Whether the digest is that of a part whose answers, seen by this daemon,
 * outweigh the crash. Counts the crash against them. */
bool quarantine_crash_outweighed(relay_quarantine_t *, uint64_t digest,
    uint32_t incarnation, uint32_t version);
/** Whether the digest is that of a part which this daemon saw answered since,
 * or shortly before, the last of the crashes that it is quarantined for.
 * @param age_ms time since that crash */
bool quarantine_verdict_refuted(
    relay_quarantine_t *, uint64_t digest, uint32_t version, int64_t age_ms);
/** Whether to refute another daemon's suspicion of a part now. */
bool quarantine_refutation_due(relay_quarantine_t *, uint64_t digest);
/** Add the parts of the request's prompt that may have crashed the endpoint. */
void quarantine_add_parts(relay_request_t *, unresolved_attempt_t *);
/** A message that a suspect is cleared. */
gossip_message_t quarantine_cleared_message(uint64_t digest);
/** A request ran, or a part was answered, without a crash: if it is suspected,
 * clear it, and report that to other daemons.
 * @param was_trial all daemons refuse it, and have to learn of that */
void
quarantine_report_answer(relay_quarantine_t *, uint64_t digest, bool was_trial);
/** A suspect ran without a crash.
 * @param source how that is known, for the log */
void quarantine_suspect_clear(
    relay_quarantine_t *, uint64_t digest, const char *source);

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
