/**
 * @file
 * The orders of one service in one zone: their rows, and what the plan makes of
 * them.
 */
#ifndef MOORTACK_DUTY_CAPACITY_PRIV_H
#define MOORTACK_DUTY_CAPACITY_PRIV_H

#include "moortack/duty/capacity_orders.h"

extern const char *const capacity_kind_names[CAPACITY_KINDS];

/** @return NULL: out of memory, or a name is too long */
capacity_subject_t *capacity_subject_find_or_add(
    capacity_orders_t *, const char *service, const char *zone);

/** Encode as a row's value that the caller frees; NULL: out of memory. */
char *capacity_subject_encode(const capacity_subject_t *);
void capacity_subject_decode(capacity_subject_t *, const json_t *body);
/** Whether the row in the store is up to date. */
bool capacity_subject_is_stored(const capacity_subject_t *);

/** Record the endpoints that are there now. */
void
capacity_subject_observe(capacity_subject_t *, const capacity_service_view_t *,
    const capacity_zone_t *, struct timespec now);
/** Whether what the service was provisioned with there has not grown lately. */
bool capacity_subject_settled(const capacity_subject_t *, struct timespec now);
/** Order what the plan says.
 * @param settled regular endpoints may be given up */
void capacity_subject_apply(
    capacity_subject_t *, const capacity_target_t *, bool settled);

#endif
