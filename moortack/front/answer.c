#include <inttypes.h>
#include <stdio.h>

#include "common/http_request.h"
#include "front_priv.h"

#define MS_PER_SEC 1000

static int64_t
retry_delay_ms(const front_t *front, const err_info_t *info)
{
	if (!info->retryable)
		return 0;
	return admission_retry_after_ms(&front->admission,
	    clock_boottime(front->process.clock),
	    rng_below(front->process.rng, UINT32_MAX));
}

json_t *
failure_json(front_t *front, const err_t *err, const char *execution,
    int64_t retry_after_ms)
{
	const err_info_t *info = err_info(err->code);

	counter_add_failure(front->process.counters, err->code);
	if (execution == NULL)
		execution =
		    info->execution == ERR_NOT_EXECUTED ? "not_run" : "unknown";
	return json_pack("{s:{s:s,s:s,s:s,s:b,s:I}}", "error", "type",
	    info->name, "message", err->detail, "ran", execution, "retry",
	    info->retryable, "retry_after_ms", (json_int_t)retry_after_ms);
}

void
failure_respond(front_t *front, http_request_t *req, const err_t *err,
    const char *execution, json_t *extra)
{
	const err_info_t *info = err_info(err->code);
	int64_t after_ms = retry_delay_ms(front, info);
	json_t *body = failure_json(front, err, execution, after_ms);
	char seconds[24];

	if (extra != NULL) {
		json_object_update(body, extra);
		json_decref(extra);
	}
	if (after_ms > 0) {
		snprintf(seconds, sizeof(seconds), "%" PRId64,
		    (after_ms + MS_PER_SEC - 1) / MS_PER_SEC);
		http_response_add_header(req, "Retry-After", seconds);
	}
	http_respond_json(req, info->http_status, body);
}
