#include "standin/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *
standin_request_header(struct evhttp_request *req, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(req), name);
}

bool
standin_request_query_param(
    struct evhttp_request *req, const char *name, char *out, size_t size)
{
	const char *query =
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	struct evkeyvalq params;
	const char *value;
	bool found = false;

	if (query == NULL || evhttp_parse_query_str(query, &params) != 0)
		return false;
	value = evhttp_find_header(&params, name);
	if (value != NULL) {
		snprintf(out, size, "%s", value);
		found = true;
	}
	evhttp_clear_headers(&params);
	return found;
}

json_t *
standin_request_json(struct evhttp_request *req, err_t *err)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(input);
	const char *text = (const char *)evbuffer_pullup(input, -1);
	json_error_t json_error;
	json_t *value;

	value = len == 0
	    ? NULL
	    : json_loadb(text, len, JSON_REJECT_DUPLICATES, &json_error);
	if (json_is_object(value))
		return value;
	if (len == 0)
		err_set(err, ERR_BAD_REQUEST, "the body is empty");
	else if (value == NULL)
		err_set(err, ERR_BAD_REQUEST,
		    "the body is not valid JSON: %.80s", json_error.text);
	else
		err_set(err, ERR_BAD_REQUEST, "the body is not a JSON object");
	json_decref(value);
	return NULL;
}

void
standin_respond_json(struct evhttp_request *req, int status, json_t *value)
{
	struct evbuffer *out = evbuffer_new();
	char *text = json_dumps(value, JSON_COMPACT);

	json_decref(value);
	if (out == NULL || text == NULL) {
		free(text);
		if (out != NULL)
			evbuffer_free(out);
		evhttp_send_error(req, HTTP_INTERNAL, NULL);
		return;
	}
	evbuffer_add_printf(out, "%s\n", text);
	free(text);
	standin_response_add_header(req, "Content-Type", "application/json");
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
}

/* Bytes buffered from a caller that sends ahead while its request is being
 * handled. */
#define PIPELINED_MAX 65536

void
standin_watch_close(struct evhttp_request *req,
    void (*closed)(struct evhttp_connection *, void *), void *arg)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);
	bufferevent_data_cb readable, writable;
	bufferevent_event_cb event;
	void *state;
	int yes = 1;

	/* Small events must not wait for the acknowledgement of the previous
	 * one. */
	setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &yes,
	    sizeof(yes));
	evhttp_connection_set_closecb(conn, closed, arg);
	bufferevent_getcb(bev, &readable, &writable, &event, &state);
	bufferevent_setcb(bev, NULL, writable, event, state);
	bufferevent_setwatermark(bev, EV_READ, 0, PIPELINED_MAX);
	bufferevent_enable(bev, EV_READ);
}

void
standin_unwatch_close(struct evhttp_request *req)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);

	if (conn == NULL)
		return;
	evhttp_connection_set_closecb(conn, NULL, NULL);
	bufferevent_setwatermark(
	    evhttp_connection_get_bufferevent(conn), EV_READ, 0, 0);
}

void
standin_response_add_header(
    struct evhttp_request *req, const char *name, const char *value)
{
	evhttp_add_header(evhttp_request_get_output_headers(req), name, value);
}
