#include <stdlib.h>

#include "moortack/relay/endpoint_set.h"

void
endpoint_drop_links(endpoint_t *endpoint)
{
	endpoint_link_t *next;

	for (endpoint_link_t *link = endpoint->idle; link != NULL;
	     link = next) {
		next = link->next;
		http_outbound_free(link->conn);
		free(link);
		endpoint->connections--;
	}
	endpoint->idle = NULL;
}

static void
link_forget(endpoint_t *endpoint, endpoint_link_t *link)
{
	for (endpoint_link_t **at = &endpoint->idle; *at != NULL;
	     at = &(*at)->next) {
		if (*at == link) {
			*at = link->next;
			break;
		}
	}
	free(link);
}

static void
link_close(endpoint_link_t *link, http_outbound_t *conn)
{
	endpoint_t *endpoint = link->endpoint;

	link_forget(endpoint, link);
	endpoint->connections--;
	http_outbound_free(conn);
}

static void
on_link_ended(void *arg, http_outbound_t *conn)
{
	endpoint_link_t *link = arg;

	link->endpoint->link_ended_at =
	    clock_boottime(link->endpoint->set->clock);
	link_close(link, conn);
}

http_outbound_t *
endpoint_take_link(endpoint_t *endpoint, int64_t max_ms)
{
	struct timespec now = clock_boottime(endpoint->set->clock);
	endpoint_link_t *link = endpoint->idle;
	http_outbound_t *conn;
	int64_t idle_ms;

	/* The newest stands first. */
	while (link != NULL) {
		endpoint_link_t *next = link->next;

		idle_ms = timespec_ms_between(link->idle_since, now);
		conn = link->conn;
		if (idle_ms < link->idle_max_ms && idle_ms < max_ms) {
			link_forget(endpoint, link);
			return conn;
		}
		if (idle_ms >= link->idle_max_ms)
			link_close(link, conn);
		link = next;
	}
	return NULL;
}

void
endpoint_keep_link(
    endpoint_t *endpoint, http_outbound_t *conn, int64_t idle_max_ms)
{
	endpoint_link_t *link =
	    endpoint->present ? calloc(1, sizeof(*link)) : NULL;

	if (link == NULL) {
		http_outbound_free(conn);
		endpoint->connections--;
		return;
	}
	link->endpoint = endpoint;
	link->conn = conn;
	link->idle_since = clock_boottime(endpoint->set->clock);
	link->idle_max_ms = idle_max_ms;
	link->next = endpoint->idle;
	endpoint->idle = link;
	http_outbound_set_idle(conn, on_link_ended, link);
}
