#include <inttypes.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "relay_admission.h"

/* Events of which the time is measured together: few, so that the shortest
 * streams count too, and as many as arrive in one read now and then. */
#define DECODE_EVENTS 4
/* A model that is cut with this probability is not asked again: nine in ten of
 * its streams would take an endpoint's time for nothing. */
#define CUT_CERTAIN 0.9

service_model_t *
relay_model_find(const relay_request_t *req, const char *name)
{
	service_state_t *state = relay_service_state(req->relay, req->service);
	uint64_t hash = XXH3_64bits(name, strlen(name));
	service_model_t *model;

	/* Names sent by callers must not fill the table. */
	if (state == NULL || !req->arrival.any_model)
		return NULL;
	for (size_t i = 0; i < state->models_len; i++) {
		if (state->models[i].name_hash == hash)
			return &state->models[i];
	}
	if (state->models_len == MODELS_MAX)
		return NULL;
	model = &state->models[state->models_len++];
	*model = (service_model_t){.name_hash = hash};
	return model;
}

const char *
relay_model_name(const relay_request_t *req, size_t index)
{
	const relay_route_t *route = req->route;

	if (req->arrival.any_model && index < route->models_len)
		return route->models[index].name;
	return req->arrival.model != NULL ? req->arrival.model : "";
}

/* Time until the response is late; negative if it is late already. */
static double
objective_remaining_ms(const relay_request_t *req)
{
	return (double)req->route->latency_objective_ms -
	    request_since_first_try_ms(req);
}

const char *
relay_model_select(relay_request_t *req)
{
	const relay_route_t *route = req->route;

	if (!req->arrival.any_model || route->models_len == 0)
		return NULL;
	/* A response that has started keeps its model. */
	if (req->response_model != NULL && req->response_started)
		return req->response_model;
	if (!req->model_chosen) {
		req->model_index = model_choice_first(route->models_len);
		req->model_chosen = true;
	}
	if (req->model_index >= route->models_len)
		req->model_index = route->models_len - 1;
	return route->models[req->model_index].name;
}

bool
relay_model_rebind(relay_request_t *req, const relay_route_t *route)
{
	const char *old_name = req->response_model;

	if (old_name == NULL)
		return true;
	req->response_model = NULL;
	for (size_t i = 0; i < route->models_len; i++) {
		if (strcmp(route->models[i].name, old_name) != 0)
			continue;
		req->response_model = route->models[i].name;
		req->model_index = i;
	}
	return req->response_model != NULL || !req->response_started;
}

/* Record responses that are late already, though they have not started. */
static void
late_responses_record(relay_t *relay)
{
	for (relay_request_t *req = relay->requests; req != NULL;
	     req = req->next) {
		attempt_t *attempt = &req->attempt;
		service_model_t *model;

		if (!attempt->sent || attempt->head_received ||
		    attempt->late_recorded || attempt->model == NULL ||
		    objective_remaining_ms(req) >= 0)
			continue;
		attempt->late_recorded = true;
		model = relay_model_find(req, attempt->model);
		if (model != NULL)
			model_stats_add_start(&model->record, false);
	}
}

static prefill_work_t
attempt_prefill(const relay_request_t *req)
{
	return prefill_work(
	    req->arrival.tokens_in, req->attempt.placement.uncached_tokens);
}

static void
head_record(relay_request_t *req)
{
	attempt_t *attempt = &req->attempt;
	bool largest = req->model_index + 1 == req->route->models_len;
	service_model_t *model = relay_model_find(req, attempt->model);

	if (model == NULL)
		return;
	prefill_rate_observe(&model->prefill_rate, attempt_prefill(req),
	    attempt->first_byte_ms > attempt->placement.queue_wait_ms
		? attempt->first_byte_ms - attempt->placement.queue_wait_ms
		: 0);
	if (!attempt->late_recorded)
		model_stats_add_start(
		    &model->record, objective_remaining_ms(req) >= 0);
	if (req->model_index == 0)
		req->smallest_confidence = req->confidence;
	else
		model_stats_add_confidence(&model->record,
		    req->smallest_confidence, req->confidence, largest);
}

void
relay_model_no_response(relay_request_t *req)
{
	const attempt_t *attempt = &req->attempt;
	service_model_t *model = attempt->model != NULL
	    ? relay_model_find(req, attempt->model)
	    : NULL;
	double waited_ms;

	if (model == NULL)
		return;
	waited_ms = (double)timespec_ms_between(
	    attempt->sent_at, clock_boottime(req->relay->clock));
	/* The response had not started when the attempt ended. The time waited
	 * says something only if it is longer than expected. */
	waited_ms -= attempt->placement.queue_wait_ms;
	if (waited_ms > prefill_rate_first_byte_ms(
			    &model->prefill_rate, attempt_prefill(req)))
		prefill_rate_observe(
		    &model->prefill_rate, attempt_prefill(req), waited_ms);
}

/* Probability that the model's stream does not end within the caller's time
 * limit if it starts in so many ms. */
static double
cut_probability(
    const relay_request_t *req, const service_model_t *model, double start_ms)
{
	const output_estimate_t output = {
	    req->arrival.tokens_out_estimate, req->arrival.tokens_out_max};

	return completion_cut_probability(&model->decode_rate, &output,
	    (double)request_remaining_ms(req) - fmax(start_ms, 0));
}

