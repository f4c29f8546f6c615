/**
 * @file
 * The error struct that is passed down: every failure has a type.
 */
#ifndef COMMON_ERR_H
#define COMMON_ERR_H

#include <stdbool.h>

#define ERR_DETAIL_SIZE 192

/** What a failure says about the caller's request. */
typedef enum err_execution {
	ERR_NOT_EXECUTED,   /**< no byte of the request was given to an endpoint
			     */
	ERR_MAYBE_EXECUTED, /**< it may have run: never retry a non-idempotent
			       one */
} err_execution_t;

/** Every failure type. The order is that of the table in err.c. */
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

/** One failure: its type, and a sentence for a person. */
typedef struct err {
	err_code_t code;
	char detail[ERR_DETAIL_SIZE];
} err_t;

/** What is fixed for a failure type. */
typedef struct err_info {
	err_code_t code;
	const char *name;	   /**< the type as callers see it */
	int http_status;	   /**< HTTP status */
	err_execution_t execution; /**< what it says about the request */
	bool retryable; /**< a retry of the same request is safe and useful */
} err_info_t;

/** Fill @p err (may be NULL) and return false, so that a caller can return it.
 */
bool err_set(err_t *err, err_code_t code, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** The fixed facts of @p code; never NULL. */
const err_info_t *err_info(err_code_t code);

/** The type with this name, or ERR_NONE. */
err_code_t err_code_from_name(const char *name);

#endif
