#include "relay_quarantine_priv.h"
#include "relay_request.h"

/* Delay of the probe that tells whether the endpoint ended a response, or its
 * process has ended: a process that ends closes its connections and its
 * listening socket within a few ms of each other. */
#define END_PROBE_DELAY_MS 5

bool
relay_end_is_uncertain(const relay_request_t *req)
{
	const attempt_t *attempt = &req->attempt;

	/* An endpoint that leaves may end once it has responded. */
	return !attempt->forwarded &&
	    http_outbound_ended_by_close(attempt->conn) &&
	    attempt->endpoint->in_set &&
	    !endpoint_is_leaving(attempt->endpoint);
}

bool
relay_end_shows_life(const relay_request_t *req)
{
	return req->attempt.end_confirmed ||
	    !http_outbound_ended_by_close(req->attempt.conn);
}

void
relay_end_confirm(relay_request_t *req)
{
	req->attempt.end_uncertain = true;
	quarantine_probe(
	    &req->relay->quarantine, req->attempt.endpoint, END_PROBE_DELAY_MS);
}

void
relay_ends_resolve(
    relay_t *relay, const endpoint_t *endpoint, probe_result_t result)
{
	relay_request_t *req, *next;

	for (req = relay->requests; req != NULL; req = next) {
		next = req->next;
		if (!req->attempt.end_uncertain ||
		    req->attempt.endpoint != endpoint)
			continue;
		req->attempt.end_uncertain = false;
		req->attempt.end_confirmed = result == PROBE_ACCEPTED;
		if (result == PROBE_REFUSED) {
			req->attempt.connection_lost = true;
			attempt_retry_or_fail(
			    req, ATTEMPT_UNKNOWN, "ended_by_crash");
		} else {
			response_end(req);
		}
	}
}
