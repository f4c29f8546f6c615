/**
 * @file
 * Decoders for the rows that the operator and the endpoints write to the
 * platform's store. A field that is missing, of the wrong type or too long is a
 * typed error that names it.
 */
#ifndef PLATFORM_ROWS_H
#define PLATFORM_ROWS_H

#include <jansson.h>

#include "moortack/relay/endpoint_set.h"
#include "moortack/relay/relay_config.h"
#include "moortack/relay/rollouts.h"

/** Tables that the operator and the endpoints write to. */
#define ROWS_OPERATOR_TABLE "op"
#define ROWS_ENDPOINTS_TABLE "servers"
/** Keys in the operator's table. */
#define ROWS_CONFIG_KEY "config"
#define ROWS_ROLLOUT_PREFIX "rollout/"
#define ROWS_EVACUATION_PREFIX "evacuate/"

/** Decode a configuration.
 * @param before the configuration in force; may be NULL. Routes whose text is
 * unchanged are shared with it: applying a change to one of 1,550 routes then
 * takes 3 to 7 ms of CPU time instead of 33 to 38 ms.
 * @return NULL: the row is invalid; fills the error */
relay_config_t *config_row_decode(
    const char *text, size_t len, const relay_config_t *before, err_t *);

/** Decode the entry of an endpoint. */
bool endpoint_row_decode(
    const char *id, const char *text, size_t len, endpoint_info_t *, err_t *);

/** Encode an entry with those fields only that endpoint_row_decode() reads, in
 * a fixed order: entries with the same text mean the same.
 * @param size of the text; ENDPOINT_TEXT_SIZE suffices
 * @return its length, 0: it does not fit */
size_t endpoint_row_encode(const endpoint_info_t *, char *text, size_t size);

/** Whether an entry differs from the previous one only in fields that change
 * with each heartbeat. False if either is invalid. */
bool endpoint_row_unchanged(
    const char *before, size_t before_len, const char *now, size_t now_len);

/** Decode an order for a roll-out.
 * @param number of the row; grows with each order */
bool rollout_order_row_decode(
    const char *text, size_t len, uint64_t number, rollout_order_t *, err_t *);

/** Whether a zone's name is valid: the key of an evacuation's row after its
 * prefix. The value of the row is not used. */
bool evacuation_zone_check(const char *zone, err_t *);

/** Encodes a roll-out's state into the row that the operator reads. */
extern const rollout_status_encoder_t platform_rollout_status_encoder;

#endif
