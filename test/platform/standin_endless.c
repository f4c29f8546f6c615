#include "standin_endless.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>

#include "standin/http_server.h"

#define FAST_PART 65536 /* bytes */
#define FAST_MS 1
#define SLOW_MS 20
#define UNSENT_MAX (1U << 20)
#define US_PER_MS 1000

static const struct {
	const char *where;
	const char *head;
	const char *filler;
} kinds[] = {
    {"head", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
    {"interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"not_run",
	"HTTP/1.1 503 Busy\r\nMoortack-Not-Executed: 1\r\n"
	"Moortack-Attempt-Id: %s\r\n\r\n",
	"x"},
    {"failed",
	"HTTP/1.1 500 Failed\r\nMoortack-Response-Signature: signed\r\n"
	"Moortack-Attempt-Id: %s\r\n\r\n",
	"x"},
    {"unsigned", "HTTP/1.1 200 OK\r\nMoortack-Attempt-Id: %s\r\n\r\n", "x"},
};

typedef struct endless {
	struct bufferevent *bev;
	struct event *timer;
	const char *filler;
	size_t part; /**< bytes in one step, at least */
	int64_t *closed;
} endless_t;

static void
on_step(evutil_socket_t fd, short what, void *arg)
{
	endless_t *endless = arg;
	struct evbuffer *out = bufferevent_get_output(endless->bev);

	(void)fd;
	(void)what;
	if (evbuffer_get_length(out) > UNSENT_MAX)
		return;
	for (size_t len = 0; len < endless->part;
	     len += strlen(endless->filler))
		evbuffer_add(out, endless->filler, strlen(endless->filler));
}

static void
on_closed(struct evhttp_connection *conn, void *arg)
{
	endless_t *endless = arg;

	(void)conn;
	++*endless->closed;
	event_free(endless->timer);
	free(endless);
}

void
endless_start(struct event_base *base, struct evhttp_request *req,
    const char *where, bool slow, int64_t *closed)
{
	struct timeval pause = {0, (slow ? SLOW_MS : FAST_MS) * US_PER_MS};
	const char *id = standin_request_header(req, "Moortack-Attempt-Id");
	endless_t *endless = calloc(1, sizeof(*endless));
	size_t kind = 0;

	while (strcmp(kinds[kind].where, where) != 0)
		kind++;
	endless->bev = evhttp_connection_get_bufferevent(
	    evhttp_request_get_connection(req));
	endless->filler = kinds[kind].filler;
	endless->part = slow ? 1 : FAST_PART;
	endless->closed = closed;
	endless->timer = event_new(base, -1, EV_PERSIST, on_step, endless);
	standin_watch_close(req, on_closed, endless);
	evbuffer_add_printf(bufferevent_get_output(endless->bev),
	    kinds[kind].head, id != NULL ? id : "");
	bufferevent_enable(endless->bev, EV_WRITE);
	event_add(endless->timer, &pause);
}
