/**
 * @file
 * Errors: a failure type and a message, filled in by the function that fails.
 */
#ifndef COMMON_ERR_H
#define COMMON_ERR_H

#include <stdbool.h>

#define ERR_DETAIL_SIZE 192

/** Whether the caller's request may have been executed. */
typedef enum err_execution {
	ERR_NOT_EXECUTED,   /**< no byte was sent to an endpoint */
	ERR_MAYBE_EXECUTED, /**< retry only if it is idempotent */
} err_execution_t;

/** Failure types, in the order of the table in err.c. */
typedef enum err_code {
	ERR_NONE,
	ERR_AUTHENTICATION,
	ERR_BAD_REQUEST,
	ERR_BODY_TOO_LARGE,
	ERR_CONFIG_STALE,
	ERR_CONFLICT,
	ERR_DEADLINE,
	ERR_DRAINING,
	ERR_ENDPOINT_FAILED,
	ERR_FORBIDDEN,
	ERR_HEAD_TOO_LARGE,
	ERR_INTERNAL,
	ERR_RATE_LIMIT,
	ERR_MEMORY,
	ERR_BAD_NAME,
	ERR_NO_ENDPOINT,
	ERR_NOT_ALLOWED,
	ERR_NOT_FOUND,
	ERR_NOT_READY,
	ERR_OVERLOAD,
	ERR_PEERS_UNAVAILABLE,
	ERR_QUARANTINED,
	ERR_BAD_SESSION_TOKEN,
	ERR_SETTING,
	ERR_STORE,
	ERR_STREAM_TRUNCATED,
	ERR_THROTTLED,
	ERR_TICKET_REVOKED,
	ERR_TICKET_INVALID,
	ERR_TICKET_REQUIRED,
	ERR_TICKET_USED,
	ERR_TIMEOUT,
	ERR_UNKNOWN_OUTCOME,
	ERR_UNREADABLE,
	ERR_VERSION_WITHDRAWN,
	ERR_WARMING_UP,
	ERR_WITNESS_FULL,
	ERR_CODE_COUNT /* count */
} err_code_t;

/** A failure: its type and a message for people. */
typedef struct err {
	err_code_t code;
	char detail[ERR_DETAIL_SIZE];
} err_t;

/** Properties of a failure type. */
typedef struct err_info {
	err_code_t code;
	const char *name; /**< of the type, as callers see it */
	int http_status;
	err_execution_t execution; /**< of the request */
	bool retryable; /**< retrying the same request is safe and useful */
} err_info_t;

/** Fill in @p err, which may be NULL.
 * @return false, so that a function can return the call's result */
bool err_set(err_t *err, err_code_t code, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** The properties of @p code; those of ERR_INTERNAL if it is out of range. */
const err_info_t *err_info(err_code_t code);

/** The type with this name, or ERR_NONE if there is none. */
err_code_t err_code_from_name(const char *name);

#endif
