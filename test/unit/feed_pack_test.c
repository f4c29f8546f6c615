/**
 * @file
 * Texts between daemons: what is packed comes out as it went in, and what was
 * cut or made up is refused.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "moortack/replication/feed_pack.h"

#define LONG_SIZE 200000
#define HEAD_SIZE 5

static void
comes_out_as_it_went_in(const char *text, size_t most)
{
	feed_bytes_t packed, back;

	assert_true(feed_pack(text, &packed));
	assert_true(packed.len <= most);
	assert_true(feed_unpack(packed.data, packed.len, &back));
	assert_int_equal(back.len, strlen(text));
	assert_string_equal(back.data, text);
	free(packed.data);
	free(back.data);
}

static char *
long_text(void)
{
	char *text = malloc(LONG_SIZE + 1);

	for (size_t i = 0; i < LONG_SIZE; i++)
		text[i] = (char)('a' + i % 7 + i / 1000 % 5);
	text[LONG_SIZE] = '\0';
	return text;
}

static void
texts_come_out_as_they_went_in(void **state)
{
	char *text = long_text();

	(void)state;
	comes_out_as_it_went_in("{}", 2);
	comes_out_as_it_went_in("", 0);
	comes_out_as_it_went_in(text, LONG_SIZE / 20);
	free(text);
}

static void
what_was_cut_or_made_up_is_refused(void **state)
{
	char *text = long_text();
	feed_bytes_t packed, back;

	(void)state;
	assert_true(feed_pack(text, &packed));
	for (size_t len = HEAD_SIZE + 1; len < packed.len; len += 7)
		assert_false(feed_unpack(packed.data, len, &back));
	/* Another length than it has, up to far more than there is memory. */
	for (size_t at = 1; at < HEAD_SIZE; at++) {
		packed.data[at] ^= 0x40;
		assert_false(feed_unpack(packed.data, packed.len, &back));
		packed.data[at] ^= 0x40;
	}
	packed.data[packed.len / 2] ^= 1;
	assert_false(feed_unpack(packed.data, packed.len, &back));
	free(packed.data);
	free(text);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(texts_come_out_as_they_went_in),
	    cmocka_unit_test(what_was_cut_or_made_up_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
