/**
 * @file
 * What the files of the membership share: membership.c has the rows,
 * member_signs.c the signs of life that daemons give, member_tree.c whom to
 * follow.
 */
#ifndef MOORTACK_RELAY_MEMBERSHIP_PRIV_H
#define MOORTACK_RELAY_MEMBERSHIP_PRIV_H

#include "moortack/relay/membership.h"

/** For an answer of the store to a write. */
#define MEMBER_WRITE_TIMEOUT_MS 1200

/** By member_state_t, as in the rows. */
extern const char *const member_state_names[];

/** Write the own row after this time. */
void membership_beat_later(membership_t *, int64_t ms);

/** Whether there is a daemon to follow that is not known to be silent. */
bool membership_follows_another(membership_t *);

/** A line on what is known of a member. */
void member_log(const membership_t *, const member_t *, const char *event);

#endif
