/**
 * @file
 * The platform's transactional table, as a table of function pointers.
 */
#ifndef MOORTACK_STORE_STORE_H
#define MOORTACK_STORE_STORE_H

#include <jansson.h>
#include <stdbool.h>

/** How a call to the store ended. */
typedef enum store_result {
	STORE_OK,
	STORE_CONFLICT,	    /**< a check failed; nothing took effect */
	STORE_RATE_LIMITED, /**< over its rate; nothing took effect */
	STORE_NO_RESPONSE,  /**< no answer: a write may have taken effect */
} store_result_t;

/** @param reply the answer's object, or NULL; valid inside the call only */
typedef void (*store_done_t)(
    void *arg, store_result_t result, const json_t *reply);

typedef struct store store_t;

typedef struct store_ops {
	/** Read rows: {"values": {KEY: VALUE}}, absent keys left out.
	 * @param keys a list of names; its reference is taken */
	bool (*get)(store_t *, json_t *keys, store_done_t, void *arg);
	/** Rows by prefix, in order of key: {"rows": [[KEY, VALUE]]}, at most
	 * 1000 a call. */
	bool (*scan)(store_t *, const char *prefix, const char *after,
	    store_done_t, void *arg);
	/** All checks hold and all puts take effect, or nothing does.
	 * @param checks [{"key", "value"}]: null means absent; taken
	 * @param puts [{"key", "value"}]: null deletes; taken */
	bool (*txn)(
	    store_t *, json_t *checks, json_t *puts, store_done_t, void *arg);
} store_ops_t;

struct store {
	const store_ops_t *ops;
};

/* Each calls done exactly once later, unless it returns false. */

bool store_get(store_t *, json_t *keys, store_done_t, void *arg);
bool store_scan(
    store_t *, const char *prefix, const char *after, store_done_t, void *arg);
bool
store_txn(store_t *, json_t *checks, json_t *puts, store_done_t, void *arg);

/** One element of checks or puts. @param value NULL: absent, or delete */
json_t *store_row_new(const char *key, const char *value);

/** The value of @p key in a reply to store_get(), or NULL. */
const char *store_response_value(const json_t *reply, const char *key);

#endif
