/**
 * @file
 * Responses that break the grammar of HTTP/1.1 are invalid, however they are
 * split, and none of a broken head reaches the reader's owner; sound ones are
 * read whole.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "common/http_msg.h"

#define HEAD_MAX 4096

/** Bytes of a response and, if it is sound, what is read from them. */
typedef struct response {
	const char *bytes;
	size_t len;
	int status;
	const char *body;
} response_t;

#define BROKEN(text)                            \
	{                                       \
		text, sizeof(text) - 1, 0, NULL \
	}
#define SOUND(text, status, body)                    \
	{                                            \
		text, sizeof(text) - 1, status, body \
	}

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
on_complete(void *arg)
{
	(void)arg;
}

static const http_reader_ops_t ops = {on_head, on_body, on_complete};

/* Read in pieces, and then the end of the connection. */
static http_read_result_t
read_response(const response_t *response, size_t piece, received_t *received)
{
	size_t len = response->len;
	struct evbuffer *in = evbuffer_new();
	http_read_result_t result = HTTP_READ_INCOMPLETE;
	http_reader_t reader;

	*received = (received_t){0};
	http_reader_init(&reader, HTTP_RESPONSE, &ops, received, HEAD_MAX);
	for (size_t at = 0; at < len && result == HTTP_READ_INCOMPLETE;
	     at += piece) {
		evbuffer_add(in, response->bytes + at,
		    len - at < piece ? len - at : piece);
		result = http_reader_feed(&reader, in);
	}
	if (result == HTTP_READ_INCOMPLETE)
		result = http_reader_eof(&reader);
	http_reader_finish(&reader);
	evbuffer_free(in);
	return result;
}

static void
check_broken(const response_t *responses, size_t count, int heads)
{
	static const size_t pieces[] = {HEAD_MAX, 1, 7};

	for (size_t i = 0; i < count * 3; i++) {
		const response_t *response = &responses[i / 3];
		received_t received;
		http_read_result_t result =
		    read_response(response, pieces[i % 3], &received);

		if (result != HTTP_READ_INVALID || received.heads > heads)
			fail_msg("accepted: %s", response->bytes);
	}
}

static void
check_sound(const response_t *responses, size_t count)
{
	static const size_t pieces[] = {HEAD_MAX, 1, 7};

	for (size_t i = 0; i < count * 3; i++) {
		const response_t *response = &responses[i / 3];
		received_t received;

		if (read_response(response, pieces[i % 3], &received) !=
		    HTTP_READ_COMPLETE)
			fail_msg("refused: %s", response->bytes);
		assert_int_equal(received.heads, 1);
		assert_int_equal(received.status, response->status);
		assert_int_equal(received.body_len, strlen(response->body));
		assert_memory_equal(
		    received.body, response->body, received.body_len);
	}
}

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define OK "HTTP/1.1 200 OK\r\n"
#define LENGTH "Content-Length: 2\r\n\r\nok"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"

static void
broken_status_lines_are_invalid(void **state)
{
	static const char *const lines[] = {"HTTP/1.1 000 Zero",
	    "HTTP/1.1 042 Low", "HTTP/1.1 099 Low", "HTTP/1.1 20 Short",
	    "HTTP/1.1 2 Short", "HTTP/1.1 2 00", "HTTP/1.1 0200 Long",
	    "HTTP/1.1 2000 Long", "HTTP/1.1 600 High", "HTTP/1.1 999 High",
	    "HTTP/1.1 101 Switching", "HTTP/1.1 101 Switching\r\nUpgrade: x",
	    "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK",
	    "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 200OK", "HTTP/1.1 ",
	    "HTTP/1.1", "HTTP/9.9 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
	    "HTTP/1.10 200 OK", "HTTP/11 200 OK", "HTTP/1 200 OK",
	    "HTTP/1.x 200 OK", "HTTQ/1.1 200 OK", "http/1.1 200 OK",
	    "\r\nHTTP/1.1 200 OK", " HTTP/1.1 200 OK", "HTTP/1.1 200 O\001K",
	    "HTTP/1.1 200 OK\rX"};

	(void)state;
	for (size_t i = 0; i < COUNT(lines); i++) {
		char bytes[128];
		response_t response = {.bytes = bytes};

		response.len = (size_t)snprintf(
		    bytes, sizeof(bytes), "%s\r\n" LENGTH, lines[i]);
		check_broken(&response, 1, 0);
	}
}

static void
sound_status_lines_are_valid(void **state)
{
	static const response_t responses[] = {SOUND(OK LENGTH, 200, "ok"),
	    SOUND("HTTP/1.1 200 \r\n" LENGTH, 200, "ok"),
	    SOUND("HTTP/1.1 200\r\n" LENGTH, 200, "ok"),
	    SOUND("HTTP/1.1 200 OK\n" LENGTH, 200, "ok"),
	    SOUND("HTTP/1.1 200 \xc3\xa9t\xe9  a\tb\r\n" LENGTH, 200, "ok"),
	    SOUND("HTTP/1.0 200 OK\r\n" LENGTH, 200, "ok"),
	    SOUND("HTTP/1.0 200 OK\r\n\r\nok", 200, "ok"),
	    SOUND("HTTP/1.1 299 Odd\r\n" LENGTH, 299, "ok"),
	    SOUND("HTTP/1.1 404 Not Found\r\n" LENGTH, 404, "ok"),
	    SOUND("HTTP/1.1 599 Odd\r\n" LENGTH, 599, "ok")};

	(void)state;
	check_sound(responses, COUNT(responses));
}

