/**
 * @file
 * Server of one page, for lookups and monitoring. Bodies of requests are
 * discarded, and a Host header is not needed.
 */
#ifndef COMMON_HTTP_PAGE_H
#define COMMON_HTTP_PAGE_H

#include "common/http_inbound.h"

/** Responds to a request of the page by http_inbound_respond().
 * @param query of the target, not decoded; "" if it has none */
typedef void (*http_page_handler_t)(
    void *arg, http_inbound_t *, const char *query);

typedef struct http_page {
	http_inbound_server_t *server; /**< NULL: it does not listen */
	const char *path;
	http_page_handler_t handler;
	void *arg;
} http_page_t;

/** Listen for requests of the page, whose path and handler are set. Its address
 * may not change afterwards.
 * @param budget of the process */
bool http_page_listen(http_page_t *, struct event_base *, inbound_budget_t *,
    const http_address_t *, uint32_t connections_max, err_t *);
void http_page_set_connections_max(http_page_t *, uint32_t);
void http_page_finish(http_page_t *);

#endif
