/* Tells callers that read slowly from those that no longer read. */
#include "http_inbound_priv.h"

#include "common/socket_state.h"

/* A caller that reads nothing for this long is considered disconnected, unless
 * it may be idle or wait for its response for longer. */
#define WRITE_TIMEOUT_MS 15000
/* How often in that time the socket is asked whether the caller has read. */
#define WRITE_CHECKS 4
/* Bounds the time for which a caller that reads nothing is held. */
#define CALLER_WAIT_MAX_MS 60000

static int64_t
write_timeout_ms(const http_inbound_t *conn)
{
	const http_inbound_limits_t *limits = &conn->server->limits;
	int64_t ms = limits->write_timeout_ms > 0 ? limits->write_timeout_ms
						  : WRITE_TIMEOUT_MS;

	if (ms < limits->idle_timeout_ms)
		ms = limits->idle_timeout_ms;
	return ms < conn->caller_wait_ms ? conn->caller_wait_ms : ms;
}

int64_t
inbound_write_check_ms(const http_inbound_t *conn)
{
	return write_timeout_ms(conn) / WRITE_CHECKS;
}

size_t
inbound_queued_bytes(const http_inbound_t *conn)
{
	return socket_unacknowledged_bytes(bufferevent_getfd(conn->bev));
}

bool
inbound_caller_reads(http_inbound_t *conn, int64_t waited_ms)
{
	size_t queued = inbound_queued_bytes(conn);
	size_t read_bytes =
	    queued < conn->written_bytes ? conn->written_bytes - queued : 0;

	if (read_bytes > conn->read_bytes)
		conn->stalled_ms = 0;
	else
		conn->stalled_ms += waited_ms;
	conn->read_bytes = read_bytes;
	return conn->stalled_ms < write_timeout_ms(conn);
}

void
http_inbound_set_caller_wait(http_inbound_t *conn, int64_t ms)
{
	conn->caller_wait_ms =
	    ms < CALLER_WAIT_MAX_MS ? ms : CALLER_WAIT_MAX_MS;
}
