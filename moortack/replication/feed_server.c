#include "moortack/replication/feed_server.h"

#include <stdlib.h>
#include <string.h>

#define IDENTITY_MAX 64
#define ZAP_ADDRESS "inproc://zeromq.zap.01"
#define FLUSH_INTERVAL_US 100000
/* Changes that occur within this time are sent together. */
#define CHANGE_DELAY_US 3000
/* Limit of requests held at the same time; a fleet is far smaller. */
#define PENDING_MAX 4096

/** A request that is held. */
struct feed_pending {
	uint8_t identity[IDENTITY_MAX]; /**< ZeroMQ identity of the requester */
	size_t identity_len;
	uint64_t request_id;
	feed_position_t position;
	struct timespec received_at;
	feed_pending_t *next;
};

static void
pending_free(feed_pending_t *pending)
{
	feed_position_clear(&pending->position);
	free(pending);
}

static bool
frame_send(feed_server_t *server, const void *data, size_t len, int flags)
{
	server->bytes_sent += len;
	return zmq_send(
		   server->router.socket, data, len, ZMQ_DONTWAIT | flags) >= 0;
}

static void
response_send(feed_server_t *server, const feed_pending_t *pending)
{
	feed_response_t response = {.request_id = pending->request_id,
	    .incarnation = server->incarnation,
	    .change = server->cache->last_change,
	    .store_unavailable = server->store_unavailable,
	    .leaving = server->leaving,
	    .held_ms = timespec_ms_between(
		pending->received_at, clock_boottime(server->clock))};
	const feed_bytes_t *rows = feed_body_cache_get(&server->body_cache,
	    server->cache, server->incarnation, &pending->position, &response);
	char *text;

	server->ops->fill_state(server->arg, &response);
	text = feed_response_encode(&response);
	feed_response_clear(&response);
	if (rows != NULL && text != NULL) {
		int more = rows->len > 0 ? ZMQ_SNDMORE : 0;

		server->responses++;
		if (frame_send(server, pending->identity, pending->identity_len,
			ZMQ_SNDMORE) &&
		    frame_send(server, text, strlen(text), more) && more != 0)
			frame_send(server, rows->data, rows->len, 0);
		peer_socket_schedule_read(&server->router);
	}
	free(text);
}

/* Whether there is something to send, or the request was held long enough. */
static bool
response_due(const feed_server_t *server, const feed_pending_t *pending,
    struct timespec now)
{
	return server->leaving || server->respond_all ||
	    pending->position.incarnation != server->incarnation ||
	    pending->position.change < server->cache->last_change ||
	    timespec_ms_between(pending->received_at, now) >= server->hold_ms;
}

static void
pending_flush(feed_server_t *server)
{
	struct timespec now = clock_boottime(server->clock);
	feed_pending_t **at = &server->pending;
	work_turn_t turn = work_begin(server->meter);
	uint64_t responses = server->responses;

	while (*at != NULL) {
		feed_pending_t *pending = *at;

		if (!response_due(server, pending, now)) {
			at = &pending->next;
			continue;
		}
		response_send(server, pending);
		*at = pending->next;
		server->pending_len--;
		pending_free(pending);
	}
	if (server->responses != responses)
		work_end(server->meter, WORK_ROWS_SERVE, &turn,
		    server->responses - responses);
}

static void
flush_later(feed_server_t *server)
{
	struct timeval delay = {0, FLUSH_INTERVAL_US};

	if (server->pending != NULL)
		event_add(server->flush, &delay);
}

static void
on_flush(evutil_socket_t fd, short what, void *arg)
{
	feed_server_t *server = arg;

	(void)fd;
	(void)what;
	pending_flush(server);
	server->respond_all = false;
	flush_later(server);
}

void
feed_server_cache_changed(feed_server_t *server)
{
	struct timeval delay = {
	    0, server->paused ? FLUSH_INTERVAL_US : CHANGE_DELAY_US};

	if (server->flush != NULL && server->pending != NULL &&
	    !(server->paused && event_pending(server->flush, EV_TIMEOUT, NULL)))
		event_add(server->flush, &delay);
}

void
feed_server_pause(feed_server_t *server, bool paused)
{
	bool ended = server->paused && !paused;

	server->paused = paused;
	if (ended)
		feed_server_cache_changed(server);
}

