#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/http_request.h"
#include "front_priv.h"

#define EVENTS_MAX 4096
#define STATUS_ERROR 500

typedef struct admin_path {
	const char *path;
	const char *method;
	void (*serve)(front_t *, http_request_t *, const operator_row_t *,
	    const char *path_rest);
} admin_path_t;

static uint64_t
slot_acquire(front_t *front, http_request_t *req)
{
	handle_t handle = 0;
	admin_slot_t *slot;

	while (handle < front->admin_slots.len &&
	    ((admin_slot_t *)table_at(&front->admin_slots, handle))->req !=
		NULL)
		handle++;
	if (handle == front->admin_slots.len &&
	    table_add(&front->admin_slots) == NULL)
		return 0;
	slot = table_at(&front->admin_slots, handle);
	slot->req = req;
	slot->generation++;
	return (uint64_t)slot->generation << 32 | (handle + 1);
}

static admin_slot_t *
slot_find(front_t *front, uint64_t tag)
{
	admin_slot_t *slot =
	    table_at(&front->admin_slots, (handle_t)(tag & UINT32_MAX) - 1);

	return slot != NULL && slot->generation == tag >> 32 ? slot : NULL;
}

static admin_command_t *
request_new(front_t *front, http_request_t *req,
    const operator_row_t *operator_row, admin_action_t action)
{
	admin_command_t *request = calloc(1, sizeof(*request));

	if (request == NULL)
		return NULL;
	request->action = action;
	request->tag = slot_acquire(front, req);
	memcpy(request->operator_name, operator_row->name,
	    sizeof(request->operator_name));
	return request;
}

static void
plan_create(front_t *front, http_request_t *req,
    const operator_row_t *operator_row, const char *path_rest)
{
	err_t err;
	json_t *intent = http_request_json(req, &err);
	admin_command_t *request;

	(void)path_rest;
	if (intent == NULL ||
	    !operator_is_allowed(operator_row, intent, &err)) {
		failure_respond(front, req, &err, NULL, NULL);
		json_decref(intent);
		return;
	}
	request = request_new(front, req, operator_row, ADMIN_PLAN);
	request->intent = intent;
	registry_admin_submit(front->registry, request);
}

static void
plan_show(front_t *front, http_request_t *req,
    const operator_row_t *operator_row, const char *path_rest)
{
	admin_command_t *request =
	    request_new(front, req, operator_row, ADMIN_SHOW);

	snprintf(
	    request->plan_id, sizeof(request->plan_id), "%.40s", path_rest);
	registry_admin_submit(front->registry, request);
}

static void
plan_confirm(front_t *front, http_request_t *req,
    const operator_row_t *operator_row, const char *path_rest)
{
	admin_command_t *request =
	    request_new(front, req, operator_row, ADMIN_CONFIRM);

	snprintf(
	    request->plan_id, sizeof(request->plan_id), "%.40s", path_rest);
	registry_admin_submit(front->registry, request);
}

static void
status_show(front_t *front, http_request_t *req,
    const operator_row_t *operator_row, const char *path_rest)
{
	(void)path_rest;
	registry_admin_submit(front->registry,
	    request_new(front, req, operator_row, ADMIN_STATUS));
}

static void
history_show(front_t *front, http_request_t *req,
    const operator_row_t *operator_row, const char *path_rest)
{
	admin_command_t *request =
	    request_new(front, req, operator_row, ADMIN_HISTORY);
	char after[24] = "0";

	(void)path_rest;
	http_request_query_param(req, "after", after, sizeof(after));
	request->after_revision = strtoull(after, NULL, 10);
	registry_admin_submit(front->registry, request);
}

static void
timeline_show(front_t *front, http_request_t *req,
    const operator_row_t *operator_row, const char *path_rest)
{
	char subject[TIMELINE_SUBJECT_SIZE] = "";
	json_t *events = json_array();
	const timeline_event_t *event;

	(void)operator_row;
	(void)path_rest;
	http_request_query_param(req, "subject", subject, sizeof(subject));
	for (uint64_t age = EVENTS_MAX; age-- > 0;) {
		event = timeline_get(front->process.timeline, age);
		if (event == NULL ||
		    (*subject != '\0' && strcmp(subject, event->subject) != 0))
			continue;
		json_array_append_new(events,
		    json_pack("{s:I,s:s,s:s,s:s,s:s}", "stamp",
			(json_int_t)event->stamp, "type",
			event_type_name(event->type), "subject", event->subject,
			"note", event->note, "entry", front->options->listen));
	}
	http_respond_json(req, 200, json_pack("{s:o}", "events", events));
}

