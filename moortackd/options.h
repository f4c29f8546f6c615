/**
 * @file
 * Reads the daemon's settings from flags and the environment.
 */
#ifndef MOORTACKD_OPTIONS_H
#define MOORTACKD_OPTIONS_H

#include "moortack/options.h"

#define OPTIONS_PREFIX "MOORTACK"

/** Load the settings, and check each of them and that they are consistent. */
settings_result_t
options_load(options_t *, int argc, const char **argv, err_t *err);

/** Write the help of all settings to standard output. */
void options_help(void);

#endif
