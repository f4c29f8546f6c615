#include <stdio.h>

#include "client.h"

static void
endpoint_print(const json_t *row)
{
	printf("%-22s %-16s %-8s %s%lld of %lld slots, first token %.0f ms\n",
	    json_string_value(json_object_get(row, "address")),
	    json_string_value(json_object_get(row, "place")),
	    json_string_value(json_object_get(row, "state")),
	    json_is_true(json_object_get(row, "ejected")) ? "ejected, " : "",
	    (long long)json_integer_value(json_object_get(row, "reported")),
	    (long long)json_integer_value(json_object_get(row, "slots")),
	    json_number_value(json_object_get(row, "first_token_ms")));
}

command_status_t
command_endpoints(const command_context_t *context, err_t *err)
{
	json_t *response;
	json_t *row;
	size_t i;
	command_status_t status =
	    client_call(context, "/admin/endpoints", NULL, &response, err);

	if (status == COMMAND_OK && context->json)
		client_json_print(response);
	if (status == COMMAND_OK && !context->json) {
		json_array_foreach(
		    json_object_get(response, "endpoints"), i, row)
		{
			endpoint_print(row);
		}
	}
	json_decref(response);
	return status;
}
