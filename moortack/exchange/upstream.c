#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../front/front_priv.h"
#include "common/http_call.h"

#define IDLE_CONNECTIONS_MAX 256
#define MS_PER_SEC 1000
#define US_PER_MS 1000

static upstream_t *
upstream_new(front_t *front, const char *address)
{
	upstream_t *upstream = calloc(1, sizeof(*upstream));
	struct timeval timeout = {front->options->upstream_idle_ms / MS_PER_SEC,
	    front->options->upstream_idle_ms % MS_PER_SEC * US_PER_MS};
	http_address_t http;

	if (upstream == NULL || !http_address_parse(address, &http)) {
		free(upstream);
		return NULL;
	}
	snprintf(upstream->address, sizeof(upstream->address), "%s", address);
	upstream->conn = evhttp_connection_base_new(
	    front->process.base, NULL, http.host, http.port);
	if (upstream->conn == NULL ||
	    !http_guard_attach(&upstream->guard, upstream->conn, NULL, NULL)) {
		if (upstream->conn != NULL)
			evhttp_connection_free(upstream->conn);
		free(upstream);
		return NULL;
	}
	evhttp_connection_set_timeout_tv(upstream->conn, &timeout);
	return upstream;
}

upstream_t *
upstream_acquire(front_t *front, const char *address, bool fresh)
{
	upstream_t **at = &front->idle_upstreams;

	while (!fresh && *at != NULL) {
		upstream_t *upstream = *at;

		if (strcmp(upstream->address, address) == 0) {
			*at = upstream->next;
			front->idle_upstream_count--;
			return upstream;
		}
		at = &upstream->next;
	}
	return upstream_new(front, address);
}

void
upstream_release(front_t *front, upstream_t *upstream)
{
	if (front->idle_upstream_count >= IDLE_CONNECTIONS_MAX) {
		upstream_close(front, upstream);
		return;
	}
	upstream->next = front->idle_upstreams;
	front->idle_upstreams = upstream;
	front->idle_upstream_count++;
}

static void
connection_free(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	evhttp_connection_free(arg);
}

/* Frees the connection later from the event loop: libevent still uses it in its
 * callbacks, from which this may be called. */
void
upstream_close(front_t *front, upstream_t *upstream)
{
	static const struct timeval now = {0, 0};

	http_guard_detach(&upstream->guard, upstream->conn);
	event_base_once(front->process.base, -1, EV_TIMEOUT, connection_free,
	    upstream->conn, &now);
	free(upstream);
}

void
upstreams_free(front_t *front)
{
	while (front->idle_upstreams != NULL) {
		upstream_t *upstream = front->idle_upstreams;

		front->idle_upstreams = upstream->next;
		evhttp_connection_free(upstream->conn);
		free(upstream);
	}
}
