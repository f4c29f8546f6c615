#include "common/err.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Indexed by err_code_t. The names are part of the API. */
static const err_info_t infos[ERR_CODE_COUNT] = {
    {ERR_NONE, "none", 200, ERR_NOT_EXECUTED, false},
    {ERR_AUTHENTICATION, "authentication", 401, ERR_NOT_EXECUTED, false},
    {ERR_BAD_REQUEST, "bad_request", 400, ERR_NOT_EXECUTED, false},
    {ERR_BODY_TOO_LARGE, "body_too_large", 413, ERR_NOT_EXECUTED, false},
    {ERR_CONFIG_STALE, "config_stale", 503, ERR_NOT_EXECUTED, true},
    {ERR_CONFLICT, "conflict", 409, ERR_NOT_EXECUTED, false},
    {ERR_DEADLINE, "deadline", 504, ERR_NOT_EXECUTED, false},
    {ERR_DRAINING, "draining", 503, ERR_NOT_EXECUTED, true},
    {ERR_ENDPOINT_FAILED, "endpoint_failed", 502, ERR_MAYBE_EXECUTED, false},
    {ERR_FORBIDDEN, "forbidden", 403, ERR_NOT_EXECUTED, false},
    {ERR_HEAD_TOO_LARGE, "head_too_large", 431, ERR_NOT_EXECUTED, false},
    {ERR_INTERNAL, "internal", 500, ERR_MAYBE_EXECUTED, false},
    {ERR_RATE_LIMIT, "limit", 429, ERR_NOT_EXECUTED, true},
    {ERR_MEMORY, "memory", 503, ERR_NOT_EXECUTED, true},
    {ERR_BAD_NAME, "bad_name", 400, ERR_NOT_EXECUTED, false},
    {ERR_NO_ENDPOINT, "no_endpoint", 503, ERR_NOT_EXECUTED, true},
    {ERR_NOT_ALLOWED, "not_allowed", 403, ERR_NOT_EXECUTED, false},
    {ERR_NOT_FOUND, "not_found", 404, ERR_NOT_EXECUTED, false},
    {ERR_NOT_READY, "not_ready", 503, ERR_NOT_EXECUTED, true},
    {ERR_OVERLOAD, "overload", 503, ERR_NOT_EXECUTED, true},
    {ERR_PEERS_UNAVAILABLE, "peers", 503, ERR_NOT_EXECUTED, true},
    {ERR_QUARANTINED, "quarantined", 503, ERR_NOT_EXECUTED, true},
    {ERR_BAD_SESSION_TOKEN, "session_token", 400, ERR_NOT_EXECUTED, false},
    {ERR_SETTING, "setting", 500, ERR_NOT_EXECUTED, false},
    {ERR_STORE, "store", 503, ERR_NOT_EXECUTED, true},
    {ERR_STREAM_TRUNCATED, "stream_cut", 502, ERR_MAYBE_EXECUTED, false},
    {ERR_THROTTLED, "throttled", 503, ERR_NOT_EXECUTED, true},
    {ERR_TICKET_REVOKED, "ticket_dead", 409, ERR_NOT_EXECUTED, false},
    {ERR_TICKET_INVALID, "ticket_invalid", 400, ERR_MAYBE_EXECUTED, false},
    {ERR_TICKET_REQUIRED, "ticket_required", 400, ERR_NOT_EXECUTED, false},
    {ERR_TICKET_USED, "ticket_used", 409, ERR_MAYBE_EXECUTED, false},
    {ERR_TIMEOUT, "timeout", 504, ERR_MAYBE_EXECUTED, false},
    {ERR_UNKNOWN_OUTCOME, "unknown_outcome", 502, ERR_MAYBE_EXECUTED, false},
    {ERR_UNREADABLE, "unreadable", 400, ERR_NOT_EXECUTED, false},
    {ERR_VERSION_WITHDRAWN, "version_withdrawn", 410, ERR_NOT_EXECUTED, false},
    {ERR_WARMING_UP, "warming_up", 503, ERR_NOT_EXECUTED, true},
    {ERR_WITNESS_FULL, "witness", 503, ERR_NOT_EXECUTED, true},
};

bool
err_set(err_t *err, err_code_t code, const char *fmt, ...)
{
	va_list ap;

	if (err == NULL)
		return false;
	err->code = code;
	va_start(ap, fmt);
	vsnprintf(err->detail, sizeof(err->detail), fmt, ap);
	va_end(ap);
	return false;
}

const err_info_t *
err_info(err_code_t code)
{
	if (code < 0 || code >= ERR_CODE_COUNT)
		code = ERR_INTERNAL;
	return &infos[code];
}

err_code_t
err_code_from_name(const char *name)
{
	for (int i = 0; i < ERR_CODE_COUNT; i++) {
		if (strcmp(infos[i].name, name) == 0)
			return infos[i].code;
	}
	return ERR_NONE;
}
