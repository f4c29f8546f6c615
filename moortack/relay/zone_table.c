#include "moortack/relay/zone_table.h"

#include <stdlib.h>
#include <string.h>

void
zone_table_init(zone_table_t *table)
{
	*table = (zone_table_t){0};
}

void
zone_table_finish(zone_table_t *table)
{
	zone_t *zone, *next;

	HASH_ITER(hh, table->zones, zone, next)
	{
		HASH_DEL(table->zones, zone);
		free(zone);
	}
}

zone_t *
zone_table_find(const zone_table_t *table, const char *name)
{
	zone_t *zone;

	HASH_FIND_STR(table->zones, name, zone);
	return zone;
}

zone_t *
zone_table_get(zone_table_t *table, const char *name)
{
	zone_t *zone = zone_table_find(table, name);

	if (zone != NULL || strlen(name) >= ZONE_NAME_SIZE)
		return zone;
	zone = calloc(1, sizeof(*zone));
	if (zone == NULL)
		return NULL;
	strcpy(zone->name, name);
	HASH_ADD_STR(table->zones, name, zone);
	return zone;
}

const char *
zone_table_region(const zone_table_t *table, const char *name)
{
	const zone_t *zone = zone_table_find(table, name);

	return zone != NULL ? zone->region : "";
}

bool
zone_table_set_region(zone_table_t *table, const char *name, const char *region)
{
	zone_t *zone = zone_table_get(table, name);

	if (zone == NULL || strlen(region) >= ZONE_NAME_SIZE)
		return false;
	strcpy(zone->region, region);
	return true;
}

bool
zone_evacuate(zone_t *zone, struct timespec now)
{
	if (zone->evacuated)
		return false;
	zone->evacuated = true;
	zone->evacuated_at = now;
	return true;
}

bool
zone_end_evacuation(zone_t *zone, struct timespec now)
{
	if (!zone->evacuated)
		return false;
	zone->evacuated = false;
	zone->evacuation_ended_at = now;
	return true;
}

size_t
zone_table_evacuated_count(const zone_table_t *table)
{
	size_t count = 0;

	for (const zone_t *zone = table->zones; zone != NULL;
	     zone = zone->hh.next)
		count += zone->evacuated;
	return count;
}
