#include <stdlib.h>
#include <string.h>

#include "relay_admission.h"

/* Routes with an estimate of their callers' first tries: enough for those of
 * several configurations, since none is removed. */
#define ROUTES_TRACKED_MAX 4096

service_state_t *
relay_service_state(relay_t *relay, const char *service)
{
	service_state_t *state;

	HASH_FIND_STR(relay->service_states, service, state);
	if (state == NULL && strlen(service) < ENDPOINT_NAME_SIZE) {
		state = calloc(1, sizeof(*state));
		if (state == NULL)
			return NULL;
		strcpy(state->service, service);
		relay_admission_init(relay, state);
		HASH_ADD_STR(relay->service_states, service, state);
	}
	return state;
}

/* @return NULL: too many routes, or out of memory */
static route_callers_t *
route_callers_find_or_add(relay_t *relay, const relay_route_t *route)
{
	route_callers_t *callers;

	HASH_FIND_STR(relay->route_callers, route->name, callers);
	if (callers != NULL ||
	    HASH_COUNT(relay->route_callers) >= ROUTES_TRACKED_MAX)
		return callers;
	callers = calloc(1, sizeof(*callers));
	if (callers == NULL || (callers->route = strdup(route->name)) == NULL) {
		free(callers);
		return NULL;
	}
	HASH_ADD_KEYPTR(hh, relay->route_callers, callers->route,
	    strlen(callers->route), callers);
	return callers;
}

double
relay_earlier_tries_ms(
    relay_t *relay, const relay_route_t *route, int64_t deadline_ms)
{
	route_callers_t *callers = route_callers_find_or_add(relay, route);

	return callers != NULL
	    ? retry_age_observe(&callers->retry_age, deadline_ms)
	    : 0;
}

int64_t
relay_tried_before_start_ms(const relay_request_t *req)
{
	const relay_t *relay = req->relay;
	int64_t uptime_ms =
	    timespec_ms_between(relay->started_at, req->received_at);
	double tried_ms = req->earlier_tries_ms;
	const route_callers_t *callers;

	HASH_FIND_STR(relay->route_callers, req->route->name, callers);
	if (callers != NULL && !req->from_daemon)
		tried_ms = retry_age_possible(
		    &callers->retry_age, req->arrival.deadline_ms);
	if (tried_ms <= (double)uptime_ms)
		return 0;
	return (int64_t)tried_ms + request_age_ms(req);
}

void
relay_observe_duration(relay_t *relay, const relay_route_t *route, double ms)
{
	route_callers_t *callers = route_callers_find_or_add(relay, route);

	if (callers != NULL)
		request_duration_observe(&callers->duration, ms);
}

void
relay_service_states_finish(relay_t *relay)
{
	route_callers_t *callers, *callers_next;
	service_state_t *state, *state_next;

	HASH_ITER(hh, relay->service_states, state, state_next)
	{
		HASH_DEL(relay->service_states, state);
		relay_admission_finish(state);
		free(state);
	}
	HASH_ITER(hh, relay->route_callers, callers, callers_next)
	{
		HASH_DEL(relay->route_callers, callers);
		free(callers->route);
		free(callers);
	}
}
