#include "common/settings.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

#define NAME_SIZE 128
#define SETTINGS_MAX 64
#define OPTION_HELP 1000

extern char **environ;

static void
variable_name(const char *prefix, const char *name, char *out, size_t size)
{
	snprintf(out, size, "%s_%s", prefix, name);
	for (char *p = out; *p != '\0'; p++)
		*p = *p == '-' ? '_' : (char)toupper((unsigned char)*p);
}

static void
source_name(const setting_t *setting, const char *prefix, bool flag, char *out,
    size_t size)
{
	char variable[NAME_SIZE];

	variable_name(prefix, setting->name, variable, sizeof(variable));
	if (flag)
		snprintf(out, size, "flag --%s", setting->name);
	else
		snprintf(out, size, "environment %s", variable);
}

static bool
int_parse(const setting_t *setting, const char *text, const char *source,
    void *value, err_t *err)
{
	char *end;
	int64_t number;

	errno = 0;
	number = strtoll(text, &end, 10);
	if (errno != 0 || *text == '\0' || *end != '\0' ||
	    number < setting->min || number > setting->max) {
		return err_set(err, ERR_SETTING,
		    "%s is '%.40s'; allowed: a whole number from %" PRId64
		    " to %" PRId64 "%s%s (from %s)",
		    setting->name, text, setting->min, setting->max,
		    *setting->unit != '\0' ? " " : "", setting->unit, source);
	}
	*(int64_t *)value = number;
	return true;
}

static bool
address_is_valid(const char *text)
{
	char host[64];
	const char *colon = strrchr(text, ':');
	struct in_addr addr;
	long port;
	char *end;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(host))
		return false;
	memcpy(host, text, colon - text);
	host[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	return inet_pton(AF_INET, host, &addr) == 1 && *end == '\0' &&
	    colon[1] != '\0' && port > 0 && port <= UINT16_MAX;
}

static bool
text_parse(const setting_t *setting, const char *text, const char *source,
    char *value, err_t *err)
{
	int64_t len = (int64_t)strlen(text);
	const char *shown = setting->type == SETTING_SECRET ? "(hidden)" : text;

	if (len < setting->min || len > setting->max ||
	    len >= SETTING_TEXT_SIZE) {
		return err_set(err, ERR_SETTING,
		    "%s is '%.40s'; allowed: %" PRId64 " to %" PRId64
		    " characters (from %s)",
		    setting->name, shown, setting->min, setting->max, source);
	}
	if (setting->type == SETTING_ADDRESS && len > 0 &&
	    !address_is_valid(text)) {
		return err_set(err, ERR_SETTING,
		    "%s is '%.40s'; allowed: IP:PORT (from %s)", setting->name,
		    text, source);
	}
	memcpy(value, text, (size_t)len + 1);
	return true;
}

static bool
setting_parse(const setting_t *setting, const char *text, const char *source,
    void *values, err_t *err)
{
	void *value = (char *)values + setting->offset;

	if (setting->type == SETTING_INT)
		return int_parse(setting, text, source, value, err);
	return text_parse(setting, text, source, value, err);
}

static bool
environment_check_names(
    const setting_t *table, size_t count, const char *prefix, err_t *err)
{
	size_t prefix_len = strlen(prefix);

	for (char **entry = environ; *entry != NULL; entry++) {
		const char *end = strchr(*entry, '=');
		bool known = false;

		if (end == NULL || strncmp(*entry, prefix, prefix_len) != 0 ||
		    (*entry)[prefix_len] != '_')
			continue;
		for (size_t i = 0; i < count && !known; i++) {
			char name[NAME_SIZE];

			variable_name(
			    prefix, table[i].name, name, sizeof(name));
			known = strlen(name) == (size_t)(end - *entry) &&
			    strncmp(name, *entry, end - *entry) == 0;
		}
		if (!known) {
			return err_set(err, ERR_SETTING,
			    "%.*s is not a setting (from environment)",
			    (int)(end - *entry), *entry);
		}
	}
	return true;
}

static bool
environment_load(const setting_t *table, size_t count, const char *prefix,
    void *values, bool *given, err_t *err)
{
	for (size_t i = 0; i < count; i++) {
		char name[NAME_SIZE];
		char source[NAME_SIZE + 16];
		const char *text;

		variable_name(prefix, table[i].name, name, sizeof(name));
		text = getenv(name);
		if (text == NULL)
			continue;
		source_name(&table[i], prefix, false, source, sizeof(source));
		if (!setting_parse(&table[i], text, source, values, err))
			return false;
		given[i] = true;
	}
	return true;
}

