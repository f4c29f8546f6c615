#include "common/rng.h"

#include <sodium.h>

static uint32_t
system_next(rng_t *rng)
{
	(void)rng;
	return randombytes_random();
}

void
rng_system_init(rng_t *rng)
{
	*rng = (rng_t){.next = system_next};
}

uint32_t
rng_below(rng_t *rng, uint32_t bound)
{
	return (uint32_t)((uint64_t)rng->next(rng) * bound >> 32);
}

uint64_t
rng_u64(rng_t *rng)
{
	return (uint64_t)rng->next(rng) << 32 | rng->next(rng);
}
