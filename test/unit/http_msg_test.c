/**
 * @file
 * What is taken for one message, and what is refused since it could be read
 * as two.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "common/http_msg.h"

/** What a reader told. */
typedef struct told {
	int heads;
	int status;
	char body[256];
	size_t body_len;
} told_t;

static void
on_head(void *arg, http_msg_t *msg)
{
	told_t *told = arg;

	told->heads++;
	told->status = msg->status;
}

static void
on_body(void *arg, const char *bytes, size_t len)
{
	told_t *told = arg;

	assert_true(told->body_len + len < sizeof(told->body));
	memcpy(told->body + told->body_len, bytes, len);
	told->body_len += len;
}

static void
on_done(void *arg)
{
	(void)arg;
}

static const http_reader_ops_t ops = {on_head, on_body, on_done};

/** A reader that was fed one text. */
typedef struct fed {
	told_t told;
	http_reader_t reader;
	struct evbuffer *in;
	http_read_result_t result;
	err_t err;
} fed_t;

static fed_t *
feed(fed_t *fed, enum http_parser_type type, const char *text, size_t len)
{
	*fed = (fed_t){.in = evbuffer_new()};
	http_reader_init(&fed->reader, type, &ops, &fed->told, 4096);
	evbuffer_add(fed->in, text, len);
	fed->result = http_reader_feed(&fed->reader, fed->in);
	return fed;
}

static void
fed_finish(fed_t *fed)
{
	http_reader_finish(&fed->reader);
	evbuffer_free(fed->in);
}

static bool
request_taken(const char *text, size_t len)
{
	fed_t fed;
	bool taken;

	feed(&fed, HTTP_REQUEST, text, len);
	taken = fed.result == HTTP_READ_COMPLETE &&
	    http_msg_check(&fed.reader.msg, &fed.err);
	fed_finish(&fed);
	return taken;
}

#define TAKEN(text) assert_true(request_taken(text, sizeof(text) - 1))
#define REFUSED(text) assert_false(request_taken(text, sizeof(text) - 1))

static void
proper_requests_are_taken(void **state)
{
	(void)state;
	TAKEN("GET /a/b?c=d HTTP/1.1\r\nHost: h\r\n\r\n");
	TAKEN("DELETE /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
	TAKEN("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
	TAKEN("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	      "\r\n4;a=b\r\nabcd\r\n0\r\nX-Sum: 1\r\n\r\n");
	TAKEN("PURGE /a HTTP/1.1\r\nHost: h\r\n\r\n");
}

static void
what_has_two_readings_is_refused(void **state)
{
	(void)state;
	REFUSED("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		"Content-Length: 4\r\n\r\nabcd");
	REFUSED("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc");
	REFUSED("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
	REFUSED("POST /a HTTP/1.1\r\nHost: h\r\n"
		"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n");
	REFUSED("POST /a HTTP/1.1\r\nHost: h\r\n"
		"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n");
	REFUSED("GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n");
	REFUSED("GET /a HTTP/1.1\r\n\r\n");
	REFUSED("GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n");
	REFUSED("GET /a HTTP/1.1\r\nHost: h\r\nX: a\0b\r\n\r\n");
	REFUSED("FETCH /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
}

static void
bytes_after_a_message_are_left(void **state)
{
	static const char two[] =
	    "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\n";
	fed_t fed;

	(void)state;
	feed(&fed, HTTP_REQUEST, two, sizeof(two) - 1);
	assert_int_equal(fed.result, HTTP_READ_COMPLETE);
	assert_int_equal(evbuffer_get_length(fed.in), 17);
	fed_finish(&fed);
}

static void
trailers_are_no_headers(void **state)
{
	static const char text[] =
	    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "1\r\na\r\n0\r\nHost: other\r\n\r\n";
	fed_t fed;

	(void)state;
	feed(&fed, HTTP_REQUEST, text, sizeof(text) - 1);
	assert_int_equal(fed.result, HTTP_READ_COMPLETE);
	assert_int_equal(http_msg_field_count(&fed.reader.msg, "Host"), 1);
	assert_string_equal(http_msg_field(&fed.reader.msg, "host"), "h");
	fed_finish(&fed);
}

static void
a_head_that_is_too_large_is_refused(void **state)
{
	char text[8192];
	fed_t fed;
	int len = snprintf(text, sizeof(text),
	    "GET /a HTTP/1.1\r\nHost: h\r\nX: %05000d\r\n\r\n", 1);

	(void)state;
	feed(&fed, HTTP_REQUEST, text, (size_t)len);
	assert_int_equal(fed.result, HTTP_READ_INVALID);
	assert_true(fed.reader.head_too_large);
	fed_finish(&fed);
}

static void
interim_answers_are_skipped(void **state)
{
	static const char text[] =
	    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	fed_t fed;

	(void)state;
	feed(&fed, HTTP_RESPONSE, text, sizeof(text) - 1);
	assert_int_equal(fed.result, HTTP_READ_COMPLETE);
	assert_int_equal(fed.told.heads, 1);
	assert_int_equal(fed.told.status, 200);
	assert_int_equal(fed.told.body_len, 2);
	fed_finish(&fed);
}

static void
an_answer_without_length_ends_with_its_connection(void **state)
{
	static const char text[] = "HTTP/1.1 200 OK\r\n\r\nsome";
	fed_t fed;

	(void)state;
	feed(&fed, HTTP_RESPONSE, text, sizeof(text) - 1);
	assert_int_equal(fed.result, HTTP_READ_INCOMPLETE);
	assert_int_equal(http_reader_eof(&fed.reader), HTTP_READ_COMPLETE);
	assert_false(http_should_keep_alive(&fed.reader.parser));
	fed_finish(&fed);
}

static void
an_answer_cut_short_is_not_whole(void **state)
{
	static const char length[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome";
	static const char chunks[] = "HTTP/1.1 200 OK\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n"
				     "4\r\nsome\r\n";
	fed_t fed;

	(void)state;
	feed(&fed, HTTP_RESPONSE, length, sizeof(length) - 1);
	assert_int_equal(http_reader_eof(&fed.reader), HTTP_READ_INVALID);
	fed_finish(&fed);
	feed(&fed, HTTP_RESPONSE, chunks, sizeof(chunks) - 1);
	assert_int_equal(http_reader_eof(&fed.reader), HTTP_READ_INVALID);
	fed_finish(&fed);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(proper_requests_are_taken),
	    cmocka_unit_test(what_has_two_readings_is_refused),
	    cmocka_unit_test(bytes_after_a_message_are_left),
	    cmocka_unit_test(trailers_are_no_headers),
	    cmocka_unit_test(a_head_that_is_too_large_is_refused),
	    cmocka_unit_test(interim_answers_are_skipped),
	    cmocka_unit_test(an_answer_without_length_ends_with_its_connection),
	    cmocka_unit_test(an_answer_cut_short_is_not_whole),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
