#include "moortack/replication/feed_server.h"

#include <stdlib.h>
#include <string.h>

#define IDENTITY_MAX 64
#define ZAP_ADDRESS "inproc://zeromq.zap.01"
#define FLUSH_US 100000
/* Changes that come together are told together. */
#define CHANGED_US 3000
/* Questions held at the same time; a fleet is far smaller. */
#define WAITING_MAX 4096

/** A question that is held. */
struct feed_waiting {
	uint8_t identity[IDENTITY_MAX]; /**< the way back */
	size_t identity_len;
	uint64_t number;
	feed_point_t asked_for;
	struct timespec asked;
	feed_waiting_t *next;
};

static bool
frame_send(feed_server_t *server, const void *data, size_t len, int flags)
{
	server->bytes += len;
	return zmq_send(
		   server->router.socket, data, len, ZMQ_DONTWAIT | flags) >= 0;
}

static void
answer_send(feed_server_t *server, const feed_waiting_t *waiting)
{
	feed_answer_t answer = {.number = waiting->number,
	    .source = server->incarnation,
	    .change = server->cache->change,
	    .lost = server->lost,
	    .leaving = server->leaving,
	    .held_ms = timespec_ms_between(
		waiting->asked, clock_boottime(server->clock))};
	const feed_bytes_t *rows = feed_bodies_for(&server->bodies,
	    server->cache, server->incarnation, &waiting->asked_for, &answer);
	char *text;

	server->ops->state(server->arg, &answer);
	text = feed_answer_text(&answer);
	feed_answer_clear(&answer);
	if (rows != NULL && text != NULL) {
		int more = rows->len > 0 ? ZMQ_SNDMORE : 0;

		server->answers++;
		if (frame_send(server, waiting->identity, waiting->identity_len,
			ZMQ_SNDMORE) &&
		    frame_send(server, text, strlen(text), more) && more != 0)
			frame_send(server, rows->data, rows->len, 0);
		peer_socket_sent(&server->router);
	}
	free(text);
}

/* Whether there is something to tell, or the question was held long enough. */
static bool
answer_due(const feed_server_t *server, const feed_waiting_t *waiting,
    struct timespec now)
{
	return server->leaving || server->refresh ||
	    waiting->asked_for.source != server->incarnation ||
	    waiting->asked_for.change < server->cache->change ||
	    timespec_ms_between(waiting->asked, now) >= server->hold_ms;
}

static void
waiting_flush(feed_server_t *server)
{
	struct timespec now = clock_boottime(server->clock);
	feed_waiting_t **at = &server->waiting;

	while (*at != NULL) {
		feed_waiting_t *waiting = *at;

		if (!answer_due(server, waiting, now)) {
			at = &waiting->next;
			continue;
		}
		answer_send(server, waiting);
		*at = waiting->next;
		server->waiting_len--;
		free(waiting);
	}
}

static void
flush_later(feed_server_t *server)
{
	struct timeval delay = {0, FLUSH_US};

	if (server->waiting != NULL)
		event_add(server->flush, &delay);
}

static void
on_flush(evutil_socket_t fd, short what, void *arg)
{
	feed_server_t *server = arg;

	(void)fd;
	(void)what;
	waiting_flush(server);
	server->refresh = false;
	flush_later(server);
}

void
feed_server_changed(feed_server_t *server)
{
	struct timeval delay = {0, CHANGED_US};

	if (server->flush != NULL && server->waiting != NULL)
		event_add(server->flush, &delay);
}

void
feed_server_set_lost(feed_server_t *server, bool lost, bool leaving)
{
	bool news = server->lost != lost || server->leaving != leaving;

	server->lost = lost;
	server->leaving = leaving;
	if (news)
		feed_server_refresh(server);
}

void
feed_server_refresh(feed_server_t *server)
{
	server->refresh = true;
	feed_server_changed(server);
}

/* One question of each asker is held: a new one replaces it. */
static void
waiting_drop(feed_server_t *server, const feed_waiting_t *same)
{
	for (feed_waiting_t **at = &server->waiting; *at != NULL;
	     at = &(*at)->next) {
		feed_waiting_t *old = *at;

		if (old->identity_len != same->identity_len ||
		    memcmp(old->identity, same->identity, old->identity_len) !=
			0)
			continue;
		*at = old->next;
		server->waiting_len--;
		free(old);
		return;
	}
}

static void
question_hold(feed_server_t *server, feed_waiting_t *waiting)
{
	waiting_drop(server, waiting);
	if (server->waiting_len >= WAITING_MAX) {
		free(waiting);
		return;
	}
	waiting->next = server->waiting;
	server->waiting = waiting;
	server->waiting_len++;
	if (answer_due(server, waiting, waiting->asked))
		feed_server_changed(server);
	else if (!event_pending(server->flush, EV_TIMEOUT, NULL))
		flush_later(server);
}

static void
question_take(feed_server_t *server, const zmq_msg_t *identity, zmq_msg_t *body)
{
	feed_question_t question;
	feed_waiting_t *waiting;
	size_t len = zmq_msg_size(identity);

	if (len > IDENTITY_MAX ||
	    !feed_question_read(
		zmq_msg_data(body), zmq_msg_size(body), &question))
		return;
	server->ops->heard(server->arg, &question);
	waiting = calloc(1, sizeof(*waiting));
	if (waiting != NULL) {
		memcpy(waiting->identity,
		    zmq_msg_data((zmq_msg_t *)(uintptr_t)identity), len);
		waiting->identity_len = len;
		waiting->number = question.number;
		waiting->asked_for = question.from;
		waiting->asked = clock_boottime(server->clock);
		question_hold(server, waiting);
	}
	feed_question_clear(&question);
}

static void
on_question(peer_socket_t *socket)
{
	feed_server_t *server = socket->owner;
	zmq_msg_t identity, body;
	bool more;

	if (!peer_frame_read(socket->socket, &identity, &more))
		return;
	if (more && peer_frame_read(socket->socket, &body, &more)) {
		question_take(server, &identity, &body);
		zmq_msg_close(&body);
	}
	zmq_msg_close(&identity);
	peer_frames_skip(socket->socket, more);
}

bool
feed_server_init(feed_server_t *server, struct event_base *base,
    const clock_source_t *clock, void *context, const peer_auth_t *auth,
    const char *address, const row_cache_t *cache, const feed_server_ops_t *ops,
    void *arg, uint64_t incarnation, int64_t hold_ms)
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
		peer_auth_drain, (void *)(uintptr_t)auth) ||
	    zmq_bind(server->zap.socket, ZAP_ADDRESS) != 0 ||
	    !peer_socket_open(&server->router, base, context, ZMQ_ROUTER,
		on_question, server))
		return false;
	peer_auth_set(auth, server->router.socket, true);
	return zmq_bind(server->router.socket, address) == 0;
}

void
feed_server_finish(feed_server_t *server)
{
	feed_waiting_t *next;

	for (feed_waiting_t *one = server->waiting; one != NULL; one = next) {
		next = one->next;
		free(one);
	}
	feed_bodies_finish(&server->bodies);
	peer_socket_close(&server->router);
	peer_socket_close(&server->zap);
	if (server->flush != NULL)
		event_free(server->flush);
	*server = (feed_server_t){0};
}
