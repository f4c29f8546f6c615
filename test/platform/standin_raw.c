/**
 * @file
 * A fake replica that responds with raw bytes, on the port after its own.
 *
 * GET /runs returns the requests that it read ("runs"), each with its attempt
 * id, its method and the number of its connection. Faults: "hex" is the
 * response, in which @ID@ stands for the request's attempt id; "early" sends it
 * once the head of the request was read, instead of all of it; "delay_ms" is
 * how long it waits before that; "end" is what follows: "keep" leaves the
 * connection open, "close" closes it, "reset" resets it, "unread" closes it
 * without having read the rest of the request, "half" ends its own side, reads
 * the rest and closes, "half_reset" ends its own side and resets; "end_ms" is
 * how long it waits before the end, or before the reset of "half_reset".
 */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "common/http_call.h"
#include "standin/fake.h"
#include "standin/http_server.h"

#define RECEIVE_BUFFER 8192 /* bytes */
#define ID_SIZE 128
#define US_PER_MS 1000
#define MS_PER_SEC 1000

typedef struct raw {
	fake_t fake;
	struct evconnlistener *listener;
	json_t *runs;
	json_t *faults;
	int64_t connections;
} raw_t;

/** A caller's connection. */
typedef struct caller {
	struct bufferevent *bev;
	struct event *answer_timer;
	struct event *end_timer;
	char id[ID_SIZE];
	int64_t number;
	size_t remaining; /**< bytes of the request's body */
	bool in_body;
	bool answered;
	bool ends_when_read; /**< once the request was read */
} caller_t;

static raw_t raw;

static const char *
fault_text(const char *name)
{
	const char *text = json_string_value(json_object_get(raw.faults, name));

	return text != NULL ? text : "";
}

static bool
fault_is(const char *name)
{
	return json_is_true(json_object_get(raw.faults, name));
}

static bool
end_is(const char *how)
{
	return strcmp(fault_text("end"), how) == 0;
}

static void
timer_set(struct event *timer, const char *fault)
{
	int64_t ms = fake_json_int(raw.faults, fault, 0);
	struct timeval delay = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	event_add(timer, &delay);
}

static void
caller_free(caller_t *caller, bool reset)
{
	struct linger discard = {.l_onoff = 1};

	if (reset)
		setsockopt(bufferevent_getfd(caller->bev), SOL_SOCKET,
		    SO_LINGER, &discard, sizeof(discard));
	event_free(caller->answer_timer);
	event_free(caller->end_timer);
	bufferevent_free(caller->bev);
	free(caller);
}

static void
hex_decode(const char *hex, struct evbuffer *out)
{
	for (; hex[0] != '\0' && hex[1] != '\0'; hex += 2) {
		const char digits[] = {hex[0], hex[1], '\0'};
		char byte = (char)strtol(digits, NULL, 16);

		evbuffer_add(out, &byte, 1);
	}
}

/* Replaces each @ID@. */
static void
id_insert(struct evbuffer *in, const char *id, struct evbuffer *out)
{
	struct evbuffer_ptr at;

	while ((at = evbuffer_search(in, "@ID@", 4, NULL)).pos >= 0) {
		evbuffer_remove_buffer(in, out, (size_t)at.pos);
		evbuffer_drain(in, 4);
		evbuffer_add(out, id, strlen(id));
	}
	evbuffer_add_buffer(out, in);
}

static void
on_answer(evutil_socket_t fd, short what, void *arg)
{
	caller_t *caller = arg;
	struct evbuffer *bytes = evbuffer_new();

	(void)fd;
	(void)what;
	hex_decode(fault_text("hex"), bytes);
	id_insert(bytes, caller->id, bufferevent_get_output(caller->bev));
	evbuffer_free(bytes);
	caller->answered = true;
}

static void
on_end(evutil_socket_t fd, short what, void *arg)
{
	caller_t *caller = arg;

	(void)fd;
	(void)what;
	caller_free(caller, end_is("reset") || end_is("half_reset"));
}

/* The response was written. */
static void
on_written(struct bufferevent *bev, void *arg)
{
	caller_t *caller = arg;
	bool half = end_is("half") || end_is("half_reset");

	if (!caller->answered || end_is("keep"))
		return;
	if (half)
		shutdown(bufferevent_getfd(bev), SHUT_WR);
	if (end_is("half") && caller->in_body)
		caller->ends_when_read = true;
	else
		timer_set(caller->end_timer, "end_ms");
}

