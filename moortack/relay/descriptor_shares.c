#include "moortack/relay/descriptor_shares.h"

/* Files, and the sockets that listen or lead to the store and other daemons. */
#define RESERVED 240
#define DESCRIPTORS_DEFAULT 4100
/* Fewer than this are too few for any listener. */
#define SHARE_MIN 8
#define CALLERS_MAX 2500
#define DAEMONS_MAX 500
#define PEERS_MAX 500
#define DIRECTORY_MAX 256
#define HEALTH_MAX 64
#define METRICS_MAX 32

static uint32_t
share(uint32_t sockets, uint32_t divisor, uint32_t max)
{
	uint32_t part = sockets / divisor;

	if (part > max)
		part = max;
	return part < SHARE_MIN ? SHARE_MIN : part;
}

descriptor_shares_t
descriptor_shares(uint32_t descriptors)
{
	uint32_t known = descriptors > 0 ? descriptors : DESCRIPTORS_DEFAULT;
	uint32_t sockets = known > RESERVED ? known - RESERVED : 0;
	descriptor_shares_t shares = {
	    .daemons = share(sockets, 12, DAEMONS_MAX),
	    .peers = share(sockets, 12, PEERS_MAX),
	    .directory = share(sockets, 20, DIRECTORY_MAX),
	    .health = share(sockets, 50, HEALTH_MAX),
	    .metrics = share(sockets, 100, METRICS_MAX),
	    .endpoints = share(sockets, 4, UINT32_MAX)};
	uint32_t others = shares.daemons + shares.peers + shares.directory +
	    shares.health + shares.metrics + shares.endpoints;

	shares.callers =
	    share(sockets > others ? sockets - others : 0, 1, CALLERS_MAX);
	return shares;
}
