#include "standin/fake.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>
#include <unistd.h>

#include "common/http_call.h"
#include "common/log.h"
#include "standin/http_server.h"

#define BODY_MAX (16L << 20)

/** A request that the fault "slow_ms" delays. */
typedef struct delayed_request {
	fake_t *fake;
	struct evhttp_request *req;
} delayed_request_t;

static const setting_t settings[] = {
    {"listen", SETTING_ADDRESS, offsetof(fake_t, listen), 1, 64, NULL, "",
	"Address to listen on"},
};

int64_t
fake_json_int(const json_t *object, const char *name, int64_t fallback)
{
	const json_t *value = json_object_get(object, name);

	return json_is_integer(value) ? json_integer_value(value) : fallback;
}

/** A connection that is about to be closed. */
typedef struct drop {
	struct evhttp_connection *conn;
	struct event *timer;
} drop_t;

static void
drop_finish(drop_t *drop)
{
	event_free(drop->timer);
	free(drop);
}

/* The caller closed it first: libevent frees the connection. */
static void
drop_caller_closed(struct evhttp_connection *conn, void *arg)
{
	(void)conn;
	drop_finish(arg);
}

static void
drop_timer_fired(evutil_socket_t fd, short what, void *arg)
{
	drop_t *drop = arg;

	(void)fd;
	(void)what;
	evhttp_connection_set_closecb(drop->conn, NULL, NULL);
	evhttp_connection_free(drop->conn);
	drop_finish(drop);
}

void
fake_connection_drop(fake_t *fake, struct evhttp_request *req)
{
	static const struct timeval soon = {0, 1000};
	drop_t *drop = calloc(1, sizeof(*drop));

	if (drop == NULL)
		return;
	drop->conn = evhttp_request_get_connection(req);
	drop->timer = event_new(fake->base, -1, 0, drop_timer_fired, drop);
	evhttp_connection_set_closecb(drop->conn, drop_caller_closed, drop);
	event_add(drop->timer, &soon);
}

static void
exit_now(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	_exit(EXIT_FAILURE);
}

void
fake_exit_after(fake_t *fake, int64_t ms)
{
	struct timeval delay = {ms / 1000, ms % 1000 * 1000};

	if (ms == 0)
		_exit(EXIT_FAILURE);
	event_base_once(fake->base, -1, EV_TIMEOUT, exit_now, NULL, &delay);
}

int64_t
fake_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Past evhttp, which frames all that it sends. */
void
fake_unframed_write(struct evhttp_request *req, struct evbuffer *out)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(
	    evhttp_request_get_connection(req));

	if (evbuffer_write(out, bufferevent_getfd(bev)) < 0)
		perror("write");
}

void
fake_unframed_begin(struct evhttp_request *req)
{
	const struct evkeyvalq *headers =
	    evhttp_request_get_output_headers(req);
	struct evbuffer *out = evbuffer_new();
	const struct evkeyval *field;

	evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\n");
	TAILQ_FOREACH(field, headers, next)
	evbuffer_add_printf(out, "%s: %s\r\n", field->key, field->value);
	evbuffer_add_printf(out, "\r\n");
	fake_unframed_write(req, out);
	evbuffer_free(out);
}

static void
faults_apply(fake_t *fake, struct evhttp_request *req)
{
	json_t *body = standin_request_json(req, NULL);
	const json_t *down = json_object_get(body, "down");

	if (body == NULL) {
		standin_respond_json(req, 400, json_object());
		return;
	}
	if (down != NULL)
		fake->faults.down = json_is_true(down);
	fake->faults.slow_ms =
	    fake_json_int(body, "slow_ms", fake->faults.slow_ms);
	if (fake->handle_fault != NULL)
		fake->handle_fault(fake, body);
	json_decref(fake->faults.latest);
	fake->faults.latest = json_incref(body);
	standin_respond_json(req, 200, body);
}

static void
delayed_serve(evutil_socket_t fd, short what, void *arg)
{
	delayed_request_t *delayed = arg;

	(void)fd;
	(void)what;
	delayed->fake->handle_request(delayed->fake, delayed->req);
	free(delayed);
}

static void
serve(struct evhttp_request *req, void *arg)
{
	fake_t *fake = arg;
	const char *uri = evhttp_request_get_uri(req);
	struct timeval delay;
	delayed_request_t *delayed;

	if (strcmp(uri, "/fault") == 0) {
		faults_apply(fake, req);
		return;
	}
	if (fake->faults.down && strcmp(uri, "/runs") != 0) {
		fake_connection_drop(fake, req);
		return;
	}
	if (fake->faults.slow_ms == 0) {
		fake->handle_request(fake, req);
		return;
	}
	delayed = malloc(sizeof(*delayed));
	if (delayed == NULL)
		return;
	*delayed = (delayed_request_t){fake, req};
	delay.tv_sec = fake->faults.slow_ms / 1000;
	delay.tv_usec = fake->faults.slow_ms % 1000 * 1000;
	event_base_once(
	    fake->base, -1, EV_TIMEOUT, delayed_serve, delayed, &delay);
}

static void
stop(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(arg);
}

static void
sample(evutil_socket_t fd, short what, void *arg)
{
	fake_t *fake = arg;

	(void)fd;
	(void)what;
	fake->sample(fake);
}

static bool
fake_listen(fake_t *fake)
{
	http_address_t address;

	fake->base = event_base_new();
	fake->http = fake->base != NULL ? evhttp_new(fake->base) : NULL;
	if (fake->http == NULL || !http_address_parse(fake->listen, &address))
		return false;
	evhttp_set_max_body_size(fake->http, BODY_MAX);
	evhttp_set_allowed_methods(fake->http,
	    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
		EVHTTP_REQ_DELETE);
	evhttp_set_gencb(fake->http, serve, fake);
	return evhttp_bind_socket(fake->http, address.host, address.port) == 0;
}

int
fake_main(fake_t *fake, int argc, const char **argv)
{
	struct timeval interval = {
	    fake->sample_ms / 1000, fake->sample_ms % 1000 * 1000};
	struct event *term;
	struct event *tick = NULL;
	err_t err;

	log_init(fake->name, LOG_INFO);
	clock_system_init(&fake->clock);
	if (settings_load(settings, 1, "STANDIN", argc, argv, fake, &err) !=
	    SETTINGS_OK) {
		settings_print_help(settings, 1, "STANDIN", stdout);
		return 2;
	}
	if (!fake_listen(fake)) {
		log_line(LOG_ERROR, LOG_STANDIN, "cannot listen on %s",
		    fake->listen);
		return 1;
	}
	signal(SIGPIPE, SIG_IGN);
	term = evsignal_new(fake->base, SIGTERM, stop, fake->base);
	event_add(term, NULL);
	if (fake->sample != NULL) {
		tick = event_new(fake->base, -1, EV_PERSIST, sample, fake);
		event_add(tick, &interval);
	}
	event_base_dispatch(fake->base);
	if (tick != NULL)
		event_free(tick);
	event_free(term);
	json_decref(fake->faults.latest);
	evhttp_free(fake->http);
	event_base_free(fake->base);
	return 0;
}