static void
request_read(caller_t *caller)
{
	caller->in_body = false;
	if (caller->ends_when_read)
		caller_free(caller, false);
	else if (!fault_is("early"))
		timer_set(caller->answer_timer, "delay_ms");
}

/* The value of a field of a head, up to the end of its line. */
static const char *
field_find(const char *head, const char *name)
{
	const char *at = strcasestr(head, name);

	return at != NULL ? at + strlen(name) : "";
}

static void
head_read(caller_t *caller, const char *head)
{
	const char *id = field_find(head, "\r\nMoortack-Attempt-Id: ");

	strncpy(caller->id, id, sizeof(caller->id) - 1);
	caller->id[strcspn(caller->id, "\r\n")] = '\0';
	caller->remaining =
	    (size_t)strtoul(field_find(head, "\r\nContent-Length: "), NULL, 10);
	caller->in_body = true;
	caller->answered = false;
	json_array_append_new(raw.runs,
	    json_pack("{s:s, s:s%, s:I}", "Moortack-Attempt-Id", caller->id,
		"method", head, strcspn(head, " "), "connection",
		(json_int_t)caller->number));
	if (!fault_is("early"))
		return;
	if (end_is("reset") || end_is("unread") || end_is("half_reset"))
		bufferevent_disable(caller->bev, EV_READ);
	timer_set(caller->answer_timer, "delay_ms");
}

/* @return false: the head is not complete */
static bool
head_take(caller_t *caller, struct evbuffer *in)
{
	struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	char *head;

	if (end.pos < 0)
		return false;
	head = calloc(1, (size_t)end.pos + 5);
	evbuffer_remove(in, head, (size_t)end.pos + 4);
	head_read(caller, head);
	free(head);
	return true;
}

static void
on_readable(struct bufferevent *bev, void *arg)
{
	caller_t *caller = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t len;

	if (!caller->in_body && !head_take(caller, in))
		return;
	len = evbuffer_get_length(in);
	if (len > caller->remaining)
		len = caller->remaining;
	caller->remaining -= len;
	evbuffer_drain(in, evbuffer_get_length(in));
	if (caller->remaining == 0 && (bufferevent_get_enabled(bev) & EV_READ))
		request_read(caller);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)what;
	caller_free(arg, false);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *address, int len, void *arg)
{
	caller_t *caller = calloc(1, sizeof(*caller));

	(void)listener;
	(void)address;
	(void)len;
	(void)arg;
	caller->number = ++raw.connections;
	caller->bev =
	    bufferevent_socket_new(raw.fake.base, fd, BEV_OPT_CLOSE_ON_FREE);
	caller->answer_timer = evtimer_new(raw.fake.base, on_answer, caller);
	caller->end_timer = evtimer_new(raw.fake.base, on_end, caller);
	bufferevent_setcb(
	    caller->bev, on_readable, on_written, on_event, caller);
	bufferevent_enable(caller->bev, EV_READ | EV_WRITE);
}

static void
raw_listen(void)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	int size = RECEIVE_BUFFER;
	http_address_t control;

	http_address_parse(raw.fake.listen, &control);
	at.sin_port = htons((uint16_t)(control.port + 1));
	inet_pton(AF_INET, control.host, &at.sin_addr);
	raw.listener = evconnlistener_new_bind(raw.fake.base, on_accept, NULL,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
	    (struct sockaddr *)&at, sizeof(at));
	/* A large upload does not fit into the buffers on its way. */
	setsockopt(evconnlistener_get_fd(raw.listener), SOL_SOCKET, SO_RCVBUF,
	    &size, sizeof(size));
}

static void
serve(struct fake *fake, struct evhttp_request *req)
{
	(void)fake;
	standin_respond_json(req, 200, json_pack("{s:O}", "runs", raw.runs));
}

static void
fault(struct fake *fake, const json_t *faults)
{
	(void)fake;
	json_decref(raw.faults);
	raw.faults = json_deep_copy(faults);
	if (raw.listener == NULL)
		raw_listen();
}

int
main(int argc, const char **argv)
{
	raw.runs = json_array();
	raw.faults = json_object();
	raw.fake.handle_request = serve;
	raw.fake.handle_fault = fault;
	raw.fake.name = "standin-platform-raw";
	return fake_main(&raw.fake, argc, argv);
}
