#include "reach_probe.h"

#include <stdlib.h>

#define PROBES_MAX 8
#define CONNECT_TIMEOUT_MS 300
#define SILENCE_TIMEOUT_MS 1000
/* A connection that is reset by something on the way is reset within a round
 * trip. */
#define SETTLE_MS 50
#define US_PER_MS 1000

struct reach_probe {
	relay_t *relay;
	endpoint_t *endpoint;
	http_outbound_t *conn;
	struct event *settle_timer; /**< runs once it is connected */
	struct timespec begun_at;
	reach_probe_t *next;
};

static void
probe_free(reach_probe_t *probe)
{
	reach_probe_t **link = &probe->relay->reach_probes;

	while (*link != probe)
		link = &(*link)->next;
	*link = probe->next;
	http_outbound_free(probe->conn);
	event_free(probe->settle_timer);
	endpoint_release(probe->endpoint);
	free(probe);
}

static void
probe_complete(reach_probe_t *probe, bool reached)
{
	relay_t *relay = probe->relay;
	endpoint_t *endpoint = endpoint_hold(probe->endpoint);
	struct timespec begun_at = probe->begun_at;

	probe_free(probe);
	if (reached)
		relay_quarantine_links_proved(&relay->quarantine, begun_at);
	relay_reach_probed(relay, endpoint, reached);
	endpoint_release(endpoint);
}

static void
on_settled(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	probe_complete(arg, true);
}

static bool
on_connected(void *arg)
{
	static const struct timeval settle = {0, SETTLE_MS * US_PER_MS};
	reach_probe_t *probe = arg;

	if (event_add(probe->settle_timer, &settle) != 0)
		probe_free(probe);
	return false;
}

static void
on_failed(void *arg, http_outbound_failure_t failure)
{
	(void)failure;
	probe_complete(arg, false);
}

/* Bytes without a request: what accepted the connection may not be the
 * endpoint. They count as a failure. */
static void
on_head(void *arg, const http_msg_t *msg)
{
	(void)msg;
	probe_complete(arg, false);
}

static const http_outbound_ops_t probe_ops = {
    .on_connected = on_connected, .on_head = on_head, .on_failed = on_failed};

static bool
probe_may_begin(const relay_t *relay, const endpoint_t *endpoint)
{
	size_t count = 0;

	for (const reach_probe_t *probe = relay->reach_probes; probe != NULL;
	     probe = probe->next) {
		if (probe->endpoint == endpoint)
			return false;
		count++;
	}
	return count < PROBES_MAX;
}

bool
reach_probe_begin(relay_t *relay, endpoint_t *endpoint)
{
	reach_probe_t *probe =
	    probe_may_begin(relay, endpoint) ? calloc(1, sizeof(*probe)) : NULL;
	struct evbuffer *empty = evbuffer_new();
	bool begun = false;

	if (probe == NULL || empty == NULL)
		goto out;
	probe->settle_timer = evtimer_new(relay->base, on_settled, probe);
	probe->conn = endpoint_connect(
	    endpoint, relay->base, CONNECT_TIMEOUT_MS, SILENCE_TIMEOUT_MS);
	if (probe->settle_timer == NULL || probe->conn == NULL) {
		if (probe->settle_timer != NULL)
			event_free(probe->settle_timer);
		if (probe->conn != NULL)
			http_outbound_free(probe->conn);
		goto out;
	}
	probe->relay = relay;
	probe->begun_at = clock_boottime(relay->clock);
	probe->endpoint = endpoint_hold(endpoint);
	probe->next = relay->reach_probes;
	relay->reach_probes = probe;
	http_outbound_send(probe->conn, &probe_ops, probe, empty, NULL, false);
	probe = NULL;
	begun = true;
out:
	free(probe);
	if (empty != NULL)
		evbuffer_free(empty);
	return begun;
}

void
reach_probes_finish(relay_t *relay)
{
	while (relay->reach_probes != NULL)
		probe_free(relay->reach_probes);
}
