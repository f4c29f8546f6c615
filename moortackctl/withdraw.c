#include "client.h"

command_status_t
command_withdraw(const command_context_t *context, err_t *err)
{
	if (context->arg_count != 1) {
		err_set(err, ERR_BAD_REQUEST, "usage: withdraw MODEL@VERSION");
		return COMMAND_USAGE;
	}
	return client_plan_create(context,
	    json_pack("[{s:s,s:s,s:{s:s}}]", "set", "version", "name",
		context->args[0], "value", "state", "withdrawn"),
	    err);
}
