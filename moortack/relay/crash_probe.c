#include "moortack/relay/crash_probe.h"

#include <stdlib.h>

#define AGAIN_MS 100
#define TRIES_MAX 4
#define CONNECT_MS 300
#define SILENT_MS 1000
#define MS_PER_SEC 1000
#define US_PER_MS 1000

static void
probe_end(crash_probe_t *probe)
{
	crash_probe_t **at = probe->list;

	while (*at != probe)
		at = &(*at)->next;
	*at = probe->next;
	if (probe->conn != NULL)
		http_outbound_free(probe->conn);
	event_free(probe->timer);
	endpoint_release(probe->endpoint);
	free(probe);
}

static void
probe_wait(crash_probe_t *probe, int64_t ms)
{
	struct timeval delay = {ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};

	if (event_add(probe->timer, &delay) != 0)
		probe_end(probe);
}

static void
probe_told(crash_probe_t *probe, probe_result_t result)
{
	http_outbound_free(probe->conn);
	probe->conn = NULL;
	if (probe->done(probe->arg, probe->endpoint, result) &&
	    probe->tries < TRIES_MAX)
		probe_wait(probe, AGAIN_MS);
	else
		probe_end(probe);
}

/* Nothing is sent: that it listens is all. */
static bool
on_ready(void *arg)
{
	probe_told(arg, PROBE_LISTENS);
	return false;
}

static void
on_failed(void *arg, http_outbound_failure_t failure)
{
	probe_told(arg,
	    failure == HTTP_OUTBOUND_CONNECTION_REFUSED ? PROBE_REFUSED
							: PROBE_SILENT);
}

static const http_outbound_ops_t probe_ops = {
    .on_connected = on_ready, .on_failed = on_failed};

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	crash_probe_t *probe = arg;
	struct evbuffer *nothing = evbuffer_new();

	(void)fd;
	(void)what;
	probe->tries++;
	probe->conn = http_outbound_new(probe->base,
	    &probe->endpoint->facts.address, CONNECT_MS, SILENT_MS);
	if (probe->conn == NULL || nothing == NULL)
		probe_end(probe);
	else
		http_outbound_send(
		    probe->conn, &probe_ops, probe, nothing, NULL, false);
	if (nothing != NULL)
		evbuffer_free(nothing);
}

void
crash_probe_begin(crash_probe_t **list, struct event_base *base,
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
	probe_wait(probe, after_ms);
}

void
crash_probes_finish(crash_probe_t **list)
{
	while (*list != NULL)
		probe_end(*list);
}
