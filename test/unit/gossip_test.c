/**
 * @file
 * What daemons tell each other of their sends, and ask before they send:
 * messages, their seal, to whom they go, and whom is asked.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../support/manual_clock.h"
#include "moortack/relay/gossip.h"
#include "moortack/relay/gossip_message.h"
#include "moortack/relay/owners.h"

static manual_clock_t hand = {{&manual_clock_ops}, {1000, 0}};

static const gossip_message_t message = {.endpoint = 0xfedcba98,
    .read_ms = 1234,
    .prefixes = {1, 0xffffffff, 3, 4, 5, 6},
    .prefixes_len = 6};

static void
a_message_is_read_by_who_has_the_key(void **state)
{
	gossip_key_t key, other;
	uint8_t bytes[GOSSIP_MESSAGE_SIZE];
	gossip_message_t read;
	size_t len;

	(void)state;
	gossip_key_derive(&key, "secret");
	gossip_key_derive(&other, "another");
	len = gossip_message_seal(&message, &key, bytes);
	assert_true(len <= GOSSIP_MESSAGE_SIZE);
	assert_true(gossip_message_open(&read, &key, bytes, len));
	assert_int_equal(read.endpoint, message.endpoint);
	assert_int_equal(read.read_ms, message.read_ms);
	assert_int_equal(read.prefixes_len, message.prefixes_len);
	assert_memory_equal(
	    read.prefixes, message.prefixes, sizeof(message.prefixes));
	assert_false(gossip_message_open(&read, &other, bytes, len));
}

static void
what_crashes_endpoints_is_told_in_one_datagram(void **state)
{
	const gossip_message_t crash = {.kind = GOSSIP_CRASH,
	    .endpoint = UINT32_MAX,
	    .version = UINT32_MAX,
	    .digests = {UINT64_MAX, 2, 3, 4, UINT64_MAX},
	    .digests_len = GOSSIP_MESSAGE_DIGESTS_MAX};
	const gossip_message_t verdict = {.kind = GOSSIP_HELD,
	    .digests = {UINT64_MAX},
	    .digests_len = 1,
	    .version = UINT32_MAX,
	    .crashes = {UINT32_MAX, 2, UINT32_MAX},
	    .crashes_len = GOSSIP_MESSAGE_CRASHES_MAX,
	    .held_ms = UINT32_MAX};
	const gossip_message_t *const messages[] = {&crash, &verdict};
	uint8_t bytes[GOSSIP_MESSAGE_SIZE];
	gossip_key_t key;
	gossip_message_t read;

	(void)state;
	gossip_key_derive(&key, "secret");
	for (size_t i = 0; i < 2; i++) {
		size_t len = gossip_message_seal(messages[i], &key, bytes);

		assert_true(len <= GOSSIP_MESSAGE_SIZE);
		assert_true(gossip_message_open(&read, &key, bytes, len));
		assert_memory_equal(&read, messages[i], sizeof(read));
	}
}

static void
what_was_changed_is_refused(void **state)
{
	gossip_key_t key;
	uint8_t bytes[GOSSIP_MESSAGE_SIZE + 1] = {0};
	gossip_message_t read;
	size_t len;

	(void)state;
	gossip_key_derive(&key, "secret");
	len = gossip_message_seal(&message, &key, bytes);
	for (size_t i = 0; i < len; i++) {
		bytes[i] ^= 1;
		assert_false(gossip_message_open(&read, &key, bytes, len));
		bytes[i] ^= 1;
	}
	for (size_t cut = 0; cut < len; cut++)
		assert_false(gossip_message_open(&read, &key, bytes, cut));
	assert_false(gossip_message_open(&read, &key, bytes, sizeof(bytes)));
}

static void
members_fill(membership_t *members, member_t *all, size_t len, size_t self)
{
	*members = (membership_t){.clock = &hand.source,
	    .state = MEMBER_READY,
	    .view = {.bounds = {.vouch_ms = 1000}, .vouched = hand.now}};
	for (size_t i = 0; i < len; i++) {
		member_t *one = &all[i];

		memset(one, 0, sizeof(*one));
		snprintf(one->name, sizeof(one->name), "10.0.%zu.1:80", i);
		snprintf(one->peer, sizeof(one->peer), "10.0.%zu.1:81", i);
		snprintf(one->zone, sizeof(one->zone), "zone-%zu", i % 3);
		one->state = MEMBER_READY;
		if (i == self) {
			strcpy(members->settings.name, one->name);
			strcpy(members->settings.zone, one->zone);
		} else {
			HASH_ADD_STR(members->members, name, one);
		}
	}
}

static void
a_small_fleet_tells_all(void **state)
{
	const member_t *peers[GOSSIP_PEERS_MAX];
	member_t all[GOSSIP_PEERS_MAX + 1];
	membership_t members;

	(void)state;
	members_fill(&members, all, GOSSIP_PEERS_MAX + 1, 4);
	assert_int_equal(gossip_peers_of(&members, peers), GOSSIP_PEERS_MAX);
	all[2].state = MEMBER_LEAVING;
	assert_int_equal(
	    gossip_peers_of(&members, peers), GOSSIP_PEERS_MAX - 1);
	HASH_CLEAR(hh, members.members);
}

/* Who keeps the account of the endpoint, as the daemon of that number sees it.
 */
