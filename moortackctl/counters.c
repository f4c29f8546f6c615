#include <stdio.h>
#include <stdlib.h>

#include "client.h"

command_status_t
command_counters(const command_context_t *context, err_t *err)
{
	bool any = false;

	for (int i = 0; i < context->entry_count; i++) {
		char *text =
		    client_text_get(context, &context->entries[i], "/metrics");

		if (text == NULL)
			continue;
		any = true;
		printf("# entry %s:%u\n%s", context->entries[i].host,
		    context->entries[i].port, text);
		free(text);
	}
	if (any)
		return COMMAND_OK;
	err_set(err, ERR_PEERS_UNAVAILABLE, "no entry responds");
	return COMMAND_FAILED;
}
