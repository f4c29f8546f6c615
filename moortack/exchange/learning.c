#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../front/front_priv.h"
#include "common/http_call.h"

#define ALL_PERCENT 100
#define EXPLORE_PERCENT 2 /* of the requests go to the cheapest first */
#define NO_CONFIDENCE 0.5 /* where an engine gives none */

void
exchange_learn(front_t *front, const char *organisation, const char *version,
    guard_signal_t signal, bool bad)
{
	const config_t *config = front->config;
	const version_t *row =
	    config_version_at(config, config_version(config, version));
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
	front_guard_tell(front, version,
	    version_set_has(&stopped, config_version(config, version))
		? ""
		: organisation);
}

void
exchange_learn_failure(exchange_t *exchange)
{
	exchange_learn(exchange->front, exchange->organisation,
	    exchange->version, GUARD_ERROR, true);
}

static void
rate_done(void *arg, const http_reply_t *reply)
{
	(void)arg;
	(void)reply;
}

/* Have a share of the answers rated; what it says comes back much later. */
static void
rating_ask(exchange_t *exchange)
{
	front_t *front = exchange->front;
	http_address_t address;
	json_t *body;
	char *text;

	if (rng_below(front->process.rng, ALL_PERCENT) >=
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

		http_call_start(front->process.base, &call, rate_done, NULL);
	}
	free(text);
}

static void
recent_note(exchange_t *exchange)
{
	recent_response_t recent = {
	    .model_index = exchange->open_model ? exchange->step : -1,
	    .confidence = exchange->confidence >= 0 ? exchange->confidence
						    : NO_CONFIDENCE};

	memcpy(recent.request_id, exchange->id, sizeof(recent.request_id));
	memcpy(recent.organisation, exchange->organisation,
	    sizeof(recent.organisation));
	memcpy(recent.version, exchange->version, sizeof(recent.version));
	feedback_add_response(&exchange->front->learn, &recent);
}

void
exchange_learn_answer(exchange_t *exchange)
{
	front_t *front = exchange->front;

	exchange_learn(front, exchange->organisation, exchange->version,
	    GUARD_ERROR, false);
	if (!exchange->engine)
		return;
	if (exchange->stream && exchange->first_ms >= 0)
		exchange_learn(front, exchange->organisation, exchange->version,
		    GUARD_LATENCY,
		    exchange->first_ms > front->options->slow_first_ms);
	rating_ask(exchange);
	recent_note(exchange);
}

static bool
model_set(exchange_t *exchange, handle_t organisation,
    const organisation_cascade_t *row, int step, err_t *err)
{
	exchange->step = step;
	memcpy(
	    exchange->model, row->model_names[step], sizeof(exchange->model));
	return exchange_version_set(exchange, organisation, err);
}

/* A stream can't be taken back once it has begun, so its model is chosen by
 * what is known beforehand. */
static int
step_first(exchange_t *exchange, const organisation_cascade_t *row)
{
	rng_t *rng = exchange->front->process.rng;

	if (exchange->stream)
		return cascade_single_model(&row->cascade);
	return cascade_first_model(
	    &row->cascade, rng_below(rng, ALL_PERCENT) < EXPLORE_PERCENT);
}

bool
exchange_cascade_begin(exchange_t *exchange, handle_t organisation, err_t *err)
{
	front_t *front = exchange->front;
	const organisation_cascade_t *row =
	    feedback_get_cascade(&front->learn, front->config, organisation);

	if (row == NULL)
		return err_set(err, ERR_NOT_ALLOWED,
		    "%s may use no model that takes new sessions",
		    exchange->organisation);
	return model_set(
	    exchange, organisation, row, step_first(exchange, row), err);
}

static void
run_note(exchange_t *exchange)
{
	exchange_line(exchange, &exchange->lines[exchange->line_count++]);
	if (exchange->answer != NULL)
		evbuffer_drain(
		    exchange->answer, evbuffer_get_length(exchange->answer));
	exchange->attempts = 0;
	exchange->ran = false;
	exchange->sse.tokens = 0;
	exchange->tokens_in = 0;
	exchange->confidence = -1;
	exchange->first_ms = -1;
}

bool
exchange_cascade_up(exchange_t *exchange)
{
	front_t *front = exchange->front;
	handle_t organisation =
	    config_organisation(front->config, exchange->organisation);
	organisation_cascade_t *row;
	bill_line_t line;
	err_t err;

	if (!exchange->open_model || exchange->stream ||
	    organisation == HANDLE_NONE || !exchange_wanted(exchange))
		return false;
	row = feedback_get_cascade(&front->learn, front->config, organisation);
	if (row == NULL || exchange->step >= row->cascade.model_count)
		return false;
	exchange_line(exchange, &line);
	cascade_add_cost(&row->cascade, exchange->step, (double)line.cost);
	if (exchange->line_count + 1 >= BILL_LINES_MAX ||
	    exchange->confidence < 0 ||
	    cascade_accepts(
		&row->cascade, exchange->step, exchange->confidence))
		return false;
	run_note(exchange);
	counter_add(front->process.counters, COUNTER_CASCADE_UPS, 1);
	if (!model_set(exchange, organisation, row, exchange->step + 1, &err))
		exchange_fail(exchange, err.code, err.detail);
	else
		exchange_try(exchange);
	return true;
}
