#include "moortack/member/peers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <zmq.h>

#include "moortack/member/peer_links.h"

#define TICK_MS 20
#define ZAP_ADDRESS "inproc://zeromq.zap.01"

enum peers_message { PEERS_ASK, PEERS_ANSWER, PEERS_MEMBERS };

typedef struct outgoing outgoing_t;

/** A query without a response yet. */
typedef struct pending {
	uint64_t id;
	peer_query_options_t ask;
	struct timespec asked_at;
	outgoing_t *waiting; /**< not sent yet: the new connection is not
				established; or NULL */
	UT_hash_handle hh;
} pending_t;

/** A packed message posted to the task for sending. */
struct outgoing {
	peer_query_options_t ask;
	uint64_t id;
	uint8_t identity[PEER_IDENTITY_MAX];
	size_t identity_len;
	size_t len;
	uint8_t bytes[];
};

struct peers {
	process_context_t process;
	task_t task;
	void *context;
	peer_socket_t router;
	peer_socket_t zap;
	peer_links_t links;
	pending_t *pending;
	struct event *tick;
	peer_auth_t auth;
	struct {
		task_t *task;
		int kind;
	} routes[PEER_BODY_CASES];
};

void
peer_query_free(void *body)
{
	peer_query_t *question = body;

	wire__envelope__free_unpacked(question->envelope, NULL);
	free(question);
}

