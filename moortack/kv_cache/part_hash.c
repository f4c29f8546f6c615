#include "moortack/kv_cache/part_hash.h"

#include <string.h>
#include <xxhash.h>

uint64_t
model_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

uint32_t
part_hash(uint64_t id, uint64_t model)
{
	return (uint32_t)XXH3_64bits_withSeed(&id, sizeof(id), model);
}

uint32_t
prefix_hash_extend(uint32_t prefix, uint32_t part)
{
	return (uint32_t)XXH3_64bits_withSeed(&part, sizeof(part), prefix);
}
