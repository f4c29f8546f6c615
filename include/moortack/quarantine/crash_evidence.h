/**
 * @file
 * Attempts whose connection was lost, or that were abandoned, kept until it is
 * known whether their endpoint crashed. Bounded, without I/O and clock.
 */
#ifndef MOORTACK_QUARANTINE_CRASH_EVIDENCE_H
#define MOORTACK_QUARANTINE_CRASH_EVIDENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#define UNRESOLVED_ATTEMPTS_MAX 512
/** Parts of its prompt that an unresolved attempt keeps. */
#define UNRESOLVED_PARTS_MAX 12

/** An attempt that ended before its response was complete. */
typedef struct unresolved_attempt {
	uint64_t digest;      /**< of its request; 0: not suspected */
	uint32_t incarnation; /**< hash of the endpoint's id and start */
	uint32_t version;     /**< hash of its service and version */
	struct timespec ended_at;
	uint64_t parts[UNRESOLVED_PARTS_MAX]; /**< digests of parts of its
						 prompt that may be the cause */
	size_t parts_len;
} unresolved_attempt_t;

typedef struct unresolved_attempts {
	/** The oldest first. */
	unresolved_attempt_t attempts[UNRESOLVED_ATTEMPTS_MAX];
	size_t len;
} unresolved_attempts_t;

/** Add an attempt; if the list is full, the oldest one is removed. */
void
unresolved_attempts_add(unresolved_attempts_t *, const unresolved_attempt_t *);
/** Whether there are attempts at the incarnation. */
bool
unresolved_attempts_has(const unresolved_attempts_t *, uint32_t incarnation);
/** When the last of the attempts at the incarnation ended.
 * @return false: there are none */
bool unresolved_attempts_last_end(
    const unresolved_attempts_t *, uint32_t incarnation, struct timespec *out);
/** Number of incarnations at which there are attempts of the request. */
size_t
unresolved_attempts_count(const unresolved_attempts_t *, uint64_t digest);
/** Whether there are attempts with the part. */
bool unresolved_attempts_has_part(const unresolved_attempts_t *, uint64_t part);
/** Remove the attempts at an incarnation, which did not crash, or of which it
 * cannot be determined. */
void unresolved_attempts_drop(unresolved_attempts_t *, uint32_t incarnation);
/** Remove one of the attempts at an incarnation that crashed.
 * @param out the attempt
 * @return false: there are none left */
bool unresolved_attempts_take(
    unresolved_attempts_t *, uint32_t incarnation, unresolved_attempt_t *out);
/** Remove attempts that ended at least max_age_ms ago. */
void unresolved_attempts_expire(
    unresolved_attempts_t *, struct timespec now, int64_t max_age_ms);

#endif
