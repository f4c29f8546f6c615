#include "common/http_syntax.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

#define STATUS_CONTINUE 100
#define STATUS_SWITCHING 101
#define STATUS_OK 200
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define STATUS_MAX 599
/* The start of a status line; '#' stands for a digit. */
#define STATUS_LINE_FORM "HTTP/1.# ###"
#define VERSION_AT 5
#define VERSION_END 8
#define STATUS_AT 9
#define CHUNK_DIGITS_MAX 16
#define BITS_PER_HEX_DIGIT 4
#define DELETE_BYTE 0x7f

/** The part of the message to which the next byte belongs. */
enum state {
	START_LINE,
	STATUS_LINE,
	REASON,
	LINE,	   /**< the first byte of a field line, or the empty line */
	LINE_FEED, /**< that of a line with a carriage return */
	EMPTY_LINE_FEED,
	NAME,
	VALUE,
	CHUNK_SIZE,
	CHUNK_EXTENSION,
	CHUNK_LINE_FEED,
	CHUNK_DATA,
	CHUNK_RETURN, /**< the line end after the data */
	CHUNK_FEED,
	BODY, /**< up to a length or the end of the connection */
	END,
};

const char *
http_defect_name(http_defect_t defect)
{
	static const char *const names[HTTP_DEFECTS] = {"none", "status_line",
	    "version", "status", "field_name", "field_value", "folded_line",
	    "line_end", "length", "encoding", "chunk", "head_too_large",
	    "other", "truncated", "reset"};

	return names[defect];
}

static void
fail(http_syntax_t *syntax, http_defect_t defect)
{
	syntax->defect = defect;
}

/* A byte of a token (RFC 9110, 5.6.2). */
static bool
is_token(unsigned char c)
{
	return c < 0x80 &&
	    (isalnum(c) || (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL));
}

/* A byte of a field value, a reason or a chunk extension. */
static bool
is_text(unsigned char c)
{
	return c == '\t' || (c >= ' ' && c != DELETE_BYTE);
}

static void
step_start_line(http_syntax_t *syntax, unsigned char c)
{
	/* Empty lines may come before a request. */
	if (c == '\n' && syntax->line_at > 0)
		syntax->state = LINE;
	else if (c != '\r' && c != '\n')
		syntax->line_at++;
}

static void
status_check(http_syntax_t *syntax)
{
	if (syntax->status < STATUS_CONTINUE || syntax->status > STATUS_MAX ||
	    syntax->status == STATUS_SWITCHING)
		fail(syntax, HTTP_DEFECT_STATUS);
}

static void
step_reason(http_syntax_t *syntax, unsigned char c)
{
	if (c == '\r')
		syntax->state = LINE_FEED;
	else if (c == '\n')
		syntax->state = LINE;
	else if (!is_text(c))
		fail(syntax, HTTP_DEFECT_STATUS_LINE);
}

/* The space before an empty reason may be missing. */
static void
status_line_end(http_syntax_t *syntax, unsigned char c)
{
	status_check(syntax);
	syntax->state = REASON;
	if (c == '\r' || c == '\n')
		step_reason(syntax, c);
	else if (c != ' ')
		fail(syntax, HTTP_DEFECT_STATUS_LINE);
}

static void
step_status_line(http_syntax_t *syntax, unsigned char c)
{
	static const char form[] = STATUS_LINE_FORM;
	size_t at = syntax->line_at++;

	if (at == sizeof(form) - 1) {
		status_line_end(syntax, c);
		return;
	}
	if (form[at] == '#' ? !isdigit(c) : c != (unsigned char)form[at]) {
		fail(syntax,
		    at >= VERSION_AT && at < VERSION_END
			? HTTP_DEFECT_VERSION
			: HTTP_DEFECT_STATUS_LINE);
		return;
	}
	if (at >= STATUS_AT)
		syntax->status = 10 * syntax->status + (c - '0');
}

static void
name_add(http_syntax_t *syntax, unsigned char c)
{
	if (!is_token(c)) {
		fail(syntax, HTTP_DEFECT_FIELD_NAME);
		return;
	}
	if (syntax->name_len < sizeof(syntax->name))
		syntax->name[syntax->name_len] = (char)c;
	syntax->name_len++;
}

