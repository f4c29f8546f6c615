/**
 * @file
 * Parses a stream of server-sent events, so that only complete events are
 * forwarded, and the end marker "data: [DONE]" not before the bill is recorded.
 */
#ifndef MOORTACK_EXCHANGE_SSE_H
#define MOORTACK_EXCHANGE_SSE_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

/** Longest event, bytes; a longer one sets event_too_long. */
#define SSE_EVENT_MAX (256 * 1024)

typedef struct sse {
	struct evbuffer *partial; /**< bytes of an incomplete event */
	uint64_t tokens;	  /**< token events forwarded */
	bool done;		  /**< the end marker was received */
	bool event_too_long;	  /**< an event was over SSE_EVENT_MAX */
} sse_t;

/** @return false when memory is out */
bool sse_init(sse_t *);
void sse_finish(sse_t *);

/** Discard a partial event, before the stream is resumed. */
void sse_partial_discard(sse_t *);

/** Move the bytes of @p in to the parser, and the complete events, without the
 * end marker, to @p out. */
void sse_feed(sse_t *, struct evbuffer *in, struct evbuffer *out);

#endif
