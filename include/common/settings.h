/**
 * @file
 * Settings in flags and environment variables, declared once in a table from
 * which the parser, the check, --help and the docs come.
 */
#ifndef COMMON_SETTINGS_H
#define COMMON_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "common/err.h"

#define SETTING_TEXT_SIZE 1024

typedef enum setting_type {
	SETTING_INT,	 /**< int64_t at the offset */
	SETTING_TEXT,	 /**< char[SETTING_TEXT_SIZE] at the offset */
	SETTING_ADDRESS, /**< the same, of the form IP:PORT */
	SETTING_SECRET,	 /**< the same, environment only, never shown */
} setting_type_t;

/** One setting: the flag is --name, the variable PREFIX_NAME. */
typedef struct setting {
	const char *name; /**< words joined by '-' */
	setting_type_t type;
	size_t offset;		  /**< of the value in the program's struct */
	int64_t min;		  /**< smallest number, or fewest characters */
	int64_t max;		  /**< largest number, or most characters */
	const char *default_text; /**< NULL: must be given */
	const char *unit;	  /**< for the help; "" if none */
	const char *help;
} setting_t;

/** What the arguments asked for. */
typedef enum settings_result {
	SETTINGS_OK,
	SETTINGS_HELP, /**< --help was given; print settings_print_help() */
	SETTINGS_INVALID,
} settings_result_t;

/**
 * Read the environment, then the flags (which win), then check each value.
 * @param prefix of the variables, such as "MOORTACK"; any other variable that
 * starts with it is an error
 * @param values the program's struct
 */
settings_result_t settings_load(const setting_t *table, size_t count,
    const char *prefix, int argc, const char **argv, void *values, err_t *err);

/** Write the help text, a paragraph a setting, to @p out (a FILE *). */
void settings_print_help(
    const setting_t *table, size_t count, const char *prefix, void *out);

#endif
