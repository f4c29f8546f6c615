/**
 * @file
 * Sessions that were served a short time ago, so that a roll-out does not move
 * them: a hash table whose entries expire.
 */
#ifndef MOORTACK_RELAY_SESSION_MEMORY_H
#define MOORTACK_RELAY_SESSION_MEMORY_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include <uthash.h>

/** Maximum number of entries, about 6 MB. If another session cannot be stored,
 * session_memory_has() returns true for every hash until the window has passed,
 * so that this daemon moves no session. */
#define SESSION_MEMORY_MAX 65536

/** When a session was last served. */
typedef struct session_seen {
	uint64_t hash;
	struct timespec at;
	UT_hash_handle hh;
} session_seen_t;

typedef struct session_memory {
	session_seen_t *sessions;   /**< least recently served first */
	struct timespec dropped_at; /**< last failure to store one; 0: never */
	int64_t window_ms; /**< requests closer than this belong together */
} session_memory_t;

/** Initialize an empty memory; session_memory_finish() frees its entries. */
void session_memory_init(session_memory_t *, int64_t window_ms);
void session_memory_finish(session_memory_t *);

void session_memory_note(session_memory_t *, uint64_t hash, struct timespec);
bool session_memory_has(
    const session_memory_t *, uint64_t hash, struct timespec now);
/** The hashes of the window, as texts; a new reference, NULL when none. */
json_t *session_memory_list(const session_memory_t *, struct timespec now);
/** Note what such a list names. */
void session_memory_take(
    session_memory_t *, const json_t *list, struct timespec now);

#endif
