/**
 * @file
 * A message split into pieces anywhere is parsed as if received at once, and
 * each accepted request has at most one length and exactly one host.
 */
#include <string.h>

#include "common/http_msg.h"
#include "input.h"

#define BODY_MAX 8192
#define HEAD_MAX 2048

typedef struct result {
	http_read_result_t read;
	bool accepted;
	size_t bytes_left; /**< bytes after the message */
	char body[BODY_MAX];
	size_t body_len;
	size_t fields;
} result_t;

static void
on_head(void *arg, http_msg_t *msg)
{
	(void)arg;
	(void)msg;
}

static void
on_body(void *arg, const char *bytes, size_t len)
{
	result_t *result = arg;

	FUZZ_CHECK(result->body_len + len <= BODY_MAX);
	memcpy(result->body + result->body_len, bytes, len);
	result->body_len += len;
}

static void
on_done(void *arg)
{
	(void)arg;
}

static const http_reader_ops_t ops = {on_head, on_body, on_done};

static void
read_in_pieces(const uint8_t *bytes, size_t len, size_t piece, result_t *result)
{
	struct evbuffer *in = evbuffer_new();
	http_reader_t reader;
	err_t err;

	*result = (result_t){0};
	http_reader_init(&reader, HTTP_REQUEST, &ops, result, HEAD_MAX);
	result->read = HTTP_READ_INCOMPLETE;
	for (size_t at = 0; at < len; at += piece) {
		evbuffer_add(
		    in, bytes + at, len - at < piece ? len - at : piece);
		if (result->read == HTTP_READ_INCOMPLETE)
			result->read = http_reader_feed(&reader, in);
	}
	result->bytes_left = evbuffer_get_length(in);
	result->fields = reader.msg.fields_len;
	result->accepted = result->read == HTTP_READ_COMPLETE &&
	    http_msg_check(&reader.msg, &err);
	if (result->accepted) {
		FUZZ_CHECK(http_msg_field_count(&reader.msg, "Host") == 1);
		FUZZ_CHECK(
		    http_msg_field_count(&reader.msg, "Content-Length") <= 1);
		FUZZ_CHECK(reader.msg.target[0] == '/');
	}
	http_reader_finish(&reader);
	evbuffer_free(in);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	static result_t at_once, pieces;

	if (len < 2 || len > BODY_MAX)
		return 0;
	read_in_pieces(bytes + 1, len - 1, len, &at_once);
	read_in_pieces(bytes + 1, len - 1, 1 + bytes[0] % 7, &pieces);
	FUZZ_CHECK(at_once.read == pieces.read);
	FUZZ_CHECK(at_once.accepted == pieces.accepted);
	if (at_once.read != HTTP_READ_COMPLETE)
		return 0;
	FUZZ_CHECK(at_once.bytes_left == pieces.bytes_left);
	FUZZ_CHECK(at_once.fields == pieces.fields);
	FUZZ_CHECK(at_once.body_len == pieces.body_len);
	FUZZ_CHECK(memcmp(at_once.body, pieces.body, at_once.body_len) == 0);
	return 0;
}
