/**
 * @file
 * Gossip messages, their encryption, who they are sent to, and who is queried.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../support/manual_clock.h"
#include "moortack/relay/endpoint_owner.h"
#include "moortack/relay/gossip.h"
#include "moortack/relay/gossip_message.h"

static manual_clock_t manual_clock = {{&manual_clock_ops}, {1000, 0}};

static const gossip_message_t message = {.endpoint_hash = 0xfedcba98,
    .prefill_ms = 1234,
    .parts = {1, 0xffffffff, 3, 4, 5, 6},
    .parts_len = 6};

static void
message_opens_only_with_the_key(void **state)
{
	gossip_key_t key, other;
	uint8_t bytes[GOSSIP_DATAGRAM_MAX];
	gossip_message_t opened;
	size_t len;

	(void)state;
	gossip_key_derive(&key, "secret");
	gossip_key_derive(&other, "another");
	len = gossip_message_seal(&message, &key, bytes);
	assert_true(len <= GOSSIP_DATAGRAM_MAX);
	assert_true(gossip_message_open(&opened, &key, bytes, len));
	assert_int_equal(opened.endpoint_hash, message.endpoint_hash);
	assert_int_equal(opened.prefill_ms, message.prefill_ms);
	assert_int_equal(opened.parts_len, message.parts_len);
	assert_memory_equal(opened.parts, message.parts, sizeof(message.parts));
	assert_false(gossip_message_open(&opened, &other, bytes, len));
}

static void
largest_messages_fit_into_one_datagram(void **state)
{
	const gossip_message_t crash = {.kind = GOSSIP_CRASH,
	    .endpoint_hash = UINT32_MAX,
	    .version_hash = UINT32_MAX,
	    .digests = {UINT64_MAX, 2, 3, 4, UINT64_MAX},
	    .digests_len = GOSSIP_MESSAGE_DIGESTS_MAX};
	const gossip_message_t quarantined = {.kind = GOSSIP_QUARANTINED,
	    .digests = {UINT64_MAX},
	    .digests_len = 1,
	    .version_hash = UINT32_MAX,
	    .crashes = {UINT32_MAX, 2, UINT32_MAX},
	    .crashes_len = GOSSIP_MESSAGE_CRASHES_MAX,
	    .age_ms = UINT32_MAX};
	const gossip_message_t rate_limit = {.kind = GOSSIP_RATE_LIMIT,
	    .endpoint_hash = UINT32_MAX,
	    .rate_limited = true,
	    .rate_milli = UINT32_MAX,
	    .noticed_ms = UINT64_MAX};
	const gossip_message_t response = {.kind = GOSSIP_RESPONSE,
	    .endpoint_hash = UINT32_MAX,
	    .query_id = UINT32_MAX,
	    .queue_wait_ms = UINT32_MAX,
	    .cached_prefixes = UINT32_MAX,
	    .price_milli = UINT32_MAX};
	const gossip_message_t *const messages[] = {
	    &crash, &quarantined, &rate_limit, &response};
	uint8_t bytes[GOSSIP_DATAGRAM_MAX];
	gossip_key_t key;
	gossip_message_t opened;

	(void)state;
	gossip_key_derive(&key, "secret");
	for (size_t i = 0; i < sizeof(messages) / sizeof(messages[0]); i++) {
		size_t len = gossip_message_seal(messages[i], &key, bytes);

		assert_true(len <= GOSSIP_DATAGRAM_MAX);
		assert_true(gossip_message_open(&opened, &key, bytes, len));
		assert_memory_equal(&opened, messages[i], sizeof(opened));
	}
}

static void
altered_datagrams_are_refused(void **state)
{
	gossip_key_t key;
	uint8_t bytes[GOSSIP_DATAGRAM_MAX + 1] = {0};
	gossip_message_t opened;
	size_t len;

	(void)state;
	gossip_key_derive(&key, "secret");
	len = gossip_message_seal(&message, &key, bytes);
	for (size_t i = 0; i < len; i++) {
		bytes[i] ^= 1;
		assert_false(gossip_message_open(&opened, &key, bytes, len));
		bytes[i] ^= 1;
	}
	for (size_t short_len = 0; short_len < len; short_len++)
		assert_false(
		    gossip_message_open(&opened, &key, bytes, short_len));
	assert_false(gossip_message_open(&opened, &key, bytes, sizeof(bytes)));
}

static void
members_fill(membership_t *members, member_t *all, size_t len, size_t self)
{
	*members = (membership_t){.clock = &manual_clock.source,
	    .state = MEMBER_READY,
	    .liveness = {.timeouts = {.summary_ttl_ms = 1000},
		.summary_at = manual_clock.now}};
	for (size_t i = 0; i < len; i++) {
		member_t *member = &all[i];

		memset(member, 0, sizeof(*member));
		snprintf(
		    member->name, sizeof(member->name), "10.0.%zu.1:80", i);
		snprintf(member->peer_address, sizeof(member->peer_address),
		    "10.0.%zu.1:81", i);
		snprintf(member->zone, sizeof(member->zone), "zone-%zu", i % 3);
		member->state = MEMBER_READY;
		if (i == self) {
			strcpy(members->settings.name, member->name);
			strcpy(members->settings.zone, member->zone);
		} else {
			HASH_ADD_STR(members->members, name, member);
		}
	}
}

static void
small_fleet_notifies_all_daemons(void **state)
{
	const member_t *peers[GOSSIP_PEERS_MAX];
	member_t all[GOSSIP_PEERS_MAX + 1];
	membership_t members;

	(void)state;
	members_fill(&members, all, GOSSIP_PEERS_MAX + 1, 4);
	assert_int_equal(
	    gossip_peers_collect(&members, peers), GOSSIP_PEERS_MAX);
	all[2].state = MEMBER_LEAVING;
	assert_int_equal(
	    gossip_peers_collect(&members, peers), GOSSIP_PEERS_MAX - 1);
	HASH_CLEAR(hh, members.members);
}

/* The owner of the endpoint as the daemon with number @p self sees it. */
static size_t
owner_seen_by(
    member_t *all, size_t len, size_t self, const char *zone, uint32_t endpoint)
{
	const member_t *owner;
	owned_endpoints_t owned;
	membership_t members;

	members_fill(&members, all, len, self);
	owner = endpoint_owner_find(&members, zone, endpoint);
	assert_int_equal(
	    endpoint_owner_is_self(&members, zone, endpoint), owner == NULL);
	owned_endpoints_init(&owned, &members);
	assert_int_equal(
	    owned_endpoints_has(&owned, zone, endpoint), owner == NULL);
	owned_endpoints_finish(&owned);
	HASH_CLEAR(hh, members.members);
	return owner != NULL ? (size_t)(owner - all) : self;
}

