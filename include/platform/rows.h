/**
 * @file
 * What the operator and the endpoints write to the platform's store, decoded
 * into the product's types. A field that is missing, of the wrong type or too
 * long is a typed error that names it.
 */
#ifndef PLATFORM_ROWS_H
#define PLATFORM_ROWS_H

#include <jansson.h>

#include "moortack/relay/endpoint_set.h"
#include "moortack/relay/relay_config.h"
#include "moortack/relay/rollouts.h"

/** Tables that the operator and the endpoints write. */
#define ROWS_OPERATOR_TABLE "op"
#define ROWS_ENDPOINTS_TABLE "servers"
/** Keys in the operator's table. */
#define ROWS_CONFIG_KEY "config"
#define ROWS_ROLLOUT_PREFIX "rollout/"
#define ROWS_EVACUATION_PREFIX "evacuate/"

/** A configuration, or NULL and the error. */
/** @param before in force until now; may be NULL. Routes of the same text are
 * shared with it: a change of one of 1,550 routes takes 3 to 7 ms of a
 * processor instead of 33 to 38. */
relay_config_t *config_row_decode(
    const char *text, size_t len, const relay_config_t *before, err_t *);

bool endpoint_row_decode(
    const char *id, const char *text, size_t len, endpoint_info_t *, err_t *);

/** Whether an entry differs from the previous one only in what changes with
 * each heartbeat. */
bool endpoint_row_unchanged(
    const char *before, size_t before_len, const char *now, size_t now_len);

/** @param number of the row: grows with each order */
bool rollout_order_row_decode(
    const char *text, size_t len, uint64_t number, rollout_order_t *, err_t *);

/** Whether the rest of the key of an evacuation is a zone's name. The value of
 * the row is not used. */
bool evacuation_zone_check(const char *zone, err_t *);

/** How a roll-out's state is told to the operator. */
extern const rollout_dialect_t platform_rollout_status_encoder;

#endif
