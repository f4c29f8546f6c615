/**
 * @file
 * HTTP/1.1 messages as received on a connection, parsed by http_parser.
 *
 * Messages that a peer could frame differently are refused, since they allow
 * request smuggling. The parser library refuses a second length, a length
 * together with chunked encoding, and unknown methods; http_msg_check() refuses
 * what the library accepts.
 */
#ifndef COMMON_HTTP_MSG_H
#define COMMON_HTTP_MSG_H

#include <event2/buffer.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>

#include "common/err.h"

/** A header field. */
typedef struct http_field {
	char *name;
	char *value;
} http_field_t;

/** The head of a message and, for a request, its body. */
typedef struct http_msg {
	const char *method; /**< of a request; static string */
	char *target;	    /**< of a request: path and query */
	int status;	    /**< of a response */
	http_field_t *fields;
	size_t fields_len;
	size_t fields_cap;
	size_t head_bytes;     /**< of the target and all names and values */
	bool keep_alive;       /**< the connection may carry another message */
	bool chunked;	       /**< the body was sent in chunked encoding */
	struct evbuffer *body; /**< of a request; never NULL */
} http_msg_t;

/** Callbacks of a reader. */
typedef struct http_reader_ops {
	/** The head is complete. */
	void (*on_head)(void *arg, http_msg_t *);
	/** Part of the body was received. */
	void (*on_body)(void *arg, const char *bytes, size_t len);
	/** The message is complete. */
	void (*on_complete)(void *arg);
} http_reader_ops_t;

/** Parses the messages of one direction of a connection, one at a time. */
typedef struct http_reader {
	http_parser parser;
	const http_reader_ops_t *ops;
	void *arg;
	http_msg_t msg;
	size_t head_max;	/**< maximum size of a head, bytes */
	size_t head_fields_len; /**< header fields, without trailers */
	bool no_body;		/**< a response to HEAD, which has no body */
	bool in_value;		/**< the last callback was for a value */
	bool in_message;	/**< a message was started and not completed */
	bool complete;		/**< the current message is complete */
	bool head_too_large;	/**< head_max was exceeded */
	bool interim;		/**< a 1xx response, which is skipped */
	size_t interim_bytes;	/**< about, of those before this message */
	bool out_of_memory;
} http_reader_t;

typedef enum http_read_result {
	HTTP_READ_INCOMPLETE, /**< more bytes are needed */
	HTTP_READ_COMPLETE,   /**< later bytes were not consumed */
	HTTP_READ_INVALID,    /**< not a valid message */
} http_read_result_t;

/** @param type HTTP_REQUEST or HTTP_RESPONSE
 * @param head_max maximum size of a head, bytes */
void http_reader_init(http_reader_t *, enum http_parser_type type,
    const http_reader_ops_t *, void *arg, size_t head_max);
void http_reader_finish(http_reader_t *);

/** Discard the previous message and prepare for the next one. */
void http_reader_reset(http_reader_t *);

/** Parse and drain @p in up to the end of the message. */
http_read_result_t http_reader_feed(http_reader_t *, struct evbuffer *in);

/** The peer closed the connection, which ends a response without a length. */
http_read_result_t http_reader_eof(http_reader_t *);

/** The value of the first field of this name, or NULL. */
const char *http_msg_field(const http_msg_t *, const char *name);

/** The number of fields of this name. */
size_t http_msg_field_count(const http_msg_t *, const char *name);

/** Whether a field that holds a comma-separated list, such as Connection, has
 * the token; compared without regard to case. */
bool http_msg_field_has_token(
    const http_msg_t *, const char *name, const char *token, size_t token_len);

/** Whether the field is hop-by-hop: for one connection, and not to be
 * forwarded. */
bool http_field_is_hop_by_hop(const http_msg_t *, const char *name);

/** Refuse a request whose framing or routing is ambiguous.
 * @return false: refused, with the reason in @p err */
bool http_msg_check(const http_msg_t *, err_t *);

#endif
