/**
 * @file
 * Availability zones: the region of each, and whether it is evacuated.
 */
#ifndef MOORTACK_RELAY_ZONE_TABLE_H
#define MOORTACK_RELAY_ZONE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <time.h>
#include <uthash.h>

#define ZONE_NAME_SIZE 201

typedef struct zone {
	char name[ZONE_NAME_SIZE];
	char region[ZONE_NAME_SIZE]; /**< "": unknown */
	bool evacuated;		     /**< its endpoints get no new requests */
	bool unconfirmed; /**< the store was restored from an older copy that
			     lacks the evacuation's row */
	struct timespec unconfirmed_since;
	struct timespec evacuated_at; /**< when this daemon learned of it */
	struct timespec evacuation_ended_at; /**< when this daemon learned of
						the end of the last one; 0:
						there was none */
	UT_hash_handle hh;
} zone_t;

typedef struct zone_table {
	zone_t *zones; /**< by name */
} zone_table_t;

void zone_table_init(zone_table_t *);
void zone_table_finish(zone_table_t *);

/** Find a zone, or add it. Zones are kept until the table is finished.
 * @return NULL: out of memory, or the name is too long */
zone_t *zone_table_get(zone_table_t *, const char *name);
zone_t *zone_table_find(const zone_table_t *, const char *name);

/** The region of a zone; "": unknown. */
const char *zone_table_region(const zone_table_t *, const char *name);
/** @return false: out of memory, or a name is too long */
bool
zone_table_set_region(zone_table_t *, const char *name, const char *region);

/** @return false: the zone was evacuated already */
bool zone_evacuate(zone_t *, struct timespec now);
/** @return false: the zone was not evacuated */
bool zone_end_evacuation(zone_t *, struct timespec now);
size_t zone_table_evacuated_count(const zone_table_t *);

#endif
