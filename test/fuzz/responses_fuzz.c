/**
 * @file
 * A response split into pieces anywhere is read as if received at once, and its
 * head is given to the owner if, and only if, it follows the grammar of
 * RFC 9112, as an oracle that knows whole lines decides.
 */
#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "common/http_msg.h"
#include "input.h"

#define BODY_MAX 8192
#define HEAD_MAX 8192

typedef struct result {
	http_read_result_t read;
	http_defect_t defect;
	int heads;
	int status;
	char body[BODY_MAX];
	size_t body_len;
} result_t;

static void
on_head(void *arg, http_msg_t *msg)
{
	result_t *result = arg;

	result->heads++;
	result->status = msg->status;
}

static void
on_body(void *arg, const char *bytes, size_t len)
{
	result_t *result = arg;

	FUZZ_CHECK(result->heads == 1);
	FUZZ_CHECK(result->body_len + len <= BODY_MAX);
	memcpy(result->body + result->body_len, bytes, len);
	result->body_len += len;
}

static void
on_complete(void *arg)
{
	(void)arg;
}

static const http_reader_ops_t ops = {on_head, on_body, on_complete};

static void
read_in_pieces(const uint8_t *bytes, size_t len, size_t piece, result_t *result)
{
	struct evbuffer *in = evbuffer_new();
	http_reader_t reader;

	*result = (result_t){0};
	http_reader_init(&reader, HTTP_RESPONSE, &ops, result, HEAD_MAX);
	result->read = HTTP_READ_INCOMPLETE;
	for (size_t at = 0; at < len && result->read == HTTP_READ_INCOMPLETE;
	     at += piece) {
		evbuffer_add(
		    in, bytes + at, len - at < piece ? len - at : piece);
		result->read = http_reader_feed(&reader, in);
	}
	result->defect = result->read == HTTP_READ_INVALID
	    ? http_reader_defect(&reader)
	    : HTTP_DEFECT_NONE;
	http_reader_finish(&reader);
	evbuffer_free(in);
}

/** A line without its end. */
typedef struct line {
	const char *bytes;
	size_t len;
} line_t;

/* @return false: there is no whole line left */
static bool
line_next(const char **at, const char *end, line_t *line)
{
	const char *feed = memchr(*at, '\n', (size_t)(end - *at));

	if (feed == NULL)
		return false;
	*line = (line_t){*at, (size_t)(feed - *at)};
	if (line->len > 0 && line->bytes[line->len - 1] == '\r')
		line->len--;
	*at = feed + 1;
	return true;
}

/* field-vchar, SP and HTAB: RFC 9110, 5.5 and RFC 9112, 4. */
static bool
is_text(const char *bytes, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)bytes[i];

		if ((c < 0x20 && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

/* status-line = "HTTP/1." DIGIT SP 3DIGIT [ SP reason ]
 * @return the status; 0: not valid */
static int
status_line_parse(const line_t *line)
{
	const char *bytes = line->bytes;
	int status = 0;

	if (line->len < 12 || memcmp(bytes, "HTTP/1.", 7) != 0 ||
	    !isdigit((unsigned char)bytes[7]) || bytes[8] != ' ')
		return 0;
	for (size_t i = 9; i < 12; i++) {
		if (!isdigit((unsigned char)bytes[i]))
			return 0;
		status = status * 10 + bytes[i] - '0';
	}
	if (line->len > 12 && bytes[12] != ' ')
		return 0;
	if (status < 100 || status > 599 || status == 101 ||
	    !is_text(bytes + 12, line->len - 12))
		return 0;
	return status;
}

typedef struct framing {
	int lengths;
	int encodings;
} framing_t;

static line_t
trim(line_t value)
{
	while (value.len > 0 && strchr(" \t", value.bytes[0]) != NULL) {
		value.bytes++;
		value.len--;
	}
	while (value.len > 0 && strchr(" \t", value.bytes[value.len - 1]))
		value.len--;
	return value;
}

static bool
text_is(const char *bytes, size_t len, const char *text)
{
	return len == strlen(text) && strncasecmp(bytes, text, len) == 0;
}

/* field-line = token ":" OWS field-value OWS */
static bool
field_is_valid(const line_t *line, framing_t *framing)
{
	static const char token[] = "!#$%&'*+-.^_`|~0123456789"
				    "abcdefghijklmnopqrstuvwxyz"
				    "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
	const char *colon = memchr(line->bytes, ':', line->len);
	size_t name_len = colon != NULL ? (size_t)(colon - line->bytes) : 0;
	line_t value;

	for (size_t i = 0; i < name_len; i++) {
		if (memchr(token, line->bytes[i], sizeof(token) - 1) == NULL)
			return false;
	}
	if (name_len == 0)
		return false;
	value = (line_t){colon + 1, line->len - name_len - 1};
	if (!is_text(value.bytes, value.len))
		return false;
	value = trim(value);
	if (text_is(line->bytes, name_len, "Transfer-Encoding")) {
		framing->encodings++;
		return text_is(value.bytes, value.len, "chunked");
	}
	if (!text_is(line->bytes, name_len, "Content-Length"))
		return true;
	framing->lengths++;
	for (size_t i = 0; i < value.len; i++) {
		if (!isdigit((unsigned char)value.bytes[i]))
			return false;
	}
	return value.len > 0;
}

/* @return the status of the final head; 0: some head is not valid; -1: the
 * heads are not complete */
static int
oracle(const char *bytes, size_t len)
{
	const char *at = bytes, *end = bytes + len;
	framing_t framing;
	line_t line;
	int status;

	do {
		framing = (framing_t){0};
		if (!line_next(&at, end, &line))
			return -1;
		status = status_line_parse(&line);
		if (status == 0)
			return 0;
		for (;;) {
			if (!line_next(&at, end, &line))
				return -1;
			if (line.len == 0)
				break;
			if (!field_is_valid(&line, &framing))
				return 0;
		}
		if (framing.lengths + framing.encodings > 1)
			return 0;
	} while (status < 200);
	return status;
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	static result_t at_once, pieces;
	int status;

	if (len < 2 || len > BODY_MAX)
		return 0;
	read_in_pieces(bytes + 1, len - 1, len, &at_once);
	read_in_pieces(bytes + 1, len - 1, 1 + bytes[0] % 7, &pieces);
	FUZZ_CHECK(at_once.read == pieces.read);
	FUZZ_CHECK(at_once.heads == pieces.heads);
	FUZZ_CHECK(at_once.body_len == pieces.body_len);
	FUZZ_CHECK(memcmp(at_once.body, pieces.body, at_once.body_len) == 0);
	status = oracle((const char *)bytes + 1, len - 1);
	if (at_once.heads > 0)
		FUZZ_CHECK(at_once.heads == 1 && at_once.status == status);
	if (status == 0)
		FUZZ_CHECK(at_once.heads == 0);
	/* The parser has limits of its own, and takes no tab around a length or
	 * an encoding. */
	if (status > 0 && at_once.heads == 0)
		FUZZ_CHECK(at_once.defect == HTTP_DEFECT_OTHER ||
		    at_once.defect == HTTP_DEFECT_ENCODING ||
		    at_once.defect == HTTP_DEFECT_HEAD_TOO_LARGE);
	return 0;
}
