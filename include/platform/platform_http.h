/**
 * @file
 * The platform's HTTP servers: where callers connect to, whether this daemon
 * is ready, and its metrics.
 */
#ifndef PLATFORM_PLATFORM_HTTP_H
#define PLATFORM_PLATFORM_HTTP_H

#include <event2/http.h>

#include "moortack/relay/relay_node.h"
#include "platform/node_file.h"
#include "platform/store.h"

typedef struct platform_http {
	relay_node_t *node;
	const platform_store_t *store;
	int64_t resolve_ttl_ms; /**< how long callers may cache one */
	struct evhttp *resolve_server;
	struct evhttp *readiness_server;
	struct evhttp *metrics_server;
} platform_http_t;

bool platform_http_init(platform_http_t *, struct event_base *, relay_node_t *,
    const platform_store_t *, const node_file_t *, err_t *);
void platform_http_finish(platform_http_t *);

#endif