void
peer_response_free(void *body)
{
	peer_response_t *answer = body;

	if (answer->envelope != NULL)
		wire__envelope__free_unpacked(answer->envelope, NULL);
	free(answer);
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
answer_post(const pending_t *pending, Wire__Envelope *envelope)
{
	peer_response_t *answer = malloc(sizeof(*answer));

	if (answer == NULL) {
		if (envelope != NULL)
			wire__envelope__free_unpacked(envelope, NULL);
		return;
	}
	*answer = (peer_response_t){.tag = pending->ask.tag,
	    .from = pending->ask.to,
	    .queried_at = pending->asked_at,
	    .envelope = envelope};
	task_post(
	    pending->ask.task, pending->ask.kind, answer, peer_response_free);
}

static void
pending_end(peers_t *peers, pending_t *pending, Wire__Envelope *envelope)
{
	HASH_DEL(peers->pending, pending);
	answer_post(pending, envelope);
	free(pending->waiting);
	free(pending);
}

static void
link_drain(peer_socket_t *socket)
{
	peers_t *peers = socket->owner;
	Wire__Envelope *envelope = envelope_read(peers, socket->socket);
	pending_t *pending = NULL;

	if (envelope == NULL)
		return;
	if (envelope->answer)
		HASH_FIND(hh, peers->pending, &envelope->id,
		    sizeof(envelope->id), pending);
	if (pending == NULL || pending->ask.to != envelope->from) {
		counter_add(peers->process.counters, COUNTER_LATE_RESPONSES, 1);
		wire__envelope__free_unpacked(envelope, NULL);
		return;
	}
	pending_end(peers, pending, envelope);
}

static void
question_post(
    peers_t *peers, const zmq_msg_t *identity, Wire__Envelope *envelope)
{
	peer_query_t *question = calloc(1, sizeof(*question));
	size_t len = zmq_msg_size(identity);

	if (question == NULL || len > PEER_IDENTITY_MAX ||
	    envelope->body_case >= PEER_BODY_CASES ||
	    peers->routes[envelope->body_case].task == NULL ||
	    (envelope->to != 0 && envelope->to != peers->process.incarnation)) {
		free(question);
		wire__envelope__free_unpacked(envelope, NULL);
		return;
	}
	memcpy(question->identity, zmq_msg_data((zmq_msg_t *)identity), len);
	question->identity_len = len;
	question->envelope = envelope;
	task_post(peers->routes[envelope->body_case].task,
	    peers->routes[envelope->body_case].kind, question, peer_query_free);
}

static void
router_drain(peer_socket_t *socket)
{
	Wire__Envelope *envelope;
	zmq_msg_t identity;
	bool more;

	if (!peer_frame_read(socket->socket, &identity, &more))
		return;
	envelope = more ? envelope_read(socket->owner, socket->socket) : NULL;
	if (envelope != NULL)
		question_post(socket->owner, &identity, envelope);
	zmq_msg_close(&identity);
}

static bool
bytes_send(peers_t *peers, peer_socket_t *socket, const outgoing_t *out)
{
	bool sent =
	    zmq_send(socket->socket, out->bytes, out->len, ZMQ_DONTWAIT) >= 0;

	if (sent) {
		counter_add(peers->process.counters, COUNTER_PEER_SENT, 1);
		counter_add(
		    peers->process.counters, COUNTER_PEER_BYTES_SENT, out->len);
	}
	/* The send may have consumed the edge of the file descriptor for a
	 * message that arrived meanwhile. */
	event_active(socket->event, EV_READ, 0);
	return sent;
}

static bool
link_send(peers_t *peers, peer_link_t *link, const outgoing_t *out)
{
	bool sent = bytes_send(peers, &link->socket, out);

	link->established |= sent;
	return sent;
}

static outgoing_t *
outgoing_copy(const outgoing_t *out)
{
	outgoing_t *copy = malloc(sizeof(*copy) + out->len);

	if (copy != NULL)
		memcpy(copy, out, sizeof(*copy) + out->len);
	return copy;
}

/* Sends a query that waits for its new connection to be established. */
static void
waiting_send(peers_t *peers, pending_t *pending)
{
	peer_link_t *link = peer_links_get(&peers->links, pending->ask.to);

	if (link == NULL || !link_send(peers, link, pending->waiting))
		return;
	free(pending->waiting);
	pending->waiting = NULL;
}

static void
ask_send(peers_t *peers, const outgoing_t *out)
{
	peer_link_t *link = peer_links_get(&peers->links, out->ask.to);
	pending_t *pending;

	if (out->ask.task == NULL) {
		if (link != NULL)
			bytes_send(peers, &link->socket, out);
		return;
	}
	pending = calloc(1, sizeof(*pending));
	if (pending == NULL)
		return;
	*pending = (pending_t){.id = out->id,
	    .ask = out->ask,
	    .asked_at = clock_boottime(peers->process.clock)};
	HASH_ADD(hh, peers->pending, id, sizeof(pending->id), pending);
	if (link != NULL && link_send(peers, link, out))
		return;
	/* If an established connection was lost, the query fails at once. A new
	 * connection gets time to be established. */
	if (link != NULL && !link->established)
		pending->waiting = outgoing_copy(out);
	if (pending->waiting == NULL)
		pending_end(peers, pending, NULL);
}

static void
answer_send(peers_t *peers, const outgoing_t *out)
{
	zmq_send(peers->router.socket, out->identity, out->identity_len,
	    ZMQ_DONTWAIT | ZMQ_SNDMORE);
	bytes_send(peers, &peers->router, out);
}

static void
handle(void *state, task_msg_t *msg)
{
	peers_t *peers = state;

	switch ((enum peers_message)msg->kind) {
	case PEERS_ASK:
		ask_send(peers, msg->body);
		break;
	case PEERS_ANSWER:
		answer_send(peers, msg->body);
		break;
	case PEERS_MEMBERS:
		peer_links_members_set(&peers->links, msg->body);
		break;
	}
}

static void
tick(evutil_socket_t fd, short what, void *arg)
{
	peers_t *peers = arg;
	struct timespec now = clock_boottime(peers->process.clock);
	pending_t *pending, *next;

	(void)fd;
	(void)what;
	peer_links_evict(&peers->links);
	HASH_ITER(hh, peers->pending, pending, next)
	{
		if (timespec_ms_between(pending->asked_at, now) >=
		    pending->ask.timeout_ms)
			pending_end(peers, pending, NULL);
		else if (pending->waiting != NULL)
			waiting_send(peers, pending);
	}
}

static outgoing_t *
envelope_pack(peers_t *peers, Wire__Envelope *envelope)
{
	outgoing_t *out;
	size_t len;

	envelope->from = peers->process.incarnation;
	envelope->stamp = hlc_tick(&peers->process.timeline->hlc,
	    timespec_to_ms(clock_wall(peers->process.clock)));
	len = wire__envelope__get_packed_size(envelope);
	out = calloc(1, sizeof(*out) + len);
	if (out == NULL)
		return NULL;
	out->len = wire__envelope__pack(envelope, out->bytes);
	return out;
}

void
peers_query(
    peers_t *peers, const peer_query_options_t *ask, Wire__Envelope *envelope)
{
	outgoing_t *out;

	envelope->id = rng_u64(peers->process.rng);
	envelope->to = ask->to;
	out = envelope_pack(peers, envelope);
	if (out == NULL)
		return;
	out->ask = *ask;
	out->id = envelope->id;
	task_post(&peers->task, PEERS_ASK, out, NULL);
}

void
peers_send_message(peers_t *peers, uint64_t to, Wire__Envelope *envelope)
{
	const peer_query_options_t ask = {.to = to};

	peers_query(peers, &ask, envelope);
}

void
peers_respond(
    peers_t *peers, const peer_query_t *question, Wire__Envelope *envelope)
{
	outgoing_t *out;

	envelope->id = question->envelope->id;
	envelope->to = question->envelope->from;
	envelope->answer = true;
	out = envelope_pack(peers, envelope);
	if (out == NULL)
		return;
	memcpy(out->identity, question->identity, question->identity_len);
	out->identity_len = question->identity_len;
	task_post(&peers->task, PEERS_ANSWER, out, NULL);
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
	    zmq_bind(peers->zap.socket, ZAP_ADDRESS) != 0 ||
	    !peer_socket_open(&peers->router, peers->process.base,
		peers->context, ZMQ_ROUTER, router_drain, peers))
		return err_set(err, ERR_INTERNAL, "cannot open peer sockets");
	peer_auth_apply(&peers->auth, peers->router.socket, true);
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (zmq_bind(peers->router.socket, endpoint) != 0)
		return err_set(err, ERR_SETTING, "peer-listen %s: %s", address,
		    zmq_strerror(zmq_errno()));
	return true;
}

peers_t *
peers_new(const process_context_t *process, const char *address,
    const char *secret, err_t *err)
{
	static const struct timeval interval = {0, TICK_MS * 1000};
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
	    .on_message = link_drain,
	    .owner = peers,
	    .members = members_new()};
	snprintf(peers->links.own_host, sizeof(peers->links.own_host), "%.*s",
	    (int)strcspn(address, ":"), address);
	if (!task_init(&peers->task, process->base, handle, peers) ||
	    !peer_auth_init(&peers->auth, secret, err) ||
	    !sockets_open(peers, address, err)) {
		peers_free(peers);
		return NULL;
	}
	peers->tick = event_new(process->base, -1, EV_PERSIST, tick, peers);
	event_add(peers->tick, &interval);
	return peers;
}

void
peers_free(peers_t *peers)
{
	pending_t *pending, *next_pending;

	HASH_ITER(hh, peers->pending, pending, next_pending)
	{
		HASH_DEL(peers->pending, pending);
		free(pending->waiting);
		free(pending);
	}
	peer_links_finish(&peers->links);
	if (peers->tick != NULL)
		event_free(peers->tick);
	peer_socket_close(&peers->router);
	peer_socket_close(&peers->zap);
	task_finish(&peers->task);
	zmq_ctx_term(peers->context);
	free(peers);
}
