/**
 * @file
 * Restrictions of endpoints that have no entry at present. An entry that was
 * removed, as during an outage of the store, may come back while the endpoint
 * runs on, and what it asked of its callers still holds.
 */
#ifndef MOORTACK_RELAY_RESTRICTION_MEMORY_H
#define MOORTACK_RELAY_RESTRICTION_MEMORY_H

#include <stddef.h>

#include "moortack/relay/endpoint_restrictions.h"

/** Endpoints that are remembered; beyond it the oldest are forgotten. */
#define RESTRICTIONS_REMEMBERED_MAX 512

/** One endpoint. */
typedef struct remembered_restrictions {
	uint64_t key; /**< identifies the incarnation; 0: unused */
	endpoint_restrictions_t restrictions;
} remembered_restrictions_t;

typedef struct restriction_memory {
	remembered_restrictions_t *entries; /**< NULL: none so far */
	size_t next;
} restriction_memory_t;

/** Free what was allocated; a zeroed memory is empty. */
void restriction_memory_finish(restriction_memory_t *);

/** Remember the restrictions of an endpoint, if any is in force. */
void restriction_memory_store(restriction_memory_t *, uint64_t key,
    const endpoint_restrictions_t *, struct timespec now);

/** Forget an endpoint and return its restrictions; none if it is unknown. */
endpoint_restrictions_t
restriction_memory_take(restriction_memory_t *, uint64_t key);

#endif
