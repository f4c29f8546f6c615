/**
 * @file
 * The daemons that callers are told to use. Where there are more than an answer
 * holds, each daemon tells of others of them: the strong ones likelier, and the
 * same ones each time, since callers give up connections to who is told no
 * longer.
 */
#ifndef MOORTACK_RELAY_CALLER_TARGETS_H
#define MOORTACK_RELAY_CALLER_TARGETS_H

#include "moortack/relay/region_list.h"
#include "moortack/relay/zone_table.h"
#include "moortack/replication/membership.h"

/** One daemon; the texts are the membership's. */
typedef struct caller_target {
	const char *address;
	const char *zone;
	double sort_key; /**< in which this daemon prefers them */
} caller_target_t;

/** Limits the daemons named to a caller to those in certain regions. */
typedef struct caller_region_filter {
	const zone_table_t *zones;
	const region_list_t *regions;
} caller_region_filter_t;

/**
 * @param filter NULL: daemons of all regions
 * @param own whether this daemon takes callers itself
 * @param targets room for @p most
 * @return how many were filled in
 */
size_t caller_targets_select(const membership_t *, bool include_self,
    const caller_region_filter_t *filter, caller_target_t *targets,
    size_t targets_max);
/** How many there are. */
size_t caller_targets_count(const membership_t *, bool include_self);

#endif
