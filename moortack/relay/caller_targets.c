#include "moortack/relay/caller_targets.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define HASH_RANGE 18446744073709551616.0

/* Sort key of a daemon in this daemon's own order, by weighted rendezvous
 * hashing: a daemon that is added or removed changes the order of no others. */
static double
sort_key_compute(const membership_t *members, const char *name, double strength)
{
	const char *self_name = members->settings.name;
	uint64_t hash = XXH3_64bits_withSeed(
	    name, strlen(name), XXH3_64bits(self_name, strlen(self_name)));

	return -log(((double)hash + 1) / HASH_RANGE) /
	    (strength > 0 ? strength : 1);
}

/* Inserts the target into the sorted array, which keeps the first targets_max.
 * @return the new length */
static size_t
target_insert(caller_target_t *targets, size_t len, size_t targets_max,
    const caller_target_t *target)
{
	size_t index = len;

	while (index > 0 && targets[index - 1].sort_key > target->sort_key)
		index--;
	if (index == targets_max)
		return len;
	if (len < targets_max)
		len++;
	memmove(&targets[index + 1], &targets[index],
	    (len - index - 1) * sizeof(targets[0]));
	targets[index] = *target;
	return len;
}

static bool
region_allowed(const caller_region_filter_t *filter, const char *zone)
{
	return filter == NULL ||
	    region_list_allows(
		filter->regions, zone_table_region(filter->zones, zone));
}

size_t
caller_targets_select(const membership_t *members, bool include_self,
    const caller_region_filter_t *filter, caller_target_t *targets,
    size_t targets_max)
{
	const membership_settings_t *self = &members->settings;
	caller_target_t target = {self->name, self->zone,
	    sort_key_compute(members, self->name, self->strength)};
	size_t len = include_self && region_allowed(filter, self->zone)
	    ? target_insert(targets, 0, targets_max, &target)
	    : 0;

	for (const member_t *member = members->members; member != NULL;
	     member = member->hh.next) {
		if (!member_is_available(members, member) ||
		    !region_allowed(filter, member->zone))
			continue;
		target = (caller_target_t){member->name, member->zone,
		    sort_key_compute(members, member->name, member->strength)};
		len = target_insert(targets, len, targets_max, &target);
	}
	return len;
}

size_t
caller_targets_count(const membership_t *members, bool include_self)
{
	size_t count = include_self;

	for (const member_t *member = members->members; member != NULL;
	     member = member->hh.next)
		count += member_is_available(members, member);
	return count;
}
