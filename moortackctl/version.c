#include <stdlib.h>
#include <string.h>

#include "client.h"

command_status_t
command_version(const command_context_t *context, err_t *err)
{
	json_t *value;

	if (context->arg_count < 2 || context->arg_count > 3) {
		err_set(err, ERR_BAD_REQUEST,
		    "usage: version MODEL@VERSION STATE [PERCENT]");
		return COMMAND_USAGE;
	}
	value = json_pack("{s:s}", "state", context->args[1]);
	if (context->arg_count == 3)
		json_object_set_new(value, "percent",
		    json_integer(strtol(context->args[2], NULL, 10)));
	return client_plan_create(context,
	    json_pack("[{s:s,s:s,s:o}]", "set", "version", "name",
		context->args[0], "value", value),
	    err);
}