enum { DAEMONS = 90, ENDPOINTS = 140, OWNED_MAX = 8 };

/* All daemons agree on the owner, it is in the endpoint's zone, and no daemon
 * owns many endpoints. */
static void
large_fleet_has_an_owner_for_each_endpoint(void **state)
{
	static member_t all[DAEMONS];
	size_t owned[DAEMONS] = {0};
	char zone[16];

	(void)state;
	for (uint32_t endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
		size_t owner;

		snprintf(zone, sizeof(zone), "zone-%u", endpoint % 3);
		owner = owner_seen_by(all, DAEMONS, 0, zone, endpoint);
		assert_string_equal(all[owner].zone, zone);
		owned[owner]++;
		for (size_t self = 1; self < DAEMONS; self += 7)
			assert_int_equal(
			    owner_seen_by(all, DAEMONS, self, zone, endpoint),
			    owner);
	}
	for (size_t i = 0; i < DAEMONS; i++)
		assert_true(owned[i] <= OWNED_MAX);
}

/* With some daemons of each zone gone, and all of one. */
static void
owned_endpoints_follow_the_members_state(void **state)
{
	static member_t all[DAEMONS];
	owned_endpoints_t owned;
	membership_t members;
	char zone[16];

	(void)state;
	members_fill(&members, all, DAEMONS, 4);
	for (size_t i = 0; i < DAEMONS; i++)
		all[i].state =
		    i % 3 == 0 || i % 7 == 0 ? MEMBER_LEAVING : MEMBER_READY;
	owned_endpoints_init(&owned, &members);
	for (uint32_t endpoint = 0; endpoint < 4 * ENDPOINTS; endpoint++) {
		snprintf(zone, sizeof(zone), "zone-%u", endpoint % 4);
		assert_int_equal(owned_endpoints_has(&owned, zone, endpoint),
		    endpoint_owner_is_self(&members, zone, endpoint));
	}
	members.state = MEMBER_LEAVING;
	assert_false(owned_endpoints_has(&owned, "zone-1", 1));
	owned_endpoints_finish(&owned);
	HASH_CLEAR(hh, members.members);
}

