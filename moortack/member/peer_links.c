#include "moortack/member/peer_links.h"

#include <stdio.h>
#include <stdlib.h>
#include <zmq.h>

/* An open connection takes about 90 KB of memory. */
#define LINKS_MAX 48

static peer_link_t *
link_open(peer_links_t *links, const member_t *member)
{
	char endpoint[2 * MEMBER_ADDRESS_SIZE + 16];
	peer_link_t *link = calloc(1, sizeof(*link));

	if (link == NULL)
		return NULL;
	if (!peer_socket_open(&link->socket, links->base, links->context,
		ZMQ_DEALER, links->on_message, links->owner)) {
		peer_socket_close(&link->socket);
		free(link);
		return NULL;
	}
	link->incarnation = member->incarnation;
	peer_auth_apply(links->auth, link->socket.socket, false);
	/* Connects from the address that this daemon listens on, so that a
	 * firewall can filter by source address. */
	snprintf(endpoint, sizeof(endpoint), "tcp://%s:0;%s", links->own_host,
	    member->peer_address);
	zmq_connect(link->socket.socket, endpoint);
	HASH_ADD(hh, links->open_links, incarnation, sizeof(link->incarnation),
	    link);
	return link;
}

peer_link_t *
peer_links_get(peer_links_t *links, uint64_t incarnation)
{
	const member_t *member = members_find(links->members, incarnation);
	peer_link_t *link;

	HASH_FIND(
	    hh, links->open_links, &incarnation, sizeof(incarnation), link);
	if (link == NULL && member != NULL)
		link = link_open(links, member);
	if (link != NULL)
		link->used_at = clock_boottime(links->clock);
	return link;
}

static void
link_close(peer_links_t *links, peer_link_t *link)
{
	HASH_DEL(links->open_links, link);
	peer_socket_close(&link->socket);
	free(link);
}

void
peer_links_members_set(peer_links_t *links, members_t *members)
{
	peer_link_t *next;

	members_release(links->members);
	links->members = members_acquire(members);
	for (peer_link_t *link = links->open_links; link != NULL; link = next) {
		next = link->hh.next;
		if (members_find(members, link->incarnation) == NULL)
			link_close(links, link);
	}
	for (handle_t h = 0; h < members->rows.len; h++) {
		const member_t *member = members_at(members, h);

		if (member->partner)
			peer_links_get(links, member->incarnation);
	}
}

void
peer_links_evict(peer_links_t *links)
{
	while (HASH_COUNT(links->open_links) > LINKS_MAX) {
		peer_link_t *oldest = links->open_links;

		for (peer_link_t *link = links->open_links; link != NULL;
		     link = link->hh.next) {
			if (timespec_us_between(
				link->used_at, oldest->used_at) > 0)
				oldest = link;
		}
		link_close(links, oldest);
	}
}

void
peer_links_finish(peer_links_t *links)
{
	while (links->open_links != NULL)
		link_close(links, links->open_links);
	members_release(links->members);
}
