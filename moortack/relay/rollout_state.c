#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rollouts_priv.h"

const char *const rollout_state_names[] = {
    "none", "in_progress", "completed", "reverted"};

static bool
state_from_name(const char *name, rollout_state_t *state)
{
	for (size_t i = 0; name != NULL && i < 4; i++) {
		if (strcmp(rollout_state_names[i], name) != 0)
			continue;
		*state = (rollout_state_t)i;
		return true;
	}
	return false;
}

static bool
version_decode(const json_t *value, const char *field, char *out, err_t *err)
{
	const char *version = json_string_value(json_object_get(value, field));

	if (version == NULL || strlen(version) >= ENDPOINT_NAME_SIZE)
		return err_set(err, ERR_BAD_REQUEST,
		    "%s is missing, not a string or too long", field);
	strcpy(out, version);
	return true;
}

#define ROUTE_TEXT_SIZE 17
#define ROUTE_BASE 16
#define LATE_MAX_MS 60000

static void
load_routes_decode(const json_t *routes, rollout_load_t *load)
{
	size_t i;
	json_t *route;

	json_array_foreach(routes, i, route)
	{
		const char *text = json_string_value(route);

		if (text != NULL && load->routes_len < ROLLOUT_LOAD_ROUTES_MAX)
			load->routes[load->routes_len++] =
			    strtoull(text, NULL, ROUTE_BASE);
	}
}

static json_t *
load_routes_encode(const rollout_load_t *load)
{
	json_t *routes = json_array();
	char text[ROUTE_TEXT_SIZE];

	for (size_t i = 0; i < load->routes_len; i++) {
		snprintf(text, sizeof(text), "%016" PRIx64, load->routes[i]);
		json_array_append_new(routes, json_string(text));
	}
	return routes;
}

/* Rows without a load are of the time before it was determined. */
static rollout_load_t
load_decode(const json_t *value)
{
	rollout_load_t load;
	double share = json_number_value(json_object_get(value, "load_share"));
	double fill = json_number_value(json_object_get(value, "load_fill"));
	json_int_t endpoints =
	    json_integer_value(json_object_get(value, "load_endpoints"));

	if (!(share > 0 && share <= 1) || !(fill >= share) || endpoints <= 0 ||
	    endpoints > UINT32_MAX)
		return (rollout_load_t){0};
	load = (rollout_load_t){.share = share,
	    .fill_share = fill,
	    .endpoints = (uint32_t)endpoints};
	load_routes_decode(json_object_get(value, "load_routes"), &load);
	return load;
}

static rollout_trial_t
trial_decode(const json_t *value)
{
	double share = json_number_value(json_object_get(value, "trial_share"));
	json_int_t from_ms =
	    json_integer_value(json_object_get(value, "trial_from_ms"));

	if (!(share > 0 && share <= 1) || from_ms < 0)
		return (rollout_trial_t){0};
	return (rollout_trial_t){share, from_ms};
}

static void
trial_encode(const rollout_t *rollout, json_t *value)
{
	rollout_trial_t trial = rollout_current_trial(rollout);

	if (rollout->trial_proposed.share > trial.share)
		trial = rollout->trial_proposed;
	if (trial.share <= 0)
		return;
	json_object_set_new(value, "trial_share", json_real(trial.share));
	json_object_set_new(
	    value, "trial_from_ms", json_integer(trial.from_ms));
}

static bool
content_decode(const json_t *value, rollout_state_row_t *content, err_t *err)
{
	json_int_t order = json_integer_value(json_object_get(value, "order"));

	if (order <= 0)
		return err_set(
		    err, ERR_BAD_REQUEST, "order is missing or out of range");
	content->order = (uint64_t)order;
	content->started_ms =
	    json_integer_value(json_object_get(value, "began_ms"));
	content->accepted_ms =
	    json_integer_value(json_object_get(value, "accepted_ms"));
	content->late_ms =
	    json_integer_value(json_object_get(value, "late_ms"));
	if (content->late_ms < 0 || content->late_ms > LATE_MAX_MS)
		content->late_ms = 0;
	content->trial = trial_decode(value);
	content->load = load_decode(value);
	if (!version_decode(value, "to", content->to_version, err) ||
	    !version_decode(value, "base", content->base_version, err))
		return false;
	if (!state_from_name(json_string_value(json_object_get(value, "state")),
		&content->state))
		return err_set(
		    err, ERR_BAD_REQUEST, "state is missing or unknown");
	return true;
}

bool
rollout_state_decode(const row_t *row, rollout_state_row_t *content, err_t *err)
{
	json_t *value = json_loadb(row->value, row->value_len, 0, NULL);
	bool decoded;

	*content = (rollout_state_row_t){0};
	if (!json_is_object(value)) {
		json_decref(value);
		return err_set(
		    err, ERR_UNREADABLE, "the row is not a JSON object");
	}
	decoded = content_decode(value, content, err);
	json_decref(value);
	return decoded;
}

char *
rollout_state_encode(const rollout_t *rollout, rollout_state_t state)
{
	const rollouts_t *self = rollout->owner;
	json_t *value = json_pack("{s:I, s:s, s:s, s:s, s:I}", "order",
	    (json_int_t)rollout->order.number, "to", rollout->order.to_version,
	    "base", rollout_base_version(rollout), "state",
	    rollout_state_names[state], "began_ms",
	    (json_int_t)(timespec_to_ms(rollout_started_at(rollout)) +
		self->store_clock_offset_ms));
	rollout_load_t load = rollout_current_load(rollout);
	int64_t accepted_ms = rollout_accepted_ms(rollout);
	char *text;

	trial_encode(rollout, value);
	if (rollout_late_ms(rollout) > 0)
		json_object_set_new(
		    value, "late_ms", json_integer(rollout_late_ms(rollout)));
	if (accepted_ms <= 0)
		accepted_ms = rollout->accepted_proposed_ms;
	if (accepted_ms > 0)
		json_object_set_new(
		    value, "accepted_ms", json_integer(accepted_ms));
	if (load.endpoints == 0)
		load = rollout->load_proposed;
	if (load.endpoints > 0) {
		json_object_set_new(value, "load_share", json_real(load.share));
		json_object_set_new(
		    value, "load_fill", json_real(load.fill_share));
		json_object_set_new(
		    value, "load_endpoints", json_integer(load.endpoints));
		json_object_set_new(
		    value, "load_routes", load_routes_encode(&load));
	}
	text = json_dumps(value, JSON_COMPACT);
	json_decref(value);
	return text;
}