static size_t
owner_seen(
    member_t *all, size_t len, size_t self, const char *zone, uint32_t endpoint)
{
	const member_t *owner;
	membership_t members;

	members_fill(&members, all, len, self);
	owner = owner_of(&members, zone, endpoint);
	HASH_CLEAR(hh, members.members);
	return owner != NULL ? (size_t)(owner - all) : self;
}

enum { DAEMONS = 90, ENDPOINTS = 140, KEPT_MAX = 8 };

/* All daemons agree on it, it stands in the endpoint's zone, and nobody keeps
 * many. */
static void
a_large_fleet_has_an_owner_for_each_endpoint(void **state)
{
	static member_t all[DAEMONS];
	size_t keeps[DAEMONS] = {0};
	char zone[16];

	(void)state;
	for (uint32_t endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
		size_t owner;

		snprintf(zone, sizeof(zone), "zone-%u", endpoint % 3);
		owner = owner_seen(all, DAEMONS, 0, zone, endpoint);
		assert_string_equal(all[owner].zone, zone);
		keeps[owner]++;
		for (size_t self = 1; self < DAEMONS; self += 7)
			assert_int_equal(
			    owner_seen(all, DAEMONS, self, zone, endpoint),
			    owner);
	}
	for (size_t i = 0; i < DAEMONS; i++)
		assert_true(keeps[i] <= KEPT_MAX);
}

/* Who goes leaves only the accounts that it had; without any daemon in the
 * endpoint's zone, one of another keeps them. */
static void
accounts_move_only_with_their_owner(void **state)
{
	static member_t all[DAEMONS];

	(void)state;
	for (uint32_t endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
		size_t before = owner_seen(all, DAEMONS, 0, "zone-0", endpoint);
		size_t after =
		    owner_seen(all, DAEMONS - 1, 0, "zone-0", endpoint);

		assert_true(before == after || before == DAEMONS - 1);
		assert_true(owner_seen(all, DAEMONS, 0, "elsewhere", endpoint) <
		    DAEMONS);
	}
}

static void
an_answer_comes_back_as_it_was_told(void **state)
{
	const gossip_message_t told = {.kind = GOSSIP_ANSWER,
	    .endpoint = 7,
	    .number = 0xffffffff,
	    .wait_ms = 4321,
	    .kept = 3};
	uint8_t bytes[GOSSIP_MESSAGE_SIZE];
	gossip_key_t key;
	gossip_message_t read;

	(void)state;
	gossip_key_derive(&key, "secret");
	assert_true(gossip_message_open(
	    &read, &key, bytes, gossip_message_seal(&told, &key, bytes)));
	assert_int_equal(read.kind, GOSSIP_ANSWER);
	assert_int_equal(read.endpoint, told.endpoint);
	assert_int_equal(read.number, told.number);
	assert_int_equal(read.wait_ms, told.wait_ms);
	assert_int_equal(read.kept, told.kept);
}

/* The less may be sent, the longer a prompt has to be. */
static void
long_prompts_are_told_first(void **state)
{
	membership_t members = {.clock = &hand.source};
	gossip_t gossip;
	size_t told = 0;
	err_t err;

	(void)state;
	assert_true(gossip_init(
	    &gossip, NULL, &hand.source, &members, "", NULL, NULL, &err));
	assert_true(gossip_worth(&gossip, 25));
	assert_false(gossip_worth(&gossip, 5));
	gossip.allowance /= 10;
	assert_false(gossip_worth(&gossip, 25));
	assert_true(gossip_worth(&gossip, 500));
	gossip.allowance = 0;
	while (told < 100 && gossip_worth(&gossip, 5000)) {
		gossip.allowance -= 800;
		told++;
	}
	assert_int_equal(told, 0);
	hand.now.tv_sec += 60;
	assert_true(gossip_worth(&gossip, 25));
	gossip_finish(&gossip);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_message_is_read_by_who_has_the_key),
	    cmocka_unit_test(what_crashes_endpoints_is_told_in_one_datagram),
	    cmocka_unit_test(what_was_changed_is_refused),
	    cmocka_unit_test(a_small_fleet_tells_all),
	    cmocka_unit_test(an_answer_comes_back_as_it_was_told),
	    cmocka_unit_test(a_large_fleet_has_an_owner_for_each_endpoint),
	    cmocka_unit_test(accounts_move_only_with_their_owner),
	    cmocka_unit_test(long_prompts_are_told_first),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
