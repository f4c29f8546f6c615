#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../front/front_priv.h"
#include "common/http_call.h"

#define HUNDRED_PERCENT 100
#define EXPLORE_PERCENT 2      /* requests that try the cheapest model first */
#define DEFAULT_CONFIDENCE 0.5 /* when the engine reports none */

void
exchange_guard_observe(front_t *front, const char *organisation,
    const char *version, guard_signal_t signal, bool bad)
{
	const config_t *config = front->config;
	const version_t *row =
	    config_version_at(config, config_version_find(config, version));
	guard_sample_t sample = {.version = version,
	    .organisation = organisation,
	    .signal = signal,
	    .bad = bad,
	    .revision = config->revision};
	version_set_t stopped;

	if (!front->options->guard || row == NULL ||
	    row->state == VERSION_WITHDRAWN)
		return;
	sample.model = config_model_at(config, row->model)->name;
	sample.is_baseline = row->state == VERSION_LIVE;
	if (!guard_observe(&front->learn.guard, &sample))
		return;
	stopped = guard_stopped_versions(&front->learn.guard, config, "");
	front_guard_broadcast(front, version,
	    version_set_has(&stopped, config_version_find(config, version))
		? ""
		: organisation);
}

void
exchange_failure_record(exchange_t *exchange)
{
	exchange_guard_observe(exchange->front, exchange->organisation,
	    exchange->version, GUARD_ERROR, true);
}

static void
rating_requested(void *arg, const http_response_t *response)
{
	(void)arg;
	(void)response;
}

/* Requests a rating for a share of the responses; the ratings arrive much
 * later.
 */
static void
rating_request(exchange_t *exchange)
{
	front_t *front = exchange->front;
	http_address_t address;
	json_t *body;
	char *text;

	if (rng_below(front->process.rng, HUNDRED_PERCENT) >=
		front->options->rate_percent ||
	    !http_address_parse(front->options->rating, &address))
		return;
	body = json_pack("{s:s,s:s,s:s}", "request", exchange->id, "version",
	    exchange->version, "organisation", exchange->organisation);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	if (text != NULL) {
		const http_call_t call = {.address = &address,
		    .method = EVHTTP_REQ_POST,
		    .path = "/rate",
		    .body = text,
		    .body_len = strlen(text),
		    .timeout_ms = (int)front->options->store_timeout_ms};

		http_call_start(
		    front->process.base, &call, rating_requested, NULL);
	}
	free(text);
}

static void
recent_response_record(exchange_t *exchange)
{
	recent_response_t recent = {
	    .model_index = exchange->auto_model ? exchange->cascade_step : -1,
	    .confidence = exchange->confidence >= 0 ? exchange->confidence
						    : DEFAULT_CONFIDENCE};

	memcpy(recent.request_id, exchange->id, sizeof(recent.request_id));
	memcpy(recent.organisation, exchange->organisation,
	    sizeof(recent.organisation));
	memcpy(recent.version, exchange->version, sizeof(recent.version));
	feedback_add_response(&exchange->front->learn, &recent);
}

void
exchange_response_record(exchange_t *exchange)
{
	front_t *front = exchange->front;

	exchange_guard_observe(front, exchange->organisation, exchange->version,
	    GUARD_ERROR, false);
	if (!exchange->is_engine)
		return;
	if (exchange->streaming && exchange->first_byte_ms >= 0)
		exchange_guard_observe(front, exchange->organisation,
		    exchange->version, GUARD_LATENCY,
		    exchange->first_byte_ms > front->options->slow_first_ms);
	rating_request(exchange);
	recent_response_record(exchange);
}

static bool
cascade_model_select(exchange_t *exchange, handle_t organisation,
    const organisation_cascade_t *row, int step, err_t *err)
{
	exchange->cascade_step = step;
	memcpy(
	    exchange->model, row->model_names[step], sizeof(exchange->model));
	return exchange_version_select(exchange, organisation, err);
}

/* A stream can't be replaced by another model's response once it has started,
 * so its model is chosen without knowing the confidence of the response. */
static int
cascade_step_first(exchange_t *exchange, const organisation_cascade_t *row)
{
	rng_t *rng = exchange->front->process.rng;

	if (exchange->streaming)
		return cascade_single_model(&row->cascade);
	return cascade_first_model(
	    &row->cascade, rng_below(rng, HUNDRED_PERCENT) < EXPLORE_PERCENT);
}

bool
exchange_cascade_start(exchange_t *exchange, handle_t organisation, err_t *err)
{
	front_t *front = exchange->front;
	const organisation_cascade_t *row =
	    feedback_get_cascade(&front->learn, front->config, organisation);

	if (row == NULL)
		return err_set(err, ERR_NOT_ALLOWED,
		    "no model that %s may use accepts new sessions",
		    exchange->organisation);
	return cascade_model_select(exchange, organisation, row,
	    cascade_step_first(exchange, row), err);
}

static void
run_record(exchange_t *exchange)
{
	exchange_bill_line(
	    exchange, &exchange->bill_lines[exchange->bill_line_count++]);
	if (exchange->response_body != NULL)
		evbuffer_drain(exchange->response_body,
		    evbuffer_get_length(exchange->response_body));
	exchange->attempts = 0;
	exchange->may_have_run = false;
	exchange->sse.tokens = 0;
	exchange->tokens_in = 0;
	exchange->confidence = -1;
	exchange->first_byte_ms = -1;
}

bool
exchange_cascade_escalate(exchange_t *exchange)
{
	front_t *front = exchange->front;
	handle_t organisation =
	    config_organisation_find(front->config, exchange->organisation);
	organisation_cascade_t *row;
	bill_line_t line;
	err_t err;

	if (!exchange->auto_model || exchange->streaming ||
	    organisation == HANDLE_NONE || !exchange_has_recipient(exchange))
		return false;
	row = feedback_get_cascade(&front->learn, front->config, organisation);
	if (row == NULL || exchange->cascade_step >= row->cascade.model_count)
		return false;
	exchange_bill_line(exchange, &line);
	cascade_add_cost(
	    &row->cascade, exchange->cascade_step, (double)line.cost);
	if (exchange->bill_line_count + 1 >= BILL_LINES_MAX ||
	    exchange->confidence < 0 ||
	    cascade_accepts(
		&row->cascade, exchange->cascade_step, exchange->confidence))
		return false;
	run_record(exchange);
	counter_add(front->process.counters, COUNTER_CASCADE_ESCALATIONS, 1);
	if (!cascade_model_select(
		exchange, organisation, row, exchange->cascade_step + 1, &err))
		exchange_fail(exchange, err.code, err.detail);
	else
		exchange_dispatch(exchange);
	return true;
}
