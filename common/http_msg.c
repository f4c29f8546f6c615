#include "common/http_msg.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define STATUS_CONTINUE 100
#define STATUS_SWITCHING 101
#define STATUS_OK 200
#define FIELDS_INITIAL_CAP 16
/* Bytes of a status line that the parser does not report. */
#define STATUS_LINE_MIN 16

static bool
text_append(http_reader_t *reader, char **text, const char *bytes, size_t len)
{
	size_t old_len = *text != NULL ? strlen(*text) : 0;
	char *grown;

	reader->msg.head_bytes += len;
	if (reader->msg.head_bytes + reader->interim_bytes > reader->head_max) {
		reader->head_too_large = true;
		return false;
	}
	grown = realloc(*text, old_len + len + 1);
	if (grown == NULL) {
		reader->out_of_memory = true;
		return false;
	}
	memcpy(grown + old_len, bytes, len);
	grown[old_len + len] = '\0';
	*text = grown;
	return true;
}

static void
fields_truncate(http_msg_t *msg, size_t len)
{
	for (size_t i = len; i < msg->fields_len; i++) {
		free(msg->fields[i].name);
		free(msg->fields[i].value);
	}
	msg->fields_len = len;
}

static void
msg_clear(http_msg_t *msg)
{
	fields_truncate(msg, 0);
	free(msg->target);
	msg->target = NULL;
	msg->head_bytes = 0;
	msg->status = 0;
	if (evbuffer_get_length(msg->body) > 0)
		evbuffer_drain(msg->body, evbuffer_get_length(msg->body));
}

static int
on_message_begin(http_parser *parser)
{
	http_reader_t *reader = parser->data;

	msg_clear(&reader->msg);
	reader->in_value = true;
	reader->in_message = true;
	reader->complete = false;
	reader->interim = false;
	return 0;
}

static int
on_target(http_parser *parser, const char *at, size_t len)
{
	http_reader_t *reader = parser->data;

	return text_append(reader, &reader->msg.target, at, len) ? 0 : -1;
}

static http_field_t *
field_add(http_reader_t *reader)
{
	http_msg_t *msg = &reader->msg;

	if (msg->fields_len == msg->fields_cap) {
		size_t cap = msg->fields_cap > 0 ? 2 * msg->fields_cap
						 : FIELDS_INITIAL_CAP;
		http_field_t *grown =
		    realloc(msg->fields, cap * sizeof(*grown));

		if (grown == NULL) {
			reader->out_of_memory = true;
			return NULL;
		}
		msg->fields = grown;
		msg->fields_cap = cap;
	}
	msg->fields[msg->fields_len] = (http_field_t){NULL, NULL};
	return &msg->fields[msg->fields_len++];
}

static int
on_field_name(http_parser *parser, const char *at, size_t len)
{
	http_reader_t *reader = parser->data;
	http_field_t *field;

	if (reader->in_value) {
		reader->in_value = false;
		field = field_add(reader);
	} else {
		field = &reader->msg.fields[reader->msg.fields_len - 1];
	}
	if (field == NULL)
		return -1;
	return text_append(reader, &field->name, at, len) ? 0 : -1;
}

static int
on_field_value(http_parser *parser, const char *at, size_t len)
{
	http_reader_t *reader = parser->data;
	http_msg_t *msg = &reader->msg;

	reader->in_value = true;
	return text_append(
		   reader, &msg->fields[msg->fields_len - 1].value, at, len)
	    ? 0
	    : -1;
}

/* Give fields for which the parser reported no value an empty one. */
static bool
fields_set_empty_values(http_reader_t *reader)
{
	http_msg_t *msg = &reader->msg;

	for (size_t i = 0; i < msg->fields_len; i++) {
		if (msg->fields[i].value == NULL)
			msg->fields[i].value = calloc(1, 1);
		if (msg->fields[i].value == NULL)
			return false;
	}
	return true;
}

static int
on_headers_complete(http_parser *parser)
{
	http_reader_t *reader = parser->data;
	http_msg_t *msg = &reader->msg;

	if (!fields_set_empty_values(reader))
		return -1;
	/* Trailers are added to the fields too, and removed at the end. */
	reader->head_fields_len = msg->fields_len;
	msg->keep_alive = http_should_keep_alive(parser) != 0;
	msg->chunked = (parser->flags & F_CHUNKED) != 0;
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
	return reader->no_body ? 1 : 0;
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
	fields_truncate(&reader->msg, reader->head_fields_len);
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
	reader->ops = ops;
	reader->arg = arg;
	reader->head_max = head_max;
	reader->in_value = true;
	reader->msg.body = evbuffer_new();
}

void
http_reader_finish(http_reader_t *reader)
{
	msg_clear(&reader->msg);
	free(reader->msg.fields);
	evbuffer_free(reader->msg.body);
}

