/**
 * @file
 * Which daemon keeps the account of what an endpoint was sent, in fleets that
 * are too large for each daemon to be told of each prompt. A pure decision that
 * all daemons make alike.
 */
#ifndef MOORTACK_RELAY_ENDPOINT_OWNER_H
#define MOORTACK_RELAY_ENDPOINT_OWNER_H

#include "moortack/relay/gossip_peers.h"

/** The daemon that keeps the endpoint's account: one of its zone, where there
 * is any. One that goes or comes moves the accounts that it has, or gets, only.
 * @param zone the endpoint's
 * @param endpoint hash of its id
 * @return NULL: this daemon */
const member_t *
endpoint_owner_find(const membership_t *, const char *zone, uint32_t endpoint);

#endif
