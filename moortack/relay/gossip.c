#include "moortack/relay/gossip.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Bytes a second that a daemon may send, and at once: most of the 6 KB a second
 * that it has for control, and enough for all messages of today's fleets. With
 * 3,000 and 6,000 the worth of two of the users' sheets was 0.008 and 0.011
 * less (20 days each). */
#define BYTES_PER_S 4000.0
#define BYTES_AT_ONCE 12000.0
/* Others are told of prompts that take this long to be read, while there is
 * room to tell: shorter ones hold nobody up. Of 0, 20 and 50 none differed. */
#define READ_MIN_MS 20.0
#define MS_PER_SEC 1000.0
/* What the network adds to a datagram. */
#define DATAGRAM_OVERHEAD 28
/* Datagrams taken before other events have their turn. */
#define TAKEN_AT_ONCE 64
/* Part of what may be sent at once that is left for telling of long prompts:
 * beyond it, questions are asked for those only. */
#define ASK_PART 0.5
/* Digests of requests have owners in any zone. */
#define NO_ZONE ""

static bool
address_read(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN];
	size_t len = colon != NULL ? (size_t)(colon - text) : sizeof(host);

	if (len >= sizeof(host))
		return false;
	memcpy(host, text, len);
	host[len] = '\0';
	*out = (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10))};
	return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

/* What can't be sent at once is of no use later. */
static void
bytes_send(gossip_t *self, const struct sockaddr_in *to, const uint8_t *bytes,
    size_t len)
{
	self->allowance -= (double)(len + DATAGRAM_OVERHEAD);
	if (sendto(self->fd, bytes, len, MSG_DONTWAIT,
		(const struct sockaddr *)to, sizeof(*to)) < 0)
		return;
	self->sent++;
	self->sent_bytes += len;
}

static void
message_send(gossip_t *self, const struct sockaddr_in *to,
    const gossip_message_t *message)
{
	uint8_t bytes[GOSSIP_MESSAGE_SIZE];

	bytes_send(
	    self, to, bytes, gossip_message_seal(message, &self->key, bytes));
}

static void
message_take(gossip_t *self, const struct sockaddr_in *from,
    const gossip_message_t *message)
{
	gossip_message_t answer = {.kind = GOSSIP_ANSWER,
	    .endpoint = message->endpoint,
	    .number = message->number};

	switch (message->kind) {
	case GOSSIP_SENT:
		self->ops->sent(self->arg, message);
		break;
	case GOSSIP_QUESTION:
		if (self->ops->asked(self->arg, message, &answer))
			message_send(self, from, &answer);
		break;
	case GOSSIP_ANSWER:
		self->answered++;
		self->ops->answered(self->arg, message);
		break;
	case GOSSIP_CRASH:
	case GOSSIP_HELD:
	case GOSSIP_CLEARED:
		self->ops->crash(self->arg, message);
		break;
	case GOSSIP_KINDS:
		break;
	}
}

static void
on_readable(evutil_socket_t fd, short what, void *arg)
{
	gossip_t *self = arg;
	uint8_t bytes[GOSSIP_MESSAGE_SIZE + 1];
	struct sockaddr_in from;
	gossip_message_t message;

	(void)what;
	for (int i = 0; i < TAKEN_AT_ONCE; i++) {
		socklen_t from_len = sizeof(from);
		ssize_t len = recvfrom(fd, bytes, sizeof(bytes), 0,
		    (struct sockaddr *)&from, &from_len);

		if (len < 0)
			return;
		if (!self->keyed ||
		    !gossip_message_open(
			&message, &self->key, bytes, (size_t)len)) {
			self->refused++;
			continue;
		}
		self->received++;
		message_take(self, &from, &message);
	}
}

bool
gossip_init(gossip_t *self, struct event_base *base,
    const clock_source_t *clock, const membership_t *members,
    const char *address, const gossip_ops_t *ops, void *arg, err_t *err)
{
	struct sockaddr_in own;

	*self = (gossip_t){.clock = clock,
	    .members = members,
	    .ops = ops,
	    .arg = arg,
	    .fd = -1,
	    .allowance = BYTES_AT_ONCE,
	    .allowed_at = clock_boottime(clock)};
	if (address[0] == '\0')
		return true;
	if (!address_read(address, &own))
		return err_set(
		    err, ERR_SETTING, "%s is no address for messages", address);
	self->fd =
	    socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (self->fd < 0 ||
	    bind(self->fd, (struct sockaddr *)&own, sizeof(own)) != 0)
		return err_set(
		    err, ERR_SETTING, "cannot take datagrams at %s", address);
	self->readable =
	    event_new(base, self->fd, EV_READ | EV_PERSIST, on_readable, self);
	if (self->readable == NULL || event_add(self->readable, NULL) != 0)
		return err_set(err, ERR_MEMORY, "out of memory");
	return true;
}

