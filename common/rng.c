#include "common/rng.h"

#include <sodium.h>
#include <string.h>

#define UNIT 4294967296.0 /* 2^32 */

static uint32_t
system_next(rng_t *rng)
{
	(void)rng;
	return randombytes_random();
}

/* Each number is drawn from a stream of its own, keyed by seed and count. */
static uint32_t
seeded_next(rng_t *rng)
{
	unsigned char seed[randombytes_SEEDBYTES] = {0};
	uint32_t out;

	memcpy(seed, &rng->state, sizeof(rng->state));
	rng->state += UINT64_C(0x100000001);
	randombytes_buf_deterministic(&out, sizeof(out), seed);
	return out;
}

void
rng_system_init(rng_t *rng)
{
	*rng = (rng_t){.next = system_next};
}

void
rng_seeded_init(rng_t *rng, uint64_t seed)
{
	*rng = (rng_t){.next = seeded_next, .state = seed << 40};
}

uint32_t
rng_below(rng_t *rng, uint32_t bound)
{
	return (uint32_t)((uint64_t)rng->next(rng) * bound >> 32);
}

double
rng_unit(rng_t *rng)
{
	return rng->next(rng) / UNIT;
}

uint64_t
rng_bits(rng_t *rng)
{
	return (uint64_t)rng->next(rng) << 32 | rng->next(rng);
}
