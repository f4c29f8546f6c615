/**
 * @file
 * A TCP relay that simulates network faults between two processes. The fault
 * "target" is the address to relay to; "cut" lists source IPs whose connections
 * are closed and refused, "stall" those whose bytes are discarded in both
 * directions; "silent" makes the connections that are open now discard all
 * further bytes without a reset, while new ones work; "reset" resets the open
 * ones; "delay_ms" delays bytes, and "one_way" discards those from the target.
 *
 * "lost" lists source IPs whose packets are dropped, so that new connections
 * hang, and open ones fall silent in both directions; "lost_one_way" the same
 * without the other direction; "refused" those whose new connections are reset,
 * while open ones work.
 */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <linux/filter.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/http_call.h"
#include "standin/fake.h"
#include "standin/http_server.h"

#define SIDES 2
#define IP_SIZE 46
/* Offset of the source address in an IPv4 header. */
#define IP_SOURCE_OFF 12
#define FILTER_SOURCES_MAX 64
#define RELAY_PORT_OFFSET 1
#define MS_PER_SEC 1000
#define US_PER_MS 1000

typedef struct pair {
	struct relay *relay;
	struct bufferevent *sides[SIDES];  /**< to the caller, to the target */
	struct event *delay_timers[SIDES]; /**< for bytes of each side */
	char source[IP_SIZE];
	bool silent;	   /**< discards all bytes until it is closed */
	bool ended[SIDES]; /**< closed, while the other side can't know it */
	struct pair *next;
} pair_t;

typedef struct relay {
	fake_t fake;
	struct evconnlistener *listener;
	http_address_t target;
	pair_t *pairs;
} relay_t;

static bool
source_listed(const relay_t *relay, const char *fault, const char *source)
{
	json_t *item;
	size_t i;

	json_array_foreach(
	    json_object_get(relay->fake.faults.latest, fault), i, item)
	{
		const char *ip = json_string_value(item);

		if (ip != NULL &&
		    (strcmp(ip, source) == 0 || strcmp(ip, "*") == 0))
			return true;
	}
	return false;
}

static void
pair_free(pair_t *pair)
{
	pair_t **at = &pair->relay->pairs;

	while (*at != pair)
		at = &(*at)->next;
	*at = pair->next;
	for (int i = 0; i < SIDES; i++) {
		if (pair->sides[i] != NULL)
			bufferevent_free(pair->sides[i]);
		if (pair->delay_timers[i] != NULL)
			event_free(pair->delay_timers[i]);
	}
	free(pair);
}

/* Whether bytes from this side are discarded. */
static bool
bytes_discarded(const pair_t *pair, int from)
{
	const json_t *faults = pair->relay->fake.faults.latest;

	return pair->silent ||
	    source_listed(pair->relay, "stall", pair->source) ||
	    source_listed(pair->relay, "lost", pair->source) ||
	    (from == 1 && json_is_true(json_object_get(faults, "one_way")));
}

static void
bytes_forward(pair_t *pair, int from)
{
	struct evbuffer *bytes = bufferevent_get_input(pair->sides[from]);

	if (bytes_discarded(pair, from))
		evbuffer_drain(bytes, evbuffer_get_length(bytes));
	else
		bufferevent_write_buffer(pair->sides[1 - from], bytes);
}

static void
delayed_from_caller(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	bytes_forward(arg, 0);
}

static void
delayed_from_target(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	bytes_forward(arg, 1);
}

static void
side_readable(struct bufferevent *bev, void *arg)
{
	pair_t *pair = arg;
	int from = pair->sides[1] == bev;
	json_int_t ms = json_integer_value(
	    json_object_get(pair->relay->fake.faults.latest, "delay_ms"));
	struct timeval delay = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	if (ms <= 0)
		bytes_forward(pair, from);
	else if (!event_pending(pair->delay_timers[from], EV_TIMEOUT, NULL))
		event_add(pair->delay_timers[from], &delay);
}

static void
side_flushed(struct bufferevent *bev, void *arg)
{
	(void)bev;
	pair_free(arg);
}

/* The end of a connection is lost with its bytes: the other side stays open
 * until it closes as well. */
static void
side_end_silently(pair_t *pair, int from)
{
	pair->ended[from] = true;
	if (pair->ended[1 - from]) {
		pair_free(pair);
		return;
	}
	bufferevent_disable(pair->sides[from], EV_READ | EV_WRITE);
	bufferevent_setcb(pair->sides[from], NULL, NULL, NULL, NULL);
}

/* Bytes that one side sent before it closed are still forwarded. */
static void
side_event(struct bufferevent *bev, short what, void *arg)
{
	pair_t *pair = arg;
	int from = pair->sides[1] == bev;
	struct bufferevent *other = pair->sides[1 - from];

	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
		return;
	if (pair->ended[1 - from] || bytes_discarded(pair, from)) {
		side_end_silently(pair, from);
		return;
	}
	if (evbuffer_get_length(bufferevent_get_output(other)) == 0) {
		pair_free(pair);
		return;
	}
	bufferevent_disable(bev, EV_READ);
	bufferevent_setcb(other, NULL, side_flushed, side_event, pair);
}

/* A filter that drops the packets of the sources in both lists. Connections
 * inherit that of the listening socket when they are accepted. */
