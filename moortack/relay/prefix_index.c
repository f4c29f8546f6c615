#include "moortack/relay/prefix_index.h"

#include <stdlib.h>
#include <xxhash.h>

/* Marks, a power of two: 33 requests a second of three parts, at one daemon of
 * 810, fill half of them in KEEP_MS. 256 KB. */
#define MARKS 16384
/* Places where a mark may stand. */
#define WAYS 4
/* How long an endpoint is thought to keep what it read: on one of the users'
 * sheets its memory holds 468,000 tokens, and 9,000 to 17,000 are read there a
 * second. */
#define KEEP_MS 30000

bool
prefix_index_init(prefix_index_t *memory)
{
	memory->cap = MARKS;
	memory->entries = calloc(memory->cap, sizeof(*memory->entries));
	return memory->entries != NULL;
}

void
prefix_index_finish(prefix_index_t *memory)
{
	free(memory->entries);
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
mark_hash(uint32_t prefix, uint64_t endpoint)
{
	uint64_t hash =
	    XXH3_64bits_withSeed(&endpoint, sizeof(endpoint), prefix);

	return hash != 0 ? hash : 1;
}

/* The first of the places where the mark may stand. */
static prefix_entry_t *
mark_places(const prefix_index_t *memory, uint64_t hash)
{
	return &memory->entries[hash & (memory->cap - 1) & ~(size_t)(WAYS - 1)];
}

static void
mark_note(prefix_index_t *memory, uint64_t hash, int64_t now_ms)
{
	prefix_entry_t *places = mark_places(memory, hash);
	prefix_entry_t *oldest = places;

	for (size_t i = 0; i < WAYS; i++) {
		if (places[i].hash == hash) {
			oldest = &places[i];
			break;
		}
		if (places[i].sent_ms < oldest->sent_ms)
			oldest = &places[i];
	}
	*oldest = (prefix_entry_t){hash, now_ms};
}

static bool
mark_fresh(const prefix_index_t *memory, uint64_t hash, int64_t now_ms)
{
	const prefix_entry_t *places = mark_places(memory, hash);

	for (size_t i = 0; i < WAYS; i++) {
		if (places[i].hash == hash)
			return now_ms - places[i].sent_ms < KEEP_MS;
	}
	return false;
}

void
prefix_index_add(prefix_index_t *memory, const prefix_list_t *list,
    uint64_t endpoint, int64_t now_ms)
{
	for (size_t i = 0; i < list->len; i++)
		mark_note(memory, mark_hash(list->hashes[i], endpoint), now_ms);
}

size_t
prefix_index_match_count(const prefix_index_t *memory,
    const prefix_list_t *list, uint64_t endpoint, int64_t now_ms)
{
	size_t count = 0;

	while (count < list->len &&
	    mark_fresh(
		memory, mark_hash(list->hashes[count], endpoint), now_ms))
		count++;
	return count;
}

uint32_t
prefix_index_cached_tokens(const prefix_index_t *memory,
    const prefix_list_t *list, uint64_t endpoint, int64_t now_ms)
{
	size_t count = prefix_index_match_count(memory, list, endpoint, now_ms);

	return count > 0 ? list->tokens[count - 1] : 0;
}
