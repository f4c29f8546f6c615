#include "moortack/relay/restriction_memory.h"

#include <stdlib.h>

void
restriction_memory_finish(restriction_memory_t *memory)
{
	free(memory->entries);
	*memory = (restriction_memory_t){0};
}

void
restriction_memory_store(restriction_memory_t *memory, uint64_t key,
    const endpoint_restrictions_t *restrictions, struct timespec now)
{
	if (!endpoint_restrictions_any(restrictions, now))
		return;
	if (memory->entries == NULL)
		memory->entries = calloc(
		    RESTRICTIONS_REMEMBERED_MAX, sizeof(memory->entries[0]));
	if (memory->entries == NULL)
		return;
	memory->entries[memory->next] =
	    (remembered_restrictions_t){key, *restrictions};
	memory->next = (memory->next + 1) % RESTRICTIONS_REMEMBERED_MAX;
}

endpoint_restrictions_t
restriction_memory_take(restriction_memory_t *memory, uint64_t key)
{
	for (size_t i = 0;
	     memory->entries != NULL && i < RESTRICTIONS_REMEMBERED_MAX; i++) {
		if (memory->entries[i].key != key)
			continue;
		memory->entries[i].key = 0;
		return memory->entries[i].restrictions;
	}
	return (endpoint_restrictions_t){0};
}
