#include <stdio.h>
#include <string.h>

#include "client.h"

/* main() has read and checked the settings; this checks the key at the entries.
 */
command_status_t
command_settings(const command_context_t *context, err_t *err)
{
	if (context->arg_count != 1 || strcmp(context->args[0], "check") != 0) {
		err_set(err, ERR_BAD_REQUEST, "usage: settings check");
		return COMMAND_USAGE;
	}
	for (int i = 0; i < context->entry_count; i++) {
		json_t *response;
		int status = client_entry_get(
		    context, &context->entries[i], "/admin/status", &response);

		json_decref(response);
		printf("%s:%u %s\n", context->entries[i].host,
		    context->entries[i].port,
		    status == 200     ? "accepts the key"
			: status == 0 ? "does not respond"
				      : "rejects the key");
	}
	return COMMAND_OK;
}
