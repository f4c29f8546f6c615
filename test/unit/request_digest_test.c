/**
 * @file
 * One request has one digest, whatever pieces its body comes in; another
 * caller's, path's or body's is another one, and nobody without the fleet's
 * secret can make it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <string.h>

#include "moortack/quarantine/request_digest.h"

#define SECRET "secret of this fleet"

static uint64_t
digest_of(const char *secret, const char *caller, const char *target,
    const char *body)
{
	struct evbuffer *bytes = evbuffer_new();
	request_digest_key_t key;
	uint64_t digest;

	request_digest_key_derive(&key, secret);
	evbuffer_add(bytes, body, strlen(body));
	digest = request_digest(&key, caller, target, bytes);
	evbuffer_free(bytes);
	return digest;
}

static void
the_pieces_of_a_body_make_no_difference(void **state)
{
	struct evbuffer *bytes = evbuffer_new(), *piece = evbuffer_new();
	request_digest_key_t key;

	(void)state;
	request_digest_key_derive(&key, SECRET);
	for (const char *at = "body"; *at != '\0'; at++) {
		evbuffer_add(piece, at, 1);
		evbuffer_add_buffer(bytes, piece);
	}
	assert_int_equal(request_digest(&key, "org", "/a", bytes),
	    digest_of(SECRET, "org", "/a", "body"));
	assert_int_equal(evbuffer_get_length(bytes), 4);
	evbuffer_free(bytes);
	evbuffer_free(piece);
}

static void
another_request_has_another_one(void **state)
{
	uint64_t digest = digest_of(SECRET, "org", "/a", "body");

	(void)state;
	assert_int_equal(digest, digest_of(SECRET, "org", "/a", "body"));
	assert_int_not_equal(digest, digest_of(SECRET, "other", "/a", "body"));
	assert_int_not_equal(digest, digest_of(SECRET, "org", "/b", "body"));
	assert_int_not_equal(digest, digest_of(SECRET, "org", "/a", "bodi"));
	assert_int_not_equal(digest, digest_of(SECRET, "org/", "a", "body"));
	assert_int_not_equal(digest, digest_of("other", "org", "/a", "body"));
	assert_int_not_equal(digest_of(SECRET, "", "", ""), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(the_pieces_of_a_body_make_no_difference),
	    cmocka_unit_test(another_request_has_another_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
