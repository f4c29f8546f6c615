/**
 * @file
 * moortackctl: the operators' command line.
 */
#include <popt.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "command.h"

#define KEY_VARIABLE "MOORTACKCTL_KEY"
#define CA_VARIABLE "MOORTACKCTL_CA"
#define ENTRIES_VARIABLE "MOORTACKCTL_ENTRIES"

typedef struct flags {
	char *entries;
	int json;
	int yes;
	int help;
} flags_t;

static void
usage_print(FILE *out)
{
	size_t count;
	const command_t *commands = commands_all(&count);

	fprintf(out,
	    "Usage: moortackctl [FLAG]... COMMAND [ARGUMENT]...\n\n"
	    "  --entries, " ENTRIES_VARIABLE
	    "\n      Entries as IP:PORT joined by ','\n"
	    "  " KEY_VARIABLE "\n      The operator's key\n"
	    "  " CA_VARIABLE
	    "\n      File with the trusted certificates, PEM; unset: no TLS\n"
	    "  --json\n      Print the response as JSON\n"
	    "  --yes\n      Don't ask before a plan is put into force\n\n");
	for (size_t i = 0; i < count; i++)
		fprintf(out, "  %-13s %-30s %s\n", commands[i].name,
		    commands[i].usage, commands[i].help);
	fprintf(out,
	    "\nExit status: 0 done, 1 refused, 2 wrong arguments or settings, "
	    "3 superseded\nby another plan, 4 outcome unknown (safe to "
	    "repeat), 5 accepted, not yet everywhere.\n");
}

static bool
entries_parse(const char *text, command_context_t *context, err_t *err)
{
	while (*text != '\0') {
		size_t len = strcspn(text, ",");
		char entry[80];

		snprintf(entry, sizeof(entry), "%.*s", (int)len, text);
		if (context->entry_count == ENTRIES_MAX ||
		    !http_address_parse(
			entry, &context->entries[context->entry_count++]))
			return err_set(err, ERR_SETTING,
			    "entries: '%.40s' is not IP:PORT", entry);
		text += len + (text[len] == ',');
	}
	return true;
}

static bool
context_init(const flags_t *flags, command_context_t *context, err_t *err)
{
	const char *entries =
	    flags->entries != NULL ? flags->entries : getenv(ENTRIES_VARIABLE);
	const char *key = getenv(KEY_VARIABLE);
	const char *ca = getenv(CA_VARIABLE);

	context->json = flags->json != 0;
	context->assume_yes = flags->yes != 0;
	context->key = key != NULL ? key : "";
	if (ca != NULL && *ca != '\0') {
		context->tls = tls_client_new(ca, err);
		if (context->tls == NULL)
			return false;
	}
	return entries_parse(entries != NULL ? entries : "", context, err);
}

static command_status_t
command_execute(const flags_t *flags, const char **args, err_t *err)
{
	command_context_t context = {0};
	command_status_t status;
	const command_t *command = args != NULL ? command_find(args[0]) : NULL;

	if (command == NULL) {
		err_set(err, ERR_BAD_REQUEST, "%s; see moortackctl --help",
		    args != NULL ? "unknown command" : "no command given");
		return COMMAND_USAGE;
	}
	if (!context_init(flags, &context, err))
		return COMMAND_USAGE;
	if (context.entry_count == 0 && command->run != command_key) {
		err_set(err, ERR_SETTING,
		    "no entries: give --entries or set " ENTRIES_VARIABLE);
		return COMMAND_USAGE;
	}
	context.args = args + 1;
	while (context.args[context.arg_count] != NULL)
		context.arg_count++;
	status = command->run(&context, err);
	tls_free(context.tls);
	return status;
}

int
main(int argc, const char **argv)
{
	flags_t flags = {0};
	const struct poptOption options[] = {
	    {"entries", 'e', POPT_ARG_STRING, &flags.entries, 0, NULL, NULL},
	    {"json", 'j', POPT_ARG_NONE, &flags.json, 0, NULL, NULL},
	    {"yes", 'y', POPT_ARG_NONE, &flags.yes, 0, NULL, NULL},
	    {"help", 'h', POPT_ARG_NONE, &flags.help, 0, NULL, NULL},
	    POPT_TABLEEND};
	poptContext popt = poptGetContext(NULL, argc, argv, options, 0);
	command_status_t status = COMMAND_USAGE;
	err_t err = {0};
	int option = poptGetNextOpt(popt);

	if (sodium_init() < 0)
		return COMMAND_FAILED;
	if (option < -1) {
		err_set(&err, ERR_SETTING, "%s: %s",
		    poptBadOption(popt, POPT_BADOPTION_NOALIAS),
		    poptStrerror(option));
	} else if (flags.help) {
		usage_print(stdout);
		status = COMMAND_OK;
	} else {
		status = command_execute(&flags, poptGetArgs(popt), &err);
	}
	if (status != COMMAND_OK && err.code != ERR_NONE)
		fprintf(stderr, "moortackctl: %s: %s\n",
		    err_info(err.code)->name, err.detail);
	poptFreeContext(popt);
	free(flags.entries);
	return (int)status;
}
