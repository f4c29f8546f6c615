/**
 * @file
 * Row versions, in the order in which the rows were written. A store that is
 * restored from an older copy begins a new era and assigns sequence numbers
 * that it has assigned before. A version therefore holds the era and the
 * sequence number within it as one integer: comparing two versions compares
 * the pairs.
 */
#ifndef MOORTACK_REPLICATION_ERA_VERSION_H
#define MOORTACK_REPLICATION_ERA_VERSION_H

#include <stdint.h>

#define ERA_VERSION_SEQUENCE_BITS 48
#define ERA_VERSION_SEQUENCE_MAX \
	((UINT64_C(1) << ERA_VERSION_SEQUENCE_BITS) - 1)

/** @param sequence bits beyond the lower 48 are discarded */
static inline uint64_t
era_version_make(uint64_t era, uint64_t sequence)
{
	return era << ERA_VERSION_SEQUENCE_BITS |
	    (sequence & ERA_VERSION_SEQUENCE_MAX);
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
