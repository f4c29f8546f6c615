#include <stdio.h>
#include <string.h>

#include "client.h"

command_status_t
command_plan(const command_context_t *context, err_t *err)
{
	json_error_t parse_error;
	json_t *intent;
	json_t *changes;

	if (context->arg_count != 1) {
		err_set(err, ERR_BAD_REQUEST,
		    "usage: plan FILE, or - for standard input");
		return COMMAND_USAGE;
	}
	intent = strcmp(context->args[0], "-") == 0
	    ? json_loadf(stdin, JSON_REJECT_DUPLICATES, &parse_error)
	    : json_load_file(
		  context->args[0], JSON_REJECT_DUPLICATES, &parse_error);
	if (intent == NULL) {
		err_set(err, ERR_BAD_REQUEST, "%s line %d: %s",
		    context->args[0], parse_error.line, parse_error.text);
		return COMMAND_USAGE;
	}
	changes = json_incref(json_object_get(intent, "changes"));
	json_decref(intent);
	if (changes == NULL) {
		err_set(err, ERR_BAD_REQUEST, "the intent has no \"changes\"");
		return COMMAND_USAGE;
	}
	return client_plan_create(context, changes, err);
}
