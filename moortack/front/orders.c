/**
 * @file
 * Orders to engines: a version that was withdrawn is unloaded wherever it is
 * still reported. One daemon at a time sends orders, under a lease. It repeats
 * them until the reports no longer name the version, so a lost order does no
 * harm.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/http_call.h"
#include "common/log.h"
#include "front_priv.h"

#define ORDERS_INTERVAL_MS 1000

static void
order_done(void *arg, const http_response_t *response)
{
	(void)arg;
	(void)response;
}

static void
order_send(front_t *front, const endpoint_t *endpoint, const char *version)
{
	http_address_t address;
	json_t *body = json_pack("{s:s,s:s,s:I}", "op", "unload", "version",
	    version, "fence", (json_int_t)front->orders_lease.fence);
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	if (text != NULL && http_address_parse(endpoint->address, &address)) {
		const http_call_t call = {.address = &address,
		    .method = EVHTTP_REQ_POST,
		    .path = "/orders",
		    .body = text,
		    .body_len = strlen(text),
		    .timeout_ms = (int)front->options->store_timeout_ms};

		timeline_add(front->process.timeline, EVENT_ORDER_SENT,
		    endpoint->address, "unload %.24s, fence %" PRId64, version,
		    front->orders_lease.fence);
		http_call_start(front->process.base, &call, order_done, NULL);
	}
	free(text);
}

/* A withdrawn version that the endpoint still reports, or NULL. */
static const char *
withdrawn_version_find(const front_t *front, const endpoint_t *endpoint)
{
	for (uint32_t i = 0; i < endpoint->version_count; i++) {
		const version_t *version = config_version_at(front->config,
		    config_version_find(
			front->config, endpoint->version_names[i]));

		if (version != NULL && version->state == VERSION_WITHDRAWN)
			return version->name;
	}
	return NULL;
}

static bool
version_is_engine(const front_t *front, const char *version)
{
	const version_t *row = config_version_at(
	    front->config, config_version_find(front->config, version));

	return row != NULL &&
	    config_model_at(front->config, row->model)->kind == MODEL_ENGINE;
}

void
orders_tick(front_t *front)
{
	struct timespec now = clock_boottime(front->process.clock);
	err_t err;

	if (timespec_ms_between(front->orders_checked_at, now) <
		ORDERS_INTERVAL_MS ||
	    front->draining || !front_is_ready(front, &err))
		return;
	front->orders_checked_at = now;
	for (handle_t h = 0; h < front->fleet.endpoints.len; h++) {
		const endpoint_t *endpoint =
		    endpoint_table_at(&front->fleet, h);
		const char *version = withdrawn_version_find(front, endpoint);

		if (version == NULL || endpoint->state == ENDPOINT_REMOVED ||
		    !version_is_engine(front, version))
			continue;
		if (!lease_usable(&front->orders_lease)) {
			lease_request(&front->orders_lease);
			return;
		}
		order_send(front, endpoint, version);
	}
}
