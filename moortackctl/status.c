#include <stdio.h>

#include "client.h"

command_status_t
command_status(const command_context_t *context, err_t *err)
{
	json_t *response;
	long long in_force, members;
	command_status_t status =
	    client_call(context, "/admin/status", NULL, &response, err);

	if (status != COMMAND_OK) {
		json_decref(response);
		return status;
	}
	in_force = json_integer_value(json_object_get(response, "in_force"));
	members = json_integer_value(json_object_get(response, "members"));
	if (context->json)
		client_json_print(response);
	else
		printf("Revision %lld accepted, in force at %lld of %lld.\n"
		       "The configuration is %s here%s.\n",
		    (long long)json_integer_value(
			json_object_get(response, "accepted")),
		    in_force, members,
		    json_is_true(json_object_get(response, "fresh")) ? "fresh"
								     : "stale",
		    json_is_true(json_object_get(response, "store_lost"))
			? "; the store does not respond"
			: "");
	json_decref(response);
	return in_force < members ? COMMAND_PARTIAL : COMMAND_OK;
}