/* Time that the model takes of the endpoint: it prefills one prompt at a time,
 * and decodes for as many requests at once as it has slots. */
static double
endpoint_time_ms(const relay_request_t *req, const service_model_t *model,
    const placement_t *place)
{
	const output_estimate_t output = {
	    req->arrival.tokens_out_estimate, req->arrival.tokens_out_max};
	double decode_ms = decode_rate_output_ms(&model->decode_rate, &output);
	uint32_t slots = place->endpoint->info.slots;

	if (decode_ms < 0)
		return place->prefill_ms;
	return place->prefill_ms + decode_ms / (slots > 0 ? slots : 1);
}

void
relay_model_event(relay_request_t *req)
{
	attempt_t *attempt = &req->attempt;
	const relay_service_t *service;
	service_model_t *model;

	if (req->attempt_events == 0 ||
	    (req->attempt_events - 1) % DECODE_EVENTS != 0 ||
	    attempt->model == NULL)
		return;
	model = relay_model_find(req, attempt->model);
	service = relay_config_find_service(req->config, req->service);
	/* While its caller reads too slowly, an endpoint is not read either. */
	if (req->attempt_events > 1 && !attempt->caller_was_slow &&
	    model != NULL && service != NULL)
		decode_rate_observe(&model->decode_rate,
		    DECODE_EVENTS * (double)service->event_tokens,
		    (double)timespec_ms_between(
			attempt->decode_since, req->last_event_at));
	attempt->decode_since = req->last_event_at;
	attempt->caller_was_slow = false;
}

void
relay_model_reconsider(relay_request_t *req)
{
	const service_model_t *model;

	if (!req->arrival.any_model || !req->model_chosen)
		return;
	while (req->model_index > 0) {
		model = relay_model_find(
		    req, relay_model_name(req, req->model_index));
		if (model == NULL ||
		    cut_probability(req, model, 0) < CUT_CERTAIN)
			return;
		req->model_index--;
	}
}

static void
option_fill(relay_request_t *req, size_t index, double current_cut,
    model_option_t *option)
{
	const route_model_t *route_model = &req->route->models[index];
	const service_model_t *model = relay_model_find(req, route_model->name);
	bool largest = index + 1 == req->route->models_len;
	static const service_model_t unknown;
	placement_t place;
	const char *why;

	if (model == NULL)
		model = &unknown;
	*option = (model_option_t){.cost = route_model->cost,
	    .good_probability = model_stats_good_probability(
		&model->record, req->smallest_confidence, largest),
	    .on_time_rate = model_stats_on_time_probability(&model->record),
	    .first_byte_ms = -1};
	if (relay_choose_endpoint(req, index, &place, &why)) {
		option->first_byte_ms = place.first_byte_ms;
		option->endpoint_ms = endpoint_time_ms(req, model, &place);
		option->price = relay_price(
		    req->relay, req->service, place.endpoint->info.zone);
	}
	option->cut_probability =
	    cut_probability(req, model, option->first_byte_ms);
	/* A larger model is not faster, as long as nothing is known of it. */
	if (decode_rate_ms_per_token(&model->decode_rate) < 0)
		option->cut_probability =
		    fmax(option->cut_probability, current_cut);
}

static void
choice_log(
    const relay_request_t *req, const model_choice_input_t *input, size_t next)
{
	const model_option_t *largest = &input->options[input->models - 1];

	event_log_write(req->relay->log, "model_choice",
	    "id=%s model=%s next=%s confidence=%d rank=%d price=%.3f "
	    "largest_ms=%.0f largest_cut=%.3f cut=%.3f left_ms=%" PRId64,
	    req->arrival.id, relay_model_name(req, input->model),
	    relay_model_name(req, next), input->confidence, input->rank,
	    largest->price, largest->endpoint_ms, largest->cut_probability,
	    input->cut_probability, request_remaining_ms(req));
}

void
relay_model_evaluate(relay_request_t *req)
{
	const relay_route_t *route = req->route;
	model_choice_input_t input = {.model = req->model_index,
	    .models = route->models_len,
	    .confidence = req->confidence,
	    .remaining_ms = objective_remaining_ms(req),
	    .objective_ms = (double)req->route->latency_objective_ms,
	    .rank = request_rank(req)};
	const service_model_t *model;
	size_t current = req->model_index, next;

	if (!req->arrival.any_model || route->models_len == 0)
		return;
	head_record(req);
	late_responses_record(req->relay);
	if (model_choice_is_final(req->confidence))
		return;
	model = relay_model_find(req, relay_model_name(req, input.model));
	if (model != NULL)
		input.cut_probability = cut_probability(req, model, 0);
	input.retry_allowed = request_idempotent(req) &&
	    req->sends < request_sends_max(req) &&
	    relay_retry_has_spare(req->relay, req->service);
	for (size_t i = input.model + 1; i < input.models; i++)
		option_fill(req, i, input.cut_probability, &input.options[i]);
	next = model_choice_next(&input);
	choice_log(req, &input, next);
	/* A response is not discarded unless another one can be had without
	 * taking what a rate limit leaves for first attempts. */
	if (next == req->model_index || !relay_has_unlimited_endpoint(req))
		return;
	req->model_index = next;
	if (!relay_admission_allows_escalation(req)) {
		req->model_index = current;
		return;
	}
	req->escalated_ms = (double)request_age_ms(req);
	attempt_retry_or_fail(req, ATTEMPT_ESCALATED, "low_confidence");
}
