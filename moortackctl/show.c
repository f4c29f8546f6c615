#include <stdio.h>

#include "client.h"

command_status_t
command_show(const command_context_t *context, err_t *err)
{
	char path[128] = "/admin/plan/";
	json_t *reply;
	command_status_t status;

	if (context->arg_count > 0)
		snprintf(
		    path, sizeof(path), "/admin/plan/%.64s", context->args[0]);
	status = client_call(context, path, NULL, &reply, err);
	if (status == COMMAND_OK)
		client_json_print(reply);
	json_decref(reply);
	return status;
}
