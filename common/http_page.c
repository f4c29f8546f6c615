#include "common/http_page.h"

#include <string.h>

#define HEAD_MAX 65536
#define BODY_MAX 4194304
#define READ_TIMEOUT_MS 10000
#define IDLE_TIMEOUT_MS 60000
/* Bounds the time for a whole request. */
#define REQUEST_MS 60000
#define STATUS_NOT_FOUND 404

static void
on_request(void *arg, http_inbound_t *caller)
{
	const http_page_t *page = arg;
	const char *target = http_inbound_request(caller)->target;
	size_t len = strlen(page->path);

	if (strncmp(target, page->path, len) != 0 ||
	    (target[len] != '\0' && target[len] != '?'))
		http_inbound_respond(caller, STATUS_NOT_FOUND, NULL, NULL);
	else
		page->handler(page->arg, caller,
		    target[len] == '?' ? target + len + 1 : "");
}

static void
on_closed(void *arg, http_inbound_t *caller)
{
	(void)arg;
	(void)caller;
}

static void
on_refused(void *arg, http_inbound_t *caller, const err_t *err)
{
	(void)arg;
	http_inbound_respond(
	    caller, err_info(err->code)->http_status, NULL, NULL);
}

static int64_t
request_ms(void *arg, const http_msg_t *msg)
{
	(void)arg;
	(void)msg;
	return REQUEST_MS;
}

static const http_inbound_ops_t page_ops = {
    .on_request = on_request,
    .on_closed = on_closed,
    .on_drained = on_closed,
    .on_refused = on_refused,
    .caller_wait_ms = request_ms,
    .host_optional = true,
    .bodies_discarded = true,
};

bool
http_page_listen(http_page_t *page, struct event_base *base,
    inbound_budget_t *budget, const http_address_t *address,
    uint32_t connections_max, err_t *err)
{
	page->server =
	    http_inbound_listen(base, budget, address, &page_ops, page, err);
	if (page->server == NULL)
		return false;
	http_page_set_connections_max(page, connections_max);
	return true;
}

void
http_page_set_connections_max(http_page_t *page, uint32_t connections_max)
{
	const http_inbound_limits_t limits = {.head_max = HEAD_MAX,
	    .body_max = BODY_MAX,
	    .read_timeout_ms = READ_TIMEOUT_MS,
	    .idle_timeout_ms = IDLE_TIMEOUT_MS,
	    .connections_max = connections_max};

	if (page->server != NULL)
		http_inbound_set_limits(page->server, &limits);
}

void
http_page_finish(http_page_t *page)
{
	if (page->server != NULL)
		http_inbound_server_free(page->server);
	page->server = NULL;
}