static bool
defaults_load(const setting_t *table, size_t count, const char *prefix,
    void *values, const bool *given, err_t *err)
{
	for (size_t i = 0; i < count; i++) {
		char name[NAME_SIZE];

		if (given[i])
			continue;
		variable_name(prefix, table[i].name, name, sizeof(name));
		if (table[i].default_text == NULL) {
			return err_set(err, ERR_SETTING,
			    "%s is not set; give %s%s%s", table[i].name, name,
			    table[i].type == SETTING_SECRET ? "" : " or --",
			    table[i].type == SETTING_SECRET ? ""
							    : table[i].name);
		}
		if (!setting_parse(&table[i], table[i].default_text, "default",
			values, err))
			return false;
	}
	return true;
}

static void
options_build(const setting_t *table, size_t count, struct poptOption *options)
{
	size_t n = 0;

	for (size_t i = 0; i < count; i++) {
		if (table[i].type == SETTING_SECRET)
			continue;
		options[n++] = (struct poptOption){table[i].name, '\0',
		    POPT_ARG_STRING, NULL, (int)i + 1, table[i].help, NULL};
	}
	options[n++] = (struct poptOption){
	    "help", 'h', POPT_ARG_NONE, NULL, OPTION_HELP, NULL, NULL};
	options[n] = (struct poptOption)POPT_TABLEEND;
}

static settings_result_t
flags_load(poptContext context, const setting_t *table, const char *prefix,
    void *values, bool *given, err_t *err)
{
	int option;

	while ((option = poptGetNextOpt(context)) > 0) {
		const setting_t *setting = &table[option - 1];
		char source[NAME_SIZE];
		char *text;
		bool parsed;

		if (option == OPTION_HELP)
			return SETTINGS_HELP;
		source_name(setting, prefix, true, source, sizeof(source));
		text = poptGetOptArg(context);
		parsed = setting_parse(setting, text, source, values, err);
		free(text);
		if (!parsed)
			return SETTINGS_INVALID;
		given[option - 1] = true;
	}
	if (option < -1) {
		err_set(err, ERR_SETTING, "%s: %s",
		    poptBadOption(context, POPT_BADOPTION_NOALIAS),
		    poptStrerror(option));
		return SETTINGS_INVALID;
	}
	if (poptPeekArg(context) != NULL) {
		err_set(err, ERR_SETTING, "'%s' is not a flag",
		    poptPeekArg(context));
		return SETTINGS_INVALID;
	}
	return SETTINGS_OK;
}

settings_result_t
settings_load(const setting_t *table, size_t count, const char *prefix,
    int argc, const char **argv, void *values, err_t *err)
{
	struct poptOption options[SETTINGS_MAX + 2];
	bool given[SETTINGS_MAX] = {false};
	poptContext context;
	settings_result_t result;

	if (count > SETTINGS_MAX) {
		err_set(err, ERR_SETTING, "too many settings declared");
		return SETTINGS_INVALID;
	}
	options_build(table, count, options);
	context = poptGetContext(NULL, argc, argv, options, 0);
	result = SETTINGS_INVALID;
	if (environment_check_names(table, count, prefix, err) &&
	    environment_load(table, count, prefix, values, given, err))
		result = flags_load(context, table, prefix, values, given, err);
	poptFreeContext(context);
	if (result == SETTINGS_OK &&
	    !defaults_load(table, count, prefix, values, given, err))
		result = SETTINGS_INVALID;
	return result;
}

void
settings_print_help(
    const setting_t *table, size_t count, const char *prefix, void *out)
{
	for (size_t i = 0; i < count; i++) {
		const setting_t *setting = &table[i];
		char name[NAME_SIZE];

		variable_name(prefix, setting->name, name, sizeof(name));
		if (setting->type != SETTING_SECRET)
			fprintf(out, "  --%s, ", setting->name);
		else
			fprintf(out, "  ");
		fprintf(out, "%s\n      %s", name, setting->help);
		if (setting->type == SETTING_INT) {
			fprintf(out, " (%" PRId64 " to %" PRId64 "%s%s)",
			    setting->min, setting->max,
			    *setting->unit != '\0' ? " " : "", setting->unit);
		}
		if (setting->default_text == NULL)
			fprintf(out, " [required]\n");
		else if (*setting->default_text != '\0')
			fprintf(out, " [%s]\n", setting->default_text);
		else
			fprintf(out, "\n");
	}
}
