/**
 * @file
 * The calls by which an endpoint tells what it keeps in its KV cache, as types,
 * and the functions that encode and decode them.
 */
#ifndef MOORTACK_RELAY_CONTENTS_DIALECT_H
#define MOORTACK_RELAY_CONTENTS_DIALECT_H

#include <event2/buffer.h>

#include "common/err.h"
#include "moortack/kv_cache/endpoint_contents.h"
#include "moortack/relay/endpoint_set.h"

/** Longest body of a response that is decoded, in bytes: CONTENTS_PARTS_MAX
 * entries with model names of 80 bytes. */
#define CONTENTS_BODY_MAX (512U << 10)
/** Most entries of a response; more are refused. */
#define CONTENTS_ENTRIES_MAX 8192

typedef struct contents_dialect {
	/** Append the head of a request for the list. */
	void (*write_list)(const endpoint_info_t *, struct evbuffer *out);
	/** Append the head of a request for events.
	 * @param since number of the first one
	 * @param wait_ms how long the endpoint may hold it without any */
	void (*write_events)(const endpoint_info_t *, uint64_t since,
	    int64_t wait_ms, struct evbuffer *out);
	/** Decode the body of a list; the caller frees the changes.
	 * @return false with the error set: it is invalid or too large */
	bool (*decode_list)(
	    const char *body, size_t len, contents_report_t *, err_t *);
	/** The same for events. */
	bool (*decode_events)(
	    const char *body, size_t len, contents_report_t *, err_t *);
} contents_dialect_t;

#endif
