/**
 * @file
 * Settings from flags and environment variables, declared once in a table from
 * which parsing, validation, --help and the documentation are derived.
 */
#ifndef COMMON_SETTINGS_H
#define COMMON_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "common/err.h"

#define SETTING_TEXT_SIZE 1024 /* bytes, with the terminating zero */

typedef enum setting_type {
	SETTING_INT,	 /**< int64_t at the offset */
	SETTING_TEXT,	 /**< char[SETTING_TEXT_SIZE] at the offset */
	SETTING_ADDRESS, /**< as SETTING_TEXT, of the form IP:PORT */
	SETTING_SECRET, /**< as SETTING_TEXT, environment only, never printed */
} setting_type_t;

/** A setting. Its flag is --name, its environment variable PREFIX_NAME. */
typedef struct setting {
	const char *name; /**< lower-case words joined by '-' */
	setting_type_t type;
	size_t offset; /**< of the value in the caller's struct, bytes */
	int64_t min;   /**< smallest number, or fewest characters */
	int64_t max;   /**< largest number, or most characters */
	const char *default_text; /**< NULL: required */
	const char *unit;	  /**< shown in the help; "" if none */
	const char *help;
} setting_t;

typedef enum settings_result {
	SETTINGS_OK,
	SETTINGS_HELP,	  /**< --help was given; print settings_print_help() */
	SETTINGS_INVALID, /**< the error names the setting and its source */
} settings_result_t;

/**
 * Read and validate the environment variables and then the flags, which
 * override them; then fill in defaults.
 * @param prefix of the variables, such as "MOORTACK"; an unknown variable that
 * starts with it and '_' is an error
 * @param values the caller's struct
 */
settings_result_t settings_load(const setting_t *table, size_t count,
    const char *prefix, int argc, const char **argv, void *values, err_t *err);

/** Print the help text, one paragraph per setting, to @p out (a FILE *). */
void settings_print_help(
    const setting_t *table, size_t count, const char *prefix, void *out);

#endif
