#include "moortack/relay/region_list.h"

#include <stdlib.h>
#include <string.h>

bool
region_list_add(region_list_t *list, const char *name, err_t *err)
{
	char *copy;

	if (list->len == REGION_LIST_MAX)
		return err_set(err, ERR_BAD_REQUEST, "more than %d regions",
		    REGION_LIST_MAX);
	copy = strdup(name);
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
	list->len = 0;
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
