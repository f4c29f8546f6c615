/**
 * @file
 * Packing of texts between daemons: a packed text is restored exactly, and
 * truncated or invalid data is refused.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "moortack/replication/feed_pack.h"

#define LONG_SIZE 200000
#define HEADER_SIZE 5

static void
assert_unpacks_to(const char *text, size_t max_len)
{
	feed_bytes_t packed, unpacked;

	assert_true(feed_pack(text, &packed));
	assert_true(packed.len <= max_len);
	assert_true(feed_unpack(packed.data, packed.len, &unpacked));
	assert_int_equal(unpacked.len, strlen(text));
	assert_string_equal(unpacked.data, text);
	free(packed.data);
	free(unpacked.data);
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
packed_texts_are_restored(void **state)
{
	char *text = long_text();

	(void)state;
	assert_unpacks_to("{}", 2);
	assert_unpacks_to("", 0);
	assert_unpacks_to(text, LONG_SIZE / 20);
	free(text);
}

static void
truncated_or_invalid_data_is_refused(void **state)
{
	char *text = long_text();
	feed_bytes_t packed, unpacked;

	(void)state;
	assert_true(feed_pack(text, &packed));
	for (size_t len = HEADER_SIZE + 1; len < packed.len; len += 7)
		assert_false(feed_unpack(packed.data, len, &unpacked));
	/* A wrong length, up to far more than there is memory. */
	for (size_t at = 1; at < HEADER_SIZE; at++) {
		packed.data[at] ^= 0x40;
		assert_false(feed_unpack(packed.data, packed.len, &unpacked));
		packed.data[at] ^= 0x40;
	}
	packed.data[packed.len / 2] ^= 1;
	assert_false(feed_unpack(packed.data, packed.len, &unpacked));
	free(packed.data);
	free(text);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(packed_texts_are_restored),
	    cmocka_unit_test(truncated_or_invalid_data_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
