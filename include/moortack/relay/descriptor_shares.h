/**
 * @file
 * Divides the descriptors of a process among its listeners, so that some are
 * left for endpoints, the store and other daemons whatever callers do.
 */
#ifndef MOORTACK_RELAY_DESCRIPTOR_SHARES_H
#define MOORTACK_RELAY_DESCRIPTOR_SHARES_H

#include <stdint.h>

/** Connections that may be open at the same time. */
typedef struct descriptor_shares {
	uint32_t callers;
	uint32_t daemons;   /**< for requests that other daemons send on */
	uint32_t peers;	    /**< for rows that other daemons follow */
	uint32_t directory; /**< for callers that look up daemons */
	uint32_t health;
	uint32_t metrics;
	uint32_t endpoints; /**< by this process, for requests in flight */
} descriptor_shares_t;

/** @param descriptors of the process; 0: not known */
descriptor_shares_t descriptor_shares(uint32_t descriptors);

#endif
