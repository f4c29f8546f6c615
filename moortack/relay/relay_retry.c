#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "relay_admission.h"
#include "relay_warmup.h"

/* Attempts of a request that may fail to connect. */
#define CONNECTS_FAILED_MAX 4
/* The same once no endpoint could be reached for a while, so that callers are
 * not held for nothing. */
#define CONNECTS_FAILED_MAX_UNREACHABLE 2
#define UNREACHABLE_MS 1000
/* Parts of a prompt in a log line. */
#define PARTS_LOGGED_MAX 8
#define PARTS_LOGGED_SIZE (PARTS_LOGGED_MAX * 17 + 1)

static bool
err_is_lack_of_endpoints(err_code_t code)
{
	return code == ERR_NO_ENDPOINT || code == ERR_OVERLOAD ||
	    code == ERR_WARMING_UP || code == ERR_THROTTLED;
}

void
attempt_conclude(relay_request_t *req, err_code_t not_run_code, const char *why)
{
	if (req->failure_buffered && !req->response_started) {
		response_forward(req);
		return;
	}
	if (req->may_have_run)
		not_run_code = ERR_UNKNOWN_OUTCOME;
	else if (err_is_lack_of_endpoints(not_run_code) &&
	    req->tried_helpers_len == 0)
		req->retry_after_ms = relay_time_to_endpoint_ms(req);
	request_fail(req, not_run_code, why);
}

void
attempt_refuse(relay_request_t *req, err_code_t not_run_code, const char *why)
{
	if (!relay_reach_wait(req, not_run_code, why))
		attempt_conclude(req, not_run_code, why);
}

static uint32_t
connects_failed_max(const relay_request_t *req)
{
	return relay_reach_failing_ms(req) > UNREACHABLE_MS
	    ? CONNECTS_FAILED_MAX_UNREACHABLE
	    : CONNECTS_FAILED_MAX;
}

/* @param reached_endpoint an endpoint may have received the attempt */
static bool
may_retry(
    relay_request_t *req, attempt_outcome_t outcome, bool reached_endpoint)
{
	relay_t *relay = req->relay;

	if (!reached_endpoint && req->sends == 0)
		return req->connects_failed < connects_failed_max(req);
	if (req->sends >= request_sends_max(req) ||
	    req->connects_failed >= connects_failed_max(req))
		return false;
	if (req->may_have_run && !request_idempotent(req))
		return false;
	if (req->response_started && !req->has_last_event_id)
		return false;
	if (request_remaining_ms(req) < REQUEST_REMAINING_MIN_MS)
		return false;
	if (outcome == ATTEMPT_UNKNOWN && relay_suspect_forbids_retry(req)) {
		stats_add(&relay->stats, STAT_SUSPECTS_STOPPED, 1);
		return false;
	}
	if (!relay_retry_acquire(relay, req->service)) {
		stats_add(&relay->stats, STAT_REPEATS_DENIED, 1);
		return false;
	}
	stats_add(&relay->stats, STAT_REPEATS, 1);
	return true;
}

static void
outcome_record(relay_request_t *req, attempt_outcome_t outcome)
{
	endpoint_t *endpoint = req->attempt.endpoint;
	relay_stats_t *stats = &req->relay->stats;

	switch (outcome) {
	case ATTEMPT_NOT_SENT:
		req->connects_failed++;
		stats_add(stats, STAT_CONNECTS_FAILED, 1);
		relay_reach_failure(req);
		if (relay_reach_verdict(req) == REACH_OK)
			relay_warmup_connect_failed(req);
		if (!req->attempt.connection_refused) {
			endpoint_record_failure(endpoint);
			break;
		}
		endpoint_record_refused(endpoint);
		relay_attempt_connection_refused(req);
		break;
	case ATTEMPT_NOT_RUN:
		stats_add(stats, STAT_NOT_RUN, 1);
		if (req->attempt.response.wrong_endpoint)
			endpoint_record_superseded(endpoint);
		break;
	case ATTEMPT_UNKNOWN:
		stats_add(stats, STAT_BROKEN, 1);
		endpoint_record_failure(endpoint);
		relay_canary_defer_failure(req);
		if (!req->attempt.connection_lost)
			break;
		if (!req->attempt.reused && !req->attempt.head_received)
			relay_reach_failure(req);
		relay_attempt_connection_lost(req);
		break;
	case ATTEMPT_FAILED:
		relay_attempt_completed(req);
		relay_canary_failed(req);
		break;
	case ATTEMPT_ESCALATED:
		stats_add(stats, STAT_ESCALATED, 1);
		endpoint_record_success(endpoint);
		break;
	}
}

