/**
 * @file
 * The choice of an endpoint among those that may take a request: a pure
 * decision, without I/O and clock.
 *
 * Prompts go where they cost least, in milliseconds of an endpoint's time: what
 * waits there, what has to be read, what the way is worth. Plain work goes
 * where the smallest part of the slots is taken.
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
	bool same_zone;
	bool ejected;	  /**< taken only if all are */
	uint32_t unread;  /**< tokens that it isn't known to keep */
	double wait_ms;	  /**< until it begins to read one more prompt */
	double own_ms;	  /**< reading what is the request's own of these */
	double shared_ms; /**< reading what others share, and its price */
	double far_ms;	  /**< what the way there is worth */
} choose_candidate_t;

/** What the choice weighs. */
typedef struct choose_wish {
	bool prompt;	    /**< it has one; else it is plain work */
	uint64_t affinity;  /**< hash of what the prompt shares */
	double first_keeps; /**< how likely the first endpoint in the order for
			       that keeps it, by the sends of others */
	uint32_t dice;	    /**< random, to break ties */
	double zone_bonus;  /**< of a slot share, for the same zone */
} choose_wish_t;

/** The first ones in the order for what is shared, which all daemons see alike:
 * of those that are not ejected, if there are any.
 * @param out room for @p most indexes
 * @return how many were filled in */
size_t choose_first(const choose_candidate_t *, size_t len,
    const choose_wish_t *, size_t *out, size_t most);

/** @return the chosen index, or SIZE_MAX when there is none */
size_t
choose_endpoint(const choose_candidate_t *, size_t len, const choose_wish_t *);

#endif
