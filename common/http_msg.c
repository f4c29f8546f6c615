#include "common/http_msg.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define STATUS_CONTINUE 100
#define STATUS_SWITCHING 101
#define STATUS_OK 200
/* Bytes of a status line that the parser does not report. */
#define STATUS_LINE_MIN 16
/* Bytes of a field beside its name and value: a colon and the end of the line.
 */
#define FIELD_FRAME_BYTES 3
#define TEXT_INITIAL_CAP 256
#define FIELDS_INITIAL_CAP 16
/* A head that took more is not kept for the next message. */
#define HEAD_KEPT_MAX 4096

static bool
head_count(http_reader_t *reader, size_t len)
{
	reader->msg.head_bytes += len;
	if (reader->msg.head_bytes + reader->interim_bytes <=
		reader->head_max &&
	    reader->msg.head_bytes < UINT32_MAX)
		return true;
	reader->head_too_large = true;
	return false;
}

/* @return @p old with room for a larger number of items of a size; NULL: the
 * reader is out of memory */
static void *
items_grow(http_reader_t *reader, void *old, size_t *cap, size_t initial,
    size_t needed, size_t size)
{
	size_t grown_cap = *cap > 0 ? *cap : initial;
	void *grown;

	while (grown_cap < needed)
		grown_cap *= 2;
	grown = realloc(old, grown_cap * size);
	if (grown == NULL)
		reader->out_of_memory = true;
	else
		*cap = grown_cap;
	return grown;
}

/* Continues the last text, which ends with a null byte. */
static bool
text_append(http_reader_t *reader, const char *bytes, size_t len)
{
	size_t needed = reader->text_len + len + 1;

	if (!head_count(reader, len))
		return false;
	if (needed > reader->text_cap) {
		char *grown = items_grow(reader, reader->text,
		    &reader->text_cap, TEXT_INITIAL_CAP, needed, 1);

		if (grown == NULL)
			return false;
		reader->text = grown;
	}
	memcpy(reader->text + reader->text_len, bytes, len);
	reader->text_len += len;
	reader->text[reader->text_len] = '\0';
	return true;
}

/* Begins another text after the last one.
 * @return its offset; 0 is that of the target */
static uint32_t
text_begin(http_reader_t *reader)
{
	return (uint32_t)++reader->text_len;
}

static void
msg_clear(http_reader_t *reader)
{
	http_msg_t *msg = &reader->msg;

	if (reader->text_cap > HEAD_KEPT_MAX) {
		free(reader->text);
		reader->text = NULL;
		reader->text_cap = 0;
	}
	reader->text_len = 0;
	free(reader->fields_at);
	reader->fields_at = NULL;
	reader->fields_at_cap = 0;
	free(msg->fields);
	msg->fields = NULL;
	msg->fields_len = 0;
	msg->target = NULL;
	msg->options_len = 0;
	msg->head_bytes = 0;
	msg->status = 0;
	if (evbuffer_get_length(msg->body) > 0)
		evbuffer_drain(msg->body, evbuffer_get_length(msg->body));
}

static int
on_message_begin(http_parser *parser)
{
	http_reader_t *reader = parser->data;

	msg_clear(reader);
	reader->msg.method = NULL;
	reader->in_value = true;
	reader->in_message = true;
	reader->head_complete = false;
	reader->complete = false;
	reader->interim = false;
	return text_append(reader, "", 0) ? 0 : -1;
}

static int
on_target(http_parser *parser, const char *at, size_t len)
{
	return text_append(parser->data, at, len) ? 0 : -1;
}

static bool
field_begin(http_reader_t *reader)
{
	http_msg_t *msg = &reader->msg;

	if (!head_count(reader, FIELD_FRAME_BYTES))
		return false;
	if (msg->fields_len == reader->fields_at_cap) {
		http_field_at_t *grown = items_grow(reader, reader->fields_at,
		    &reader->fields_at_cap, FIELDS_INITIAL_CAP,
		    msg->fields_len + 1, sizeof(*grown));

		if (grown == NULL)
			return false;
		reader->fields_at = grown;
	}
	reader->fields_at[msg->fields_len++] =
	    (http_field_at_t){text_begin(reader), 0};
	return true;
}

