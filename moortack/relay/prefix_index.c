#include "moortack/relay/prefix_index.h"

#include <stdlib.h>
#include <xxhash.h>

/* Capacity, a power of two: 33 requests a second with three parts each, at one
 * daemon of 810, fill half of it within ENTRY_TTL_MS. 256 KB. */
#define ENTRIES 16384
/* Associativity: entries per bucket. */
#define WAYS 4
/* How long a prefix is assumed to stay cached: in one deployment an endpoint's
 * KV cache holds 468,000 tokens, and 9,000 to 17,000 tokens are prefilled there
 * per second. */
#define ENTRY_TTL_MS 30000

bool
prefix_index_init(prefix_index_t *index)
{
	index->cap = ENTRIES;
	index->entries = calloc(index->cap, sizeof(*index->entries));
	return index->entries != NULL;
}

void
prefix_index_finish(prefix_index_t *index)
{
	free(index->entries);
}

void
prefix_list_fill(prefix_list_t *list, const arrival_t *arrival, uint64_t model)
{
	uint64_t hash = model;
	uint32_t tokens = 0;

	list->len = arrival->parts_len;
	for (size_t i = 0; i < list->len; i++) {
		const prompt_part_t *part = &arrival->parts[i];

		hash = XXH3_64bits_withSeed(&part->id, sizeof(part->id), hash);
		tokens += part->tokens;
		list->hashes[i] = (uint32_t)hash;
		list->tokens[i] = tokens;
	}
}

static uint64_t
entry_hash(uint32_t prefix, uint64_t endpoint)
{
	uint64_t hash =
	    XXH3_64bits_withSeed(&endpoint, sizeof(endpoint), prefix);

	return hash != 0 ? hash : 1;
}

/* The first entry of the bucket that the hash maps to. */
static prefix_entry_t *
bucket_of(const prefix_index_t *index, uint64_t hash)
{
	return &index->entries[hash & (index->cap - 1) & ~(size_t)(WAYS - 1)];
}

static void
entry_add(prefix_index_t *index, uint64_t hash, int64_t now_ms)
{
	prefix_entry_t *bucket = bucket_of(index, hash);
	prefix_entry_t *oldest = bucket;

	for (size_t i = 0; i < WAYS; i++) {
		if (bucket[i].hash == hash) {
			oldest = &bucket[i];
			break;
		}
		if (bucket[i].sent_ms < oldest->sent_ms)
			oldest = &bucket[i];
	}
	*oldest = (prefix_entry_t){hash, now_ms};
}

static bool
entry_is_fresh(const prefix_index_t *index, uint64_t hash, int64_t now_ms)
{
	const prefix_entry_t *bucket = bucket_of(index, hash);

	for (size_t i = 0; i < WAYS; i++) {
		if (bucket[i].hash == hash)
			return now_ms - bucket[i].sent_ms < ENTRY_TTL_MS;
	}
	return false;
}

void
prefix_index_add(prefix_index_t *index, const prefix_list_t *list,
    uint64_t endpoint, int64_t now_ms)
{
	for (size_t i = 0; i < list->len; i++)
		entry_add(index, entry_hash(list->hashes[i], endpoint), now_ms);
}

size_t
prefix_index_match_count(const prefix_index_t *index, const prefix_list_t *list,
    uint64_t endpoint, int64_t now_ms)
{
	size_t count = 0;

	while (count < list->len &&
	    entry_is_fresh(
		index, entry_hash(list->hashes[count], endpoint), now_ms))
		count++;
	return count;
}

uint32_t
prefix_index_cached_tokens(const prefix_index_t *index,
    const prefix_list_t *list, uint64_t endpoint, int64_t now_ms)
{
	size_t count = prefix_index_match_count(index, list, endpoint, now_ms);

	return count > 0 ? list->tokens[count - 1] : 0;
}
