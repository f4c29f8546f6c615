/**
 * @file
 * The sub-commands of moortackctl, their context and their exit statuses.
 */
#ifndef MOORTACKCTL_COMMAND_H
#define MOORTACKCTL_COMMAND_H

#include <jansson.h>
#include <stdbool.h>

#include "common/err.h"
#include "common/http_call.h"
#include "common/settings.h"

#define ENTRIES_MAX 64

/** Exit statuses, as the man page lists them. */
typedef enum command_status {
	COMMAND_OK = 0,
	COMMAND_FAILED = 1,   /**< the request was refused or failed */
	COMMAND_USAGE = 2,    /**< the arguments or settings are invalid */
	COMMAND_CONFLICT = 3, /**< the plan was superseded by another one */
	COMMAND_UNKNOWN = 4,  /**< it is unknown whether it took effect */
	COMMAND_PARTIAL = 5,  /**< accepted, not yet in force everywhere */
} command_status_t;

/** Settings and arguments of a sub-command. */
typedef struct command_context {
	http_address_t entries[ENTRIES_MAX]; /**< tried in this order */
	int entry_count;
	const char *key;   /**< the operator's key */
	tls_t *tls;	   /**< NULL: plain HTTP */
	bool json;	   /**< print the response as JSON */
	bool assume_yes;   /**< confirm without asking */
	const char **args; /**< arguments after the name of the sub-command;
			      NULL ends them */
	int arg_count;
} command_context_t;

typedef command_status_t (*command_run_t)(
    const command_context_t *, err_t *err);

/** One row of the sorted table of sub-commands. */
typedef struct command {
	const char *name;
	const char *usage; /**< of its arguments */
	const char *help;
	command_run_t run;
} command_t;

/** The sub-command with this name, or NULL. */
const command_t *command_find(const char *name);

/** All sub-commands, sorted by name. */
const command_t *commands_all(size_t *count);

/* Each is defined in the source file of its name. */
command_status_t command_confirm(const command_context_t *, err_t *);
command_status_t command_counters(const command_context_t *, err_t *);
command_status_t command_endpoints(const command_context_t *, err_t *);
command_status_t command_entries(const command_context_t *, err_t *);
command_status_t command_history(const command_context_t *, err_t *);
command_status_t command_key(const command_context_t *, err_t *);
command_status_t command_organisation(const command_context_t *, err_t *);
command_status_t command_plan(const command_context_t *, err_t *);
command_status_t command_settings(const command_context_t *, err_t *);
command_status_t command_show(const command_context_t *, err_t *);
command_status_t command_status(const command_context_t *, err_t *);
command_status_t command_timeline(const command_context_t *, err_t *);
command_status_t command_version(const command_context_t *, err_t *);
command_status_t command_withdraw(const command_context_t *, err_t *);

#endif
