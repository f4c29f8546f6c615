#include "moortack/relay/crash_probe.h"

#include <stdlib.h>

#define RETRY_DELAY_MS 100
#define ATTEMPTS_MAX 4
#define CONNECT_TIMEOUT_MS 300
#define SILENCE_TIMEOUT_MS 1000
#define MS_PER_SEC 1000
#define US_PER_MS 1000

static void
probe_end(crash_probe_t *probe)
{
	crash_probe_t **link = probe->list;

	while (*link != probe)
		link = &(*link)->next;
	*link = probe->next;
	if (probe->conn != NULL)
		http_outbound_free(probe->conn);
	event_free(probe->timer);
	endpoint_release(probe->endpoint);
	free(probe);
}

static void
probe_set_timer(crash_probe_t *probe, int64_t ms)
{
	struct timeval delay = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	if (event_add(probe->timer, &delay) != 0)
		probe_end(probe);
}

static void
probe_complete(crash_probe_t *probe, probe_result_t result)
{
	http_outbound_free(probe->conn);
	probe->conn = NULL;
	if (probe->done(probe->arg, probe->endpoint, result) &&
	    probe->attempts < ATTEMPTS_MAX)
		probe_set_timer(probe, RETRY_DELAY_MS);
	else
		probe_end(probe);
}

/* An accepted connection is the result; nothing is sent. */
static bool
on_ready(void *arg)
{
	probe_complete(arg, PROBE_ACCEPTED);
	return false;
}

static void
on_failed(void *arg, http_outbound_failure_t failure)
{
	probe_complete(arg,
	    failure == HTTP_OUTBOUND_CONNECTION_REFUSED ? PROBE_REFUSED
							: PROBE_FAILED);
}

static const http_outbound_ops_t probe_ops = {
    .on_connected = on_ready, .on_failed = on_failed};

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	crash_probe_t *probe = arg;
	struct evbuffer *empty = evbuffer_new();

	(void)fd;
	(void)what;
	probe->attempts++;
	probe->conn = endpoint_connect(probe->endpoint, probe->base,
	    CONNECT_TIMEOUT_MS, SILENCE_TIMEOUT_MS);
	if (probe->conn == NULL || empty == NULL)
		probe_end(probe);
	else
		http_outbound_send(
		    probe->conn, &probe_ops, probe, empty, NULL, false);
	if (empty != NULL)
		evbuffer_free(empty);
}

void
crash_probe_schedule(crash_probe_t **list, struct event_base *base,
    endpoint_t *endpoint, int64_t after_ms,
    bool (*done)(void *, endpoint_t *, probe_result_t), void *arg)
{
	crash_probe_t *probe;

	for (probe = *list; probe != NULL; probe = probe->next) {
		if (probe->endpoint == endpoint)
			return;
	}
	probe = calloc(1, sizeof(*probe));
	if (probe == NULL)
		return;
	*probe = (crash_probe_t){.endpoint = endpoint_hold(endpoint),
	    .base = base,
	    .done = done,
	    .arg = arg,
	    .list = list,
	    .next = *list};
	*list = probe;
	probe->timer = event_new(base, -1, 0, on_timer, probe);
	if (probe->timer == NULL) {
		*list = probe->next;
		endpoint_release(endpoint);
		free(probe);
		return;
	}
	probe_set_timer(probe, after_ms);
}

void
crash_probes_finish(crash_probe_t **list)
{
	while (*list != NULL)
		probe_end(*list);
}
