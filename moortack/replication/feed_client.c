#include "moortack/replication/feed_client.h"

#include <stdlib.h>
#include <string.h>

#include "moortack/replication/feed_pack.h"

#define MS_PER_SEC 1000
#define US_PER_MS 1000
/* The other side holds a question for half a second at most; an answer that
 * takes longer than this is slow: what it would tell is asked for elsewhere. */
#define SLOW_MS 700
/* One that takes this much longer comes from a daemon that is gone, or stands
 * still. */
#define LATE_MS 600

static void
answer_wait(feed_client_t *client, int64_t ms)
{
	struct timeval time = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	event_add(client->timer, &time);
}

static bool
question_send(feed_client_t *client)
{
	feed_question_t question = {.number = ++client->number};
	char *text;
	int sent;

	client->ops->ask(client->arg, &question);
	text = feed_question_text(&question);
	feed_question_clear(&question);
	if (text == NULL)
		return false;
	client->asked = clock_boottime(client->clock);
	sent =
	    zmq_send(client->dealer.socket, text, strlen(text), ZMQ_DONTWAIT);
	free(text);
	peer_socket_sent(&client->dealer);
	client->slow = false;
	answer_wait(client, SLOW_MS);
	return sent >= 0;
}

static void
on_late(evutil_socket_t fd, short what, void *arg)
{
	feed_client_t *client = arg;

	(void)fd;
	(void)what;
	if (client->slow) {
		client->ops->lost(client->arg);
		return;
	}
	client->slow = true;
	answer_wait(client, LATE_MS);
	client->ops->slow(client->arg);
}

/* @param rows packed; NULL: none */
static bool
answer_read(zmq_msg_t *head, zmq_msg_t *rows, feed_answer_t *answer)
{
	feed_bytes_t text = {0};
	bool good;

	if (rows != NULL &&
	    !feed_unpack(zmq_msg_data(rows), zmq_msg_size(rows), &text))
		return false;
	good = feed_answer_read(zmq_msg_data(head), zmq_msg_size(head),
	    text.data, text.len, answer);
	free(text.data);
	return good;
}

static void
answer_take(feed_client_t *client, zmq_msg_t *head, zmq_msg_t *rows)
{
	struct timespec asked = client->asked;
	feed_answer_t answer;

	if (!answer_read(head, rows, &answer))
		return;
	if (answer.number == client->number) {
		event_del(client->timer);
		client->ops->answer(client->arg, &answer, asked);
		if (client->dealer.socket != NULL)
			question_send(client);
	}
	feed_answer_clear(&answer);
}

static void
on_answer(peer_socket_t *socket)
{
	feed_client_t *client = socket->owner;
	zmq_msg_t head, rows;
	bool more, has_rows;

	if (!peer_frame_read(socket->socket, &head, &more))
		return;
	has_rows = more && peer_frame_read(socket->socket, &rows, &more);
	peer_frames_skip(socket->socket, more);
	answer_take(client, &head, has_rows ? &rows : NULL);
	zmq_msg_close(&head);
	if (has_rows)
		zmq_msg_close(&rows);
}

bool
feed_client_init(feed_client_t *client, struct event_base *base,
    const clock_source_t *clock, void *context, const peer_auth_t *auth,
    const feed_client_ops_t *ops, void *arg)
{
	*client = (feed_client_t){.base = base,
	    .clock = clock,
	    .context = context,
	    .auth = auth,
	    .ops = ops,
	    .arg = arg};
	client->timer = event_new(base, -1, 0, on_late, client);
	return client->timer != NULL;
}

void
feed_client_stop(feed_client_t *client)
{
	if (client->timer == NULL)
		return;
	event_del(client->timer);
	if (client->dealer.socket != NULL)
		peer_socket_close(&client->dealer);
}

void
feed_client_finish(feed_client_t *client)
{
	if (client->timer == NULL)
		return;
	feed_client_stop(client);
	event_free(client->timer);
}

bool
feed_client_follow(feed_client_t *client, const char *address)
{
	int queue_at_once = 0;

	feed_client_stop(client);
	if (!peer_socket_open(&client->dealer, client->base, client->context,
		ZMQ_DEALER, on_answer, client))
		return false;
	/* The first question waits for the connection. */
	zmq_setsockopt(client->dealer.socket, ZMQ_IMMEDIATE, &queue_at_once,
	    sizeof(queue_at_once));
	peer_auth_set(client->auth, client->dealer.socket, false);
	if (zmq_connect(client->dealer.socket, address) != 0) {
		feed_client_stop(client);
		return false;
	}
	question_send(client);
	return true;
}