/* A daemon that leaves only moves the endpoints that it owned; if there is no
 * daemon in the endpoint's zone, one of another zone is the owner. */
static void
endpoints_move_only_with_their_owner(void **state)
{
	static member_t all[DAEMONS];

	(void)state;
	for (uint32_t endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
		size_t before =
		    owner_seen_by(all, DAEMONS, 0, "zone-0", endpoint);
		size_t after =
		    owner_seen_by(all, DAEMONS - 1, 0, "zone-0", endpoint);

		assert_true(before == after || before == DAEMONS - 1);
		assert_true(owner_seen_by(all, DAEMONS, 0, "elsewhere",
				endpoint) < DAEMONS);
	}
}

static void
response_survives_a_round_trip(void **state)
{
	const gossip_message_t sent = {.kind = GOSSIP_RESPONSE,
	    .endpoint_hash = 7,
	    .query_id = 0xffffffff,
	    .queue_wait_ms = 4321,
	    .cached_prefixes = 3,
	    .listed = true,

	    .price_milli = 1234};
	uint8_t bytes[GOSSIP_DATAGRAM_MAX];
	gossip_key_t key;
	gossip_message_t opened;

	(void)state;
	gossip_key_derive(&key, "secret");
	assert_true(gossip_message_open(
	    &opened, &key, bytes, gossip_message_seal(&sent, &key, bytes)));
	assert_int_equal(opened.kind, GOSSIP_RESPONSE);
	assert_int_equal(opened.endpoint_hash, sent.endpoint_hash);
	assert_int_equal(opened.query_id, sent.query_id);
	assert_int_equal(opened.queue_wait_ms, sent.queue_wait_ms);
	assert_int_equal(opened.cached_prefixes, sent.cached_prefixes);
	assert_true(opened.listed);
	assert_int_equal(opened.price_milli, sent.price_milli);
}

/* The smaller the send budget, the longer a prompt has to be. */
static void
long_prompts_are_preferred(void **state)
{
	membership_t members = {.clock = &manual_clock.source};
	gossip_t gossip;
	size_t sent = 0;
	err_t err;

	(void)state;
	assert_true(gossip_init(&gossip, NULL, &manual_clock.source, &members,
	    "", NULL, NULL, &err));
	assert_true(gossip_should_send(&gossip, 25));
	assert_false(gossip_should_send(&gossip, 5));
	gossip.send_budget /= 10;
	assert_false(gossip_should_send(&gossip, 25));
	assert_true(gossip_should_send(&gossip, 500));
	gossip.send_budget = 0;
	while (sent < 100 && gossip_should_send(&gossip, 5000)) {
		gossip.send_budget -= 800;
		sent++;
	}
	assert_int_equal(sent, 0);
	manual_clock.now.tv_sec += 60;
	assert_true(gossip_should_send(&gossip, 25));
	gossip_finish(&gossip);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(message_opens_only_with_the_key),
	    cmocka_unit_test(largest_messages_fit_into_one_datagram),
	    cmocka_unit_test(altered_datagrams_are_refused),
	    cmocka_unit_test(small_fleet_notifies_all_daemons),
	    cmocka_unit_test(response_survives_a_round_trip),
	    cmocka_unit_test(large_fleet_has_an_owner_for_each_endpoint),
	    cmocka_unit_test(owned_endpoints_follow_the_members_state),
	    cmocka_unit_test(endpoints_move_only_with_their_owner),
	    cmocka_unit_test(long_prompts_are_preferred),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
