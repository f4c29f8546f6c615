#include "moortack/route/fleet.h"

#include <stdio.h>
#include <string.h>

void
fleet_init(fleet_t *fleet)
{
	table_init(&fleet->endpoints, sizeof(endpoint_t));
}

void
fleet_finish(fleet_t *fleet)
{
	table_finish(&fleet->endpoints);
}

endpoint_t *
fleet_at(const fleet_t *fleet, handle_t handle)
{
	return table_at(&fleet->endpoints, handle);
}

handle_t
fleet_find(const fleet_t *fleet, const char *address)
{
	for (handle_t h = 0; h < fleet->endpoints.len; h++) {
		const endpoint_t *endpoint = fleet_at(fleet, h);

		if (endpoint->state != ENDPOINT_GONE &&
		    strcmp(endpoint->address, address) == 0)
			return h;
	}
	return HANDLE_NONE;
}

static handle_t
row_free(fleet_t *fleet)
{
	for (handle_t h = 0; h < fleet->endpoints.len; h++) {
		const endpoint_t *endpoint = fleet_at(fleet, h);

		if (endpoint->state == ENDPOINT_GONE && endpoint->inflight == 0)
			return h;
	}
	return table_add(&fleet->endpoints) != NULL ? fleet->endpoints.len - 1
						    : HANDLE_NONE;
}

void
fleet_list_begin(fleet_t *fleet)
{
	for (handle_t h = 0; h < fleet->endpoints.len; h++)
		fleet_at(fleet, h)->listed = false;
}

static handle_t
endpoint_add(
    fleet_t *fleet, const char *address, const char *place, struct timespec now)
{
	handle_t handle = row_free(fleet);
	endpoint_t *endpoint = fleet_at(fleet, handle);

	if (endpoint == NULL)
		return HANDLE_NONE;
	*endpoint = (endpoint_t){.state = ENDPOINT_LIVE,
	    .place = HANDLE_NONE,
	    .slots = ENDPOINT_DEFAULT_SLOTS,
	    .since = now};
	snprintf(endpoint->address, sizeof(endpoint->address), "%s", address);
	snprintf(
	    endpoint->place_name, sizeof(endpoint->place_name), "%s", place);
	return handle;
}

handle_t
fleet_list(fleet_t *fleet, const char *address, const char *place, bool leaving,
    struct timespec now)
{
	handle_t handle = fleet_find(fleet, address);

	if (handle == HANDLE_NONE)
		handle = endpoint_add(fleet, address, place, now);
	if (handle == HANDLE_NONE)
		return HANDLE_NONE;
	fleet_at(fleet, handle)->listed = true;
	if (leaving)
		endpoint_leave(fleet_at(fleet, handle));
	return handle;
}

void
fleet_list_end(fleet_t *fleet)
{
	for (handle_t h = 0; h < fleet->endpoints.len; h++) {
		endpoint_t *endpoint = fleet_at(fleet, h);

		if (endpoint->listed)
			continue;
		endpoint_leave(endpoint);
		if (endpoint->inflight == 0)
			endpoint->state = ENDPOINT_GONE;
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
fleet_report(
    fleet_t *fleet, const load_report_t *report, const config_t *config)
{
	endpoint_t *endpoint =
	    fleet_at(fleet, fleet_find(fleet, report->address));
	bool leaves;

	if (endpoint == NULL || !report->answered)
		return false;
	leaves = report->leaving && endpoint->state == ENDPOINT_LIVE;
	if (leaves)
		endpoint_leave(endpoint);
	endpoint->reported_once = true;
	endpoint->slots = report->slots > 0 ? report->slots : 1;
	endpoint->reported = report->running + report->queued;
	endpoint->inflight_at_report = endpoint->inflight;
	if (report->lists_versions) {
		memcpy(endpoint->version_names, report->version_names,
		    sizeof(endpoint->version_names));
		endpoint->version_count = report->version_count;
	}
	endpoint_resolve(endpoint, config);
	return leaves;
}

void
fleet_resolve(fleet_t *fleet, const config_t *config)
{
	for (handle_t h = 0; h < fleet->endpoints.len; h++)
		endpoint_resolve(fleet_at(fleet, h), config);
}

void
endpoint_leave(endpoint_t *endpoint)
{
	if (endpoint->state == ENDPOINT_LIVE)
		endpoint->state = ENDPOINT_LEAVING;
}

void
endpoint_serve(endpoint_t *endpoint, const char *version)
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
