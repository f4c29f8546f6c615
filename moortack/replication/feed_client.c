#include "moortack/replication/feed_client.h"

#include <stdlib.h>
#include <string.h>

#include "moortack/replication/feed_pack.h"

#define MS_PER_SEC 1000
#define US_PER_MS 1000
/* The other side holds a request for half a second at most. A response that
 * takes longer than this is slow, and what it would hold is requested
 * elsewhere. */
#define SLOW_MS 700
/* If a response takes this much longer, the other daemon is down or its process
 * is stopped. */
#define TIMEOUT_AFTER_SLOW_MS 600

static void
timer_start(feed_client_t *client, int64_t ms)
{
	struct timeval time = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	event_add(client->timer, &time);
}

static bool
request_send(feed_client_t *client)
{
	feed_request_t request = {.id = ++client->request_id};
	char *text;
	int sent;

	client->ops->prepare(client->arg, &request);
	text = feed_request_encode(&request);
	feed_request_clear(&request);
	if (text == NULL)
		return false;
	client->sent_at = clock_boottime(client->clock);
	sent =
	    zmq_send(client->dealer.socket, text, strlen(text), ZMQ_DONTWAIT);
	free(text);
	peer_socket_schedule_read(&client->dealer);
	client->slow = false;
	client->in_flight = true;
	timer_start(client, SLOW_MS);
	return sent >= 0;
}

void
feed_client_request_next(feed_client_t *client)
{
	if (client->dealer.socket != NULL && !client->in_flight)
		request_send(client);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	feed_client_t *client = arg;

	(void)fd;
	(void)what;
	if (client->slow) {
		client->ops->timeout(client->arg);
		return;
	}
	client->slow = true;
	timer_start(client, TIMEOUT_AFTER_SLOW_MS);
	client->ops->slow(client->arg);
}

/* @param rows packed; NULL if there are none */
static bool
response_decode(zmq_msg_t *head, zmq_msg_t *rows, feed_response_t *response)
{
	feed_bytes_t text = {0};
	bool valid;

	if (rows != NULL &&
	    !feed_unpack(zmq_msg_data(rows), zmq_msg_size(rows), &text))
		return false;
	valid = feed_response_decode(zmq_msg_data(head), zmq_msg_size(head),
	    text.data, text.len, response);
	free(text.data);
	return valid;
}

static void
response_receive(feed_client_t *client, zmq_msg_t *head, zmq_msg_t *rows)
{
	struct timespec sent_at = client->sent_at;
	feed_response_t response;
	work_turn_t turn = work_begin(client->meter);
	bool valid = response_decode(head, rows, &response);

	work_end(client->meter, WORK_ROWS_DECODE, &turn,
	    rows != NULL ? zmq_msg_size(rows) : 0);
	if (!valid)
		return;
	if (response.request_id == client->request_id && client->in_flight) {
		event_del(client->timer);
		client->in_flight = false;
		if (client->ops->response(client->arg, &response, sent_at))
			feed_client_request_next(client);
	}
	feed_response_clear(&response);
}

static void
on_response(peer_socket_t *socket)
{
	feed_client_t *client = socket->owner;
	zmq_msg_t head, rows;
	bool more, have_rows;

	if (!peer_frame_read(socket->socket, &head, &more))
		return;
	have_rows = more && peer_frame_read(socket->socket, &rows, &more);
	peer_frames_skip(socket->socket, more);
	response_receive(client, &head, have_rows ? &rows : NULL);
	zmq_msg_close(&head);
	if (have_rows)
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
	client->timer = event_new(base, -1, 0, on_timer, client);
	return client->timer != NULL;
}

void
feed_client_disconnect(feed_client_t *client)
{
	if (client->timer == NULL)
		return;
	event_del(client->timer);
	client->in_flight = false;
	if (client->dealer.socket != NULL)
		peer_socket_close(&client->dealer);
}

void
feed_client_finish(feed_client_t *client)
{
	if (client->timer == NULL)
		return;
	feed_client_disconnect(client);
	event_free(client->timer);
}

bool
feed_client_connect(feed_client_t *client, const char *address)
{
	int queue_at_once = 0;

	feed_client_disconnect(client);
	if (!peer_socket_open(&client->dealer, client->base, client->context,
		ZMQ_DEALER, on_response, client))
		return false;
	/* The first request is queued until the connection is established. */
	zmq_setsockopt(client->dealer.socket, ZMQ_IMMEDIATE, &queue_at_once,
	    sizeof(queue_at_once));
	peer_auth_apply(client->auth, client->dealer.socket, false);
	if (zmq_connect(client->dealer.socket, address) != 0) {
		feed_client_disconnect(client);
		return false;
	}
	request_send(client);
	return true;
}
