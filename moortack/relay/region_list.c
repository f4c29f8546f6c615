#include "moortack/relay/region_list.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAP 4

static bool
list_reserve(region_list_t *list)
{
	size_t cap = list->cap > 0 ? 2 * list->cap : INITIAL_CAP;
	char **grown;

	if (list->len < list->cap)
		return true;
	grown = realloc(list->names, cap * sizeof(grown[0]));
	if (grown == NULL)
		return false;
	list->names = grown;
	list->cap = cap;
	return true;
}

bool
region_list_add(region_list_t *list, const char *name, err_t *err)
{
	char *copy = list_reserve(list) ? strdup(name) : NULL;

	if (copy == NULL)
		return err_set(err, ERR_MEMORY, "out of memory");
	list->names[list->len++] = copy;
	return true;
}

void
region_list_finish(region_list_t *list)
{
	for (size_t i = 0; i < list->len; i++)
		free(list->names[i]);
	free(list->names);
	*list = (region_list_t){0};
}

bool
region_list_allows(const region_list_t *list, const char *region)
{
	for (size_t i = 0; i < list->len; i++) {
		if (strcmp(list->names[i], region) == 0)
			return true;
	}
	return list->len == 0;
}
