/**
 * @file
 * Valid messages are accepted, and requests whose framing or routing is
 * ambiguous are refused.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "common/http_msg.h"

/** What the reader's callbacks received. */
typedef struct received {
	int heads;
	int status;
	char body[256];
	size_t body_len;
} received_t;

static void
on_head(void *arg, http_msg_t *msg)
{
	received_t *received = arg;

	received->heads++;
	received->status = msg->status;
}

static void
on_body(void *arg, const char *bytes, size_t len)
{
	received_t *received = arg;

	assert_true(received->body_len + len < sizeof(received->body));
	memcpy(received->body + received->body_len, bytes, len);
	received->body_len += len;
}

static void
on_done(void *arg)
{
	(void)arg;
}

static const http_reader_ops_t ops = {on_head, on_body, on_done};

/** A reader that was fed one text, and its result. */
typedef struct parse {
	received_t received;
	http_reader_t reader;
	struct evbuffer *in;
	http_read_result_t result;
	err_t err;
} parse_t;

static parse_t *
feed(parse_t *parse, enum http_parser_type type, const char *text, size_t len)
{
	*parse = (parse_t){.in = evbuffer_new()};
	http_reader_init(&parse->reader, type, &ops, &parse->received, 4096);
	evbuffer_add(parse->in, text, len);
	parse->result = http_reader_feed(&parse->reader, parse->in);
	return parse;
}

static void
parse_finish(parse_t *parse)
{
	http_reader_finish(&parse->reader);
	evbuffer_free(parse->in);
}

static bool
request_is_accepted(const char *text, size_t len)
{
	parse_t parse;
	bool accepted;

	feed(&parse, HTTP_REQUEST, text, len);
	accepted = parse.result == HTTP_READ_COMPLETE &&
	    http_msg_check(&parse.reader.msg, &parse.err);
	parse_finish(&parse);
	return accepted;
}

#define ACCEPTED(text) assert_true(request_is_accepted(text, sizeof(text) - 1))
#define REFUSED(text) assert_false(request_is_accepted(text, sizeof(text) - 1))

