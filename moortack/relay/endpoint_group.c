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

/* The version that most endpoints have, apart from the excluded one. Of several
 * the first by name, so that all daemons choose the same.
 * @param version "" if there is none */
static void
majority_find(const endpoint_group_t *group, const char *excluded,
    char version[ENDPOINT_NAME_SIZE])
{
	version_count_t *counts = NULL, *count = NULL, *next = NULL;
	uint32_t best = 0;

	version[0] = '\0';
	for (size_t i = 0; i < group->len; i++) {
		const char *found = group->ring[i]->info.version;

		if (excluded != NULL && strcmp(found, excluded) == 0)
			continue;
		count = version_count_get(&counts, found);
		if (count != NULL)
			count->count++;
	}
	HASH_ITER(hh, counts, count, next)
	{
		if (count->count > best ||
		    (count->count == best &&
			strcmp(count->version, version) < 0)) {
			best = count->count;
			strcpy(version, count->version);
		}
		HASH_DEL(counts, count);
		free(count);
	}
}

void
endpoint_group_learn_base_version(endpoint_group_t *group)
{
	if (group->base_version[0] == '\0')
		majority_find(group, NULL, group->base_version);
}

void
endpoint_group_prove_base_version(endpoint_group_t *group)
{
	if (group->base_proven || group->len == 0)
		return;
	majority_find(group, NULL, group->base_version);
	group->base_proven = true;
}

const char *
endpoint_group_replaced_version(
    endpoint_group_t *group, const char *new_version)
{
	if (group->base_proven)
		return group->base_version;
	if (group->base_version[0] == '\0' ||
	    strcmp(group->base_version, new_version) == 0)
		majority_find(group, new_version, group->base_version);
	return group->base_version;
}
