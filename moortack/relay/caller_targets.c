#include "moortack/relay/caller_targets.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define HASH_RANGE 18446744073709551616.0

/* A place in this daemon's own order, as in weighted rendezvous hashing: who
 * goes or comes changes nobody else's. */
static double
own_order(const membership_t *members, const char *name, double strength)
{
	const char *own = members->settings.name;
	uint64_t hash = XXH3_64bits_withSeed(
	    name, strlen(name), XXH3_64bits(own, strlen(own)));

	return -log(((double)hash + 1) / HASH_RANGE) /
	    (strength > 0 ? strength : 1);
}

/* Keep the first in the order.
 * @return how many there are now */
static size_t
target_insert(caller_target_t *targets, size_t len, size_t most,
    const caller_target_t *target)
{
	size_t at = len;

	while (at > 0 && targets[at - 1].order > target->order)
		at--;
	if (at == most)
		return len;
	if (len < most)
		len++;
	memmove(&targets[at + 1], &targets[at],
	    (len - at - 1) * sizeof(targets[0]));
	targets[at] = *target;
	return len;
}

static bool
region_matches(const caller_region_filter_t *filter, const char *zone)
{
	return filter == NULL ||
	    region_list_allows(
		filter->regions, zone_table_region(filter->zones, zone));
}

size_t
caller_targets_fill(const membership_t *members, bool own,
    const caller_region_filter_t *filter, caller_target_t *targets, size_t most)
{
	const membership_settings_t *self = &members->settings;
	caller_target_t target = {self->name, self->zone,
	    own_order(members, self->name, self->strength)};
	size_t len = own && region_matches(filter, self->zone)
	    ? target_insert(targets, 0, most, &target)
	    : 0;

	for (const member_t *one = members->members; one != NULL;
	     one = one->hh.next) {
		if (!member_is_available(members, one) ||
		    !region_matches(filter, one->zone))
			continue;
		target = (caller_target_t){one->name, one->zone,
		    own_order(members, one->name, one->strength)};
		len = target_insert(targets, len, most, &target);
	}
	return len;
}

size_t
caller_targets_count(const membership_t *members, bool own)
{
	size_t count = own;

	for (const member_t *one = members->members; one != NULL;
	     one = one->hh.next)
		count += member_is_available(members, one);
	return count;
}