void
gossip_finish(gossip_t *self)
{
	if (self->readable != NULL)
		event_free(self->readable);
	if (self->fd >= 0)
		close(self->fd);
	self->fd = -1;
}

void
gossip_set_secret(gossip_t *self, const char *fleet_secret)
{
	gossip_key_derive(&self->key, fleet_secret);
	self->keyed = true;
}

static void
allowance_grow(gossip_t *self)
{
	struct timespec now = clock_boottime(self->clock);

	self->allowance += BYTES_PER_S / MS_PER_SEC *
	    (double)timespec_ms_between(self->allowed_at, now);
	self->allowed_at = now;
	if (self->allowance > BYTES_AT_ONCE)
		self->allowance = BYTES_AT_ONCE;
}

bool
gossip_worth(gossip_t *self, double read_ms)
{
	allowance_grow(self);
	if (read_ms * self->allowance >= READ_MIN_MS * BYTES_AT_ONCE)
		return true;
	if (read_ms >= READ_MIN_MS)
		self->skipped++;
	return false;
}

void
gossip_tick(gossip_t *self)
{
	const member_t *peers[GOSSIP_PEERS_MAX];
	uint32_t daemons = membership_count(self->members);
	bool open = self->fd >= 0 && self->keyed;
	size_t count;

	count = open ? gossip_peers_of(self->members, peers) : 0;
	self->owners = count > GOSSIP_PEERS_MAX;
	if (self->owners)
		count = 0;
	self->peers_len = 0;
	for (size_t i = 0; i < count; i++) {
		if (address_read(peers[i]->peer, &self->peers[self->peers_len]))
			self->peers_len++;
	}
	self->unheard =
	    daemons > count + 1 ? 1 - ((double)count + 1) / daemons : 0;
}

/* @return whether another daemon is the endpoint's owner */
static bool
owner_address(const gossip_t *self, const char *zone, uint32_t endpoint,
    struct sockaddr_in *out)
{
	const member_t *owner = owner_of(self->members, zone, endpoint);

	return owner != NULL && address_read(owner->peer, out);
}

static void
peers_tell(gossip_t *self, const gossip_message_t *message)
{
	uint8_t bytes[GOSSIP_MESSAGE_SIZE];
	size_t len;

	if (self->peers_len == 0)
		return;
	len = gossip_message_seal(message, &self->key, bytes);
	for (size_t i = 0; i < self->peers_len; i++)
		bytes_send(self, &self->peers[i], bytes, len);
}

void
gossip_tell(gossip_t *self, const char *zone, const gossip_message_t *message)
{
	struct sockaddr_in owner;

	if (!self->owners)
		peers_tell(self, message);
	else if (owner_address(self, zone, message->endpoint, &owner))
		message_send(self, &owner, message);
}

bool
gossip_owns(const gossip_t *self, uint64_t digest)
{
	return owner_of(self->members, NO_ZONE, (uint32_t)digest) == NULL;
}

void
gossip_tell_owners(gossip_t *self, const gossip_message_t *message)
{
	gossip_message_t one = *message;
	struct sockaddr_in owner;

	if (!self->owners) {
		peers_tell(self, message);
		return;
	}
	one.digests_len = 1;
	for (size_t i = 0; i < message->digests_len; i++) {
		one.digests[0] = message->digests[i];
		if (owner_address(
			self, NO_ZONE, (uint32_t)one.digests[0], &owner))
			message_send(self, &owner, &one);
	}
}

void
gossip_tell_each(gossip_t *self, const gossip_message_t *message)
{
	uint8_t bytes[GOSSIP_MESSAGE_SIZE];
	struct sockaddr_in to;
	size_t len;

	if (self->fd < 0 || !self->keyed)
		return;
	len = gossip_message_seal(message, &self->key, bytes);
	for (const member_t *one = self->members->members; one != NULL;
	     one = one->hh.next) {
		if (gossip_peer_serves(self->members, one) &&
		    address_read(one->peer, &to))
			bytes_send(self, &to, bytes, len);
	}
}

bool
gossip_may_ask(gossip_t *self, double read_ms)
{
	if (!self->owners)
		return false;
	allowance_grow(self);
	return self->allowance >= ASK_PART * BYTES_AT_ONCE ||
	    gossip_worth(self, read_ms);
}

bool
gossip_ask(gossip_t *self, const char *zone, const gossip_message_t *question)
{
	struct sockaddr_in owner;

	if (!owner_address(self, zone, question->endpoint, &owner))
		return false;
	message_send(self, &owner, question);
	self->asked++;
	return true;
}
