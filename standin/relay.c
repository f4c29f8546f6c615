/**
 * @file
 * A TCP relay, to cut one process off from another. The fault "target" sets
 * where it relays to; "cut" lists source IPs whose connections are dropped and
 * refused, "stall" those whose bytes are no longer passed on, either way;
 * "silent" makes the connections that are open now pass on nothing ever again,
 * without a reset, while new ones work.
 */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/http_call.h"
#include "common/http_server.h"
#include "standin/fake.h"

#define SIDES 2
#define IP_SIZE 46
#define RELAY_PORT_OFFSET 1

typedef struct pair {
	struct relay *relay;
	struct bufferevent *sides[SIDES]; /**< the caller's, the target's */
	char source[IP_SIZE];
	bool silent; /**< for good */
	struct pair *next;
} pair_t;

typedef struct relay {
	fake_t fake;
	struct evconnlistener *listener;
	http_address_t target;
	pair_t *pairs;
} relay_t;

static bool
listed(const relay_t *relay, const char *fault, const char *source)
{
	json_t *item;
	size_t i;

	json_array_foreach(
	    json_object_get(relay->fake.faults.all, fault), i, item)
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
	}
	free(pair);
}

static void
readable(struct bufferevent *bev, void *arg)
{
	pair_t *pair = arg;
	struct bufferevent *other =
	    pair->sides[0] == bev ? pair->sides[1] : pair->sides[0];

	if (pair->silent || listed(pair->relay, "stall", pair->source))
		evbuffer_drain(bufferevent_get_input(bev),
		    evbuffer_get_length(bufferevent_get_input(bev)));
	else
		bufferevent_write_buffer(other, bufferevent_get_input(bev));
}

static void
flushed(struct bufferevent *bev, void *arg)
{
	(void)bev;
	pair_free(arg);
}

/* What one side sent before it closed still goes to the other. */
static void
changed(struct bufferevent *bev, short what, void *arg)
{
	pair_t *pair = arg;
	struct bufferevent *other =
	    pair->sides[0] == bev ? pair->sides[1] : pair->sides[0];

	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
		return;
	if (evbuffer_get_length(bufferevent_get_output(other)) == 0) {
		pair_free(pair);
		return;
	}
	bufferevent_disable(bev, EV_READ);
	bufferevent_setcb(other, NULL, flushed, changed, pair);
}

static void
accepted(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *address, int len, void *arg)
{
	relay_t *relay = arg;
	struct sockaddr_in *from = (struct sockaddr_in *)address;
	pair_t *pair = calloc(1, sizeof(*pair));

	(void)listener;
	(void)len;
	inet_ntop(AF_INET, &from->sin_addr, pair->source, sizeof(pair->source));
	if (listed(relay, "cut", pair->source)) {
		free(pair);
		evutil_closesocket(fd);
		return;
	}
	pair->relay = relay;
	pair->next = relay->pairs;
	relay->pairs = pair;
	pair->sides[0] =
	    bufferevent_socket_new(relay->fake.base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->sides[1] =
	    bufferevent_socket_new(relay->fake.base, -1, BEV_OPT_CLOSE_ON_FREE);
	for (int i = 0; i < SIDES; i++) {
		bufferevent_setcb(
		    pair->sides[i], readable, NULL, changed, pair);
		bufferevent_enable(pair->sides[i], EV_READ | EV_WRITE);
	}
	bufferevent_socket_connect_hostname(pair->sides[1], NULL, AF_INET,
	    relay->target.host, relay->target.port);
}

/* The relayed port is the one after that of the control path. */
static void
relay_listen(relay_t *relay)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	http_address_t control;

	http_address_parse(relay->fake.listen, &control);
	address.sin_port = htons(control.port + RELAY_PORT_OFFSET);
	inet_pton(AF_INET, control.host, &address.sin_addr);
	relay->listener = evconnlistener_new_bind(relay->fake.base, accepted,
	    relay, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
	    (struct sockaddr *)&address, sizeof(address));
}

static void
cut_now(relay_t *relay)
{
	pair_t *pair = relay->pairs;

	while (pair != NULL) {
		pair_t *next = pair->next;

		if (listed(relay, "cut", pair->source))
			pair_free(pair);
		pair = next;
	}
}

static void
sample(fake_t *fake)
{
	cut_now((relay_t *)fake);
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
	if (relay->listener == NULL)
		relay_listen(relay);
}

static void
request(fake_t *fake, struct evhttp_request *req)
{
	(void)fake;
	http_answer_json(req, 404, json_object());
}

int
main(int argc, const char **argv)
{
	relay_t relay = {.fake = {.request = request,
			     .fault = fault,
			     .sample = sample,
			     .sample_ms = 10,
			     .name = "relay"}};

	return fake_main(&relay.fake, argc, argv);
}
