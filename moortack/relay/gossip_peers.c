#include "moortack/relay/gossip_peers.h"

bool
gossip_peer_available(const membership_t *members, const member_t *member)
{
	return member->peer_address[0] != '\0' &&
	    member_is_available(members, member);
}

size_t
gossip_peers_collect(
    const membership_t *members, const member_t *peers[GOSSIP_PEERS_MAX])
{
	size_t count = 0;

	for (const member_t *member = members->members; member != NULL;
	     member = member->hh.next) {
		if (!gossip_peer_available(members, member))
			continue;
		if (count < GOSSIP_PEERS_MAX)
			peers[count] = member;
		count++;
	}
	return count;
}
