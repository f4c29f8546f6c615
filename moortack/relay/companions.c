#include "moortack/relay/companions.h"

bool
companion_serves(const membership_t *members, const member_t *member)
{
	return member->peer[0] != '\0' && membership_named(members, member);
}

size_t
companions_of(
    const membership_t *members, const member_t *companions[COMPANIONS_MAX])
{
	size_t count = 0;

	for (const member_t *one = members->members; one != NULL;
	     one = one->hh.next) {
		if (!companion_serves(members, one))
			continue;
		if (count < COMPANIONS_MAX)
			companions[count] = one;
		count++;
	}
	return count;
}