/* Write the digests of the prompt's shared parts as a list. */
static const char *
parts_format(relay_request_t *req, char text[PARTS_LOGGED_SIZE])
{
	size_t parts_len, len = 0;
	const uint64_t *parts = relay_request_parts(req, &parts_len);

	strcpy(text, "-");
	for (size_t i = 0; i < parts_len && i < PARTS_LOGGED_MAX; i++)
		len += (size_t)snprintf(text + len, PARTS_LOGGED_SIZE - len,
		    "%s%016" PRIx64, i > 0 ? "," : "", parts[i]);
	return text;
}

static void
over_log(relay_request_t *req, attempt_outcome_t outcome, const char *why)
{
	const attempt_t *attempt = &req->attempt;
	bool unknown = outcome == ATTEMPT_UNKNOWN;
	char parts[PARTS_LOGGED_SIZE];

	event_log_write(req->relay->log, "attempt_over",
	    "id=%s endpoint=%s why=%s defect=%s end=%d sends=%u kept=%d "
	    "begun=%d "
	    "last_event=%" PRId64 " model=%s confidence=%d running=%u "
	    "waiting=%u digest=%016" PRIx64 " parts=%s",
	    req->arrival.id, attempt->endpoint->info.id, why,
	    http_defect_name(attempt->defect), (int)outcome, req->sends,
	    attempt->reused, req->response_started, req->last_event_id,
	    attempt->model != NULL ? attempt->model : "-", req->confidence,
	    attempt->endpoint->load.running, attempt->endpoint->load.waiting,
	    unknown ? relay_request_digest(req) : 0,
	    unknown ? parts_format(req, parts) : "-");
}

static void
attempt_end(relay_request_t *req, attempt_outcome_t outcome, const char *why)
{
	const attempt_t *attempt = &req->attempt;

	if (attempt->forwarded) {
		relay_forward_record(req, outcome, why);
	} else {
		outcome_record(req, outcome);
		over_log(req, outcome, why);
		if (req->tried_endpoints_len < TRIED_ENDPOINTS_MAX &&
		    outcome != ATTEMPT_ESCALATED)
			req->tried_endpoints[req->tried_endpoints_len++] =
			    attempt->endpoint->hash;
	}
	if (outcome == ATTEMPT_NOT_RUN || outcome == ATTEMPT_FAILED)
		attempt_release(req);
	else
		attempt_cancel(req);
}

/* The refusal of the daemon that the request was sent on through is the answer,
 * unless another one can be asked. */
static err_code_t
refusal_of_helper(relay_request_t *req, attempt_outcome_t outcome)
{
	const attempt_t *attempt = &req->attempt;

	if (!attempt->forwarded || outcome != ATTEMPT_NOT_RUN)
		return ERR_OVERLOAD;
	req->retry_after_ms = attempt->forward_retry_after_ms;
	return attempt->forward_result.code;
}

void
attempt_retry_or_fail(
    relay_request_t *req, attempt_outcome_t outcome, const char *why)
{
	const attempt_t *attempt = &req->attempt;
	bool reached_endpoint = outcome != ATTEMPT_NOT_SENT &&
	    !(attempt->forwarded && outcome == ATTEMPT_NOT_RUN &&
		attempt->forward_result.sends == 0);
	err_code_t refusal = refusal_of_helper(req, outcome);
	bool final = refusal != ERR_OVERLOAD && !err_info(refusal)->retryable;

	relay_admission_attempt_over(req, outcome);
	attempt_end(req, outcome, why);
	event_scan_reset(&req->scan);
	req->failure_buffered |= outcome == ATTEMPT_FAILED;
	if (!final && may_retry(req, outcome, reached_endpoint)) {
		if (req->response_started)
			stats_add(&req->relay->stats, STAT_RESUMED, 1);
		else if (outcome != ATTEMPT_ESCALATED)
			relay_model_reconsider(req);
		attempt_begin(req);
		return;
	}
	attempt_refuse(req, refusal, why);
}

void
attempt_succeeded(relay_request_t *req)
{
	if (req->attempt.forwarded) {
		stats_add(&req->relay->stats, STAT_FORWARDS_SERVED, 1);
		return;
	}
	endpoint_record_success(req->attempt.endpoint);
	relay_attempt_completed(req);
	if (status_is_success(req->status) && relay_end_shows_life(req))
		relay_parts_answered(req);
	relay_canary_completed(req);
}
