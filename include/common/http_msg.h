/**
 * @file
 * One HTTP/1.1 message as it stands on a connection, read by http_parser.
 *
 * The parser library refuses what smuggles a second message: two lengths, a
 * length beside chunks, an unknown method. http_msg_check() refuses what the
 * library lets through.
 */
#ifndef COMMON_HTTP_MSG_H
#define COMMON_HTTP_MSG_H

#include <event2/buffer.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>

#include "common/err.h"

/** A header line. */
typedef struct http_field {
	char *name;
	char *value;
} http_field_t;

/** The head of a message, and of a request the body too. */
typedef struct http_msg {
	const char *method; /**< of a request; static text */
	char *target;	    /**< of a request: path and query */
	int status;	    /**< of an answer */
	http_field_t *fields;
	size_t fields_len;
	size_t fields_cap;
	size_t head_bytes;     /**< of all names and values */
	bool keep_alive;       /**< the connection may carry another message */
	bool chunked;	       /**< the body came in chunks */
	struct evbuffer *body; /**< of a request; never NULL */
} http_msg_t;

/** What a reader tells its owner. */
typedef struct http_reader_ops {
	/** The head is whole. */
	void (*on_head)(void *arg, http_msg_t *);
	/** Some of the body. */
	void (*on_body)(void *arg, const char *bytes, size_t len);
	/** The message is whole. */
	void (*on_complete)(void *arg);
} http_reader_ops_t;

/** Reads the messages of one direction of a connection, one at a time. */
typedef struct http_reader {
	http_parser parser;
	const http_reader_ops_t *ops;
	void *arg;
	http_msg_t msg;
	size_t head_max;	/**< bytes of a head; more is an error */
	size_t head_fields_len; /**< header lines before the trailers */
	bool no_body;		/**< the answer to HEAD has none */
	bool in_value;		/**< the last piece was of a value */
	bool in_message;	/**< bytes of the current message were read */
	bool complete;		/**< the current message has ended */
	bool head_too_large;	/**< head_max was passed */
	bool interim;		/**< an answer of 1xx, which is skipped */
	bool out_of_memory;
} http_reader_t;

typedef enum http_read_result {
	HTTP_READ_INCOMPLETE, /**< the message goes on */
	HTTP_READ_COMPLETE, /**< it has ended; bytes after it were not consumed
			     */
	HTTP_READ_INVALID,  /**< it is no message */
} http_read_result_t;

/** @param type HTTP_REQUEST or HTTP_RESPONSE @param head_max bytes */
void http_reader_init(http_reader_t *, enum http_parser_type type,
    const http_reader_ops_t *, void *arg, size_t head_max);
void http_reader_finish(http_reader_t *);

/** Forget the message before, so that the next one can be read. */
void http_reader_reset(http_reader_t *);

/** Consume what @p in holds up to the end of the message. */
http_read_result_t http_reader_feed(http_reader_t *, struct evbuffer *in);

/** The connection has ended in good order. */
http_read_result_t http_reader_eof(http_reader_t *);

/** The value of the first header of this name, or NULL. */
const char *http_msg_field(const http_msg_t *, const char *name);

/** How many headers have this name. */
size_t http_msg_field_count(const http_msg_t *, const char *name);

/** Whether a list header (such as Connection) names the word. */
bool http_msg_field_has_token(
    const http_msg_t *, const char *name, const char *token, size_t token_len);

/** Whether the header concerns one connection only. */
bool http_field_is_hop_by_hop(const http_msg_t *, const char *name);

/** Refuse a request whose framing or routing could be read in two ways. */
bool http_msg_check(const http_msg_t *, err_t *);

#endif
