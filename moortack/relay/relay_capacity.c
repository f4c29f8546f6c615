#include "relay_request.h"

#include <stdio.h>
#include <string.h>

static capacity_zone_t *
zone_find(capacity_service_view_t *view, const char *name)
{
	for (size_t i = 0; i < view->zones_len; i++) {
		if (strcmp(view->zones[i].name, name) == 0)
			return &view->zones[i];
	}
	return NULL;
}

static void
endpoint_count(capacity_service_view_t *view, const endpoint_t *endpoint,
    struct timespec now)
{
	capacity_zone_t *zone = zone_find(view, endpoint->info.zone);

	if (zone == NULL || endpoint_is_leaving(endpoint) || endpoint->lapsed)
		return;
	if (!endpoint->info.preemptible) {
		zone->regular++;
		return;
	}
	zone->preemptible++;
	zone->preemptible_warm +=
	    timespec_ms_between(now, endpoint->cold_until) <= 0;
}

static void
zones_init(const relay_t *relay, capacity_service_view_t *view)
{
	const capacity_limits_t *limits = view->limits;

	for (size_t i = 0; i < limits->zones_len; i++) {
		capacity_zone_t *zone = &view->zones[view->zones_len++];
		const zone_t *known;

		strcpy(zone->name, limits->zones[i]);
		known = zone_table_find(&relay->endpoints->zones, zone->name);
		zone->usable = known == NULL || !known->evacuated;
	}
}

static bool
is_rolling_out(const relay_t *relay, const char *service)
{
	const rollout_t *rollout = rollouts_find(relay->rollouts, service);

	return rollout != NULL && rollout_is_active(rollout);
}

static void
service_pass(relay_t *relay, const relay_service_t *service,
    capacity_view_cb_t pass, void *arg)
{
	struct timespec now = clock_boottime(relay->clock);
	const endpoint_group_t *group =
	    endpoint_set_find_group(relay->endpoints, service->name);
	capacity_service_view_t view = {.service = service->name,
	    .limits = &service->capacity,
	    .rolling_out = is_rolling_out(relay, service->name)};

	zones_init(relay, &view);
	for (size_t i = 0; group != NULL && i < group->len; i++)
		endpoint_count(&view, group->ring[i], now);
	pass(arg, &view);
}

void
relay_each_capacity_service(void *source, capacity_view_cb_t pass, void *arg)
{
	relay_t *relay = source;

	if (relay->config == NULL)
		return;
	for (const relay_service_t *service = relay->config->services;
	     service != NULL; service = service->hh.next) {
		if (service->capacity.allowed)
			service_pass(relay, service, pass, arg);
	}
}
