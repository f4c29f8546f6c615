#include "client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_MS 8000
#define HEADER_SIZE 512
#define STATUS_OK 200
#define STATUS_CONFLICT 409

/** An entry's response. */
typedef struct response {
	int status; /**< 0: none */
	char *text;
} response_t;

static void
response_store(void *arg, const http_response_t *received)
{
	response_t *response = arg;

	response->status = received->status;
	response->text = received->body != NULL ? strdup(received->body) : NULL;
}

static response_t
entry_call(const command_context_t *context, const http_address_t *entry,
    enum evhttp_cmd_type method, const char *path, const char *body)
{
	char authorization[HEADER_SIZE];
	const http_header_t headers[] = {
	    {"Authorization", authorization}, {NULL, NULL}};
	const http_call_t call = {.address = entry,
	    .method = method,
	    .path = path,
	    .headers = headers,
	    .body = body,
	    .body_len = body != NULL ? strlen(body) : 0,
	    .timeout_ms = CALL_TIMEOUT_MS,
	    .tls = context->tls};
	response_t response = {0};

	snprintf(
	    authorization, sizeof(authorization), "Bearer %s", context->key);
	http_call_sync(&call, response_store, &response);
	return response;
}

static command_status_t
error_decode(const json_t *response, int status, err_t *err)
{
	const json_t *error = json_object_get(response, "error");
	const char *type = json_string_value(json_object_get(error, "type"));
	const char *text = json_string_value(json_object_get(error, "message"));
	err_code_t code =
	    type != NULL ? err_code_from_name(type) : ERR_INTERNAL;

	err_set(err, code, "%s", text != NULL ? text : "no reason was given");
	if (status == STATUS_CONFLICT)
		return COMMAND_CONFLICT;
	if (code == ERR_STORE)
		return COMMAND_UNKNOWN;
	return COMMAND_FAILED;
}

command_status_t
client_call(const command_context_t *context, const char *path, json_t *body,
    json_t **out, err_t *err)
{
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	command_status_t status = COMMAND_FAILED;

	json_decref(body);
	*out = NULL;
	err_set(err, ERR_PEERS_UNAVAILABLE,
	    "no entry responds; check --entries and that the daemons run");
	for (int i = 0; i < context->entry_count; i++) {
		response_t response = entry_call(context, &context->entries[i],
		    text != NULL ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, path,
		    text);

		if (response.status == 0)
			continue;
		*out = response.text != NULL
		    ? json_loads(response.text, 0, NULL)
		    : NULL;
		free(response.text);
		*err = (err_t){0};
		status = response.status == STATUS_OK
		    ? COMMAND_OK
		    : error_decode(*out, response.status, err);
		break;
	}
	free(text);
	return status;
}

int
client_entry_get(const command_context_t *context, const http_address_t *entry,
    const char *path, json_t **out)
{
	response_t response =
	    entry_call(context, entry, EVHTTP_REQ_GET, path, NULL);

	*out =
	    response.text != NULL ? json_loads(response.text, 0, NULL) : NULL;
	free(response.text);
	return response.status;
}

char *
client_text_get(const command_context_t *context, const http_address_t *entry,
    const char *path)
{
	response_t response =
	    entry_call(context, entry, EVHTTP_REQ_GET, path, NULL);

	if (response.status == STATUS_OK)
		return response.text;
	free(response.text);
	return NULL;
}

void
client_json_print(const json_t *value)
{
	char *text = json_dumps(value, JSON_INDENT(2));

	if (text != NULL)
		printf("%s\n", text);
	free(text);
}

static void
names_print(const char *title, const json_t *list)
{
	json_t *item;
	size_t i;

	printf("    %s:", title);
	json_array_foreach(list, i, item)
	{
		printf(" %s", json_string_value(item));
	}
	printf("%s\n", json_array_size(list) == 0 ? " none" : "");
}

static void
value_print(const char *title, const json_t *value)
{
	char *text = json_is_null(value)
	    ? NULL
	    : json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);

	printf("    %s: %s\n", title, text != NULL ? text : "nothing");
	free(text);
}

static void
plan_print(const json_t *plan)
{
	json_t *item;
	size_t i;

	printf("Plan %s, from revision %lld. Nothing has changed yet.\n",
	    json_string_value(json_object_get(plan, "id")),
	    (long long)json_integer_value(json_object_get(plan, "base")));
	json_array_foreach(json_object_get(plan, "effects"), i, item)
	{
		printf("  %s %s\n",
		    json_string_value(json_object_get(item, "kind")),
		    json_string_value(json_object_get(item, "name")));
		value_print("before", json_object_get(item, "before"));
		value_print("after", json_object_get(item, "after"));
		names_print("for", json_object_get(item, "organisations"));
		names_print("where", json_object_get(item, "places"));
	}
	json_array_foreach(json_object_get(plan, "warnings"), i, item)
	{
		printf("  Warning: %s\n", json_string_value(item));
	}
	printf("To put it in force: moortackctl confirm %s\n",
	    json_string_value(json_object_get(plan, "id")));
}

command_status_t
client_plan_create(
    const command_context_t *context, json_t *changes, err_t *err)
{
	json_t *plan;
	command_status_t status = client_call(context, "/admin/plan",
	    json_pack("{s:o}", "changes", changes), &plan, err);

	if (status == COMMAND_OK) {
		if (context->json)
			client_json_print(plan);
		else
			plan_print(plan);
	}
	json_decref(plan);
	return status;
}
