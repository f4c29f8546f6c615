#include "moortack/member/peers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <zmq.h>

#include "moortack/member/peer_links.h"
#include "moortack/member/peer_listener.h"

#define TIMER_INTERVAL_MS 20
#define ZAP_ENDPOINT "inproc://zeromq.zap.01"

enum peers_message { PEERS_QUERY, PEERS_RESPOND, PEERS_MEMBERS };

typedef struct outgoing outgoing_t;

/** A query without a response yet. */
typedef struct pending {
	uint64_t id;
	peer_query_options_t options;
	struct timespec queried_at;
	outgoing_t *unsent; /**< not sent yet: the new connection is not
			       established; or NULL */
	UT_hash_handle hh;
} pending_t;

/** A packed message posted to the task for sending. */
struct outgoing {
	peer_query_options_t options;
	uint64_t id;
	uint8_t identity[PEER_IDENTITY_MAX];
	size_t identity_len;
	size_t len;
	uint8_t bytes[];
};

/* Connections that other daemons may open. */
#define CONNECTIONS_MAX 128

struct peers {
	process_context_t process;
	task_t task;
	void *context;
	peer_socket_t router;
	peer_listener_t listener;
	peer_socket_t zap;
	peer_links_t links;
	pending_t *pending;
	struct event *timer;
	peer_auth_t auth;
	struct {
		task_t *task;
		int kind;
	} routes[PEER_BODY_CASES];
};

void
peer_query_free(void *body)
{
	peer_query_t *query = body;

	wire__envelope__free_unpacked(query->envelope, NULL);
	free(query);
}

void
peer_response_free(void *body)
{
	peer_response_t *response = body;

	if (response->envelope != NULL)
		wire__envelope__free_unpacked(response->envelope, NULL);
	free(response);
}

static void
members_body_release(void *body)
{
	members_release(body);
}

static Wire__Envelope *
envelope_read(peers_t *peers, void *socket)
{
	Wire__Envelope *envelope;
	zmq_msg_t frame;
	bool more;

	if (!peer_frame_read(socket, &frame, &more))
		return NULL;
	peer_listener_on_message(&peers->listener, &frame);
	envelope = wire__envelope__unpack(
	    NULL, zmq_msg_size(&frame), zmq_msg_data(&frame));
	zmq_msg_close(&frame);
	peer_frames_skip(socket, more);
	if (envelope == NULL)
		return NULL;
	counter_add(peers->process.counters, COUNTER_PEER_RECEIVED, 1);
	hlc_receive(&peers->process.timeline->hlc, envelope->stamp,
	    timespec_to_ms(clock_wall(peers->process.clock)));
	return envelope;
}

static void
response_post(const pending_t *pending, Wire__Envelope *envelope)
{
	peer_response_t *response = malloc(sizeof(*response));

	if (response == NULL) {
		if (envelope != NULL)
			wire__envelope__free_unpacked(envelope, NULL);
		return;
	}
	*response = (peer_response_t){.tag = pending->options.tag,
	    .from = pending->options.to,
	    .queried_at = pending->queried_at,
	    .envelope = envelope};
	task_post(pending->options.task, pending->options.kind, response,
	    peer_response_free);
}

static void
pending_complete(peers_t *peers, pending_t *pending, Wire__Envelope *envelope)
{
	HASH_DEL(peers->pending, pending);
	response_post(pending, envelope);
	free(pending->unsent);
	free(pending);
}

static void
link_message_read(peer_socket_t *socket)
{
	peers_t *peers = socket->owner;
	Wire__Envelope *envelope = envelope_read(peers, socket->socket);
	pending_t *pending = NULL;

	if (envelope == NULL)
		return;
	if (envelope->answer)
		HASH_FIND(hh, peers->pending, &envelope->id,
		    sizeof(envelope->id), pending);
	if (pending == NULL || pending->options.to != envelope->from) {
		counter_add(peers->process.counters, COUNTER_LATE_RESPONSES, 1);
		wire__envelope__free_unpacked(envelope, NULL);
		return;
	}
	pending_complete(peers, pending, envelope);
}

static void
query_post(peers_t *peers, const zmq_msg_t *identity, Wire__Envelope *envelope)
{
	peer_query_t *query = calloc(1, sizeof(*query));
	size_t len = zmq_msg_size(identity);

	if (query == NULL || len > PEER_IDENTITY_MAX ||
	    envelope->body_case >= PEER_BODY_CASES ||
	    peers->routes[envelope->body_case].task == NULL ||
	    (envelope->to != 0 && envelope->to != peers->process.incarnation)) {
		free(query);
		wire__envelope__free_unpacked(envelope, NULL);
		return;
	}
	memcpy(query->identity, zmq_msg_data((zmq_msg_t *)identity), len);
	query->identity_len = len;
	query->envelope = envelope;
	task_post(peers->routes[envelope->body_case].task,
	    peers->routes[envelope->body_case].kind, query, peer_query_free);
}

