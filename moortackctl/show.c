#include <stdio.h>

#include "client.h"

command_status_t
command_show(const command_context_t *context, err_t *err)
{
	char path[128] = "/admin/plan/";
	json_t *response;
	command_status_t status;

	if (context->arg_count > 0)
		snprintf(
		    path, sizeof(path), "/admin/plan/%.64s", context->args[0]);
	status = client_call(context, path, NULL, &response, err);
	if (status == COMMAND_OK)
		client_json_print(response);
	json_decref(response);
	return status;
}
