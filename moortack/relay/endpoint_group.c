#include <stdlib.h>
#include <string.h>

#include "moortack/relay/endpoint_set.h"

#define INITIAL_CAP 16

/** Number of endpoints with a version. */
typedef struct version_count {
	char version[ENDPOINT_NAME_SIZE];
	uint32_t count;
	UT_hash_handle hh;
} version_count_t;

size_t
endpoint_group_lower_bound(const endpoint_group_t *group, uint64_t hash)
{
	size_t low = 0, high = group->len;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (group->ring[middle]->hash < hash)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool
ring_reserve(endpoint_group_t *group)
{
	size_t cap = group->cap > 0 ? 2 * group->cap : INITIAL_CAP;
	endpoint_t **grown;

	if (group->len < group->cap)
		return true;
	grown = realloc(group->ring, cap * sizeof(*grown));
	if (grown == NULL)
		return false;
	group->ring = grown;
	group->cap = cap;
	return true;
}

bool
endpoint_group_add(endpoint_group_t *group, endpoint_t *endpoint)
{
	size_t at = endpoint_group_lower_bound(group, endpoint->hash);

	if (!ring_reserve(group))
		return false;
	memmove(&group->ring[at + 1], &group->ring[at],
	    (group->len - at) * sizeof(group->ring[0]));
	group->ring[at] = endpoint;
	group->len++;
	return true;
}

void
endpoint_group_remove(endpoint_group_t *group, const endpoint_t *endpoint)
{
	size_t at = endpoint_group_lower_bound(group, endpoint->hash);

	while (at < group->len && group->ring[at] != endpoint)
		at++;
	if (at == group->len)
		return;
	group->len--;
	memmove(&group->ring[at], &group->ring[at + 1],
	    (group->len - at) * sizeof(group->ring[0]));
}

static version_count_t *
version_count_get(version_count_t **counts, const char *version)
{
	version_count_t *count;

	HASH_FIND_STR(*counts, version, count);
	if (count != NULL)
		return count;
	count = calloc(1, sizeof(*count));
	if (count == NULL)
		return NULL;
	strcpy(count->version, version);
	HASH_ADD_STR(*counts, version, count);
	return count;
}

void
endpoint_group_learn_base_version(endpoint_group_t *group)
{
	version_count_t *counts = NULL, *count, *next;
	uint32_t best = 0;

	if (group->base_version[0] != '\0')
		return;
	for (size_t i = 0; i < group->len; i++) {
		count =
		    version_count_get(&counts, group->ring[i]->info.version);
		if (count != NULL)
			count->count++;
	}
	HASH_ITER(hh, counts, count, next)
	{
		if (count->count > best) {
			best = count->count;
			strcpy(group->base_version, count->version);
		}
		HASH_DEL(counts, count);
		free(count);
	}
}
