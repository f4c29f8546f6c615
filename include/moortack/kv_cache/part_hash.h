/**
 * @file
 * Hashes by which daemons name the parts of prompts and the prefixes that they
 * form. The hash of a prefix follows from the hashes of its parts, so that a
 * daemon that is sent those can look up both.
 */
#ifndef MOORTACK_KV_CACHE_PART_HASH_H
#define MOORTACK_KV_CACHE_PART_HASH_H

#include <stdint.h>

/** Hash of a model's name. */
uint64_t model_hash(const char *name);
/** Hash of one part.
 * @param id of the part
 * @param model hash of its name: models don't share cached parts */
uint32_t part_hash(uint64_t id, uint64_t model);
/** Hash of a prefix that consists of another one and a part.
 * @param prefix hash of the shorter prefix
 * @param part hash of the part that follows */
uint32_t prefix_hash_extend(uint32_t prefix, uint32_t part);

#endif
