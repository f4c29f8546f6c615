/* Responses to callers: complete, or streamed. */
#include <stdio.h>
#include <string.h>

#include "http_inbound_priv.h"

static const char *
reason_phrase(int status)
{
	const char *text = http_status_str((enum http_status)status);

	return text[0] == '<' ? "Status" : text;
}

static void
response_head_write(
    http_inbound_t *conn, int status, const char *head, const char *framing)
{
	if (conn->server->draining)
		conn->close_after_response = true;
	evbuffer_add_printf(bufferevent_get_output(conn->bev),
	    "HTTP/1.1 %d %s\r\n%s%s%s\r\n", status, reason_phrase(status),
	    head != NULL ? head : "", framing,
	    conn->close_after_response ? "Connection: close\r\n" : "");
}

static bool
response_has_body(const http_inbound_t *conn)
{
	return strcmp(conn->reader.msg.method != NULL ? conn->reader.msg.method
						      : "",
		   "HEAD") != 0;
}

void
http_inbound_respond(
    http_inbound_t *conn, int status, const char *head, struct evbuffer *body)
{
	size_t len = body != NULL ? evbuffer_get_length(body) : 0;
	char framing[64];

	snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n", len);
	response_head_write(conn, status, head, framing);
	if (len > 0 && response_has_body(conn))
		evbuffer_add_buffer(bufferevent_get_output(conn->bev), body);
	inbound_response_completed(conn);
}

void
http_inbound_stream_begin(http_inbound_t *conn, int status, const char *head)
{
	conn->state = INBOUND_STREAMING;
	response_head_write(
	    conn, status, head, "Transfer-Encoding: chunked\r\n");
}

void
http_inbound_stream_write(http_inbound_t *conn, struct evbuffer *bytes)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	size_t len = evbuffer_get_length(bytes);

	if (len == 0)
		return;
	evbuffer_add_printf(out, "%zx\r\n", len);
	evbuffer_add_buffer(out, bytes);
	evbuffer_add(out, "\r\n", 2);
}

void
http_inbound_stream_end(http_inbound_t *conn)
{
	static const char last_chunk[] = "0\r\n\r\n";

	bufferevent_write(conn->bev, last_chunk, sizeof(last_chunk) - 1);
	inbound_response_completed(conn);
}
