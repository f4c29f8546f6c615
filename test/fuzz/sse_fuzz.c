/**
 * @file
 * Checks that a stream which arrives in pieces, cut anywhere, gives the same
 * events as the stream in one piece, and that its end marker is never
 * forwarded.
 */
#include <string.h>

#include "input.h"
#include "moortack/exchange/sse.h"

#define OUT_MAX 8192

typedef struct parse_result {
	char text[OUT_MAX];
	size_t len;
	uint64_t tokens;
	bool done;
} parse_result_t;

static void
stream_parse(
    const uint8_t *bytes, size_t len, size_t piece_len, parse_result_t *result)
{
	struct evbuffer *in = evbuffer_new();
	struct evbuffer *out = evbuffer_new();
	sse_t sse;

	FUZZ_CHECK(sse_init(&sse));
	for (size_t at = 0; at < len; at += piece_len) {
		evbuffer_add(in, bytes + at,
		    len - at < piece_len ? len - at : piece_len);
		sse_feed(&sse, in, out);
	}
	result->len = evbuffer_get_length(out);
	result->tokens = sse.tokens;
	result->done = sse.done;
	evbuffer_remove(out, result->text, OUT_MAX);
	sse_finish(&sse);
	evbuffer_free(in);
	evbuffer_free(out);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	static parse_result_t complete, pieces;
	size_t piece_len;

	if (len < 2 || len > OUT_MAX)
		return 0;
	piece_len = 1 + bytes[0] % 7;
	stream_parse(bytes + 1, len - 1, len, &complete);
	stream_parse(bytes + 1, len - 1, piece_len, &pieces);
	FUZZ_CHECK(complete.len == pieces.len);
	FUZZ_CHECK(complete.tokens == pieces.tokens);
	FUZZ_CHECK(complete.done == pieces.done);
	FUZZ_CHECK(memcmp(complete.text, pieces.text, complete.len) == 0);
	/* The end marker itself is never forwarded as an event. */
	FUZZ_CHECK(complete.len < 12 ||
	    memcmp(complete.text, "data: [DONE]", 12) != 0);
	return 0;
}