static void
packet_filter_set(const json_t *faults, evutil_socket_t fd)
{
	static const char *const lists[] = {"lost", "lost_one_way"};
	struct sock_filter code[FILTER_SOURCES_MAX * 2 + 2];
	struct sock_fprog program = {.filter = code};

	/* The source address in the IP header. */
	code[program.len++] = (struct sock_filter)BPF_STMT(
	    BPF_LD | BPF_W | BPF_ABS, (uint32_t)(SKF_NET_OFF + IP_SOURCE_OFF));
	for (size_t list = 0; list < 2; list++) {
		json_t *item;
		size_t i;

		json_array_foreach(
		    json_object_get(faults, lists[list]), i, item)
		{
			struct in_addr ip;

			if (i >= FILTER_SOURCES_MAX / 2 ||
			    inet_pton(AF_INET, json_string_value(item), &ip) !=
				1)
				continue;
			code[program.len++] = (struct sock_filter)BPF_JUMP(
			    BPF_JMP | BPF_JEQ | BPF_K, ntohl(ip.s_addr), 0, 1);
			code[program.len++] =
			    (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, 0);
		}
	}
	code[program.len++] =
	    (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, UINT32_MAX);
	setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

static void
packet_filters_set(const relay_t *relay, const json_t *faults)
{
	if (relay->listener != NULL)
		packet_filter_set(
		    faults, evconnlistener_get_fd(relay->listener));
	for (const pair_t *pair = relay->pairs; pair != NULL; pair = pair->next)
		packet_filter_set(faults, bufferevent_getfd(pair->sides[0]));
}

static void
connection_reset(evutil_socket_t fd)
{
	static const struct linger at_once = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	evutil_closesocket(fd);
}

static void
connection_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *address, int len, void *arg)
{
	relay_t *relay = arg;
	struct sockaddr_in *from = (struct sockaddr_in *)address;
	pair_t *pair = calloc(1, sizeof(*pair));

	(void)listener;
	(void)len;
	inet_ntop(AF_INET, &from->sin_addr, pair->source, sizeof(pair->source));
	if (source_listed(relay, "cut", pair->source)) {
		free(pair);
		evutil_closesocket(fd);
		return;
	}
	if (source_listed(relay, "refused", pair->source)) {
		free(pair);
		connection_reset(fd);
		return;
	}
	pair->relay = relay;
	pair->next = relay->pairs;
	relay->pairs = pair;
	pair->sides[0] =
	    bufferevent_socket_new(relay->fake.base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->sides[1] =
	    bufferevent_socket_new(relay->fake.base, -1, BEV_OPT_CLOSE_ON_FREE);
	pair->delay_timers[0] =
	    event_new(relay->fake.base, -1, 0, delayed_from_caller, pair);
	pair->delay_timers[1] =
	    event_new(relay->fake.base, -1, 0, delayed_from_target, pair);
	for (int i = 0; i < SIDES; i++) {
		bufferevent_setcb(
		    pair->sides[i], side_readable, NULL, side_event, pair);
		bufferevent_enable(pair->sides[i], EV_READ | EV_WRITE);
	}
	bufferevent_socket_connect_hostname(pair->sides[1], NULL, AF_INET,
	    relay->target.host, relay->target.port);
}

/* The port that is relayed is the one after the port of /fault. */
static void
relay_listen(relay_t *relay)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	http_address_t control;

	http_address_parse(relay->fake.listen, &control);
	address.sin_port = htons(control.port + RELAY_PORT_OFFSET);
	inet_pton(AF_INET, control.host, &address.sin_addr);
	relay->listener = evconnlistener_new_bind(relay->fake.base,
	    connection_accept, relay, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
	    -1, (struct sockaddr *)&address, sizeof(address));
}

static void
cut_apply(relay_t *relay)
{
	pair_t *pair = relay->pairs;

	while (pair != NULL) {
		pair_t *next = pair->next;

		if (source_listed(relay, "cut", pair->source))
			pair_free(pair);
		pair = next;
	}
}

/* SO_LINGER with a time of 0 makes close() reset the connection. */
static void
connections_reset(relay_t *relay)
{
	static const struct linger at_once = {1, 0};
	pair_t *pair = relay->pairs;

	while (pair != NULL) {
		pair_t *next = pair->next;

		for (int i = 0; i < SIDES; i++)
			setsockopt(bufferevent_getfd(pair->sides[i]),
			    SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
		pair_free(pair);
		pair = next;
	}
}

static void
sample(fake_t *fake)
{
	cut_apply((relay_t *)fake);
}

static void
fault(fake_t *fake, const json_t *body)
{
	relay_t *relay = (relay_t *)fake;
	const char *target = json_string_value(json_object_get(body, "target"));

	if (target != NULL)
		http_address_parse(target, &relay->target);
	for (pair_t *pair = relay->pairs; pair != NULL; pair = pair->next)
		pair->silent |= json_is_true(json_object_get(body, "silent"));
	if (json_is_true(json_object_get(body, "reset")))
		connections_reset(relay);
	if (relay->listener == NULL)
		relay_listen(relay);
	packet_filters_set(relay, body);
}

static void
request(fake_t *fake, struct evhttp_request *req)
{
	(void)fake;
	standin_respond_json(req, 404, json_object());
}

int
main(int argc, const char **argv)
{
	relay_t relay = {.fake = {.handle_request = request,
			     .handle_fault = fault,
			     .sample = sample,
			     .sample_ms = 10,
			     .name = "relay"}};

	return fake_main(&relay.fake, argc, argv);
}
