#include <stdio.h>

#include "client.h"

command_status_t
command_entries(const command_context_t *context, err_t *err)
{
	json_t *response;
	json_t *row;
	size_t i;
	command_status_t status =
	    client_call(context, "/admin/status", NULL, &response, err);

	if (status == COMMAND_OK && context->json)
		client_json_print(json_object_get(response, "entries"));
	if (status == COMMAND_OK && !context->json) {
		json_array_foreach(json_object_get(response, "entries"), i, row)
		{
			printf("%-22s %-16s revision %lld%s%s\n",
			    json_string_value(json_object_get(row, "entry")),
			    json_string_value(json_object_get(row, "place")),
			    (long long)json_integer_value(
				json_object_get(row, "revision")),
			    json_is_true(json_object_get(row, "answers"))
				? ""
				: ", no response",
			    json_is_true(json_object_get(row, "draining"))
				? ", draining"
				: "");
		}
	}
	json_decref(response);
	return status;
}
