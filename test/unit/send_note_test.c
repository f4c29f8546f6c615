/**
 * @file
 * What daemons tell each other of their sends: notes, their seal, and to whom
 * they go.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../support/manual_clock.h"
#include "moortack/relay/companions.h"
#include "moortack/relay/send_note.h"
#include "moortack/relay/send_notes.h"

static manual_clock_t hand = {{&manual_ops}, {1000, 0}};

static const send_note_t note = {.endpoint = 0xfedcba98,
    .read_ms = 1234,
    .prefixes = {1, 0xffffffff, 3, 4, 5, 6},
    .prefixes_len = 6};

static void
a_note_is_read_by_who_has_the_key(void **state)
{
	send_note_key_t key, other;
	uint8_t bytes[SEND_NOTE_SIZE];
	send_note_t read;
	size_t len;

	(void)state;
	send_note_key_derive(&key, "secret");
	send_note_key_derive(&other, "another");
	len = send_note_seal(&note, &key, bytes);
	assert_true(len <= SEND_NOTE_SIZE);
	assert_true(send_note_open(&read, &key, bytes, len));
	assert_int_equal(read.endpoint, note.endpoint);
	assert_int_equal(read.read_ms, note.read_ms);
	assert_int_equal(read.prefixes_len, note.prefixes_len);
	assert_memory_equal(
	    read.prefixes, note.prefixes, sizeof(note.prefixes));
	assert_false(send_note_open(&read, &other, bytes, len));
}

static void
what_was_changed_is_refused(void **state)
{
	send_note_key_t key;
	uint8_t bytes[SEND_NOTE_SIZE + 1] = {0};
	send_note_t read;
	size_t len;

	(void)state;
	send_note_key_derive(&key, "secret");
	len = send_note_seal(&note, &key, bytes);
	for (size_t i = 0; i < len; i++) {
		bytes[i] ^= 1;
		assert_false(send_note_open(&read, &key, bytes, len));
		bytes[i] ^= 1;
	}
	for (size_t cut = 0; cut < len; cut++)
		assert_false(send_note_open(&read, &key, bytes, cut));
	assert_false(send_note_open(&read, &key, bytes, sizeof(bytes)));
}

static void
members_fill(membership_t *members, member_t *all, size_t len, size_t self)
{
	*members = (membership_t){.clock = &hand.source};
	for (size_t i = 0; i < len; i++) {
		member_t *one = &all[i];

		memset(one, 0, sizeof(*one));
		snprintf(one->name, sizeof(one->name), "10.0.%zu.1:80", i);
		snprintf(one->peer, sizeof(one->peer), "10.0.%zu.1:81", i);
		snprintf(one->place, sizeof(one->place), "place-%zu", i % 3);
		one->state = MEMBER_READY;
		if (i == self) {
			strcpy(members->settings.name, one->name);
			strcpy(members->settings.place, one->place);
		} else {
			HASH_ADD_STR(members->members, name, one);
		}
	}
}

static void
a_small_fleet_tells_all(void **state)
{
	const member_t *companions[COMPANIONS_MAX];
	member_t all[COMPANIONS_MAX + 1];
	membership_t members;

	(void)state;
	members_fill(&members, all, COMPANIONS_MAX + 1, 4);
	assert_int_equal(companions_of(&members, companions), COMPANIONS_MAX);
	all[2].state = MEMBER_LEAVING;
	assert_int_equal(
	    companions_of(&members, companions), COMPANIONS_MAX - 1);
	HASH_CLEAR(hh, members.members);
}

/* However many there are, each tells a few of its own place, and each of them
 * is told by as many. */
static void
a_large_fleet_tells_a_few(void **state)
{
	enum { DAEMONS = 90 };
	static member_t all[DAEMONS];
	const member_t *companions[COMPANIONS_MAX];
	size_t told[DAEMONS] = {0};
	membership_t members;

	(void)state;
	for (size_t self = 0; self < DAEMONS; self++) {
		members_fill(&members, all, DAEMONS, self);
		assert_int_equal(
		    companions_of(&members, companions), COMPANIONS_MAX);
		for (size_t i = 0; i < COMPANIONS_MAX; i++) {
			assert_string_equal(
			    companions[i]->place, members.settings.place);
			told[companions[i] - all]++;
		}
		HASH_CLEAR(hh, members.members);
	}
	for (size_t i = 0; i < DAEMONS; i++)
		assert_int_equal(told[i], COMPANIONS_MAX);
}

/* The less may be sent, the longer a prompt has to be. */
static void
long_prompts_are_told_first(void **state)
{
	membership_t members = {.clock = &hand.source};
	send_notes_t notes;
	size_t told = 0;
	err_t err;

	(void)state;
	assert_true(send_notes_init(
	    &notes, NULL, &hand.source, &members, "", NULL, NULL, &err));
	assert_true(send_notes_worth(&notes, 25));
	assert_false(send_notes_worth(&notes, 5));
	notes.allowance /= 10;
	assert_false(send_notes_worth(&notes, 25));
	assert_true(send_notes_worth(&notes, 500));
	notes.allowance = 0;
	while (told < 100 && send_notes_worth(&notes, 5000)) {
		notes.allowance -= 800;
		told++;
	}
	assert_int_equal(told, 0);
	hand.now.tv_sec += 60;
	assert_true(send_notes_worth(&notes, 25));
	send_notes_finish(&notes);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_note_is_read_by_who_has_the_key),
	    cmocka_unit_test(what_was_changed_is_refused),
	    cmocka_unit_test(a_small_fleet_tells_all),
	    cmocka_unit_test(a_large_fleet_tells_a_few),
	    cmocka_unit_test(long_prompts_are_told_first),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
