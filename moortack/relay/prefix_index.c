#include "moortack/relay/prefix_index.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "moortack/kv_cache/part_hash.h"

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

static void
list_add(prefix_list_t *list, uint32_t part)
{
	size_t i = list->len++;

	list->parts[i] = part;
	list->hashes[i] =
	    i > 0 ? prefix_hash_extend(list->hashes[i - 1], part) : part;
}

void
prefix_list_fill(prefix_list_t *list, const arrival_t *arrival, uint64_t model)
{
	uint32_t tokens = 0;

	list->len = 0;
	for (size_t i = 0; i < arrival->parts_len; i++) {
		const prompt_part_t *part = &arrival->parts[i];

		tokens += part->tokens;
		list->tokens[i] = tokens;
		list_add(list, part_hash(part->id, model));
	}
}

void
prefix_list_fill_hashes(prefix_list_t *list, const uint32_t *parts, size_t len)
{
	list->len = 0;
	memset(list->tokens, 0, sizeof(list->tokens));
	for (size_t i = 0; i < len; i++)
		list_add(list, parts[i]);
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
entry_sent_within(
    const prefix_index_t *index, uint64_t hash, int64_t now_ms, int64_t max_ms)
{
	const prefix_entry_t *bucket = bucket_of(index, hash);

	for (size_t i = 0; i < WAYS; i++) {
		if (bucket[i].hash == hash)
			return now_ms - bucket[i].sent_ms < max_ms;
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

bool
prefix_index_sent_within(const prefix_index_t *index, uint32_t prefix,
    uint64_t endpoint, int64_t now_ms, int64_t max_ms)
{
	return entry_sent_within(
	    index, entry_hash(prefix, endpoint), now_ms, max_ms);
}

size_t
prefix_index_match_count(const prefix_index_t *index, const prefix_list_t *list,
    uint64_t endpoint, int64_t now_ms)
{
	size_t count = 0;

	while (count < list->len &&
	    prefix_index_sent_within(
		index, list->hashes[count], endpoint, now_ms, ENTRY_TTL_MS))
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
