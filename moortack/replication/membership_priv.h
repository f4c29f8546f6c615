/**
 * @file
 * What the files of the membership share: membership.c has the members,
 * member_row.c decodes their rows, member_row_requests.c writes them,
 * member_signs.c detects silent members, member_tree.c chooses the
 * parent.
 */
#ifndef MOORTACK_REPLICATION_MEMBERSHIP_PRIV_H
#define MOORTACK_REPLICATION_MEMBERSHIP_PRIV_H

#include "moortack/replication/membership.h"

/** Time limit for the store's response to a write. */
#define MEMBER_WRITE_TIMEOUT_MS 1200

/** Names in the rows, by member_state_t. */
extern const char *const member_state_names[];

/** Decodes the body of a row, whose reference it takes over; the report belongs
 * to it. False fills the error. */
bool member_record_decode(
    const char *name, json_t *body, member_record_t *, err_t *);

/** The present time by the store's clock; 0: not known yet. */
int64_t member_store_now_ms(const membership_t *);

/** Writes the own row and those that others want, as far as they are due. */
void member_rows_tick(membership_t *, struct timespec now);
/** Drops the requests of other daemons. */
void member_row_requests_finish(membership_t *);

/** Whether there is a member to follow that is not known to be silent. */
bool membership_follows_another(const membership_t *);

/** Logs what is known of the liveness of a member. */
void
member_log(const membership_t *, const member_t *, event_throttle_kind_t event);

#endif
