#include <stdlib.h>

#include "moortack/relay/endpoint_set.h"

http_outbound_t *
endpoint_connect(const endpoint_t *endpoint, struct event_base *base,
    int64_t connect_timeout_ms, int64_t silence_timeout_ms)
{
	const char *source = endpoint->set->source_address;

	return http_outbound_new(base, &endpoint->info.address,
	    source[0] != '\0' ? source : NULL, connect_timeout_ms,
	    silence_timeout_ms);
}

void
endpoint_close_idle(endpoint_t *endpoint)
{
	endpoint_connection_t *next;

	for (endpoint_connection_t *connection = endpoint->idle_connections;
	     connection != NULL; connection = next) {
		next = connection->next;
		http_outbound_free(connection->conn);
		free(connection);
		endpoint->connections--;
	}
	endpoint->idle_connections = NULL;
}

static void
connection_unlink(endpoint_t *endpoint, endpoint_connection_t *connection)
{
	for (endpoint_connection_t **at = &endpoint->idle_connections;
	     *at != NULL; at = &(*at)->next) {
		if (*at == connection) {
			*at = connection->next;
			break;
		}
	}
	free(connection);
}

static void
connection_close(endpoint_connection_t *connection, http_outbound_t *conn)
{
	endpoint_t *endpoint = connection->endpoint;

	connection_unlink(endpoint, connection);
	endpoint->connections--;
	http_outbound_free(conn);
}

static void
on_connection_closed(void *arg, http_outbound_t *conn)
{
	endpoint_connection_t *connection = arg;

	connection->endpoint->idle_closed_at =
	    clock_boottime(connection->endpoint->set->clock);
	connection_close(connection, conn);
}

http_outbound_t *
endpoint_take_connection(endpoint_t *endpoint, int64_t max_ms)
{
	struct timespec now = clock_boottime(endpoint->set->clock);
	endpoint_connection_t *connection = endpoint->idle_connections;
	http_outbound_t *conn;
	int64_t idle_ms;

	/* Most recently used first. */
	while (connection != NULL) {
		endpoint_connection_t *next = connection->next;

		idle_ms = timespec_ms_between(connection->idle_since, now);
		conn = connection->conn;
		if (idle_ms < connection->idle_max_ms && idle_ms < max_ms) {
			connection_unlink(endpoint, connection);
			return conn;
		}
		if (idle_ms >= connection->idle_max_ms)
			connection_close(connection, conn);
		connection = next;
	}
	return NULL;
}

void
endpoint_keep_connection(
    endpoint_t *endpoint, http_outbound_t *conn, int64_t idle_max_ms)
{
	endpoint_connection_t *connection =
	    endpoint->in_set ? calloc(1, sizeof(*connection)) : NULL;

	if (connection == NULL) {
		http_outbound_free(conn);
		endpoint->connections--;
		return;
	}
	connection->endpoint = endpoint;
	connection->conn = conn;
	connection->idle_since = clock_boottime(endpoint->set->clock);
	connection->idle_max_ms = idle_max_ms;
	connection->next = endpoint->idle_connections;
	endpoint->idle_connections = connection;
	http_outbound_set_idle(conn, on_connection_closed, connection);
}