static void
router_message_read(peer_socket_t *socket)
{
	Wire__Envelope *envelope;
	zmq_msg_t identity;
	bool more;

	if (!peer_frame_read(socket->socket, &identity, &more))
		return;
	envelope = more ? envelope_read(socket->owner, socket->socket) : NULL;
	if (envelope != NULL)
		query_post(socket->owner, &identity, envelope);
	zmq_msg_close(&identity);
}

static bool
message_send(peers_t *peers, peer_socket_t *socket, const outgoing_t *message)
{
	bool sent = zmq_send(socket->socket, message->bytes, message->len,
			ZMQ_DONTWAIT) >= 0;

	if (sent) {
		counter_add(peers->process.counters, COUNTER_PEER_SENT, 1);
		counter_add(peers->process.counters, COUNTER_PEER_BYTES_SENT,
		    message->len);
	}
	/* The send may have consumed the edge of the file descriptor for a
	 * message that arrived meanwhile. */
	event_active(socket->event, EV_READ, 0);
	return sent;
}

static bool
link_send(peers_t *peers, peer_link_t *link, const outgoing_t *message)
{
	bool sent = message_send(peers, &link->socket, message);

	link->established |= sent;
	return sent;
}

static outgoing_t *
outgoing_copy(const outgoing_t *message)
{
	outgoing_t *copy = malloc(sizeof(*copy) + message->len);

	if (copy != NULL)
		memcpy(copy, message, sizeof(*copy) + message->len);
	return copy;
}

/* Sends a query that waits for its new connection to be established. */
static void
unsent_retry(peers_t *peers, pending_t *pending)
{
	peer_link_t *link = peer_links_get(&peers->links, pending->options.to);

	if (link == NULL || !link_send(peers, link, pending->unsent))
		return;
	free(pending->unsent);
	pending->unsent = NULL;
}

static void
query_send(peers_t *peers, const outgoing_t *message)
{
	peer_link_t *link = peer_links_get(&peers->links, message->options.to);
	pending_t *pending;

	if (message->options.task == NULL) {
		if (link != NULL)
			message_send(peers, &link->socket, message);
		return;
	}
	pending = calloc(1, sizeof(*pending));
	if (pending == NULL)
		return;
	*pending = (pending_t){.id = message->id,
	    .options = message->options,
	    .queried_at = clock_boottime(peers->process.clock)};
	HASH_ADD(hh, peers->pending, id, sizeof(pending->id), pending);
	if (link != NULL && link_send(peers, link, message))
		return;
	/* If an established connection was lost, the query fails at once. A new
	 * connection gets time to be established. */
	if (link != NULL && !link->established)
		pending->unsent = outgoing_copy(message);
	if (pending->unsent == NULL)
		pending_complete(peers, pending, NULL);
}

static void
response_send(peers_t *peers, const outgoing_t *message)
{
	zmq_send(peers->router.socket, message->identity, message->identity_len,
	    ZMQ_DONTWAIT | ZMQ_SNDMORE);
	message_send(peers, &peers->router, message);
}

static void
message_handle(void *state, task_msg_t *msg)
{
	peers_t *peers = state;

	switch ((enum peers_message)msg->kind) {
	case PEERS_QUERY:
		query_send(peers, msg->body);
		break;
	case PEERS_RESPOND:
		response_send(peers, msg->body);
		break;
	case PEERS_MEMBERS:
		peer_links_members_set(&peers->links, msg->body);
		break;
	}
}

static void
timer_run(evutil_socket_t fd, short what, void *arg)
{
	peers_t *peers = arg;
	struct timespec now = clock_boottime(peers->process.clock);
	pending_t *pending, *next;

	(void)fd;
	(void)what;
	peer_links_evict(&peers->links);
	HASH_ITER(hh, peers->pending, pending, next)
	{
		if (timespec_ms_between(pending->queried_at, now) >=
		    pending->options.timeout_ms)
			pending_complete(peers, pending, NULL);
		else if (pending->unsent != NULL)
			unsent_retry(peers, pending);
	}
}

