#include "relay_admission.h"

bool
relay_refuses_uncertain(const relay_t *relay)
{
	return relay->draining &&
	    timespec_ms_between(
		relay->certain_from, clock_boottime(relay->clock)) >= 0;
}

bool
relay_leaving_refuses(
    const relay_t *relay, const relay_route_t *route, int64_t limit_ms)
{
	static const request_duration_t unknown;
	const route_callers_t *callers;
	stop_input_t input;

	if (!relay->draining)
		return false;
	HASH_FIND_STR(relay->route_callers, route->name, callers);
	input =
	    (stop_input_t){.remaining_ms = timespec_ms_between(
			       clock_boottime(relay->clock), relay->stops_at),
		.limit_ms = limit_ms,
		.repeatable = route->kind == ROUTE_IDEMPOTENT ||
		    (route->kind == ROUTE_STREAM && route->resumable),
		.certain_only = relay_refuses_uncertain(relay)};
	return !request_duration_allows(
	    callers != NULL ? &callers->duration : &unknown, &input);
}

void
relay_drain(
    relay_t *relay, struct timespec certain_from, struct timespec stops_at)
{
	relay->draining = true;
	relay->certain_from = certain_from;
	relay->stops_at = stops_at;
	relay_admission_send_all(relay);
	http_inbound_drain(relay->server);
	if (relay->forward_server != NULL)
		http_inbound_drain(relay->forward_server);
}

void
relay_close_idle(relay_t *relay, double part)
{
	http_inbound_close_idle(relay->server, part);
	if (relay->forward_server != NULL)
		http_inbound_close_idle(relay->forward_server, part);
}

void
relay_stop_accepting(relay_t *relay)
{
	http_inbound_stop_accepting(relay->server);
	if (relay->forward_server != NULL)
		http_inbound_stop_accepting(relay->forward_server);
}

bool
relay_has_responses(const relay_t *relay)
{
	return relay->in_flight > 0 ||
	    http_inbound_has_responses(relay->server) ||
	    (relay->forward_server != NULL &&
		http_inbound_has_responses(relay->forward_server));
}

void
relay_refuse_unsent(relay_t *relay)
{
	relay_request_t *req, *next;

	for (req = relay->requests; req != NULL; req = next) {
		next = req->next;
		if (!req->may_have_run && !req->response_started &&
		    !req->failure_buffered)
			request_fail(req, ERR_DRAINING, "leaving");
	}
	http_inbound_flush(relay->server);
	if (relay->forward_server != NULL)
		http_inbound_flush(relay->forward_server);
}