/* Trailers count as part of the head, and are discarded. */
static int
on_field_name(http_parser *parser, const char *at, size_t len)
{
	http_reader_t *reader = parser->data;
	bool begins = reader->in_value;

	reader->in_value = false;
	if (reader->head_complete)
		return head_count(reader, len) ? 0 : -1;
	if (begins && !field_begin(reader))
		return -1;
	return text_append(reader, at, len) ? 0 : -1;
}

static int
on_field_value(http_parser *parser, const char *at, size_t len)
{
	http_reader_t *reader = parser->data;
	bool begins = !reader->in_value;

	reader->in_value = true;
	if (reader->head_complete)
		return head_count(reader, len) ? 0 : -1;
	if (begins)
		reader->fields_at[reader->msg.fields_len - 1].value =
		    text_begin(reader);
	return text_append(reader, at, len) ? 0 : -1;
}

/* Whether a list has a token other than "close" and "keep-alive". */
static bool
list_has_options(const char *list)
{
	while (*list != '\0') {
		size_t len;

		list += strspn(list, " \t,");
		len = strcspn(list, " \t,");
		if (len > 0 &&
		    !(len == strlen("close") &&
			strncasecmp(list, "close", len) == 0) &&
		    !(len == strlen("keep-alive") &&
			strncasecmp(list, "keep-alive", len) == 0))
			return true;
		list += len;
	}
	return false;
}

bool
http_msg_add_options(http_msg_t *msg, const char *list)
{
	size_t bytes = strlen(list);

	if (!list_has_options(list))
		return true;
	for (size_t i = 0; i < msg->options_len; i++)
		bytes += strlen(msg->options[i]);
	if (msg->options_len < HTTP_OPTION_FIELDS_MAX &&
	    bytes <= HTTP_OPTIONS_MAX) {
		msg->options[msg->options_len++] = list;
		return true;
	}
	return false;
}

/* The text no longer moves: offsets become pointers. */
static bool
fields_resolve(http_reader_t *reader)
{
	static char empty[1];
	http_msg_t *msg = &reader->msg;

	if (reader->parser.type == HTTP_REQUEST)
		msg->target = reader->text;
	if (msg->fields_len > 0)
		msg->fields = malloc(msg->fields_len * sizeof(*msg->fields));
	if (msg->fields_len > 0 && msg->fields == NULL) {
		msg->fields_len = 0;
		reader->out_of_memory = true;
		return false;
	}
	for (size_t i = 0; i < msg->fields_len; i++) {
		const http_field_at_t *at = &reader->fields_at[i];
		http_field_t *field = &msg->fields[i];

		field->name = reader->text + at->name;
		/* The parser reports no value if it is empty. */
		field->value =
		    at->value != 0 ? reader->text + at->value : empty;
		if (strcasecmp(field->name, "Connection") == 0 &&
		    !http_msg_add_options(msg, field->value)) {
			reader->head_too_large = true;
			return false;
		}
	}
	free(reader->fields_at);
	reader->fields_at = NULL;
	reader->fields_at_cap = 0;
	return true;
}

static int
on_headers_complete(http_parser *parser)
{
	http_reader_t *reader = parser->data;
	http_msg_t *msg = &reader->msg;

	if (!fields_resolve(reader))
		return -1;
	reader->head_complete = true;
	msg->chunked = (parser->flags & F_CHUNKED) != 0;
	if (!reader->syntax.bodiless &&
	    msg->chunked != reader->syntax.chunked) {
		reader->syntax.defect = HTTP_DEFECT_ENCODING;
		return -1;
	}
	/* HTTP/1.0 has no chunks (RFC 9112, 6.1). */
	msg->keep_alive = http_should_keep_alive(parser) != 0 &&
	    !(msg->chunked && parser->http_minor == 0);
	if (parser->type == HTTP_REQUEST) {
		msg->method = http_method_str((enum http_method)parser->method);
		reader->ops->on_head(reader->arg, msg);
		return 0;
	}
	msg->status = (int)parser->status_code;
	reader->interim = msg->status >= STATUS_CONTINUE &&
	    msg->status < STATUS_OK && msg->status != STATUS_SWITCHING;
	if (reader->interim)
		reader->interim_bytes += STATUS_LINE_MIN + msg->head_bytes;
	if (reader->interim_bytes > reader->head_max) {
		reader->head_too_large = true;
		return -1;
	}
	if (!reader->interim)
		reader->ops->on_head(reader->arg, msg);
	return reader->syntax.bodiless ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	http_reader_t *reader = parser->data;

	if (!reader->interim)
		reader->ops->on_body(reader->arg, at, len);
	return 0;
}