static outgoing_t *
envelope_pack(peers_t *peers, Wire__Envelope *envelope)
{
	outgoing_t *message;
	size_t len;

	envelope->from = peers->process.incarnation;
	envelope->stamp = hlc_tick(&peers->process.timeline->hlc,
	    timespec_to_ms(clock_wall(peers->process.clock)));
	len = wire__envelope__get_packed_size(envelope);
	message = calloc(1, sizeof(*message) + len);
	if (message == NULL)
		return NULL;
	message->len = wire__envelope__pack(envelope, message->bytes);
	return message;
}

void
peers_query(peers_t *peers, const peer_query_options_t *options,
    Wire__Envelope *envelope)
{
	outgoing_t *message;

	envelope->id = rng_u64(peers->process.rng);
	envelope->to = options->to;
	message = envelope_pack(peers, envelope);
	if (message == NULL)
		return;
	message->options = *options;
	message->id = envelope->id;
	task_post(&peers->task, PEERS_QUERY, message, NULL);
}

void
peers_send_message(peers_t *peers, uint64_t to, Wire__Envelope *envelope)
{
	const peer_query_options_t options = {.to = to};

	peers_query(peers, &options, envelope);
}

void
peers_respond(
    peers_t *peers, const peer_query_t *query, Wire__Envelope *envelope)
{
	outgoing_t *message;

	envelope->id = query->envelope->id;
	envelope->to = query->envelope->from;
	envelope->answer = true;
	message = envelope_pack(peers, envelope);
	if (message == NULL)
		return;
	memcpy(message->identity, query->identity, query->identity_len);
	message->identity_len = query->identity_len;
	task_post(&peers->task, PEERS_RESPOND, message, NULL);
}

void
peers_members_set(peers_t *peers, members_t *members)
{
	task_post(&peers->task, PEERS_MEMBERS, members_acquire(members),
	    members_body_release);
}

void
peers_handler_set(
    peers_t *peers, Wire__Envelope__BodyCase body, task_t *task, int kind)
{
	peers->routes[body].task = task;
	peers->routes[body].kind = kind;
}

static bool
sockets_open(peers_t *peers, const char *address, err_t *err)
{
	char endpoint[MEMBER_ADDRESS_SIZE + 8];

	if (!peer_socket_open(&peers->zap, peers->process.base, peers->context,
		ZMQ_REP, peer_auth_zap_handle, &peers->auth) ||
	    zmq_bind(peers->zap.socket, ZAP_ENDPOINT) != 0 ||
	    !peer_socket_open(&peers->router, peers->process.base,
		peers->context, ZMQ_ROUTER, router_message_read, peers))
		return err_set(err, ERR_INTERNAL, "cannot open peer sockets");
	peer_auth_apply(&peers->auth, peers->router.socket, true);
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (!peer_listener_bind(&peers->listener, peers->process.base,
		peers->context, peers->router.socket, endpoint,
		CONNECTIONS_MAX))
		return err_set(err, ERR_SETTING, "peer-listen %s: %s", address,
		    zmq_strerror(zmq_errno()));
	return true;
}

peers_t *
peers_new(const process_context_t *process, const char *address,
    const char *secret, err_t *err)
{
	static const struct timeval interval = {0, TIMER_INTERVAL_MS * 1000};
	peers_t *peers = calloc(1, sizeof(*peers));

	if (peers == NULL) {
		err_set(err, ERR_MEMORY, "out of memory");
		return NULL;
	}
	peers->process = *process;
	peers->context = zmq_ctx_new();
	peers->links = (peer_links_t){.base = process->base,
	    .clock = process->clock,
	    .context = peers->context,
	    .auth = &peers->auth,
	    .on_message = link_message_read,
	    .owner = peers,
	    .members = members_new()};
	snprintf(peers->links.own_host, sizeof(peers->links.own_host), "%.*s",
	    (int)strcspn(address, ":"), address);
	if (!task_init(&peers->task, process->base, message_handle, peers) ||
	    !peer_auth_init(&peers->auth, secret, err) ||
	    !sockets_open(peers, address, err)) {
		peers_free(peers);
		return NULL;
	}
	peers->timer =
	    event_new(process->base, -1, EV_PERSIST, timer_run, peers);
	event_add(peers->timer, &interval);
	return peers;
}

void
peers_free(peers_t *peers)
{
	pending_t *pending, *next_pending;

	HASH_ITER(hh, peers->pending, pending, next_pending)
	{
		HASH_DEL(peers->pending, pending);
		free(pending->unsent);
		free(pending);
	}
	peer_links_finish(&peers->links);
	peer_listener_finish(&peers->listener);
	if (peers->timer != NULL)
		event_free(peers->timer);
	peer_socket_close(&peers->router);
	peer_socket_close(&peers->zap);
	task_finish(&peers->task);
	zmq_ctx_term(peers->context);
	free(peers);
}
