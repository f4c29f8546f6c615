/**
 * @file
 * Which prefixes endpoints are likely to have in their KV caches, by the
 * prompts that were recently sent to them. A set-associative table of fixed
 * size; the oldest entry of a bucket is replaced.
 */
#ifndef MOORTACK_RELAY_PREFIX_INDEX_H
#define MOORTACK_RELAY_PREFIX_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "moortack/relay/dialect.h"

/** A prompt prefix that was sent to an endpoint. */
typedef struct prefix_entry {
	uint64_t hash;	 /**< of the prefix and the endpoint; 0: unused */
	int64_t sent_ms; /**< when it was last sent */
} prefix_entry_t;

typedef struct prefix_index {
	prefix_entry_t *entries;
	size_t cap;
} prefix_index_t;

/** The prefixes of one prompt, shortest first. */
typedef struct prefix_list {
	uint32_t parts[ARRIVAL_PARTS_MAX]; /**< see part_hash() */
	uint32_t hashes[ARRIVAL_PARTS_MAX];
	uint32_t tokens[ARRIVAL_PARTS_MAX]; /**< length of each prefix */
	size_t len;
} prefix_list_t;

bool prefix_index_init(prefix_index_t *);
void prefix_index_finish(prefix_index_t *);

/** Fills in the prefixes that the prompt's parts form.
 * @param model hash of its name: models don't share cached prefixes */
void prefix_list_fill(prefix_list_t *, const arrival_t *, uint64_t model);
/** The same by the hashes of the parts; the lengths are not known.
 * @param len at most ARRIVAL_PARTS_MAX */
void
prefix_list_fill_hashes(prefix_list_t *, const uint32_t *parts, size_t len);

/** Records that the prompt is sent to the endpoint. */
void prefix_index_add(
    prefix_index_t *, const prefix_list_t *, uint64_t endpoint, int64_t now_ms);
/** Number of the prompt's prefixes that the endpoint is likely to have cached.
 */
size_t prefix_index_match_count(const prefix_index_t *, const prefix_list_t *,
    uint64_t endpoint, int64_t now_ms);
/** Whether the prefix was sent to the endpoint within the last @p max_ms.
 * @param prefix hash of the prefix */
bool prefix_index_sent_within(const prefix_index_t *, uint32_t prefix,
    uint64_t endpoint, int64_t now_ms, int64_t max_ms);
/** Number of the prompt's tokens that the endpoint is likely to have cached. */
uint32_t prefix_index_cached_tokens(const prefix_index_t *,
    const prefix_list_t *, uint64_t endpoint, int64_t now_ms);

#endif