static int
on_message_complete(http_parser *parser)
{
	http_reader_t *reader = parser->data;

	reader->in_message = false;
	if (reader->interim)
		return 0;
	reader->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_target,
    .on_header_field = on_field_name,
    .on_header_value = on_field_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

void
http_reader_init(http_reader_t *reader, enum http_parser_type type,
    const http_reader_ops_t *ops, void *arg, size_t head_max)
{
	memset(reader, 0, sizeof(*reader));
	http_parser_init(&reader->parser, type);
	reader->parser.data = reader;
	http_syntax_init(&reader->syntax, type == HTTP_RESPONSE);
	reader->ops = ops;
	reader->arg = arg;
	reader->head_max = head_max;
	reader->in_value = true;
	reader->msg.body = evbuffer_new();
}

void
http_reader_finish(http_reader_t *reader)
{
	msg_clear(reader);
	free(reader->text);
	evbuffer_free(reader->msg.body);
}

void
http_reader_reset(http_reader_t *reader)
{
	enum http_parser_type type = reader->parser.type;

	msg_clear(reader);
	http_parser_init(&reader->parser, type);
	reader->parser.data = reader;
	http_syntax_init(&reader->syntax, type == HTTP_RESPONSE);
	reader->in_value = true;
	reader->in_message = false;
	reader->head_complete = false;
	reader->complete = false;
	reader->interim = false;
	reader->interim_bytes = 0;
	reader->truncated = false;
}

void
http_reader_expect_no_body(http_reader_t *reader)
{
	reader->syntax.no_body = true;
}

/* @return how many of the bytes were parsed */
static size_t
bytes_parse(http_reader_t *reader, const char *bytes, size_t len)
{
	size_t valid = http_syntax_check(&reader->syntax, bytes, len);

	/* No bytes would be the end of the connection. */
	return valid > 0 ? http_parser_execute(
			       &reader->parser, &parser_settings, bytes, valid)
			 : 0;
}

http_read_result_t
http_reader_feed(http_reader_t *reader, struct evbuffer *in)
{
	while (!reader->complete && evbuffer_get_length(in) > 0) {
		size_t len = evbuffer_get_contiguous_space(in);
		const char *bytes =
		    (const char *)evbuffer_pullup(in, (ev_ssize_t)len);

		evbuffer_drain(in, bytes_parse(reader, bytes, len));
		if (reader->complete)
			break;
		if (http_reader_defect(reader) != HTTP_DEFECT_NONE)
			return HTTP_READ_INVALID;
	}
	return reader->complete ? HTTP_READ_COMPLETE : HTTP_READ_INCOMPLETE;
}

bool
http_reader_ends_by_close(const http_reader_t *reader)
{
	return reader->in_message && reader->head_complete &&
	    !reader->syntax.has_length && !reader->syntax.chunked;
}

http_read_result_t
http_reader_eof(http_reader_t *reader)
{
	if (reader->in_message)
		http_parser_execute(&reader->parser, &parser_settings, NULL, 0);
	reader->truncated = !reader->complete;
	return reader->complete ? HTTP_READ_COMPLETE : HTTP_READ_INVALID;
}

http_defect_t
http_reader_defect(const http_reader_t *reader)
{
	if (reader->syntax.defect != HTTP_DEFECT_NONE)
		return reader->syntax.defect;
	if (reader->truncated)
		return HTTP_DEFECT_TRUNCATED;
	if (reader->head_too_large)
		return HTTP_DEFECT_HEAD_TOO_LARGE;
	return HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK ||
		reader->parser.upgrade
	    ? HTTP_DEFECT_OTHER
	    : HTTP_DEFECT_NONE;
}

size_t
http_reader_head_bytes(const http_reader_t *reader)
{
	size_t fields = reader->msg.fields != NULL ? reader->msg.fields_len : 0;

	return reader->text_cap +
	    reader->fields_at_cap * sizeof(*reader->fields_at) +
	    fields * sizeof(*reader->msg.fields);
}
