/**
 * @file
 * Syntax of HTTP/1.1 messages (RFC 9112), checked byte by byte before they are
 * parsed.
 *
 * A parser may accept more than the grammar and normalize it, and then frame a
 * message in another way than its sender. No byte that breaks a rule is passed
 * on to it. The start line of a request is left to the parser.
 */
#ifndef COMMON_HTTP_SYNTAX_H
#define COMMON_HTTP_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HTTP_SYNTAX_NAME_SIZE 20  /**< bytes; the longest name that counts */
#define HTTP_SYNTAX_VALUE_SIZE 12 /**< bytes of a value that are compared */

/** Why a message is not valid. */
typedef enum http_defect {
	HTTP_DEFECT_NONE,
	HTTP_DEFECT_STATUS_LINE, /**< not of its form (RFC 9112, 4) */
	HTTP_DEFECT_VERSION,	 /**< not HTTP/1.x */
	HTTP_DEFECT_STATUS, /**< not 100 to 599, or 101 without a request for an
			       upgrade */
	HTTP_DEFECT_FIELD_NAME,	 /**< not a token followed by a colon */
	HTTP_DEFECT_FIELD_VALUE, /**< has a control byte */
	HTTP_DEFECT_FOLDED_LINE, /**< a line that begins with whitespace */
	HTTP_DEFECT_LINE_END,	 /**< a carriage return without a line feed */
	HTTP_DEFECT_LENGTH,	 /**< no number, twice, or beside an encoding */
	HTTP_DEFECT_ENCODING,	 /**< a transfer encoding other than chunked */
	HTTP_DEFECT_CHUNK,	 /**< of the line or the end of a chunk */
	HTTP_DEFECT_HEAD_TOO_LARGE,
	HTTP_DEFECT_OTHER,     /**< the parser refuses it */
	HTTP_DEFECT_TRUNCATED, /**< the connection ended before the message */
	HTTP_DEFECT_RESET,     /**< the connection was reset or timed out */
	HTTP_DEFECTS,
} http_defect_t;

/** The defect in one word, for logs and metrics. */
const char *http_defect_name(http_defect_t);

/** The check of one message and the interim responses before it. */
typedef struct http_syntax {
	bool response;
	/** Set by the owner: the response is to HEAD. */
	bool no_body;
	/** Of the last head: no body follows it, whatever its fields say. */
	bool bodiless;
	http_defect_t defect;
	int state;
	size_t line_at;	   /**< of a status line: bytes so far */
	int status;	   /**< of a response: its digits so far */
	bool in_trailer;   /**< of a field line: after the last chunk */
	bool section_ends; /**< a head or a trailer section is complete */
	bool has_length;   /**< of the head */
	bool chunked;	   /**< of the head */
	char name[HTTP_SYNTAX_NAME_SIZE];
	size_t name_len;
	char value[HTTP_SYNTAX_VALUE_SIZE];
	size_t value_len;	  /**< without whitespace around it */
	bool value_has_space;	  /**< since its last other byte */
	bool value_is_number;	  /**< only digits so far */
	size_t chunk_digits;	  /**< of the size of a chunk */
	uint64_t chunk_remaining; /**< bytes */
} http_syntax_t;

/** @param response a response, not a request */
void http_syntax_init(http_syntax_t *, bool response);

/** Check further bytes, up to the end of a head or a message.
 * @return how many may be passed to a parser; fewer than @p len at such an end,
 * or where http_syntax_t.defect is set */
size_t http_syntax_check(http_syntax_t *, const char *bytes, size_t len);

#endif
