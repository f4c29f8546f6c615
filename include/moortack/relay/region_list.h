/**
 * @file
 * The regions to which the requests of a route or an organisation are
 * restricted.
 */
#ifndef MOORTACK_RELAY_REGION_LIST_H
#define MOORTACK_RELAY_REGION_LIST_H

#include <stdbool.h>
#include <stddef.h>

#include "common/err.h"

typedef struct region_list {
	char **names;
	size_t len; /**< 0: no restriction */
	size_t cap;
} region_list_t;

/** Append a copy of the name.
 * @return false: out of memory */
bool region_list_add(region_list_t *, const char *name, err_t *);
void region_list_finish(region_list_t *);

/** @param region "": unknown, which only an empty list allows */
bool region_list_allows(const region_list_t *, const char *region);

#endif
