#include "arrival.h"

#include <stdlib.h>

#include "common/http_request.h"

#define DEADLINE_MAX_MS 3600000

static bool
limits_check(arrival_t *arrival, err_t *err)
{
	front_t *front = arrival->front;
	const organisation_t *organisation =
	    config_organisation_at(front->config, arrival->organisation);
	/* Each daemon grants an equal share of the organisation's limit. */
	uint32_t daemon_count = front->members->rows.len + 1;
	int64_t wait_ms;

	if (!admission_allows(&front->admission, arrival->class, arrival->pools,
		arrival->now))
		return err_set(err, ERR_OVERLOAD,
		    "overloaded: requests of class %s are refused at present",
		    class_name(arrival->class));
	if (front->billing_status.unflushed_count >=
	    front->billing_status.unflushed_max)
		return err_set(
		    err, ERR_STORE, "too many bills wait to be stored");
	if (!rate_limiter_acquire(
		&front->rates[arrival->organisation % FRONT_RATES_MAX],
		(double)organisation->requests_per_s / daemon_count,
		arrival->now, &wait_ms))
		return err_set(err, ERR_RATE_LIMIT,
		    "%s exceeds its limit of %u requests per second; retry in "
		    "%lld ms",
		    organisation->name, organisation->requests_per_s,
		    (long long)wait_ms);
	return true;
}

/* The admission pools of the models of one kind that the organisation may use.
 */
static uint64_t
model_pools(const config_t *config, const organisation_t *organisation,
    model_kind_t kind)
{
	uint64_t pools = 0;

	for (handle_t v = 0; v < config->versions.len; v++) {
		const model_t *model = config_model_at(
		    config, config_version_at(config, v)->model);

		if (model->kind == kind &&
		    organisation_allows_version(organisation, v))
			pools |= UINT64_C(1) << admission_pool(model->name);
	}
	return pools;
}

bool
arrival_admit(arrival_t *arrival, err_t *err)
{
	front_t *front = arrival->front;

	if (!front_is_ready(front, err))
		return false;
	arrival->organisation = auth_organisation(front, arrival->req);
	if (arrival->organisation == HANDLE_NONE)
		return err_set(
		    err, ERR_AUTHENTICATION, "missing or unknown API key");
	arrival->class =
	    config_organisation_at(front->config, arrival->organisation)->class;
	/* A retry has lower priority than a first attempt. */
	if (http_request_header(arrival->req, RETRY_HEADER) != NULL &&
	    arrival->class < CLASS_SHEDDABLE)
		arrival->class ++;
	if (arrival->pools == 0)
		arrival->pools = model_pools(front->config,
		    config_organisation_at(
			front->config, arrival->organisation),
		    MODEL_ENGINE);
	return limits_check(arrival, err);
}

static bool
is_at_most_once(http_request_t *req)
{
	return http_request_header(req, TICKET_HEADER) != NULL ||
	    http_request_header(req, IDEMPOTENCY_KEY_HEADER) != NULL;
}

/* A request with a ticket or key may have run before, although it is refused
 * here. */
void
arrival_refuse(front_t *front, http_request_t *req, const err_t *err)
{
	timeline_add(front->process.timeline, EVENT_REQUEST_REFUSED, "", "%s",
	    err_info(err->code)->name);
	failure_respond(
	    front, req, err, is_at_most_once(req) ? "unknown" : NULL, NULL);
}

bool
arrival_deadline_parse(arrival_t *arrival, exchange_t *exchange, err_t *err)
{
	const char *text = http_request_header(arrival->req, DEADLINE_HEADER);
	long long ms = arrival->front->options->deadline_ms;
	char *end;

	if (text != NULL) {
		ms = strtoll(text, &end, 10);
		if (*text == '\0' || *end != '\0' || ms < 1 ||
		    ms > DEADLINE_MAX_MS)
			return err_set(err, ERR_BAD_REQUEST,
			    DEADLINE_HEADER " must be a number from 1 to %d",
			    DEADLINE_MAX_MS);
	}
	exchange->waiter.deadline = timespec_add_ms(arrival->now, ms);
	return true;
}
