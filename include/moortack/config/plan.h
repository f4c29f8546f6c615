/**
 * @file
 * A plan: what an intent would change, where and for whom, bound to the
 * revision that it was computed from.
 */
#ifndef MOORTACK_CONFIG_PLAN_H
#define MOORTACK_CONFIG_PLAN_H

#include <jansson.h>

#include "common/err.h"
#include "moortack/config/config.h"

#define PLAN_ID_SIZE 33 /**< hexadecimal, with its end */

/**
 * Work out a plan; nothing is changed.
 * @param base the revision in force
 * @return an object with "id", "base", "operator", "intent", "effects" (each
 * with kind, name, before, after, organisations, places) and "warnings"; NULL
 * with @p err filled
 */
json_t *plan_compute(const config_t *base, const json_t *intent,
    const char *operator_name, err_t *err);

#endif
