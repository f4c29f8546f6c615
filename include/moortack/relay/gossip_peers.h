/**
 * @file
 * Which other daemons a daemon notifies of the prompts that it sends: all, as
 * long as there are few. A pure function.
 */
#ifndef MOORTACK_RELAY_GOSSIP_PEERS_H
#define MOORTACK_RELAY_GOSSIP_PEERS_H

#include <stddef.h>

#include "moortack/replication/membership.h"

/** Maximum number of peers to notify, so that the traffic of a daemon doesn't
 * grow with the fleet. Larger fleets use owners. */
#define GOSSIP_PEERS_MAX 8

/** Whether the member serves, as far as is known, and has an address for
 * gossip. */
bool gossip_peer_available(const membership_t *, const member_t *);

/** Fills in the members that serve, at most GOSSIP_PEERS_MAX.
 * @return how many there are */
size_t gossip_peers_collect(
    const membership_t *, const member_t *peers[GOSSIP_PEERS_MAX]);

#endif
