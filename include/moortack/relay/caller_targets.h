/**
 * @file
 * Selects the daemons to which callers are sent. If there are more
 * than a response holds, each daemon selects different ones: strong daemons
 * with a higher probability, and the same ones each time, since callers close
 * their connections to daemons that are no longer listed.
 */
#ifndef MOORTACK_RELAY_CALLER_TARGETS_H
#define MOORTACK_RELAY_CALLER_TARGETS_H

#include "moortack/relay/region_list.h"
#include "moortack/relay/zone_table.h"
#include "moortack/replication/membership.h"

/** One daemon; its texts are owned by the membership. */
typedef struct caller_target {
	const char *address;
	const char *zone;
	double sort_key; /**< ascending: the lowest are selected */
} caller_target_t;

/** Restricts the daemons listed to a caller to those in certain regions. */
typedef struct caller_region_filter {
	const zone_table_t *zones;
	const region_list_t *regions;
} caller_region_filter_t;

/**
 * Select the daemons to list, in ascending order of their sort keys.
 * @param include_self whether this daemon accepts callers itself
 * @param filter NULL: daemons of all regions
 * @param targets room for @p targets_max
 * @return number of daemons that were filled in
 */
size_t caller_targets_select(const membership_t *, bool include_self,
    const caller_region_filter_t *filter, caller_target_t *targets,
    size_t targets_max);
/** Number of daemons available to callers, in all regions. */
size_t caller_targets_count(const membership_t *, bool include_self);

#endif