void
http_reader_reset(http_reader_t *reader)
{
	enum http_parser_type type = reader->parser.type;

	msg_clear(&reader->msg);
	http_parser_init(&reader->parser, type);
	reader->parser.data = reader;
	reader->in_value = true;
	reader->in_message = false;
	reader->complete = false;
	reader->interim = false;
	reader->interim_bytes = 0;
}

http_read_result_t
http_reader_feed(http_reader_t *reader, struct evbuffer *in)
{
	while (!reader->complete && evbuffer_get_length(in) > 0) {
		size_t len = evbuffer_get_contiguous_space(in);
		const char *bytes =
		    (const char *)evbuffer_pullup(in, (ev_ssize_t)len);
		size_t used = http_parser_execute(
		    &reader->parser, &parser_settings, bytes, len);

		evbuffer_drain(in, used);
		if (reader->complete)
			break;
		if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK ||
		    reader->parser.upgrade)
			return HTTP_READ_INVALID;
	}
	return reader->complete ? HTTP_READ_COMPLETE : HTTP_READ_INCOMPLETE;
}

http_read_result_t
http_reader_eof(http_reader_t *reader)
{
	if (!reader->in_message)
		return reader->complete ? HTTP_READ_COMPLETE
					: HTTP_READ_INVALID;
	http_parser_execute(&reader->parser, &parser_settings, NULL, 0);
	return reader->complete ? HTTP_READ_COMPLETE : HTTP_READ_INVALID;
}

const char *
http_msg_field(const http_msg_t *msg, const char *name)
{
	for (size_t i = 0; i < msg->fields_len; i++) {
		if (strcasecmp(msg->fields[i].name, name) == 0)
			return msg->fields[i].value;
	}
	return NULL;
}

size_t
http_msg_field_count(const http_msg_t *msg, const char *name)
{
	size_t count = 0;

	for (size_t i = 0; i < msg->fields_len; i++) {
		if (strcasecmp(msg->fields[i].name, name) == 0)
			count++;
	}
	return count;
}

static bool
list_has_token(const char *list, const char *token, size_t token_len)
{
	while (*list != '\0') {
		size_t len;

		list += strspn(list, " \t,");
		len = strcspn(list, " \t,");
		if (len == token_len && strncasecmp(list, token, len) == 0)
			return true;
		list += len;
	}
	return false;
}

bool
http_msg_field_has_token(const http_msg_t *msg, const char *name,
    const char *token, size_t token_len)
{
	for (size_t i = 0; i < msg->fields_len; i++) {
		if (strcasecmp(msg->fields[i].name, name) == 0 &&
		    list_has_token(msg->fields[i].value, token, token_len))
			return true;
	}
	return false;
}

bool
http_field_is_hop_by_hop(const http_msg_t *msg, const char *name)
{
	/* Those of RFC 9110, 7.6.1, and those that frame the message. */
	static const char *const hop_by_hop[] = {"Connection", "Content-Length",
	    "Expect", "Host", "Keep-Alive", "Proxy-Authenticate",
	    "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer",
	    "Transfer-Encoding", "Upgrade"};

	for (size_t i = 0; i < sizeof(hop_by_hop) / sizeof(hop_by_hop[0]);
	     i++) {
		if (strcasecmp(name, hop_by_hop[i]) == 0)
			return true;
	}
	return http_msg_field_has_token(msg, "Connection", name, strlen(name));
}

static bool
field_name_is_valid(const char *name)
{
	return *name != '\0' && strpbrk(name, " \t\r\n") == NULL;
}

bool
http_msg_check(const http_msg_t *msg, err_t *err)
{
	const char *encoding = http_msg_field(msg, "Transfer-Encoding");

	for (size_t i = 0; i < msg->fields_len; i++) {
		if (!field_name_is_valid(msg->fields[i].name))
			return err_set(err, ERR_BAD_REQUEST,
			    "a header name is empty or contains whitespace");
	}
	if (msg->target == NULL || msg->target[0] != '/')
		return err_set(err, ERR_BAD_REQUEST,
		    "the request target is not an absolute path");
	if (http_msg_field_count(msg, "Host") != 1)
		return err_set(
		    err, ERR_BAD_REQUEST, "expected exactly one Host header");
	if (http_msg_field_count(msg, "Content-Length") > 1 ||
	    http_msg_field_count(msg, "Transfer-Encoding") > 1)
		return err_set(err, ERR_BAD_REQUEST,
		    "duplicate Content-Length or Transfer-Encoding header");
	if (encoding != NULL && strcasecmp(encoding, "chunked") != 0)
		return err_set(err, ERR_BAD_REQUEST,
		    "the transfer encoding is not chunked");
	return true;
}
