#include <stdio.h>
#include <time.h>

#include "client.h"

#define SPREAD_EVERY_NS 500000000
#define SPREAD_TURNS 24 /* 12 s, in which a change is to be in force */

static bool
asked(const command_context_t *context)
{
	char answer[8] = "";

	if (context->assume_yes)
		return true;
	printf("Put plan %s in force? [y/N] ", context->args[0]);
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

typedef struct spread {
	long long revision;
	long long in_force;
	long long members;
} spread_t;

static long long
number(const json_t *reply, const char *name)
{
	return json_integer_value(json_object_get(reply, name));
}

/* Ask on until every member holds it, and show how far it is. */
static void
spread_follow(const command_context_t *context, spread_t *spread)
{
	static const struct timespec wait = {0, SPREAD_EVERY_NS};
	err_t err;

	for (int i = 0; i < SPREAD_TURNS && spread->in_force < spread->members;
	     i++) {
		json_t *status;

		printf("Revision %lld is in force at %lld of %lld ...\n",
		    spread->revision, spread->in_force, spread->members);
		fflush(stdout);
		nanosleep(&wait, NULL);
		if (client_call(context, "/admin/status", NULL, &status,
			&err) == COMMAND_OK &&
		    number(status, "held") >= spread->revision) {
			spread->in_force = number(status, "in_force");
			spread->members = number(status, "members");
		}
		json_decref(status);
	}
}

command_status_t
command_confirm(const command_context_t *context, err_t *err)
{
	char path[128];
	json_t *reply;
	command_status_t status;
	spread_t spread;

	if (context->arg_count != 1) {
		err_set(err, ERR_BAD_REQUEST, "usage: confirm PLAN");
		return COMMAND_USAGE;
	}
	if (!asked(context)) {
		err_set(err, ERR_BAD_REQUEST, "not confirmed");
		return COMMAND_FAILED;
	}
	snprintf(path, sizeof(path), "/admin/confirm/%.64s", context->args[0]);
	status = client_call(context, path, json_object(), &reply, err);
	if (status != COMMAND_OK) {
		changed_print(reply);
		json_decref(reply);
		return status;
	}
	spread = (spread_t){number(reply, "revision"),
	    number(reply, "in_force"), number(reply, "members")};
	if (context->json) {
		client_json_print(reply);
	} else {
		spread_follow(context, &spread);
		printf("Accepted as revision %lld; in force at %lld of %lld.\n",
		    spread.revision, spread.in_force, spread.members);
	}
	json_decref(reply);
	return spread.in_force < spread.members ? COMMAND_PARTIAL : COMMAND_OK;
}
