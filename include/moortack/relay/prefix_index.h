/**
 * @file
 * Which endpoints were lately sent prompts that begin alike: they still keep
 * what they read, and need not read it again. A bounded set of marks; the
 * oldest make room.
 */
#ifndef MOORTACK_RELAY_PREFIX_INDEX_H
#define MOORTACK_RELAY_PREFIX_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "moortack/relay/dialect.h"

/** A beginning of a prompt that an endpoint was sent. */
typedef struct prefix_entry {
	uint64_t hash;	 /**< of beginning and endpoint; 0: none */
	int64_t sent_ms; /**< when it was last sent */
} prefix_entry_t;

typedef struct prefix_index {
	prefix_entry_t *entries;
	size_t cap;
} prefix_index_t;

/** The beginnings of one prompt, the shortest first. */
typedef struct prefix_list {
	uint32_t hashes[ARRIVAL_PARTS_MAX];
	uint32_t tokens[ARRIVAL_PARTS_MAX]; /**< of each one whole */
	size_t len;
} prefix_list_t;

bool prefix_index_init(prefix_index_t *);
void prefix_index_finish(prefix_index_t *);

/** The beginnings that the arrival's parts form.
 * @param model hash of it: models keep apart what they read */
void prefix_list_fill(prefix_list_t *, const arrival_t *, uint64_t model);

/** An endpoint is sent the prompt. */
void prefix_index_add(
    prefix_index_t *, const prefix_list_t *, uint64_t endpoint, int64_t now_ms);
/** How many of the beginnings the endpoint has likely kept. */
size_t prefix_index_match_count(const prefix_index_t *, const prefix_list_t *,
    uint64_t endpoint, int64_t now_ms);
/** Tokens of the prompt that the endpoint has likely kept. */
uint32_t prefix_index_cached_tokens(const prefix_index_t *,
    const prefix_list_t *, uint64_t endpoint, int64_t now_ms);

#endif
