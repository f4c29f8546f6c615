/**
 * @file
 * Parts of prompts that endpoints answered without crashing. A part that was
 * under way at a crash, but had been answered before, is most likely not its
 * cause. A set-associative table of fixed size; the oldest entry of a bucket is
 * replaced. Without I/O; times are passed in, in milliseconds of one clock.
 */
#ifndef MOORTACK_QUARANTINE_PROVEN_PARTS_H
#define MOORTACK_QUARANTINE_PROVEN_PARTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Crashes since it was last answered that a proven part outweighs; the next
 * one ends the proof, unless hardly any prompt was answered since. */
#define PROOF_CRASHES_MAX 2
/** Prompts without the part that have to be answered before crashes can end its
 * proof: while endpoints crash under all prompts, that says nothing about one
 * part. */
#define PROOF_CONTRAST_MIN 8

typedef struct proven_part {
	uint64_t digest;     /**< see part_digest(); 0: unused */
	int64_t answered_ms; /**< when it was last answered */
	int64_t refuted_ms;  /**< when a suspicion was last refuted; 0: never */
	uint32_t version;    /**< hash of the service and version that did so */
	uint32_t last_crash; /**< hash of the incarnation that crashed last */
	uint32_t crashes;    /**< under the part, since it was answered */
	uint32_t answers_at; /**< answers counted when it was answered */
} proven_part_t;

typedef struct proven_parts {
	proven_part_t *entries;
	uint32_t answers; /**< prompts answered so far; may overflow */
} proven_parts_t;

/** @return false: out of memory */
bool proven_parts_init(proven_parts_t *);
void proven_parts_finish(proven_parts_t *);

/** An endpoint answered a prompt and went on; its parts are added next. */
void proven_parts_count_answer(proven_parts_t *);
/** A prompt with the part was answered. */
void proven_parts_add(
    proven_parts_t *, uint64_t digest, uint32_t version, int64_t now_ms);
/** @return NULL: the part is not proven, or no longer */
const proven_part_t *
proven_parts_find(const proven_parts_t *, uint64_t digest, int64_t now_ms);
/** An endpoint crashed while it ran a prompt with the part. Several reports of
 * one crash count once.
 * @param incarnation hash of the endpoint's id and start
 * @return whether the part is still proven */
bool proven_parts_outweigh(
    proven_parts_t *, uint64_t digest, uint32_t incarnation, int64_t now_ms);
/** Whether another daemon's suspicion of a proven part is to be refuted now:
 * at most a few times a second. Records that it is. */
bool proven_parts_refute(proven_parts_t *, uint64_t digest, int64_t now_ms);
/** The part is proven no longer. */
void proven_parts_remove(proven_parts_t *, uint64_t digest);

#endif