static json_t *
endpoint_json(const endpoint_t *endpoint)
{
	static const char *const states[] = {"live", "leaving", "gone"};

	return json_pack("{s:s,s:s,s:s,s:b,s:i,s:i,s:i,s:f}", "address",
	    endpoint->address, "place", endpoint->place_name, "state",
	    states[endpoint->state], "ejected", endpoint->ejected, "inflight",
	    (int)endpoint->in_flight, "reported", (int)endpoint->reported_load,
	    "slots", (int)endpoint->slots, "first_token_ms",
	    endpoint->first_token_ms);
}

static void
endpoints_list(front_t *front, http_request_t *req,
    const operator_row_t *operator_row, const char *path_rest)
{
	json_t *list = json_array();

	(void)operator_row;
	(void)path_rest;
	for (handle_t h = 0; h < front->fleet.endpoints.len; h++)
		json_array_append_new(
		    list, endpoint_json(endpoint_table_at(&front->fleet, h)));
	http_respond_json(req, 200, json_pack("{s:o}", "endpoints", list));
}

/* Sorted by path. */
static const admin_path_t paths[] = {
    {"confirm/", "POST", plan_confirm},
    {"endpoints", "GET", endpoints_list},
    {"history", "GET", history_show},
    {"plan", "POST", plan_create},
    {"plan/", "GET", plan_show},
    {"status", "GET", status_show},
    {"timeline", "GET", timeline_show},
};

/* A path that ends in '/' matches as a prefix, any other must match exactly. */
static bool
path_matches(const admin_path_t *row, const char *path)
{
	size_t len = strlen(row->path);

	if (strncmp(row->path, path, len) != 0)
		return false;
	return path[len] == '\0' || row->path[len - 1] == '/';
}

void
admin_request(front_t *front, http_request_t *req, const char *path)
{
	const operator_row_t *operator_row = auth_operator(front, req);
	err_t err;

	if (operator_row == NULL) {
		err_set(
		    &err, ERR_AUTHENTICATION, "the key is not an operator's");
		failure_respond(front, req, &err, NULL, NULL);
		return;
	}
	for (size_t i = 0; i < sizeof(paths) / sizeof(*paths); i++) {
		if (http_request_has_method(req, paths[i].method) &&
		    path_matches(&paths[i], path)) {
			paths[i].serve(front, req, operator_row,
			    path + strlen(paths[i].path));
			return;
		}
	}
	err_set(&err, ERR_NOT_FOUND, "no such admin path");
	failure_respond(front, req, &err, NULL, NULL);
}

void
admin_respond(front_t *front, admin_response_t *response)
{
	admin_slot_t *slot = slot_find(front, response->tag);
	http_request_t *req;

	if (slot == NULL || slot->req == NULL)
		return;
	req = slot->req;
	slot->req = NULL;
	if (response->err.code != ERR_NONE) {
		failure_respond(front, req, &response->err, NULL,
		    json_incref(response->body));
		return;
	}
	http_respond_json(req, 200, json_incref(response->body));
}

void
metrics_respond(front_t *front, http_request_t *req)
{
	struct evbuffer *out = evbuffer_new();

	if (out == NULL) {
		http_request_respond(req, STATUS_ERROR, NULL);
		return;
	}
	counters_write(front->process.counters, out);
	evbuffer_add_printf(out,
	    "# TYPE moortack_exchanges gauge\nmoortack_exchanges %u\n"
	    "# TYPE moortack_waiting gauge\nmoortack_waiting %u\n"
	    "# TYPE moortack_bills_unflushed gauge\n"
	    "moortack_bills_unflushed %u\n"
	    "# TYPE moortack_revision gauge\nmoortack_revision %llu\n",
	    front->exchange_count, front->admission.waiting_count,
	    front->billing_status.unflushed_count,
	    (unsigned long long)front->config->revision);
	http_inbound_write_metrics(&front->inbound_budget, "moortack", out);
	http_response_add_header(
	    req, "Content-Type", "text/plain; version=0.0.4");
	http_request_respond(req, 200, out);
	evbuffer_free(out);
}
