/**
 * @file
 * Random numbers as an interface: libsodium's in the daemons, a seeded stream
 * in tests and experiments.
 */
#ifndef COMMON_RNG_H
#define COMMON_RNG_H

#include <stdint.h>

typedef struct rng rng_t;

struct rng {
	uint32_t (*next)(rng_t *); /**< uniform over all values */
	uint64_t state;		   /**< of a seeded stream */
};

/** The machine's random numbers. */
void rng_system_init(rng_t *);

/** A stream that is the same for the same seed (libsodium's deterministic
 * generator). */
void rng_seeded_init(rng_t *, uint64_t seed);

/** Uniform from 0 to @p bound - 1. */
uint32_t rng_below(rng_t *, uint32_t bound);

/** Uniform from 0 to less than 1. */
double rng_unit(rng_t *);

/** 64 random bits. */
uint64_t rng_bits(rng_t *);

#endif
