/**
 * @file
 * Digests of requests: independent of the chunks of the body, and different for
 * another caller, path, body or secret of the fleet.
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
the_digest_is_independent_of_the_body_chunks(void **state)
{
	struct evbuffer *bytes = evbuffer_new(), *chunk = evbuffer_new();
	request_digest_key_t key;

	(void)state;
	request_digest_key_derive(&key, SECRET);
	for (const char *at = "body"; *at != '\0'; at++) {
		evbuffer_add(chunk, at, 1);
		evbuffer_add_buffer(bytes, chunk);
	}
	assert_int_equal(request_digest(&key, "org", "/a", bytes),
	    digest_of(SECRET, "org", "/a", "body"));
	assert_int_equal(evbuffer_get_length(bytes), 4);
	evbuffer_free(bytes);
	evbuffer_free(chunk);
}

static void
different_requests_have_different_digests(void **state)
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

static void
parts_have_digests_of_their_own(void **state)
{
	request_digest_key_t key, other;

	(void)state;
	request_digest_key_derive(&key, SECRET);
	request_digest_key_derive(&other, "other");
	assert_int_equal(part_digest(&key, 7), part_digest(&key, 7));
	assert_int_not_equal(part_digest(&key, 7), part_digest(&key, 8));
	assert_int_not_equal(part_digest(&key, 7), part_digest(&other, 7));
	assert_true(digest_is_part(part_digest(&key, 0)));
	assert_false(digest_is_part(digest_of(SECRET, "org", "/a", "body")));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(the_digest_is_independent_of_the_body_chunks),
	    cmocka_unit_test(different_requests_have_different_digests),
	    cmocka_unit_test(parts_have_digests_of_their_own),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
