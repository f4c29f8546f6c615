#include <stdio.h>
#include <time.h>

#include "client.h"

#define POLL_INTERVAL_NS 500000000
#define POLLS_MAX 24 /* 12 s, within which a change must be in force */

static bool
user_confirms(const command_context_t *context)
{
	char input[8] = "";

	if (context->assume_yes)
		return true;
	printf("Put plan %s in force? [y/N] ", context->args[0]);
	fflush(stdout);
	return fgets(input, sizeof(input), stdin) != NULL &&
	    (input[0] == 'y' || input[0] == 'Y');
}

static void
conflicts_print(const json_t *response)
{
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(response, "changed"), i, row)
	{
		fprintf(stderr, "  changed since: %s\n",
		    json_string_value(json_array_get(row, 1)));
	}
}

/** At how many members a revision is in force. */
typedef struct propagation {
	long long revision;
	long long in_force;
	long long members;
} propagation_t;

static long long
integer_get(const json_t *response, const char *name)
{
	return json_integer_value(json_object_get(response, name));
}

/* Poll until every member has the revision in force, and print progress. */
static void
propagation_wait(const command_context_t *context, propagation_t *propagation)
{
	static const struct timespec wait = {0, POLL_INTERVAL_NS};
	err_t err;

	for (int i = 0;
	     i < POLLS_MAX && propagation->in_force < propagation->members;
	     i++) {
		json_t *status;

		printf("Revision %lld is in force at %lld of %lld ...\n",
		    propagation->revision, propagation->in_force,
		    propagation->members);
		fflush(stdout);
		nanosleep(&wait, NULL);
		if (client_call(context, "/admin/status", NULL, &status,
			&err) == COMMAND_OK &&
		    integer_get(status, "held") >= propagation->revision) {
			propagation->in_force = integer_get(status, "in_force");
			propagation->members = integer_get(status, "members");
		}
		json_decref(status);
	}
}

command_status_t
command_confirm(const command_context_t *context, err_t *err)
{
	char path[128];
	json_t *response;
	command_status_t status;
	propagation_t propagation;

	if (context->arg_count != 1) {
		err_set(err, ERR_BAD_REQUEST, "usage: confirm PLAN");
		return COMMAND_USAGE;
	}
	if (!user_confirms(context)) {
		err_set(err, ERR_BAD_REQUEST, "not confirmed");
		return COMMAND_FAILED;
	}
	snprintf(path, sizeof(path), "/admin/confirm/%.64s", context->args[0]);
	status = client_call(context, path, json_object(), &response, err);
	if (status != COMMAND_OK) {
		conflicts_print(response);
		json_decref(response);
		return status;
	}
	propagation = (propagation_t){integer_get(response, "revision"),
	    integer_get(response, "in_force"),
	    integer_get(response, "members")};
	if (context->json) {
		client_json_print(response);
	} else {
		propagation_wait(context, &propagation);
		printf("Accepted as revision %lld; in force at %lld of %lld.\n",
		    propagation.revision, propagation.in_force,
		    propagation.members);
	}
	json_decref(response);
	return propagation.in_force < propagation.members ? COMMAND_PARTIAL
							  : COMMAND_OK;
}
