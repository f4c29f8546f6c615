/**
 * @file
 * Which other daemons a daemon tells of the prompts that it sends: all, as long
 * as they are few. A pure decision.
 */
#ifndef MOORTACK_RELAY_GOSSIP_PEERS_H
#define MOORTACK_RELAY_GOSSIP_PEERS_H

#include <stddef.h>

#include "moortack/replication/membership.h"

/** Others that are told: what a daemon sends and takes stays the same as the
 * fleet grows. Larger fleets have owners. */
#define GOSSIP_PEERS_MAX 8

/** Whether the member serves, as far as is known, and can be told and asked. */
bool gossip_peer_available(const membership_t *, const member_t *);

/** Those that serve; no more than GOSSIP_PEERS_MAX are filled in.
 * @return how many there are */
size_t gossip_peers_collect(
    const membership_t *, const member_t *peers[GOSSIP_PEERS_MAX]);

#endif
