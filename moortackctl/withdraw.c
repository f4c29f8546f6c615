#include "client.h"

command_status_t
command_withdraw(const command_context_t *context, err_t *err)
{
	if (context->word_count != 1) {
		err_set(err, ERR_BAD_REQUEST, "usage: withdraw MODEL@VERSION");
		return COMMAND_USAGE;
	}
	return client_plan(context,
	    json_pack("[{s:s,s:s,s:{s:s}}]", "set", "version", "name",
		context->words[0], "value", "state", "withdrawn"),
	    err);
}
