#include "relay_request.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

const char *
relay_route_service(const relay_route_t *route, uint64_t split_hash)
{
	uint64_t total_weight = 0;
	uint64_t offset;

	for (size_t i = 0; i < route->pools_len; i++)
		total_weight += route->pools[i].weight;
	if (total_weight == 0)
		return NULL;
	offset = split_hash % total_weight;
	for (size_t i = 0; i < route->pools_len; i++) {
		if (offset < route->pools[i].weight)
			return route->pools[i].service;
		offset -= route->pools[i].weight;
	}
	return NULL;
}

uint64_t
relay_route_hash(const relay_route_t *route)
{
	return XXH3_64bits(route->name, strlen(route->name));
}

void
relay_config_mark_outdated(relay_t *relay)
{
	const row_watch_t *watch = relay->config_watch;

	if (relay->config_outdated)
		return;
	relay->config_outdated = true;
	relay->config_current_at =
	    watch->synced_once ? watch->synced_at : (struct timespec){0};
	event_log_write(relay->log, "config_outdated",
	    "version=%" PRIu64 " age_ms=%" PRId64,
	    relay->config != NULL ? relay->config->version : 0,
	    relay_config_age_ms(relay));
}

int64_t
relay_config_age_ms(const relay_t *relay)
{
	if (!relay->config_outdated)
		return row_watch_age_ms(relay->config_watch);
	return timespec_ms_between(
	    relay->config_current_at, clock_boottime(relay->clock));
}

err_code_t
relay_authorize(const relay_t *relay, const arrival_t *arrival,
    const char *target, const relay_route_t **route,
    const relay_organisation_t **organisation)
{
	const relay_config_t *config = relay->config;
	int64_t age_ms = relay_config_age_ms(relay);
	bool stale = age_ms > relay->bounds.config_stale_ms;

	*organisation = NULL;
	/* The orders come with the configuration: without them, the versions
	 * that requests may go to are not known. */
	if (config == NULL || !relay->config_watch->synced_once)
		return ERR_NOT_READY;
	*route = relay_config_find_route(config, arrival->host, target);
	if (*route == NULL)
		return stale ? ERR_CONFIG_STALE : ERR_NOT_FOUND;
	if ((*route)->unreadable)
		return ERR_NOT_READY;
	if (!config->keys_required || (*route)->anonymous)
		return ERR_NONE;
	if (age_ms > relay->bounds.key_max_age_ms)
		return ERR_CONFIG_STALE;
	if (arrival->key != NULL && !arrival->multiple_keys)
		*organisation =
		    relay_config_find_organisation(config, arrival->key);
	if (*organisation == NULL)
		return stale ? ERR_CONFIG_STALE : ERR_AUTHENTICATION;
	if ((*organisation)->unreadable)
		return ERR_NOT_READY;
	return ERR_NONE;
}
