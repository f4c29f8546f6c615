#include <stdio.h>
#include <string.h>

#include "../front/front_priv.h"
#include "common/http_request.h"
#include "common/log.h"

static bool
balance_query_init(const exchange_t *exchange, balance_query_t *query)
{
	const front_t *front = exchange->front;

	*query = (balance_query_t){.config = front->config,
	    .organisation =
		config_organisation_find(front->config, exchange->organisation),
	    .version = config_version_find(front->config, exchange->version),
	    .preferred_place =
		config_place_find(front->config, front->options->place),
	    .prefix_endpoint = HANDLE_NONE,
	    .tried_count = exchange->attempts,
	    .now = clock_boottime(front->process.clock)};
	if (*exchange->session.endpoint != '\0')
		query->prefix_endpoint = endpoint_table_find(
		    &front->fleet, exchange->session.endpoint);
	memcpy(query->tried_endpoints, exchange->tried_endpoints,
	    sizeof(query->tried_endpoints));
	return query->organisation != HANDLE_NONE &&
	    query->version != HANDLE_NONE;
}

static handle_t
version_choose(const exchange_t *exchange, handle_t organisation)
{
	static const version_set_t no_versions = {0};
	const front_t *front = exchange->front;
	const config_t *config = front->config;
	version_set_t stopped = guard_stopped_versions(
	    &front->learn.guard, config, exchange->organisation);
	handle_t model = config_model_find(config, exchange->model);
	handle_t version = rollout_select_version(
	    config, organisation, model, exchange->session.id, &stopped);

	/* If there is no other version, one that the guard stopped is better
	 * than none: the operators decide. */
	if (version == HANDLE_NONE)
		version = rollout_select_version(config, organisation, model,
		    exchange->session.id, &no_versions);
	return version;
}

bool
exchange_version_select(exchange_t *exchange, handle_t organisation, err_t *err)
{
	const config_t *config = exchange->front->config;
	handle_t version = version_choose(exchange, organisation);

	if (version == HANDLE_NONE)
		return err_set(err, ERR_NO_ENDPOINT,
		    "no version of %s accepts new sessions", exchange->model);
	memcpy(exchange->version, config_version_at(config, version)->name,
	    sizeof(exchange->version));
	return true;
}

/* Whether a request must move to another version. */
static bool
version_closed(const exchange_t *exchange, const version_t *version,
    handle_t handle, bool fallback)
{
	version_set_t stopped;

	if (version == NULL || version->state == VERSION_WITHDRAWN ||
	    version->state == VERSION_STAGED)
		return true;
	/* A session stays on its version, unless its organisation prefers to
	 * have it moved off a version that the guard stopped. */
	if (exchange->existing_session && !fallback)
		return false;
	if (!exchange->existing_session && version->state == VERSION_DRAINING)
		return true;
	stopped = guard_stopped_versions(&exchange->front->learn.guard,
	    exchange->front->config, exchange->organisation);
	return version_set_has(&stopped, handle);
}

/* Whether the version may run this request, by the newest revision. A new
 * session may still be moved to another version, an existing one only if its
 * organisation allows it. */
static bool
version_check(exchange_t *exchange, err_t *err)
{
	const config_t *config = exchange->front->config;
	handle_t version = config_version_find(config, exchange->version);
	handle_t organisation =
	    config_organisation_find(config, exchange->organisation);
	bool fallback;

	if (organisation == HANDLE_NONE)
		return err_set(err, ERR_NOT_ALLOWED,
		    "the organisation has been removed from the configuration");
	fallback = config_organisation_at(config, organisation)->fallback;
	if (!version_closed(exchange, config_version_at(config, version),
		version, fallback))
		return true;
	if (exchange->existing_session && !fallback)
		return err_set(err, ERR_VERSION_WITHDRAWN,
		    "version %s of the session has been withdrawn",
		    exchange->version);
	if (!exchange_version_select(exchange, organisation, err))
		return false;
	exchange->existing_session = false;
	return true;
}