static void
message_begin(http_syntax_t *syntax)
{
	syntax->state = syntax->response ? STATUS_LINE : START_LINE;
	syntax->line_at = 0;
	syntax->status = 0;
	syntax->has_length = false;
	syntax->chunked = false;
}

static void
head_end(http_syntax_t *syntax)
{
	bool interim = syntax->response && syntax->status < STATUS_OK;

	/* RFC 9112, 6.3. */
	syntax->bodiless = syntax->response &&
	    (interim || syntax->no_body ||
		syntax->status == STATUS_NO_CONTENT ||
		syntax->status == STATUS_NOT_MODIFIED);
	if (syntax->chunked && syntax->has_length)
		fail(syntax, HTTP_DEFECT_LENGTH);
	else if (interim)
		message_begin(syntax);
	else
		syntax->state =
		    syntax->chunked && !syntax->bodiless ? CHUNK_SIZE : BODY;
}

static void
section_end(http_syntax_t *syntax)
{
	syntax->section_ends = true;
	if (syntax->in_trailer)
		syntax->state = END;
	else
		head_end(syntax);
}

static void
step_line(http_syntax_t *syntax, unsigned char c)
{
	if (c == '\r') {
		syntax->state = EMPTY_LINE_FEED;
	} else if (c == '\n') {
		section_end(syntax);
	} else if (c == ' ' || c == '\t') {
		fail(syntax, HTTP_DEFECT_FOLDED_LINE);
	} else {
		syntax->state = NAME;
		syntax->name_len = 0;
		name_add(syntax, c);
	}
}

static void
step_line_feed(http_syntax_t *syntax, unsigned char c)
{
	syntax->state = LINE;
	if (c != '\n')
		fail(syntax, HTTP_DEFECT_LINE_END);
}

static void
step_empty_line_feed(http_syntax_t *syntax, unsigned char c)
{
	if (c == '\n')
		section_end(syntax);
	else
		fail(syntax, HTTP_DEFECT_LINE_END);
}

static void
step_name(http_syntax_t *syntax, unsigned char c)
{
	if (c != ':') {
		name_add(syntax, c);
		return;
	}
	syntax->state = VALUE;
	syntax->value_len = 0;
	syntax->value_has_space = false;
	syntax->value_is_number = true;
}

static bool
name_is(const http_syntax_t *syntax, const char *name)
{
	return syntax->name_len == strlen(name) &&
	    strncasecmp(syntax->name, name, syntax->name_len) == 0;
}

static bool
value_is(const http_syntax_t *syntax, const char *value)
{
	return syntax->value_len == strlen(value) &&
	    strncasecmp(syntax->value, value, syntax->value_len) == 0;
}

static void
field_end(http_syntax_t *syntax)
{
	syntax->state = LINE;
	if (syntax->in_trailer)
		return;
	if (name_is(syntax, "Content-Length")) {
		if (syntax->has_length || syntax->value_len == 0 ||
		    !syntax->value_is_number)
			fail(syntax, HTTP_DEFECT_LENGTH);
		syntax->has_length = true;
	} else if (name_is(syntax, "Transfer-Encoding")) {
		if (syntax->chunked || !value_is(syntax, "chunked"))
			fail(syntax, HTTP_DEFECT_ENCODING);
		syntax->chunked = true;
	}
}

static void
value_add(http_syntax_t *syntax, unsigned char c)
{
	if (c == ' ' || c == '\t') {
		syntax->value_has_space = syntax->value_len > 0;
		return;
	}
	if (!isdigit(c) || syntax->value_has_space)
		syntax->value_is_number = false;
	/* Whitespace inside a value differs from any text that is compared. */
	syntax->value_len += syntax->value_has_space;
	if (syntax->value_len < sizeof(syntax->value))
		syntax->value[syntax->value_len] =
		    syntax->value_has_space ? ' ' : (char)c;
	syntax->value_len++;
	syntax->value_has_space = false;
}

static void
step_value(http_syntax_t *syntax, unsigned char c)
{
	if (c == '\r' || c == '\n') {
		field_end(syntax);
		if (c == '\r')
			syntax->state = LINE_FEED;
	} else if (is_text(c)) {
		value_add(syntax, c);
	} else {
		fail(syntax, HTTP_DEFECT_FIELD_VALUE);
	}
}

