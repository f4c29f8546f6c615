#include <stdio.h>

#include "client.h"

static bool
asked(const command_context_t *context)
{
	char answer[8] = "";

	if (context->yes)
		return true;
	printf("Put plan %s in force? [y/N] ", context->words[0]);
	fflush(stdout);
	return fgets(answer, sizeof(answer), stdin) != NULL &&
	    (answer[0] == 'y' || answer[0] == 'Y');
}

static void
changed_print(const json_t *reply)
{
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(reply, "changed"), i, row)
	{
		fprintf(stderr, "  changed since: %s\n",
		    json_string_value(json_array_get(row, 1)));
	}
}

command_status_t
command_confirm(const command_context_t *context, err_t *err)
{
	char path[128];
	json_t *reply;
	command_status_t status;
	long long in_force, members;

	if (context->word_count != 1) {
		err_set(err, ERR_BAD_REQUEST, "usage: confirm PLAN");
		return COMMAND_USAGE;
	}
	if (!asked(context)) {
		err_set(err, ERR_BAD_REQUEST, "not confirmed");
		return COMMAND_FAILED;
	}
	snprintf(path, sizeof(path), "/admin/confirm/%.64s", context->words[0]);
	status = client_call(context, path, json_object(), &reply, err);
	if (status != COMMAND_OK) {
		changed_print(reply);
		json_decref(reply);
		return status;
	}
	in_force = json_integer_value(json_object_get(reply, "in_force"));
	members = json_integer_value(json_object_get(reply, "members"));
	if (context->json)
		client_print(reply);
	else
		printf("Accepted as revision %lld; in force at %lld of %lld.\n",
		    (long long)json_integer_value(
			json_object_get(reply, "revision")),
		    in_force, members);
	json_decref(reply);
	return in_force < members ? COMMAND_PARTLY : COMMAND_OK;
}
