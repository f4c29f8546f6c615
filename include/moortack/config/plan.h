/**
 * @file
 * A plan: which entries an intent would change, and which places and
 * organisations that affects. It is valid only for the revision that it was
 * computed from.
 */
#ifndef MOORTACK_CONFIG_PLAN_H
#define MOORTACK_CONFIG_PLAN_H

#include <jansson.h>

#include "common/err.h"
#include "moortack/config/config.h"

#define PLAN_ID_SIZE 33 /**< hexadecimal, with the terminating NUL */

/**
 * Computes a plan without changing the configuration.
 * @param base the revision in force
 * @return an object with "id", "base", "operator", "intent", "effects" (each
 * with kind, name, before, after, organisations, places) and "warnings"; NULL
 * with @p err set on failure
 */
json_t *plan_compute(const config_t *base, const json_t *intent,
    const char *operator_name, err_t *err);

#endif
