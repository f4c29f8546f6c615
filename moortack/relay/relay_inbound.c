/* The listeners for callers and for other daemons, and their limits. */
#include "relay_request.h"

/* Bytes that sending a request on adds to its head. */
#define FORWARD_HEAD_EXTRA 512

static void
on_request(void *arg, http_inbound_t *caller)
{
	relay_t *relay = arg;

	stats_add(&relay->stats, STAT_REQUESTS, 1);
	http_inbound_set_user_data(caller, NULL);
	relay_accept_request(relay, caller, NULL);
}

static void
on_forwarded_request(void *arg, http_inbound_t *caller)
{
	relay_t *relay = arg;
	forward_head_t head;
	err_code_t code =
	    relay_forward_check(relay, http_inbound_request(caller), &head);

	stats_add(&relay->stats, STAT_FORWARDS_ACCEPTED, 1);
	http_inbound_set_user_data(caller, NULL);
	if (code != ERR_NONE)
		relay_refuse_arrival(
		    relay, caller, "-", true, code, "forwarded");
	else
		relay_accept_request(relay, caller, &head);
}

static void
on_caller_disconnected(void *arg, http_inbound_t *caller)
{
	relay_t *relay = arg;
	relay_request_t *req = http_inbound_user_data(caller);

	if (req == NULL)
		return;
	stats_add(&relay->stats, STAT_CALLERS_GONE, 1);
	request_end(
	    req, "caller_gone", req->response_started ? "midway" : "waiting");
}

static void
on_drained(void *arg, http_inbound_t *caller)
{
	relay_request_t *req = http_inbound_user_data(caller);

	(void)arg;
	if (req != NULL)
		response_drained(req);
}

static void
bad_message_refuse(
    relay_t *relay, http_inbound_t *caller, const err_t *err, bool from_daemon)
{
	stats_add(&relay->stats, STAT_BAD_MESSAGES, 1);
	event_log_write(relay->log, "bad_message", "outcome=%s why=\"%s\"",
	    err_info(err->code)->name, err->detail);
	relay_refuse_message(relay, caller, from_daemon, err->code);
}

static void
on_bad_message(void *arg, http_inbound_t *caller, const err_t *err)
{
	bad_message_refuse(arg, caller, err, false);
}

static void
on_bad_forwarded_message(void *arg, http_inbound_t *caller, const err_t *err)
{
	bad_message_refuse(arg, caller, err, true);
}

static int64_t
caller_wait_ms(void *arg, const http_msg_t *msg)
{
	const relay_t *relay = arg;
	arrival_t arrival;

	return relay->caller_dialect->read(msg, &arrival, NULL)
	    ? arrival.deadline_ms
	    : 0;
}

static const http_inbound_ops_t inbound_ops = {
    .on_request = on_request,
    .on_closed = on_caller_disconnected,
    .on_drained = on_drained,
    .on_refused = on_bad_message,
    .caller_wait_ms = caller_wait_ms,
};

static const http_inbound_ops_t forward_inbound_ops = {
    .on_request = on_forwarded_request,
    .on_closed = on_caller_disconnected,
    .on_drained = on_drained,
    .on_refused = on_bad_forwarded_message,
    .caller_wait_ms = caller_wait_ms,
};

static size_t
inbound_bytes_max(const relay_t *relay)
{
	size_t max = relay->bounds.inbound_bytes_max;

	return max > 0 ? max : SIZE_MAX;
}

bool
relay_inbound_listen(relay_t *relay, const http_address_t *listen,
    const http_address_t *forward_listen, err_t *err)
{
	inbound_budget_t *budget = &relay->inbound_budget;

	inbound_budget_init(budget, inbound_bytes_max(relay));
	relay->shares = descriptor_shares(relay->bounds.descriptors_max);
	relay->server = http_inbound_listen(
	    relay->base, budget, listen, &inbound_ops, relay, err);
	if (relay->server == NULL)
		return false;
	relay->forward_port = forward_listen->port;
	if (relay->forward_port == 0)
		return true;
	relay->forward_server = http_inbound_listen(relay->base, budget,
	    forward_listen, &forward_inbound_ops, relay, err);
	return relay->forward_server != NULL;
}

/* Requests that are within the configuration's limits, but never find room. */
static void
short_memory_log(const relay_t *relay)
{
	size_t max = inbound_budget_request_max(&relay->inbound_budget);

	if (relay->config->body_max > max)
		event_log_write(relay->log, "memory_short",
		    "body_max=%zu largest_with_room=%zu",
		    (size_t)relay->config->body_max, max);
}

void
relay_inbound_limits_set(relay_t *relay)
{
	const relay_config_t *config = relay->config;
	http_inbound_limits_t limits = {.head_max = config->head_max,
	    .body_max = config->body_max,
	    .read_timeout_ms = config->read_timeout_ms,
	    .idle_timeout_ms = config->idle_timeout_ms};

	inbound_budget_set_max(
	    &relay->inbound_budget, inbound_bytes_max(relay));
	relay->shares = descriptor_shares(relay->bounds.descriptors_max);
	short_memory_log(relay);
	limits.connections_max = relay->shares.callers;
	http_inbound_set_limits(relay->server, &limits);
	if (relay->forward_server == NULL)
		return;
	limits.head_max += FORWARD_HEAD_EXTRA;
	limits.connections_max = relay->shares.daemons;
	http_inbound_set_limits(relay->forward_server, &limits);
}

void
relay_inbound_write_metrics(const relay_t *relay, struct evbuffer *out)
{
	http_inbound_write_metrics(
	    &relay->inbound_budget, "moortack_relay", out);
}