void
feed_server_set_status(
    feed_server_t *server, bool store_unavailable, bool leaving)
{
	bool changed = server->store_unavailable != store_unavailable ||
	    server->leaving != leaving;

	server->store_unavailable = store_unavailable;
	server->leaving = leaving;
	if (changed)
		feed_server_respond_all(server);
}

void
feed_server_respond_all(feed_server_t *server)
{
	server->respond_all = true;
	feed_server_cache_changed(server);
}

/* Only the newest request of each requester is held: it replaces the one
 * before. */
static void
pending_remove(feed_server_t *server, const feed_pending_t *newer)
{
	for (feed_pending_t **at = &server->pending; *at != NULL;
	     at = &(*at)->next) {
		feed_pending_t *old = *at;

		if (old->identity_len != newer->identity_len ||
		    memcmp(old->identity, newer->identity, old->identity_len) !=
			0)
			continue;
		*at = old->next;
		server->pending_len--;
		pending_free(old);
		return;
	}
}

static void
request_hold(feed_server_t *server, feed_pending_t *pending)
{
	pending_remove(server, pending);
	if (server->pending_len >= PENDING_MAX) {
		pending_free(pending);
		return;
	}
	pending->next = server->pending;
	server->pending = pending;
	server->pending_len++;
	if (response_due(server, pending, pending->received_at))
		feed_server_cache_changed(server);
	else if (!event_pending(server->flush, EV_TIMEOUT, NULL))
		flush_later(server);
}

static void
request_receive(
    feed_server_t *server, const zmq_msg_t *identity, zmq_msg_t *body)
{
	feed_request_t request;
	feed_pending_t *pending;
	size_t len = zmq_msg_size(identity);

	if (len > IDENTITY_MAX ||
	    !feed_request_decode(
		zmq_msg_data(body), zmq_msg_size(body), &request))
		return;
	server->ops->request(server->arg, &request);
	pending = calloc(1, sizeof(*pending));
	if (pending != NULL) {
		memcpy(pending->identity,
		    zmq_msg_data((zmq_msg_t *)(uintptr_t)identity), len);
		pending->identity_len = len;
		pending->request_id = request.id;
		pending->position = request.position;
		request.position.summaries = NULL;
		pending->received_at = clock_boottime(server->clock);
		request_hold(server, pending);
	}
	feed_request_clear(&request);
}

static void
on_request(peer_socket_t *socket)
{
	feed_server_t *server = socket->owner;
	zmq_msg_t identity, body;
	bool more;

	if (!peer_frame_read(socket->socket, &identity, &more))
		return;
	if (more && peer_frame_read(socket->socket, &body, &more)) {
		peer_listener_on_message(&server->listener, &body);
		request_receive(server, &identity, &body);
		zmq_msg_close(&body);
	}
	zmq_msg_close(&identity);
	peer_frames_skip(socket->socket, more);
}

bool
feed_server_init(feed_server_t *server, struct event_base *base,
    const clock_source_t *clock, void *context, const peer_auth_t *auth,
    const char *address, const row_cache_t *cache, const feed_server_ops_t *ops,
    void *arg, uint64_t incarnation, int64_t hold_ms, uint32_t connections_max)
{
	*server = (feed_server_t){.clock = clock,
	    .cache = cache,
	    .ops = ops,
	    .arg = arg,
	    .incarnation = incarnation,
	    .hold_ms = hold_ms,
	    .context = context,
	    .auth = auth};
	server->flush = event_new(base, -1, 0, on_flush, server);
	if (server->flush == NULL ||
	    !peer_socket_open(&server->zap, base, context, ZMQ_REP,
		peer_auth_zap_handle, (void *)(uintptr_t)auth) ||
	    zmq_bind(server->zap.socket, ZAP_ADDRESS) != 0 ||
	    !peer_socket_open(
		&server->router, base, context, ZMQ_ROUTER, on_request, server))
		return false;
	peer_auth_apply(auth, server->router.socket, true);
	return peer_listener_bind(&server->listener, base, context,
	    server->router.socket, address, connections_max);
}

void
feed_server_finish(feed_server_t *server)
{
	feed_pending_t *next;

	for (feed_pending_t *pending = server->pending; pending != NULL;
	     pending = next) {
		next = pending->next;
		pending_free(pending);
	}
	feed_body_cache_finish(&server->body_cache);
	peer_listener_finish(&server->listener);
	peer_socket_close(&server->router);
	peer_socket_close(&server->zap);
	if (server->flush != NULL)
		event_free(server->flush);
	*server = (feed_server_t){0};
}