static int
hex_value(unsigned char c)
{
	if (isdigit(c))
		return c - '0';
	return isxdigit(c) ? tolower(c) - 'a' + 10 : -1;
}

static void
step_chunk_extension(http_syntax_t *syntax, unsigned char c)
{
	if (c == '\r')
		syntax->state = CHUNK_LINE_FEED;
	else if (!is_text(c))
		fail(syntax, HTTP_DEFECT_CHUNK);
}

static void
step_chunk_size(http_syntax_t *syntax, unsigned char c)
{
	int digit = hex_value(c);

	if (digit >= 0 && syntax->chunk_digits < CHUNK_DIGITS_MAX) {
		syntax->chunk_digits++;
		syntax->chunk_remaining = syntax->chunk_remaining
			<< BITS_PER_HEX_DIGIT |
		    (uint64_t)digit;
		return;
	}
	/* Some servers pad the size with spaces. */
	if (syntax->chunk_digits == 0 || (c != '\r' && c != ';' && c != ' ')) {
		fail(syntax, HTTP_DEFECT_CHUNK);
		return;
	}
	syntax->state = CHUNK_EXTENSION;
	step_chunk_extension(syntax, c);
}

static void
step_chunk_line_feed(http_syntax_t *syntax, unsigned char c)
{
	syntax->state = CHUNK_DATA;
	if (c != '\n')
		fail(syntax, HTTP_DEFECT_CHUNK);
	if (syntax->chunk_remaining > 0)
		return;
	syntax->in_trailer = true;
	syntax->state = LINE;
}

static void
step_chunk_data(http_syntax_t *syntax, unsigned char c)
{
	(void)c;
	if (--syntax->chunk_remaining == 0)
		syntax->state = CHUNK_RETURN;
}

static void
step_chunk_return(http_syntax_t *syntax, unsigned char c)
{
	syntax->state = CHUNK_FEED;
	if (c != '\r')
		fail(syntax, HTTP_DEFECT_CHUNK);
}

static void
step_chunk_feed(http_syntax_t *syntax, unsigned char c)
{
	syntax->state = CHUNK_SIZE;
	syntax->chunk_digits = 0;
	if (c != '\n')
		fail(syntax, HTTP_DEFECT_CHUNK);
}

static void
step_body(http_syntax_t *syntax, unsigned char c)
{
	(void)syntax;
	(void)c;
}

static void (*const steps[])(http_syntax_t *, unsigned char) = {
    [START_LINE] = step_start_line,
    [STATUS_LINE] = step_status_line,
    [REASON] = step_reason,
    [LINE] = step_line,
    [LINE_FEED] = step_line_feed,
    [EMPTY_LINE_FEED] = step_empty_line_feed,
    [NAME] = step_name,
    [VALUE] = step_value,
    [CHUNK_SIZE] = step_chunk_size,
    [CHUNK_EXTENSION] = step_chunk_extension,
    [CHUNK_LINE_FEED] = step_chunk_line_feed,
    [CHUNK_DATA] = step_chunk_data,
    [CHUNK_RETURN] = step_chunk_return,
    [CHUNK_FEED] = step_chunk_feed,
    [BODY] = step_body,
    [END] = step_body,
};

void
http_syntax_init(http_syntax_t *syntax, bool response)
{
	*syntax = (http_syntax_t){.response = response};
	message_begin(syntax);
}

/* Bytes whose values don't matter. */
static size_t
bytes_skip(http_syntax_t *syntax, size_t len)
{
	if (syntax->state == BODY || syntax->state == END)
		return len;
	if (syntax->state != CHUNK_DATA)
		return 0;
	/* The last one is stepped over. */
	if (len >= syntax->chunk_remaining)
		len = (size_t)syntax->chunk_remaining - 1;
	syntax->chunk_remaining -= len;
	return len;
}

size_t
http_syntax_check(http_syntax_t *syntax, const char *bytes, size_t len)
{
	size_t at = 0;

	syntax->section_ends = false;
	while (syntax->defect == HTTP_DEFECT_NONE && !syntax->section_ends) {
		at += bytes_skip(syntax, len - at);
		if (at == len)
			return len;
		steps[syntax->state](syntax, (unsigned char)bytes[at]);
		if (syntax->defect == HTTP_DEFECT_NONE)
			at++;
	}
	return at;
}
