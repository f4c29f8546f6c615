#include <inttypes.h>
#include <stdio.h>

#include "relay_request.h"

#define MS_PER_SEC 1000
/* Retry-After, with jitter: longer if the store has to be available again
 * first. Small against the objectives, so that a second try can meet them. */
#define RETRY_AFTER_MS 60
#define RETRY_AFTER_STORE_MS 600
#define RETRY_AFTER_JITTER_MS 120
#define ERROR_HEAD_SIZE 256

static int64_t
retry_after_ms(relay_t *relay, err_code_t code)
{
	int64_t ms = code == ERR_CONFIG_STALE || code == ERR_NOT_READY
	    ? RETRY_AFTER_STORE_MS
	    : RETRY_AFTER_MS;

	return ms + rng_below(relay->rng, RETRY_AFTER_JITTER_MS);
}

static int64_t
request_retry_after_ms(const relay_request_t *req, err_code_t code)
{
	if (req->retry_after_final)
		return req->retry_after_ms;
	if (req->retry_after_ms > RETRY_AFTER_MS)
		return req->retry_after_ms +
		    rng_below(req->relay->rng, RETRY_AFTER_JITTER_MS);
	return retry_after_ms(req->relay, code);
}

/* Send an error response, with Retry-After if a retry may succeed.
 * @param result line for the daemon that sent the request on; "": none */
static void
error_send(relay_t *relay, http_inbound_t *caller, err_code_t code, int64_t ms,
    const char *result)
{
	const err_info_t *info = err_info(code);
	struct evbuffer *body = evbuffer_new();
	char head[ERROR_HEAD_SIZE];
	int len;

	relay->stats.failures[code]++;
	len = snprintf(
	    head, sizeof(head), "Content-Type: application/json\r\n%s", result);
	if (info->retryable)
		snprintf(head + len, sizeof(head) - (size_t)len,
		    "Retry-After: %" PRId64 ".%03" PRId64 "\r\n",
		    ms / MS_PER_SEC, ms % MS_PER_SEC);
	if (body != NULL)
		evbuffer_add_printf(body, "{\"error\":\"%s\"}\n", info->name);
	http_inbound_respond(caller, info->http_status, head, body);
	if (body != NULL)
		evbuffer_free(body);
}

void
request_fail(relay_request_t *req, err_code_t code, const char *why)
{
	relay_t *relay = req->relay;
	http_inbound_t *caller = req->caller;
	int64_t ms = request_retry_after_ms(req, code);
	char result[FORWARD_LINE_SIZE];

	relay_forward_result_line(req->from_daemon, code, req->sends, result);
	if (code == ERR_QUARANTINED)
		ms += quarantine_remaining_ms(
		    &relay->quarantine.table, req->quarantined_cause);
	attempt_cancel(req);
	if (req->response_started) {
		stats_add(&relay->stats, STAT_STREAMS_CUT, 1);
		request_end(req, "cut", why);
		http_inbound_abort(caller);
		return;
	}
	req->status = err_info(code)->http_status;
	stats_add(&relay->stats,
	    err_info(code)->execution == ERR_NOT_EXECUTED ? STAT_REFUSED
							  : STAT_FAILED,
	    1);
	request_end(req, err_info(code)->name, why);
	error_send(relay, caller, code, ms, result);
}

void
relay_refuse_arrival(relay_t *relay, http_inbound_t *caller, const char *id,
    bool from_daemon, err_code_t code, const char *why)
{
	char result[FORWARD_LINE_SIZE];

	relay_forward_result_line(from_daemon, code, 0, result);
	stats_add(&relay->stats, STAT_REFUSED, 1);
	stats_count_outcome(&relay->stats, err_info(code)->name, why, false);
	event_log_write(relay->log, "refuse",
	    "id=%s outcome=%s why=%s config=%" PRIu64 " config_age_ms=%" PRId64
	    " under_way=%u",
	    id, err_info(code)->name, why,
	    relay->config != NULL ? relay->config->version : 0,
	    relay_config_age_ms(relay), relay->in_flight);
	error_send(relay, caller, code, retry_after_ms(relay, code), result);
}

void
relay_refuse_message(
    relay_t *relay, http_inbound_t *caller, bool from_daemon, err_code_t code)
{
	char result[FORWARD_LINE_SIZE];

	relay_forward_result_line(from_daemon, code, 0, result);
	http_inbound_set_user_data(caller, NULL);
	stats_count_outcome(
	    &relay->stats, err_info(code)->name, "bad_message", false);
	error_send(relay, caller, code, retry_after_ms(relay, code), result);
}
