#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "relay_node_priv.h"

/* How long an evacuation stays in force after the store was restored from an
 * older copy that lacks its row. The operator has to write the row again within
 * this time. */
#define UNCONFIRMED_MS 60000

static const char *
key_zone(const relay_node_t *node, const row_t *row)
{
	return row->key + strlen(node->ports.row_dialect->evacuation_prefix);
}

static void
evacuation_log(relay_node_t *node, const zone_t *zone, uint64_t version)
{
	struct timespec now = clock_boottime(node->ports.clock);

	event_log_write(&node->log, "evacuation",
	    "zone=%s state=%s version=%" PRIu64 " orders_age_ms=%" PRId64
	    " lasted_ms=%" PRId64 " in_flight=%u zones_evacuated=%zu",
	    zone->name, zone->evacuated ? "in_force" : "over", version,
	    row_watch_age_ms(node->relay.config_watch),
	    timespec_ms_between(zone->evacuated_at, now),
	    endpoint_set_zone_in_flight(&node->endpoints, zone),
	    zone_table_evacuated_count(&node->endpoints.zones));
}

static void
evacuation_apply(relay_node_t *node, zone_t *zone, const row_t *row)
{
	struct timespec now = clock_boottime(node->ports.clock);
	bool changed = row->deleted ? zone_end_evacuation(zone, now)
				    : zone_evacuate(zone, now);

	zone->unconfirmed = false;
	if (changed)
		evacuation_log(node, zone, row->version);
}

/* Whether the row is missing only because the store was restored from an older
 * copy, which does not end the evacuation. A removal that another daemon
 * reports is final. */
static bool
evacuation_row_missing(const relay_node_t *node, const zone_t *zone,
    const cached_row_t *known, const row_t *row)
{
	return row->deleted && !node->row_sync.applying && zone->evacuated &&
	    known != NULL && known->value != NULL &&
	    (zone->unconfirmed || relay_row_has_later_era(known, row));
}

static void
evacuation_keep(relay_node_t *node, zone_t *zone, const cached_row_t *known,
    const row_t *row)
{
	if (!zone->unconfirmed)
		zone->unconfirmed_since = clock_boottime(node->ports.clock);
	zone->unconfirmed = true;
	relay_row_keep_known(node, ROW_TABLE_OPERATOR, known, row);
}

void
relay_evacuation_apply_row(relay_node_t *node, const row_t *row)
{
	const cached_row_t *known =
	    row_cache_find(&node->row_sync.cache, ROW_TABLE_OPERATOR, row->key);
	const char *name = key_zone(node, row);
	zone_t *zone;
	err_t err;

	if (!node->ports.row_dialect->check_evacuation_zone(name, &err)) {
		row_refusals_record(
		    &node->refusals, ROW_KIND_EVACUATION, row, &err);
		row_sync_put(&node->row_sync, ROW_TABLE_OPERATOR, row);
		return;
	}
	zone = zone_table_get(&node->endpoints.zones, name);
	if (zone != NULL && evacuation_row_missing(node, zone, known, row)) {
		evacuation_keep(node, zone, known, row);
		return;
	}
	row_sync_put(&node->row_sync, ROW_TABLE_OPERATOR, row);
	if (zone != NULL)
		evacuation_apply(node, zone, row);
}

static void
evacuation_expire(relay_node_t *node, zone_t *zone)
{
	const row_watch_t *watch =
	    row_sync_watch(&node->row_sync, ROW_TABLE_OPERATOR);
	char key[2 * ZONE_NAME_SIZE];
	row_t removal = {
	    .key = key, .version = watch->version, .deleted = true};
	const cached_row_t *known;

	snprintf(key, sizeof(key), "%.95s%s",
	    node->ports.row_dialect->evacuation_prefix, zone->name);
	known = row_cache_find(&node->row_sync.cache, ROW_TABLE_OPERATOR, key);
	if (known != NULL && known->version > removal.version)
		removal.version = known->version;
	removal.version++;
	row_sync_put(&node->row_sync, ROW_TABLE_OPERATOR, &removal);
	evacuation_apply(node, zone, &removal);
}

void
relay_evacuations_expire(relay_node_t *node)
{
	struct timespec now = clock_boottime(node->ports.clock);

	if (node->row_sync.following)
		return;
	for (zone_t *zone = node->endpoints.zones.zones; zone != NULL;
	     zone = zone->hh.next) {
		if (zone->unconfirmed &&
		    timespec_ms_between(zone->unconfirmed_since, now) >=
			UNCONFIRMED_MS)
			evacuation_expire(node, zone);
	}
}
