/**
 * @file
 * What the files of the membership share: membership.c has the members,
 * member_row.c reads and writes their rows, membership_liveness.c has the signs
 * of life that daemons give, member_tree.c whom to follow.
 */
#ifndef MOORTACK_REPLICATION_MEMBERSHIP_PRIV_H
#define MOORTACK_REPLICATION_MEMBERSHIP_PRIV_H

#include "moortack/replication/membership.h"

/** For an answer of the store to a write. */
#define MEMBER_WRITE_TIMEOUT_MS 1200

/** By member_state_t, as in the rows. */
extern const char *const member_state_names[];

/** Read what a row says; false fills the error. The facts' texts and the report
 * are the body's, whose reference is taken. */
bool member_record_decode(
    const char *name, json_t *body, member_record_t *, err_t *);

/** The store's clock now; 0: not known yet. */
int64_t member_store_now_ms(const membership_t *);

/** Write what is wanted of the own row and of others', if it is time. */
void member_rows_tick(membership_t *, struct timespec now);
/** Forget what others want. */
void member_row_requests_finish(membership_t *);

/** Whether there is a daemon to follow that is not known to be silent. */
bool membership_follows_another(membership_t *);

/** A line on what is known of a member. */
void
member_log(const membership_t *, const member_t *, event_throttle_kind_t event);

#endif
