/**
 * @file
 * Attempts whose connection broke, kept until it is known whether their
 * endpoint crashed or only the connection was cut. Bounded, without I/O and
 * clock.
 */
#ifndef MOORTACK_QUARANTINE_CRASH_EVIDENCE_H
#define MOORTACK_QUARANTINE_CRASH_EVIDENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#define CRASH_EVIDENCE_MAX 512

/** An attempt that broke. */
typedef struct broken_attempt {
	uint64_t digest;      /**< of its request */
	uint32_t incarnation; /**< hash of the endpoint's id and start */
	uint32_t version;     /**< hash of its service and version */
	struct timespec at;
} broken_attempt_t;

typedef struct crash_evidence {
	broken_attempt_t broken[CRASH_EVIDENCE_MAX]; /**< the oldest first */
	size_t len;
} crash_evidence_t;

/** An attempt broke; the oldest one makes room. */
void crash_evidence_note(crash_evidence_t *, const broken_attempt_t *);
/** Whether attempts at the incarnation broke. */
bool crash_evidence_open(const crash_evidence_t *, uint32_t incarnation);
/** At how many incarnations attempts of the request broke. */
size_t crash_evidence_of(const crash_evidence_t *, uint64_t digest);
/** The incarnation did not crash, or it is never going to be known. */
void crash_evidence_drop(crash_evidence_t *, uint32_t incarnation);
/** The incarnation crashed: take one of the attempts that broke there.
 * @return false: there is none left */
bool crash_evidence_take(
    crash_evidence_t *, uint32_t incarnation, broken_attempt_t *out);
/** Drop what is older than this. */
void crash_evidence_expire(
    crash_evidence_t *, struct timespec now, int64_t max_age_ms);

#endif
