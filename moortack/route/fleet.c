#include "moortack/route/fleet.h"

#include <stdio.h>
#include <string.h>

void
endpoint_table_init(endpoint_table_t *table)
{
	table_init(&table->endpoints, sizeof(endpoint_t));
}

void
endpoint_table_finish(endpoint_table_t *table)
{
	table_finish(&table->endpoints);
}

endpoint_t *
endpoint_table_at(const endpoint_table_t *table, handle_t handle)
{
	return table_at(&table->endpoints, handle);
}

handle_t
endpoint_table_find(const endpoint_table_t *table, const char *address)
{
	for (handle_t h = 0; h < table->endpoints.len; h++) {
		const endpoint_t *endpoint = endpoint_table_at(table, h);

		if (endpoint->state != ENDPOINT_REMOVED &&
		    strcmp(endpoint->address, address) == 0)
			return h;
	}
	return HANDLE_NONE;
}

static handle_t
row_acquire(endpoint_table_t *table)
{
	for (handle_t h = 0; h < table->endpoints.len; h++) {
		const endpoint_t *endpoint = endpoint_table_at(table, h);

		if (endpoint->state == ENDPOINT_REMOVED &&
		    endpoint->in_flight == 0)
			return h;
	}
	return table_add(&table->endpoints) != NULL ? table->endpoints.len - 1
						    : HANDLE_NONE;
}

void
endpoint_table_update_begin(endpoint_table_t *table)
{
	for (handle_t h = 0; h < table->endpoints.len; h++)
		endpoint_table_at(table, h)->listed = false;
}

static handle_t
endpoint_add(endpoint_table_t *table, const char *address, const char *place,
    struct timespec now)
{
	handle_t handle = row_acquire(table);
	endpoint_t *endpoint = endpoint_table_at(table, handle);

	if (endpoint == NULL)
		return HANDLE_NONE;
	*endpoint = (endpoint_t){.state = ENDPOINT_LIVE,
	    .place = HANDLE_NONE,
	    .slots = ENDPOINT_DEFAULT_SLOTS,
	    .slow_start_at = now};
	snprintf(endpoint->address, sizeof(endpoint->address), "%s", address);
	snprintf(
	    endpoint->place_name, sizeof(endpoint->place_name), "%s", place);
	return handle;
}

handle_t
endpoint_table_update_entry(endpoint_table_t *table, const char *address,
    const char *place, bool leaving, struct timespec now)
{
	handle_t handle = endpoint_table_find(table, address);

	if (handle == HANDLE_NONE)
		handle = endpoint_add(table, address, place, now);
	if (handle == HANDLE_NONE)
		return HANDLE_NONE;
	endpoint_table_at(table, handle)->listed = true;
	if (leaving)
		endpoint_mark_leaving(endpoint_table_at(table, handle));
	return handle;
}

void
endpoint_table_update_end(endpoint_table_t *table)
{
	for (handle_t h = 0; h < table->endpoints.len; h++) {
		endpoint_t *endpoint = endpoint_table_at(table, h);

		if (endpoint->listed)
			continue;
		endpoint_mark_leaving(endpoint);
		if (endpoint->in_flight == 0)
			endpoint->state = ENDPOINT_REMOVED;
	}
}

static void
endpoint_resolve(endpoint_t *endpoint, const config_t *config)
{
	endpoint->place = config_place_find(config, endpoint->place_name);
	endpoint->versions = (version_set_t){0};
	for (uint32_t i = 0; i < endpoint->version_count; i++) {
		handle_t version =
		    config_version_find(config, endpoint->version_names[i]);

		if (version != HANDLE_NONE)
			version_set_add(&endpoint->versions, version);
	}
}

bool
endpoint_table_apply_report(endpoint_table_t *table,
    const load_report_t *report, const config_t *config)
{
	endpoint_t *endpoint = endpoint_table_at(
	    table, endpoint_table_find(table, report->address));
	bool leaves;

	if (endpoint == NULL || !report->responded)
		return false;
	leaves = report->leaving && endpoint->state == ENDPOINT_LIVE;
	if (leaves)
		endpoint_mark_leaving(endpoint);
	endpoint->load_reported = true;
	endpoint->slots = report->slots > 0 ? report->slots : 1;
	endpoint->reported_load = report->running + report->queued;
	endpoint->in_flight_at_report = endpoint->in_flight;
	if (report->has_versions) {
		memcpy(endpoint->version_names, report->version_names,
		    sizeof(endpoint->version_names));
		endpoint->version_count = report->version_count;
	}
	endpoint_resolve(endpoint, config);
	return leaves;
}

void
endpoint_table_resolve(endpoint_table_t *table, const config_t *config)
{
	for (handle_t h = 0; h < table->endpoints.len; h++)
		endpoint_resolve(endpoint_table_at(table, h), config);
}

void
endpoint_mark_leaving(endpoint_t *endpoint)
{
	if (endpoint->state == ENDPOINT_LIVE)
		endpoint->state = ENDPOINT_LEAVING;
}

void
endpoint_add_version(endpoint_t *endpoint, const char *version)
{
	for (uint32_t i = 0; i < endpoint->version_count; i++) {
		if (strcmp(endpoint->version_names[i], version) == 0)
			return;
	}
	if (endpoint->version_count == ENDPOINT_VERSIONS_MAX)
		return;
	snprintf(endpoint->version_names[endpoint->version_count++],
	    CONFIG_NAME_SIZE, "%s", version);
}

bool
endpoint_serves(const endpoint_t *endpoint, handle_t version)
{
	return version_set_has(&endpoint->versions, version);
}
