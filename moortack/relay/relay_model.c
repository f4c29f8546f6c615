#include <string.h>
#include <xxhash.h>

#include "relay_request.h"

relay_model_t *
relay_model_known(const relay_request_t *req, const char *name)
{
	relay_budget_t *counts = relay_counts(req->relay, req->service);
	uint64_t hash = XXH3_64bits(name, strlen(name));
	relay_model_t *model;

	/* Names that callers bring are not to fill the table. */
	if (counts == NULL || !req->arrival.any_model)
		return NULL;
	for (size_t i = 0; i < counts->models_len; i++) {
		if (counts->models[i].name == hash)
			return &counts->models[i];
	}
	if (counts->models_len == MODELS_MAX)
		return NULL;
	model = &counts->models[counts->models_len++];
	*model = (relay_model_t){.name = hash};
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

/* Until the answer is late; negative: it is. */
static double
objective_left_ms(const relay_request_t *req)
{
	return (double)req->route->objective_ms - request_tried_ms(req);
}

const char *
relay_model(relay_request_t *req)
{
	const relay_route_t *route = req->route;

	if (!req->arrival.any_model || route->models_len == 0)
		return NULL;
	/* An answer that goes on keeps its model. */
	if (req->model != NULL && req->begun)
		return req->model;
	if (!req->model_chosen) {
		req->model_index = model_first(route->models_len);
		req->model_chosen = true;
	}
	if (req->model_index >= route->models_len)
		req->model_index = route->models_len - 1;
	return route->models[req->model_index].name;
}

bool
relay_model_carry(relay_request_t *req, const relay_route_t *route)
{
	const char *named = req->model;

	if (named == NULL)
		return true;
	req->model = NULL;
	for (size_t i = 0; i < route->models_len; i++) {
		if (strcmp(route->models[i].name, named) != 0)
			continue;
		req->model = route->models[i].name;
		req->model_index = i;
	}
	return req->model != NULL || !req->begun;
}

/* Answers that are late already, though they have not begun. */
static void
late_note(relay_t *relay)
{
	for (relay_request_t *req = relay->first; req != NULL;
	     req = req->next) {
		attempt_t *attempt = &req->attempt;
		relay_model_t *model;

		if (!attempt->sent || attempt->headed || attempt->late_told ||
		    attempt->model == NULL || objective_left_ms(req) >= 0)
			continue;
		attempt->late_told = true;
		model = relay_model_known(req, attempt->model);
		if (model != NULL)
			model_record_take(&model->record, false);
	}
}

static void
head_note(relay_request_t *req)
{
	attempt_t *attempt = &req->attempt;
	bool largest = req->model_index + 1 == req->route->models_len;
	relay_model_t *model = relay_model_known(req, attempt->model);

	if (model == NULL)
		return;
	prefill_rate_take(&model->pace, attempt->place.unread,
	    attempt->first_ms > attempt->place.wait_ms
		? attempt->first_ms - attempt->place.wait_ms
		: 0);
	if (!attempt->late_told)
		model_record_take(&model->record, objective_left_ms(req) >= 0);
	if (req->model_index == 0)
		req->smallest_estimate = req->confidence;
	else
		model_record_judge(&model->record, req->smallest_estimate,
		    req->confidence, largest);
}

void
relay_model_unanswered(relay_request_t *req)
{
	const attempt_t *attempt = &req->attempt;
	relay_model_t *model = attempt->model != NULL
	    ? relay_model_known(req, attempt->model)
	    : NULL;
	double waited_ms;

	if (model == NULL)
		return;
	waited_ms = (double)timespec_ms_between(
	    attempt->sent_at, clock_boottime(req->relay->clock));
	/* Only a wait that is longer than expected says something. */
	waited_ms -= attempt->place.wait_ms;
	if (waited_ms > prefill_rate_ms(&model->pace, attempt->place.unread))
		prefill_rate_take(
		    &model->pace, attempt->place.unread, waited_ms);
}

static void
option_fill(relay_request_t *req, size_t index, model_option_t *option)
{
	const route_model_t *named = &req->route->models[index];
	const relay_model_t *model = relay_model_known(req, named->name);
	bool largest = index + 1 == req->route->models_len;
	static const relay_model_t unknown;
	placement_t place;
	const char *why;

	if (model == NULL)
		model = &unknown;
	*option = (model_option_t){.cost = named->cost,
	    .good = model_record_good(
		&model->record, req->smallest_estimate, largest),
	    .on_time = model_record_on_time(&model->record),
	    .first_ms = -1};
	if (relay_place(req, index, &place, &why))
		option->first_ms = place.first_ms;
}

void
relay_model_judge(relay_request_t *req)
{
	const relay_route_t *route = req->route;
	model_moment_t moment = {.model = req->model_index,
	    .models = route->models_len,
	    .confidence = req->confidence,
	    .left_ms = objective_left_ms(req)};
	size_t next;

	if (!req->arrival.any_model || route->models_len == 0)
		return;
	head_note(req);
	late_note(req->relay);
	if (model_is_sure(req->confidence))
		return;
	moment.repeat_left = req->sends < route->attempts &&
	    relay_repeat_plenty(req->relay, req->service);
	for (size_t i = moment.model + 1; i < moment.models; i++)
		option_fill(req, i, &moment.options[i]);
	next = model_next(&moment);
	if (next == req->model_index)
		return;
	req->model_index = next;
	req->dropped_ms = (double)request_age_ms(req);
	attempt_over(req, ATTEMPT_DROPPED, "low_confidence");
}