static void
endpoint_acquire(exchange_t *exchange, handle_t handle)
{
	endpoint_t *endpoint =
	    endpoint_table_at(&exchange->front->fleet, handle);

	endpoint_attempt_started(endpoint);
	exchange->endpoint = handle;
	memcpy(exchange->endpoint_address, endpoint->address,
	    sizeof(exchange->endpoint_address));
	memcpy(exchange->endpoint_place, endpoint->place_name,
	    sizeof(exchange->endpoint_place));
}

void
exchange_endpoint_release(exchange_t *exchange)
{
	endpoint_t *endpoint =
	    endpoint_table_at(&exchange->front->fleet, exchange->endpoint);

	if (endpoint != NULL)
		endpoint_attempt_ended(endpoint);
	exchange->endpoint = HANDLE_NONE;
}

static void
exchange_queue(exchange_t *exchange)
{
	front_t *front = exchange->front;

	exchange->phase = PHASE_QUEUED;
	if (exchange->waiter.queued)
		return;
	exchange->waiter.pool = admission_pool(exchange->model);
	if (!admission_enqueue(&front->admission, &exchange->waiter))
		exchange_fail(
		    exchange, ERR_OVERLOAD, "too many requests are queued");
}

void
exchange_dispatch(exchange_t *exchange)
{
	front_t *front = exchange->front;
	balance_query_t query;
	handle_t picked;
	err_t err;

	if (!front_is_ready(front, &err) || !version_check(exchange, &err)) {
		exchange_fail(exchange, err.code, err.detail);
		return;
	}
	if (!balance_query_init(exchange, &query)) {
		exchange_fail(exchange, ERR_NOT_ALLOWED,
		    "the request is no longer allowed");
		return;
	}
	switch (balance_pick(&front->fleet, &balance_two_choices, &query,
	    front->process.rng, &picked)) {
	case BALANCE_PICKED:
		break;
	case BALANCE_NO_CAPACITY:
		exchange_queue(exchange);
		return;
	case BALANCE_NO_ENDPOINT:
		exchange_fail(exchange, ERR_NO_ENDPOINT,
		    "no allowed endpoint serves this version");
		return;
	}
	admission_remove(&front->admission, &exchange->waiter);
	endpoint_acquire(exchange, picked);
	if (exchange->at_most_once && !exchange->granted)
		exchange_ticket_redeem(exchange);
	else
		exchange_send(exchange);
}

/* The last check before the request is sent: time may have passed since the
 * endpoint was chosen, also while the process was stopped. */
static bool
dispatch_check(exchange_t *exchange, err_t *err)
{
	front_t *front = exchange->front;
	const endpoint_t *endpoint =
	    endpoint_table_at(&front->fleet, exchange->endpoint);
	balance_query_t query;

	if (!front_is_ready(front, err))
		return false;
	if (timespec_ms_between(exchange->waiter.deadline,
		clock_boottime(front->process.clock)) >= 0)
		return err_set(err, ERR_DEADLINE,
		    "the deadline passed before the request was sent");
	if (!balance_query_init(exchange, &query) || endpoint == NULL ||
	    !balance_allows(endpoint, &query))
		return err_set(err, ERR_NO_ENDPOINT,
		    "the request may no longer be sent to this endpoint");
	return true;
}

void
exchange_send(exchange_t *exchange)
{
	front_t *front = exchange->front;
	err_t err;

	if (!dispatch_check(exchange, &err)) {
		exchange_endpoint_release(exchange);
		if (err.code == ERR_NO_ENDPOINT) {
			/* Choose again among the endpoints allowed now. */
			exchange_queue(exchange);
			return;
		}
		exchange_fail(exchange, err.code, err.detail);
		return;
	}
	exchange->phase = PHASE_SENT;
	exchange->sent_at = clock_boottime(front->process.clock);
	exchange->tried_endpoints[exchange->attempts++] = exchange->endpoint;
	counter_add(front->process.counters, COUNTER_ATTEMPTS, 1);
	if (exchange->attempts > 1)
		counter_add(front->process.counters, COUNTER_RETRIES, 1);
	timeline_add(front->process.timeline, EVENT_ATTEMPT_SENT, exchange->id,
	    "%.20s %.24s", exchange->endpoint_address, exchange->version);
	if (!exchange_upstream_start(exchange))
		exchange_attempt_failed(exchange, false, false,
		    "out of memory while sending the request");
}