static void
well_formed_requests_are_accepted(void **state)
{
	(void)state;
	ACCEPTED("GET /a/b?c=d HTTP/1.1\r\nHost: h\r\n\r\n");
	ACCEPTED(
	    "DELETE /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
	ACCEPTED("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
	ACCEPTED("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		 "\r\n4;a=b\r\nabcd\r\n0\r\nX-Sum: 1\r\n\r\n");
	ACCEPTED("PURGE /a HTTP/1.1\r\nHost: h\r\n\r\n");
}

static void
ambiguous_requests_are_refused(void **state)
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
	REFUSED("POST /a HTTP/1.1\r\nHost: h\r\n"
		"Transfer-Encoding: chunked\r\n\r\n4\r\nabcdXX0\r\n\r\n");
	REFUSED("POST /a HTTP/1.1\r\nHost: h\r\n"
		"Transfer-Encoding: chunked\r\n\r\n4;a\nb\r\nabcd\r\n0\r\n"
		"\r\n");
	REFUSED("GET /a HTTP/1.1\r\nHost: h\r\nX: 1\r\n more\r\n\r\n");
	REFUSED("GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n");
	REFUSED("GET /a HTTP/1.1\r\n\r\n");
	REFUSED("GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n");
	REFUSED("GET /a HTTP/1.1\r\nHost: h\r\nX: a\0b\r\n\r\n");
	REFUSED("FETCH /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
}

static void
bytes_after_a_message_are_not_consumed(void **state)
{
	static const char two[] =
	    "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\n";
	parse_t parse;

	(void)state;
	feed(&parse, HTTP_REQUEST, two, sizeof(two) - 1);
	assert_int_equal(parse.result, HTTP_READ_COMPLETE);
	assert_int_equal(evbuffer_get_length(parse.in), 17);
	parse_finish(&parse);
}

static void
trailers_are_not_headers(void **state)
{
	static const char text[] =
	    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "1\r\na\r\n0\r\nHost: other\r\n\r\n";
	parse_t parse;

	(void)state;
	feed(&parse, HTTP_REQUEST, text, sizeof(text) - 1);
	assert_int_equal(parse.result, HTTP_READ_COMPLETE);
	assert_int_equal(http_msg_field_count(&parse.reader.msg, "Host"), 1);
	assert_string_equal(http_msg_field(&parse.reader.msg, "host"), "h");
	parse_finish(&parse);
}

static void
too_large_heads_are_refused(void **state)
{
	char text[8192];
	parse_t parse;
	int len = snprintf(text, sizeof(text),
	    "GET /a HTTP/1.1\r\nHost: h\r\nX: %05000d\r\n\r\n", 1);

	(void)state;
	feed(&parse, HTTP_REQUEST, text, (size_t)len);
	assert_int_equal(parse.result, HTTP_READ_INVALID);
	assert_true(parse.reader.head_too_large);
	parse_finish(&parse);
}

static void
interim_responses_are_skipped(void **state)
{
	static const char text[] =
	    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	parse_t parse;

	(void)state;
	feed(&parse, HTTP_RESPONSE, text, sizeof(text) - 1);
	assert_int_equal(parse.result, HTTP_READ_COMPLETE);
	assert_int_equal(parse.received.heads, 1);
	assert_int_equal(parse.received.status, 200);
	assert_int_equal(parse.received.body_len, 2);
	parse_finish(&parse);
}

static void
interim_responses_without_end_are_invalid(void **state)
{
	static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
	parse_t parse;
	int count = 1;

	(void)state;
	feed(&parse, HTTP_RESPONSE, interim, sizeof(interim) - 1);
	while (parse.result == HTTP_READ_INCOMPLETE && count < 4096) {
		evbuffer_add(parse.in, interim, sizeof(interim) - 1);
		parse.result = http_reader_feed(&parse.reader, parse.in);
		count++;
	}
	assert_int_equal(parse.result, HTTP_READ_INVALID);
	assert_true(count > 10);
	assert_int_equal(parse.received.heads, 0);
	parse_finish(&parse);
}

static void
responses_without_length_end_with_the_connection(void **state)
{
	static const char text[] = "HTTP/1.1 200 OK\r\n\r\nsome";
	parse_t parse;

	(void)state;
	feed(&parse, HTTP_RESPONSE, text, sizeof(text) - 1);
	assert_int_equal(parse.result, HTTP_READ_INCOMPLETE);
	assert_int_equal(http_reader_eof(&parse.reader), HTTP_READ_COMPLETE);
	assert_false(http_should_keep_alive(&parse.reader.parser));
	parse_finish(&parse);
}

static void
truncated_responses_are_invalid(void **state)
{
	static const char length[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome";
	static const char chunks[] = "HTTP/1.1 200 OK\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n"
				     "4\r\nsome\r\n";
	parse_t parse;

	(void)state;
	feed(&parse, HTTP_RESPONSE, length, sizeof(length) - 1);
	assert_int_equal(http_reader_eof(&parse.reader), HTTP_READ_INVALID);
	parse_finish(&parse);
	feed(&parse, HTTP_RESPONSE, chunks, sizeof(chunks) - 1);
	assert_int_equal(http_reader_eof(&parse.reader), HTTP_READ_INVALID);
	parse_finish(&parse);
}

/* A head of 4 KB in the smallest fields. */
static void
tiny_fields_take_memory_by_their_bytes(void **state)
{
	char text[4096] = "GET / HTTP/1.1\r\nHost: h\r\n";
	size_t len = strlen(text);
	size_t fields = 1;
	parse_t parse;

	(void)state;
	for (; len < sizeof(text) - 8; fields++)
		len +=
		    (size_t)snprintf(text + len, sizeof(text) - len, "a:\r\n");
	feed(&parse, HTTP_REQUEST, text, len);
	assert_int_equal(parse.result, HTTP_READ_INCOMPLETE);
	assert_true(http_reader_head_bytes(&parse.reader) <= 4 * len);
	evbuffer_add(parse.in, "\r\n", 2);
	assert_int_equal(
	    http_reader_feed(&parse.reader, parse.in), HTTP_READ_COMPLETE);
	assert_int_equal(parse.reader.msg.fields_len, fields);
	assert_string_equal(http_msg_field(&parse.reader.msg, "a"), "");
	assert_true(http_reader_head_bytes(&parse.reader) <= 6 * len);
	parse_finish(&parse);
}

/* Each field of a head is looked up in them. */
static void
connection_options_without_end_are_refused(void **state)
{
	char text[2048] = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close";
	size_t len = strlen(text);
	parse_t parse;

	(void)state;
	ACCEPTED("GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\n"
		 "Connection: keep-alive\r\n\r\n");
	while (len < 1500)
		len += (size_t)snprintf(
		    text + len, sizeof(text) - len, ", option");
	len += (size_t)snprintf(text + len, sizeof(text) - len, "\r\n\r\n");
	feed(&parse, HTTP_REQUEST, text, len);
	assert_int_equal(parse.result, HTTP_READ_INVALID);
	assert_true(parse.reader.head_too_large);
	parse_finish(&parse);
}

/* A value that arrives byte by byte is stored once. */
static void
heads_in_single_bytes_are_parsed(void **state)
{
	static const char text[] = "GET /path HTTP/1.1\r\nHost: h\r\n"
				   "X-Long: some value\r\nX-Empty:\r\n\r\n";
	parse_t parse;

	(void)state;
	feed(&parse, HTTP_REQUEST, text, 1);
	for (size_t i = 1; i < sizeof(text) - 1; i++) {
		evbuffer_add(parse.in, text + i, 1);
		parse.result = http_reader_feed(&parse.reader, parse.in);
	}
	assert_int_equal(parse.result, HTTP_READ_COMPLETE);
	assert_string_equal(parse.reader.msg.target, "/path");
	assert_string_equal(
	    http_msg_field(&parse.reader.msg, "X-Long"), "some value");
	assert_string_equal(http_msg_field(&parse.reader.msg, "X-Empty"), "");
	parse_finish(&parse);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(well_formed_requests_are_accepted),
	    cmocka_unit_test(ambiguous_requests_are_refused),
	    cmocka_unit_test(bytes_after_a_message_are_not_consumed),
	    cmocka_unit_test(trailers_are_not_headers),
	    cmocka_unit_test(too_large_heads_are_refused),
	    cmocka_unit_test(tiny_fields_take_memory_by_their_bytes),
	    cmocka_unit_test(connection_options_without_end_are_refused),
	    cmocka_unit_test(heads_in_single_bytes_are_parsed),
	    cmocka_unit_test(interim_responses_are_skipped),
	    cmocka_unit_test(interim_responses_without_end_are_invalid),
	    cmocka_unit_test(responses_without_length_end_with_the_connection),
	    cmocka_unit_test(truncated_responses_are_invalid),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