static void
broken_field_lines_are_invalid(void **state)
{
	static const response_t lines[] = {BROKEN("X Y: 1"), BROKEN("X : 1"),
	    BROKEN("X\t: 1"), BROKEN("X\tY: 1"), BROKEN("X\001Y: 1"),
	    BROKEN("X\177: 1"), BROKEN("X\xe9: 1"), BROKEN("X(Y): 1"),
	    BROKEN("X/Y: 1"), BROKEN("X\"Y: 1"), BROKEN(": 1"), BROKEN("X"),
	    BROKEN("X Y"), BROKEN(" X: 1"), BROKEN("X: 1\r\n Y: 2"),
	    BROKEN("X: 1\r\n\tmore"), BROKEN("X: 1\r\n "), BROKEN("X: 1\rY: 2"),
	    BROKEN("X: a\001b"), BROKEN("X: a\177b"), BROKEN("X\0Y: 1"),
	    BROKEN("X: a\0b"), BROKEN("Content-Length : 2"),
	    BROKEN("Content Length: 2"),
	    BROKEN("Content-Length : 1\r\nContent-Length: 2")};

	(void)state;
	for (size_t i = 0; i < COUNT(lines); i++) {
		char bytes[128] = OK;
		response_t response = {.bytes = bytes, .len = strlen(OK)};

		memcpy(bytes + response.len, lines[i].bytes, lines[i].len);
		response.len += lines[i].len;
		strcpy(bytes + response.len, "\r\n" LENGTH);
		response.len += strlen("\r\n" LENGTH);
		check_broken(&response, 1, 0);
	}
}

static void
sound_field_lines_are_valid(void **state)
{
	static const response_t responses[] = {
	    SOUND(OK "!#$%&'*+-.^_`|~09azAZ: 1\r\n" LENGTH, 200, "ok"),
	    SOUND(OK "X: a\tb \xe9\xff \"(/)\"\r\n" LENGTH, 200, "ok"),
	    SOUND(OK "X:\r\nY: \r\nZ:\t1 \t\r\n" LENGTH, 200, "ok"),
	    SOUND(OK "X: 1\n" LENGTH, 200, "ok"),
	    SOUND(OK "Content-Length:2\r\n\r\nok", 200, "ok"),
	    SOUND(OK "content-length: 2 \r\n\r\nok", 200, "ok")};

	(void)state;
	check_sound(responses, COUNT(responses));
}

static void
broken_framing_is_invalid(void **state)
{
	static const char *const lines[] = {"Transfer-Encoding: foo",
	    "Transfer-Encoding: chunked, foo",
	    "Transfer-Encoding: foo, chunked", "Transfer-Encoding: chun ked",
	    "Transfer-Encoding: xchunked", "Transfer-Encoding: chunkedx",
	    "Transfer-Encoding: identity",
	    "Transfer-Encoding:", "Transfer-Encoding: chunked, chunked",
	    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	    "Transfer-Encoding: chunked\r\nTransfer-Encoding: foo",
	    "Transfer-Encoding: chunked\r\nContent-Length: 12",
	    "Content-Length: 12\r\nTransfer-Encoding: chunked",
	    "Content-Length:", "Content-Length: x", "Content-Length: -2",
	    "Content-Length: +2", "Content-Length: 2, 2", "Content-Length: 0x2",
	    "Content-Length: 2 2", "Content-Length: 99999999999999999999999",
	    "Content-Length: 2\r\nContent-Length: 3"};

	(void)state;
	for (size_t i = 0; i < COUNT(lines); i++) {
		char bytes[128];
		response_t response = {.bytes = bytes};

		response.len = (size_t)snprintf(bytes, sizeof(bytes),
		    OK "%s\r\n\r\n2\r\nok\r\n0\r\n\r\n", lines[i]);
		check_broken(&response, 1, 0);
	}
}

