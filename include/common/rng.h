/**
 * @file
 * Random number interface: libsodium in the daemons, a seeded GSL generator in
 * experiments.
 */
#ifndef COMMON_RNG_H
#define COMMON_RNG_H

#include <stdint.h>

typedef struct rng rng_t;

struct rng {
	uint32_t (*next)(rng_t *); /**< uniform over all 32-bit values */
	uint64_t state;		   /**< of generators that need one */
};

/** Use the operating system's random numbers, through libsodium. */
void rng_system_init(rng_t *);

/** A uniform random number from 0 to @p bound - 1. */
uint32_t rng_below(rng_t *, uint32_t bound);

/** 64 random bits. */
uint64_t rng_u64(rng_t *);

#endif
