/**
 * @file
 * Random numbers as an interface: libsodium's in the daemons, a seeded
 * generator of GSL in experiments.
 */
#ifndef COMMON_RNG_H
#define COMMON_RNG_H

#include <stdint.h>

typedef struct rng rng_t;

struct rng {
	uint32_t (*next)(rng_t *); /**< uniform over all values */
	uint64_t state;		   /**< of those that have one */
};

/** The machine's random numbers. */
void rng_system_init(rng_t *);

/** Uniform from 0 to @p bound - 1. */
uint32_t rng_below(rng_t *, uint32_t bound);

/** 64 random bits. */
uint64_t rng_u64(rng_t *);

#endif
