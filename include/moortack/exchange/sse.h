/**
 * @file
 * Follows a stream of server-sent events, so that only whole events are passed
 * on and the end mark is held until the answer is billed.
 */
#ifndef MOORTACK_EXCHANGE_SSE_H
#define MOORTACK_EXCHANGE_SSE_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

/** An event longer than this ends the stream as malformed. */
#define SSE_EVENT_MAX (256 * 1024)

typedef struct sse {
	struct evbuffer *partial; /**< bytes of an event not yet whole */
	uint64_t tokens;	  /**< token events passed on */
	bool done;		  /**< the end mark was read */
	bool event_too_long;	  /**< an event was too long */
} sse_t;

bool sse_init(sse_t *);
void sse_finish(sse_t *);

/** Forget a partial event, when the stream is taken up from elsewhere. */
void sse_partial_discard(sse_t *);

/** Take bytes from @p in and add the whole events, without the end mark, to
 * @p out. */
void sse_feed(sse_t *, struct evbuffer *in, struct evbuffer *out);

#endif
