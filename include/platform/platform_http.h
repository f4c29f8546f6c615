/**
 * @file
 * The platform's HTTP servers: where callers connect to, whether this daemon
 * is ready, and its metrics.
 */
#ifndef PLATFORM_PLATFORM_HTTP_H
#define PLATFORM_PLATFORM_HTTP_H

#include "common/http_page.h"
#include "moortack/relay/relay_node.h"
#include "platform/node_file.h"
#include "platform/store.h"

typedef struct platform_http {
	relay_node_t *node;
	const platform_store_t *store;
	int64_t resolve_ttl_ms; /**< how long callers may cache one */
	http_page_t resolve_page;
	http_page_t readiness_page;
	http_page_t metrics_page;
} platform_http_t;

bool platform_http_init(platform_http_t *, struct event_base *, relay_node_t *,
    const platform_store_t *, const node_file_t *, err_t *);
/** Apply the limits of connections that the node has now. */
void platform_http_limits_set(platform_http_t *);
void platform_http_finish(platform_http_t *);

#endif
