#include "moortack/quarantine/proven_parts.h"

#include <stdlib.h>
#include <string.h>

/* Capacity, a power of two: at 33 requests a second and daemon, a minute of
 * prompts with two shared parts each, all of them different. 160 KB. */
#define ENTRIES 4096
/* Associativity: entries per bucket. */
#define WAYS 4
/* How long after its last answer a part counts as proven. */
#define PROOF_EXPIRY_MS 600000
/* Time between two refutations of suspicions of a part: less than that between
 * a report of a crash and its repetition. */
#define REFUTATION_INTERVAL_MS 150

bool
proven_parts_init(proven_parts_t *self)
{
	self->entries = calloc(ENTRIES, sizeof(*self->entries));
	return self->entries != NULL;
}

void
proven_parts_finish(proven_parts_t *self)
{
	free(self->entries);
	self->entries = NULL;
}

/* The first entry of the bucket of the digest. */
static proven_part_t *
bucket_of(const proven_parts_t *self, uint64_t digest)
{
	return &self->entries[digest & (ENTRIES - 1) & ~(uint64_t)(WAYS - 1)];
}

static proven_part_t *
entry_find(const proven_parts_t *self, uint64_t digest)
{
	proven_part_t *bucket = bucket_of(self, digest);

	for (size_t i = 0; i < WAYS; i++) {
		if (bucket[i].digest == digest)
			return &bucket[i];
	}
	return NULL;
}

static proven_part_t *
oldest_entry(const proven_parts_t *self, uint64_t digest)
{
	proven_part_t *bucket = bucket_of(self, digest);
	proven_part_t *oldest = bucket;

	for (size_t i = 0; i < WAYS; i++) {
		if (bucket[i].digest == 0)
			return &bucket[i];
		if (bucket[i].answered_ms < oldest->answered_ms)
			oldest = &bucket[i];
	}
	return oldest;
}

void
proven_parts_count_answer(proven_parts_t *self)
{
	self->answers++;
}

void
proven_parts_add(
    proven_parts_t *self, uint64_t digest, uint32_t version, int64_t now_ms)
{
	proven_part_t *entry = entry_find(self, digest);

	if (entry == NULL) {
		entry = oldest_entry(self, digest);
		*entry = (proven_part_t){.digest = digest};
	}
	entry->answered_ms = now_ms;
	entry->version = version;
	entry->crashes = 0;
	entry->answers_at = self->answers;
}

const proven_part_t *
proven_parts_find(const proven_parts_t *self, uint64_t digest, int64_t now_ms)
{
	const proven_part_t *entry = entry_find(self, digest);

	return entry != NULL && now_ms - entry->answered_ms < PROOF_EXPIRY_MS
	    ? entry
	    : NULL;
}

bool
proven_parts_outweigh(
    proven_parts_t *self, uint64_t digest, uint32_t incarnation, int64_t now_ms)
{
	proven_part_t *entry = entry_find(self, digest);

	if (proven_parts_find(self, digest, now_ms) == NULL)
		return false;
	if (entry->crashes == 0 || entry->last_crash != incarnation)
		entry->crashes++;
	entry->last_crash = incarnation;
	if (entry->crashes <= PROOF_CRASHES_MAX ||
	    self->answers - entry->answers_at < PROOF_CONTRAST_MIN)
		return true;
	proven_parts_remove(self, digest);
	return false;
}

bool
proven_parts_refute(proven_parts_t *self, uint64_t digest, int64_t now_ms)
{
	proven_part_t *entry = entry_find(self, digest);

	if (entry == NULL ||
	    (entry->refuted_ms != 0 &&
		now_ms - entry->refuted_ms < REFUTATION_INTERVAL_MS))
		return false;
	entry->refuted_ms = now_ms;
	return true;
}

void
proven_parts_remove(proven_parts_t *self, uint64_t digest)
{
	proven_part_t *entry = entry_find(self, digest);

	if (entry != NULL)
		memset(entry, 0, sizeof(*entry));
}
