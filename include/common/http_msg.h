/**
 * @file
 * HTTP/1.1 messages as received on a connection, parsed by http_parser.
 *
 * Messages that a peer could frame differently are refused, since they allow
 * request smuggling. http_syntax_check() refuses what the parser library
 * accepts beyond the grammar, in both directions.
 */
#ifndef COMMON_HTTP_MSG_H
#define COMMON_HTTP_MSG_H

#include <event2/buffer.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/err.h"
#include "common/http_syntax.h"

/** Connection fields with options of their own that a head may have, and the
 * size of all their values in bytes: each field of the head is looked up in
 * them. */
#define HTTP_OPTION_FIELDS_MAX 4
#define HTTP_OPTIONS_MAX 1024

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
	size_t head_bytes; /**< of the target, and of all fields as received */
	/** Values of Connection fields that name other options than "close"
	 * and "keep-alive". */
	const char *options[HTTP_OPTION_FIELDS_MAX];
	size_t options_len;
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

/** A field of a head that is being received, by offsets into the head's text.
 */
typedef struct http_field_at {
	uint32_t name;
	uint32_t value; /**< 0: none yet */
} http_field_at_t;

/** Parses the messages of one direction of a connection, one at a time. */
typedef struct http_reader {
	http_parser parser;
	http_syntax_t syntax;
	const http_reader_ops_t *ops;
	void *arg;
	http_msg_t msg;
	char *text; /**< of the head: the target and the fields, each terminated
		       by a null byte */
	size_t text_len;
	size_t text_cap;
	http_field_at_t *fields_at;
	size_t fields_at_cap;
	size_t head_max;      /**< maximum size of a head, bytes */
	bool head_complete;   /**< of the current message */
	bool in_value;	      /**< the last callback was for a value */
	bool in_message;      /**< a message was started and not completed */
	bool complete;	      /**< the current message is complete */
	bool head_too_large;  /**< head_max was exceeded */
	bool truncated;	      /**< the connection ended before the message */
	bool interim;	      /**< a 1xx response, which is skipped */
	size_t interim_bytes; /**< about, of those before this message */
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

/** The response that is read next has no body, as to HEAD. */
void http_reader_expect_no_body(http_reader_t *);

/** Parse and drain @p in up to the end of the message. */
http_read_result_t http_reader_feed(http_reader_t *, struct evbuffer *in);

/** Whether the response ends with its connection. */
bool http_reader_ends_by_close(const http_reader_t *);

/** The peer closed the connection, which ends a response without a length. */
http_read_result_t http_reader_eof(http_reader_t *);

/** Why the result was HTTP_READ_INVALID. */
http_defect_t http_reader_defect(const http_reader_t *);

/** Bytes that the reader has allocated for the head of its message. */
size_t http_reader_head_bytes(const http_reader_t *);

/** The value of the first field of this name, or NULL. */
const char *http_msg_field(const http_msg_t *, const char *name);

/** The number of fields of this name. */
size_t http_msg_field_count(const http_msg_t *, const char *name);

/** Note the value of a Connection field of the message, which must last as
 * long.
 * @return false: the fields name too many options */
bool http_msg_add_options(http_msg_t *, const char *list);

/** Whether the field is hop-by-hop: for one connection, and not to be
 * forwarded. */
bool http_field_is_hop_by_hop(const http_msg_t *, const char *name);

/** Refuse a request whose target is not a path.
 * @return false: refused, with the reason in @p err */
bool http_msg_check_target(const http_msg_t *, err_t *);

/** The same, and one that does not name exactly one host. */
bool http_msg_check(const http_msg_t *, err_t *);

#endif