static void
broken_chunks_are_invalid(void **state)
{
	static const response_t responses[] = {
	    BROKEN(CHUNKED "2\r\nokXX0\r\n\r\n"),
	    BROKEN(CHUNKED "2\r\nok0\r\n\r\n"),
	    BROKEN(CHUNKED "2\r\nok\rX0\r\n\r\n"),
	    BROKEN(CHUNKED "2\r\nok\n0\r\n\r\n"),
	    BROKEN(CHUNKED "2\rXok\r\n0\r\n\r\n"),
	    BROKEN(CHUNKED "2\nok\r\n0\r\n\r\n"),
	    BROKEN(CHUNKED "2;a\nb\r\nok\r\n0\r\n\r\n"),
	    BROKEN(CHUNKED "2;a\001b\r\nok\r\n0\r\n\r\n"),
	    BROKEN(CHUNKED "x\r\nok\r\n0\r\n\r\n"),
	    BROKEN(CHUNKED "\r\n2\r\nok\r\n0\r\n\r\n"),
	    BROKEN(CHUNKED "-2\r\nok\r\n0\r\n\r\n"),
	    BROKEN(CHUNKED "0x2\r\nok\r\n0\r\n\r\n"),
	    BROKEN(CHUNKED "fffffffffffffffff\r\nok\r\n0\r\n\r\n"),
	    BROKEN(CHUNKED "2\r\nok\r\n0\r\n"), BROKEN(CHUNKED "2\r\nok\r\n"),
	    BROKEN(CHUNKED "2\r\nok\r\n0\r\nX Y: 1\r\n\r\n"),
	    BROKEN(CHUNKED "2\r\nok\r\n0\r\nX: 1\r\n folded\r\n\r\n"),
	    BROKEN(CHUNKED "2\r\nok\r\n0\r\nX: a\001b\r\n\r\n"),
	    BROKEN(CHUNKED "2\r\nok\r\n0\r\nok\r\n\r\n")};

	(void)state;
	check_broken(responses, COUNT(responses), 1);
}

static void
sound_chunks_are_valid(void **state)
{
	static const response_t responses[] = {
	    SOUND(CHUNKED "2\r\nok\r\n0\r\n\r\n", 200, "ok"),
	    SOUND(CHUNKED "1\r\no\r\n001\r\nk\r\n000\r\n\r\n", 200, "ok"),
	    SOUND(CHUNKED "2;a=\"b\"\r\nok\r\n0;x\r\nX-Sum: 1\r\n\r\n", 200,
		"ok"),
	    SOUND(CHUNKED "2 \r\nok\r\n0\r\n\r\n", 200, "ok"),
	    SOUND(CHUNKED "A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n",
		200, "01234567890123456789"),
	    SOUND(CHUNKED "0\r\n\r\n", 200, ""),
	    SOUND(OK "transfer-encoding:CHUNKED \r\n\r\n2\r\nok\r\n0\r\n\r\n",
		200, "ok")};

	(void)state;
	check_sound(responses, COUNT(responses));
}

static void
broken_interim_heads_are_invalid(void **state)
{
	static const response_t responses[] = {
	    BROKEN("HTTP/1.1 103 Hints\r\nX Y: 1\r\n\r\n" OK LENGTH),
	    BROKEN("HTTP/1.1 103 Hints\r\nX: 1\r\n more\r\n\r\n" OK LENGTH),
	    BROKEN("HTTP/9.9 103 Hints\r\n\r\n" OK LENGTH),
	    BROKEN("HTTP/1.1 101 Switching\r\n\r\n" OK LENGTH),
	    BROKEN("HTTP/1.1 103 Hints\r\nTransfer-Encoding: foo\r\n\r\n" OK
		    LENGTH),
	    BROKEN("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 000 Zero\r\n" LENGTH),
	    BROKEN("HTTP/1.1 103 Hints\r\n\r\n"),
	    BROKEN(
		"HTTP/1.1 103 Hints\r\nContent-Length: 2\r\n\r\nok" OK LENGTH)};

	(void)state;
	check_broken(responses, COUNT(responses), 0);
}

static void
sound_interim_heads_are_skipped(void **state)
{
	static const response_t responses[] = {
	    SOUND("HTTP/1.1 100 Continue\r\n\r\n" OK LENGTH, 200, "ok"),
	    SOUND("HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n"
		  "HTTP/1.1 103 Hints\r\nLink: </b>\r\n\r\n" OK LENGTH,
		200, "ok")};

	(void)state;
	check_sound(responses, COUNT(responses));
}

/* Such a response ends with its head, whatever length it announces. */
static void
responses_that_never_have_a_body_end_with_their_head(void **state)
{
	static const response_t responses[] = {
	    SOUND("HTTP/1.1 204 No Content\r\n\r\n", 204, ""),
	    SOUND("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204,
		""),
	    SOUND("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", 304,
		""),
	    SOUND("HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: "
		  "chunked\r\n\r\n",
		304, "")};

	(void)state;
	check_sound(responses, COUNT(responses));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(broken_status_lines_are_invalid),
	    cmocka_unit_test(sound_status_lines_are_valid),
	    cmocka_unit_test(broken_field_lines_are_invalid),
	    cmocka_unit_test(sound_field_lines_are_valid),
	    cmocka_unit_test(broken_framing_is_invalid),
	    cmocka_unit_test(broken_chunks_are_invalid),
	    cmocka_unit_test(sound_chunks_are_valid),
	    cmocka_unit_test(broken_interim_heads_are_invalid),
	    cmocka_unit_test(sound_interim_heads_are_skipped),
	    cmocka_unit_test(
		responses_that_never_have_a_body_end_with_their_head),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
