/**
 * @file
 * Which other daemons a daemon tells of the prompts that it sends: all, as long
 * as they are few. A pure decision.
 */
#ifndef MOORTACK_RELAY_COMPANIONS_H
#define MOORTACK_RELAY_COMPANIONS_H

#include <stddef.h>

#include "moortack/relay/membership.h"

/** Others that are told: what a daemon sends and takes stays the same as the
 * fleet grows. Larger fleets have owners. */
#define COMPANIONS_MAX 8

/** Whether the member serves, as far as is known, and can be told and asked. */
bool companion_serves(const membership_t *, const member_t *);

/** Those that serve; no more than COMPANIONS_MAX are filled in.
 * @return how many there are */
size_t
companions_of(const membership_t *, const member_t *companions[COMPANIONS_MAX]);

#endif
