/**
 * @file
 * A stream cut into pieces anywhere gives the same events as in one piece.
 */
#include <string.h>

#include "input.h"
#include "moortack/exchange/sse.h"

#define OUT_MAX 8192

typedef struct result {
	char text[OUT_MAX];
	size_t len;
	uint64_t tokens;
	bool done;
} result_t;

static void
follow(const uint8_t *bytes, size_t len, size_t piece, result_t *result)
{
	struct evbuffer *in = evbuffer_new();
	struct evbuffer *out = evbuffer_new();
	sse_t sse;

	FUZZ_CHECK(sse_init(&sse));
	for (size_t at = 0; at < len; at += piece) {
		evbuffer_add(
		    in, bytes + at, len - at < piece ? len - at : piece);
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
	static result_t whole, pieces;
	size_t piece;

	if (len < 2 || len > OUT_MAX)
		return 0;
	piece = 1 + bytes[0] % 7;
	follow(bytes + 1, len - 1, len, &whole);
	follow(bytes + 1, len - 1, piece, &pieces);
	FUZZ_CHECK(whole.len == pieces.len);
	FUZZ_CHECK(whole.tokens == pieces.tokens);
	FUZZ_CHECK(whole.done == pieces.done);
	FUZZ_CHECK(memcmp(whole.text, pieces.text, whole.len) == 0);
	/* The end mark itself is never passed on as an event. */
	FUZZ_CHECK(
	    whole.len < 12 || memcmp(whole.text, "data: [DONE]", 12) != 0);
	return 0;
}
