/* Limits the time for which a connection waits for bytes of its caller. They
 * run from the moment at which the wait began, whatever the caller sends
 * meanwhile. */
#include "http_inbound_priv.h"

#define MS_PER_SEC 1000
#define US_PER_MS 1000

static void
on_wait_timeout(evutil_socket_t fd, short what, void *arg)
{
	http_inbound_t *conn = arg;

	(void)fd;
	(void)what;
	if (conn->state == INBOUND_LINGERING &&
	    inbound_queued_bytes(conn) > 0 &&
	    inbound_caller_reads(conn, INBOUND_LINGER_MS)) {
		conn->lingered = true;
		inbound_charge(conn);
		inbound_wait_start(conn, INBOUND_WAIT_CLOSE);
		return;
	}
	inbound_free(conn);
}

/* The caller no longer waits for a response to the request that it still sends.
 */
static void
on_body_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	inbound_free(arg);
}

void
inbound_wait_init(http_inbound_t *conn)
{
	event_assign(&conn->wait_timer, conn->server->base, -1, 0,
	    on_wait_timeout, conn);
	event_assign(&conn->body_timer, conn->server->base, -1, 0,
	    on_body_timeout, conn);
}

void
inbound_wait_finish(http_inbound_t *conn)
{
	event_del(&conn->wait_timer);
	event_del(&conn->body_timer);
}

static void
timer_start(struct event *timer, int64_t ms)
{
	struct timeval delay = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	event_add(timer, &delay);
}

void
inbound_wait_start(http_inbound_t *conn, inbound_wait_t wait)
{
	const http_inbound_limits_t *limits = &conn->server->limits;
	const int64_t ms[] = {
	    [INBOUND_WAIT_IDLE] = limits->idle_timeout_ms,
	    [INBOUND_WAIT_HEAD] = limits->read_timeout_ms,
	    [INBOUND_WAIT_BODY] = limits->read_timeout_ms,
	    [INBOUND_WAIT_CLOSE] = INBOUND_LINGER_MS,
	};

	conn->wait = wait;
	if (wait != INBOUND_WAIT_BODY)
		event_del(&conn->body_timer);
	if (wait == INBOUND_WAIT_NONE || ms[wait] <= 0)
		event_del(&conn->wait_timer);
	else
		timer_start(&conn->wait_timer, ms[wait]);
}

static inbound_wait_t
wait_current(const http_inbound_t *conn)
{
	/* The write timeout applies. */
	if (http_inbound_unsent_bytes(conn) > 0)
		return INBOUND_WAIT_NONE;
	if (conn->reader.in_message && conn->reader.head_complete)
		return INBOUND_WAIT_BODY;
	return inbound_request_started(conn) ? INBOUND_WAIT_HEAD
					     : INBOUND_WAIT_IDLE;
}

static void
body_timer_start(http_inbound_t *conn)
{
	const http_inbound_server_t *server = conn->server;
	int64_t ms = server->ops->caller_wait_ms != NULL
	    ? server->ops->caller_wait_ms(server->arg, &conn->reader.msg)
	    : 0;

	if (ms > 0)
		timer_start(&conn->body_timer, ms);
}

void
inbound_wait_update(http_inbound_t *conn)
{
	inbound_wait_t wait = wait_current(conn);

	if (wait == INBOUND_WAIT_BODY && conn->wait != INBOUND_WAIT_BODY)
		body_timer_start(conn);
	/* A body may take long, but no pause between its bytes may. */
	if (wait != conn->wait || wait == INBOUND_WAIT_BODY)
		inbound_wait_start(conn, wait);
}
