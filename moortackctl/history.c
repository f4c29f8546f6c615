#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "client.h"

static void
revision_print(const json_t *row)
{
	time_t at =
	    (time_t)(json_integer_value(json_object_get(row, "at_ms")) / 1000);
	char *changes = json_dumps(
	    json_object_get(json_object_get(row, "intent"), "changes"),
	    JSON_COMPACT);
	char stamp[32];
	struct tm tm;

	gmtime_r(&at, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%d %H:%M:%S", &tm);
	printf("%lld  %s  %s  plan %s\n    %s\n",
	    (long long)json_integer_value(json_object_get(row, "revision")),
	    stamp, json_string_value(json_object_get(row, "operator")),
	    json_string_value(json_object_get(row, "plan")),
	    changes != NULL ? changes : "");
	free(changes);
}

command_status_t
command_history(const command_context_t *context, err_t *err)
{
	char path[64] = "/admin/history";
	json_t *response;
	json_t *row;
	size_t i;
	command_status_t status;

	if (context->arg_count > 0)
		snprintf(path, sizeof(path), "/admin/history?after=%.20s",
		    context->args[0]);
	status = client_call(context, path, NULL, &response, err);
	if (status == COMMAND_OK && context->json)
		client_json_print(response);
	if (status == COMMAND_OK && !context->json) {
		json_array_foreach(
		    json_object_get(response, "revisions"), i, row)
		{
			revision_print(row);
		}
	}
	json_decref(response);
	return status;
}
