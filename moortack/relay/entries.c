#include "moortack/relay/entries.h"

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
entry_insert(entry_t *entries, size_t len, size_t most, const entry_t *entry)
{
	size_t at = len;

	while (at > 0 && entries[at - 1].order > entry->order)
		at--;
	if (at == most)
		return len;
	if (len < most)
		len++;
	memmove(&entries[at + 1], &entries[at],
	    (len - at - 1) * sizeof(entries[0]));
	entries[at] = *entry;
	return len;
}

size_t
entries_fill(
    const membership_t *members, bool own, entry_t *entries, size_t most)
{
	const membership_settings_t *self = &members->settings;
	entry_t entry = {self->name, self->place,
	    own_order(members, self->name, self->strength)};
	size_t len = own ? entry_insert(entries, 0, most, &entry) : 0;

	for (const member_t *one = members->members; one != NULL;
	     one = one->hh.next) {
		if (!membership_named(members, one))
			continue;
		entry = (entry_t){one->name, one->place,
		    own_order(members, one->name, one->strength)};
		len = entry_insert(entries, len, most, &entry);
	}
	return len;
}

size_t
entries_count(const membership_t *members, bool own)
{
	size_t count = own;

	for (const member_t *one = members->members; one != NULL;
	     one = one->hh.next)
		count += membership_named(members, one);
	return count;
}
