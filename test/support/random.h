/**
 * @file
 * Pseudorandom numbers that depend on their seed alone.
 */
#ifndef TEST_SUPPORT_RANDOM_H
#define TEST_SUPPORT_RANDOM_H

#include <stdint.h>

/** The next number, from 0 to @p bound - 1.
 * @param state holds the seed at first */
static inline uint32_t
random_below(uint64_t *state, uint32_t bound)
{
	*state = *state * UINT64_C(6364136223846793005) +
	    UINT64_C(1442695040888963407);
	return (uint32_t)(*state >> 33) % bound;
}

#endif
