/**
 * @file
 * Sessions that were served recently, so that a roll-out does not move them: a
 * hash table whose entries expire.
 */
#ifndef MOORTACK_RELAY_RECENT_SESSIONS_H
#define MOORTACK_RELAY_RECENT_SESSIONS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include <uthash.h>

/** Maximum number of entries, about 6 MB. If another session cannot be stored,
 * recent_sessions_contain() returns true for every hash until the window has
 * passed, so that this daemon moves no session. */
#define RECENT_SESSIONS_MAX 65536

/** When a session was last served. */
typedef struct recent_session {
	uint64_t hash;
	struct timespec served_at;
	UT_hash_handle hh;
} recent_session_t;

typedef struct recent_sessions {
	recent_session_t *sessions; /**< least recently served first */
	struct timespec dropped_at; /**< last failure to store one; 0: never */
	int64_t window_ms; /**< requests of a session closer than this belong
			      together; entries expire after it */
} recent_sessions_t;

/** Initialize an empty table; recent_sessions_finish() frees its entries. */
void recent_sessions_init(recent_sessions_t *, int64_t window_ms);
void recent_sessions_finish(recent_sessions_t *);

/** Add a session, or renew its entry. */
void recent_sessions_add(recent_sessions_t *, uint64_t hash, struct timespec);
/** Whether the session was served within the window, or may have been since an
 * entry could not be stored. */
bool recent_sessions_contain(
    const recent_sessions_t *, uint64_t hash, struct timespec now);
/** Encode the hashes of the window as an array of hexadecimal strings.
 * @param share of all hashes, 0 to 1: those above are left out
 * @return a new reference; NULL: no entry */
json_t *recent_sessions_encode(
    const recent_sessions_t *, struct timespec now, double share);
/** Add the sessions of such an array. Other values are ignored. */
void recent_sessions_merge(
    recent_sessions_t *, const json_t *list, struct timespec now);

#endif
