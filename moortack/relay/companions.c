#include "moortack/relay/companions.h"

#include <string.h>
#include <xxhash.h>

/* @param place NULL: any */
static bool
is_companion(
    const membership_t *members, const member_t *member, const char *place)
{
	return member->peer[0] != '\0' && member->state == MEMBER_READY &&
	    strcmp(member->name, members->settings.name) != 0 &&
	    (place == NULL || strcmp(member->place, place) == 0) &&
	    membership_alive(members, member);
}

/* How far the member stands behind this daemon in the circle of all. */
static uint64_t
distance(const membership_t *members, const member_t *member)
{
	const char *own = members->settings.name;

	return XXH3_64bits(member->name, strlen(member->name)) -
	    XXH3_64bits(own, strlen(own));
}

static size_t
count_of(const membership_t *members)
{
	size_t count = 0;

	for (const member_t *one = members->members; one != NULL;
	     one = one->hh.next)
		count += is_companion(members, one, NULL);
	return count;
}

/* Keep the nearest ones, the nearest first. */
static size_t
nearest_insert(const membership_t *members, const member_t *member,
    const member_t *companions[COMPANIONS_MAX], size_t len)
{
	size_t at = len;

	while (at > 0 &&
	    distance(members, companions[at - 1]) > distance(members, member))
		at--;
	if (at == COMPANIONS_MAX)
		return len;
	if (len < COMPANIONS_MAX)
		len++;
	memmove(&companions[at + 1], &companions[at],
	    (len - at - 1) * sizeof(companions[0]));
	companions[at] = member;
	return len;
}

size_t
companions_of(
    const membership_t *members, const member_t *companions[COMPANIONS_MAX])
{
	const char *place =
	    count_of(members) > COMPANIONS_MAX ? members->settings.place : NULL;
	size_t len = 0;

	for (const member_t *one = members->members; one != NULL;
	     one = one->hh.next) {
		if (is_companion(members, one, place))
			len = nearest_insert(members, one, companions, len);
	}
	return len;
}
