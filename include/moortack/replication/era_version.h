/**
 * @file
 * The order in which rows were written. A store that comes back from an older
 * copy begins a new era and gives out its numbers again: a version is the era
 * and the number in it, as one integer, so that comparing two compares the
 * pairs.
 */
#ifndef MOORTACK_REPLICATION_ERA_VERSION_H
#define MOORTACK_REPLICATION_ERA_VERSION_H

#include <stdint.h>

#define ERA_VERSION_SEQUENCE_BITS 48
#define ERA_VERSION_SEQUENCE_MAX \
	((UINT64_C(1) << ERA_VERSION_SEQUENCE_BITS) - 1)

/** @param number beyond 48 bits is cut */
static inline uint64_t
era_version_make(uint64_t era, uint64_t number)
{
	return era << ERA_VERSION_SEQUENCE_BITS |
	    (number & ERA_VERSION_SEQUENCE_MAX);
}

static inline uint64_t
era_version_era(uint64_t version)
{
	return version >> ERA_VERSION_SEQUENCE_BITS;
}

static inline uint64_t
era_version_sequence(uint64_t version)
{
	return version & ERA_VERSION_SEQUENCE_MAX;
}

#endif
