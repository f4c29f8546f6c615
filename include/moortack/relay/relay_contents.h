/**
 * @file
 * Follows what the endpoints that this daemon owns keep in their KV caches, by
 * calls to them.
 */
#ifndef MOORTACK_RELAY_RELAY_CONTENTS_H
#define MOORTACK_RELAY_RELAY_CONTENTS_H

#include "moortack/kv_cache/contents_follow.h"
#include "moortack/relay/contents_dialect.h"
#include "moortack/relay/prefix_index.h"

/** Endpoints that a daemon follows, with one call to each. With 10,000
 * endpoints and 985 daemons it owns ten on average, and 3 daemons in 100 own
 * more than this. */
#define CONTENTS_FOLLOWED_MAX 16

typedef struct followed_endpoint followed_endpoint_t;

typedef struct relay_contents {
	const contents_dialect_t *dialect; /**< NULL: nothing is followed */
	followed_endpoint_t *followed[CONTENTS_FOLLOWED_MAX];
	size_t len;
	uint32_t skipped; /**< endpoints beyond CONTENTS_FOLLOWED_MAX */
	/* State by which the endpoints were chosen. */
	struct timespec chosen_at;
	uint64_t members_hash;
	uint64_t endpoint_changes;
	uint64_t config_version;
	struct timespec logged_at; /**< last line on a gap or a failure */
} relay_contents_t;

typedef struct relay relay_t;

/** Follows the endpoints that this daemon owns now; called a few times a
 * second. */
void relay_contents_tick(relay_t *);
/** Ends all calls. */
void relay_contents_finish(relay_t *);

/**
 * How many leading parts of a prompt the endpoint keeps, by its own reports,
 * and by the prompts sent there that are too recent for these.
 * @return false: it is not followed here, or did not respond lately
 */
bool relay_contents_match(const relay_t *, const endpoint_t *,
    const prefix_list_t *, uint32_t *count);
/** The same by prompts that were sent too recently to be reported.
 * @param count how many are known to be kept
 * @return how many are kept */
uint32_t relay_contents_add_recent(
    const relay_t *, uint64_t endpoint, const prefix_list_t *, uint32_t count);
/** Number of endpoints whose contents are known now. */
uint32_t relay_contents_known(const relay_t *);
/** Number of parts that they keep. */
size_t relay_contents_parts(const relay_t *);

#endif
