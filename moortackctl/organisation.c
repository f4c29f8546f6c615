#include "client.h"

/* Field values are JSON where they parse as JSON, else text. */
static json_t *
field_value(const char *text)
{
	json_t *value = json_loads(text, JSON_DECODE_ANY, NULL);

	return value != NULL ? value : json_string(text);
}

command_status_t
command_organisation(const command_context_t *context, err_t *err)
{
	json_t *value;

	if (context->arg_count < 3 || context->arg_count % 2 != 1) {
		err_set(err, ERR_BAD_REQUEST,
		    "usage: organisation NAME FIELD VALUE [FIELD VALUE]...");
		return COMMAND_USAGE;
	}
	value = json_object();
	for (int i = 1; i < context->arg_count; i += 2)
		json_object_set_new(
		    value, context->args[i], field_value(context->args[i + 1]));
	return client_plan_create(context,
	    json_pack("[{s:s,s:s,s:o}]", "set", "organisation", "name",
		context->args[0], "value", value),
	    err);
}
