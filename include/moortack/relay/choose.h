/**
 * @file
 * The choice of an endpoint among those that may take a request: a pure
 * decision, without I/O and clock.
 */
#ifndef MOORTACK_RELAY_CHOOSE_H
#define MOORTACK_RELAY_CHOOSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** One endpoint that may be chosen. */
typedef struct choose_candidate {
	uint64_t hash; /**< of its id */
	double load;   /**< requests that it likely holds */
	uint32_t slots;
	bool same_place;
	bool ejected; /**< taken only if all are */
} choose_candidate_t;

/** What the choice weighs. */
typedef struct choose_wish {
	bool affine;	    /**< endpoints keep what a request shares */
	uint64_t affinity;  /**< hash of what is shared */
	uint32_t dice;	    /**< random, to break ties */
	double place_bonus; /**< of a slot share, for the same place */
} choose_wish_t;

/** Whether the candidate is of the half that takes long prompts: the same half
 * for all who see the same candidates. */
bool
choose_is_long_side(const choose_candidate_t *, size_t len, size_t candidate);

/** @return the chosen index, or SIZE_MAX when there is none */
size_t
choose_endpoint(const choose_candidate_t *, size_t len, const choose_wish_t *);

#endif
