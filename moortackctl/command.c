#include "command.h"

#include <stdlib.h>
#include <string.h>

/* Sorted by name. */
static const command_t commands[] = {
    {"confirm", "PLAN", "put a plan in force", command_confirm},
    {"counters", "", "print the counters of every entry", command_counters},
    {"endpoints", "", "list the endpoints that an entry knows",
	command_endpoints},
    {"entries", "", "list the entries and the revision that each holds",
	command_entries},
    {"history", "[AFTER]", "list the confirmed revisions", command_history},
    {"key", "[-|peer|token]",
	"create a key, hash one, or create a key of the fleet", command_key},
    {"organisation", "NAME FIELD VALUE...", "plan a change of an organisation",
	command_organisation},
    {"plan", "FILE", "plan the intent in a file", command_plan},
    {"settings", "check", "check the settings and the key at each entry",
	command_settings},
    {"show", "[PLAN]", "print a plan, or the configuration in force",
	command_show},
    {"status", "", "print the accepted revision and where it is in force",
	command_status},
    {"timeline", "[SUBJECT]", "print the merged time lines of all entries",
	command_timeline},
    {"version", "MODEL@VERSION STATE [PERCENT]",
	"plan a change of a version's state", command_version},
    {"withdraw", "MODEL@VERSION", "plan a withdrawal", command_withdraw},
};

static int
name_compare(const void *name, const void *row)
{
	return strcmp(name, ((const command_t *)row)->name);
}

const command_t *
command_find(const char *name)
{
	return bsearch(name, commands, sizeof(commands) / sizeof(*commands),
	    sizeof(*commands), name_compare);
}

const command_t *
commands_all(size_t *count)
{
	*count = sizeof(commands) / sizeof(*commands);
	return commands;
}
