/**
 * @file
 * What every sub-command of moortackctl is built from.
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
	COMMAND_FAILED = 1,   /**< the system refused or could not */
	COMMAND_USAGE = 2,    /**< the words or settings are wrong */
	COMMAND_CONFLICT = 3, /**< the plan was overtaken */
	COMMAND_UNKNOWN = 4,  /**< whether it took effect is not known */
	COMMAND_PARTIAL = 5,  /**< accepted, not yet in force everywhere */
} command_status_t;

/** What a sub-command is given. */
typedef struct command_context {
	http_address_t entries[ENTRIES_MAX]; /**< tried in this order */
	int entry_count;
	const char *key;   /**< the operator's */
	tls_t *tls;	   /**< NULL: plain */
	bool json;	   /**< print what was answered, as it is */
	bool assume_yes;   /**< don't ask */
	const char **args; /**< after the sub-command */
	int arg_count;
} command_context_t;

typedef command_status_t (*command_run_t)(
    const command_context_t *, err_t *err);

/** One row of the sorted table of sub-commands. */
typedef struct command {
	const char *name;
	const char *usage; /**< of its words */
	const char *help;
	command_run_t run;
} command_t;

/** The sub-command with this name, or NULL. */
const command_t *command_find(const char *name);

/** All sub-commands, sorted by name. */
const command_t *commands_all(size_t *count);

/* One file each. */
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
