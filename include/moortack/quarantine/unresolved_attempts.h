/**
 * @file
 * Attempts whose connection broke, kept until it is known whether their
 * endpoint crashed or only the connection was cut. Bounded, without I/O and
 * clock.
 */
#ifndef MOORTACK_QUARANTINE_UNRESOLVED_ATTEMPTS_H
#define MOORTACK_QUARANTINE_UNRESOLVED_ATTEMPTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#define UNRESOLVED_ATTEMPTS_MAX 512

/** An attempt that broke. */
typedef struct unresolved_attempt {
	uint64_t digest;      /**< of its request */
	uint32_t incarnation; /**< hash of the endpoint's id and start */
	uint32_t version;     /**< hash of its service and version */
	struct timespec ended_at;
} unresolved_attempt_t;

typedef struct unresolved_attempts {
	unresolved_attempt_t
	    attempts[UNRESOLVED_ATTEMPTS_MAX]; /**< the oldest first */
	size_t len;
} unresolved_attempts_t;

/** An attempt broke; the oldest one makes room. */
void
unresolved_attempts_add(unresolved_attempts_t *, const unresolved_attempt_t *);
/** Whether attempts at the incarnation broke. */
bool
unresolved_attempts_has(const unresolved_attempts_t *, uint32_t incarnation);
/** At how many incarnations attempts of the request broke. */
size_t
unresolved_attempts_count(const unresolved_attempts_t *, uint64_t digest);
/** The incarnation did not crash, or it is never going to be known. */
void unresolved_attempts_drop(unresolved_attempts_t *, uint32_t incarnation);
/** The incarnation crashed: take one of the attempts that broke there.
 * @return false: there is none left */
bool unresolved_attempts_take(
    unresolved_attempts_t *, uint32_t incarnation, unresolved_attempt_t *out);
/** Drop what is older than this. */
void unresolved_attempts_expire(
    unresolved_attempts_t *, struct timespec now, int64_t max_age_ms);

#endif
