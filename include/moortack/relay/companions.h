/**
 * @file
 * Which other daemons a daemon tells of the prompts that it sends: a bounded
 * number, however many there are. A pure decision.
 */
#ifndef MOORTACK_RELAY_COMPANIONS_H
#define MOORTACK_RELAY_COMPANIONS_H

#include <stddef.h>

#include "moortack/relay/membership.h"

/** Others at most: what a daemon sends and takes stays the same as the fleet
 * grows. Fleets of up to nine daemons tell all. */
#define COMPANIONS_MAX 8

/** Those that are alive, if there are no more than COMPANIONS_MAX; else the
 * next ones of its own place, in an order that all daemons see alike.
 * @return how many */
size_t
companions_of(const membership_t *, const member_t *companions[COMPANIONS_MAX]);

#endif
