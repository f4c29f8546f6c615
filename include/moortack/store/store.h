/**
 * @file
 * The interface to the platform's transactional table, implemented by a set of
 * function pointers.
 */
#ifndef MOORTACK_STORE_STORE_H
#define MOORTACK_STORE_STORE_H

#include <jansson.h>
#include <stdbool.h>

/** The outcome of a call to the store. */
typedef enum store_result {
	STORE_OK,
	STORE_CONFLICT,	    /**< a check failed; nothing took effect */
	STORE_RATE_LIMITED, /**< nothing took effect */
	STORE_NO_RESPONSE,  /**< a write may have taken effect */
} store_result_t;

/** @param response the JSON object, or NULL; valid only during the call */
typedef void (*store_done_t)(
    void *arg, store_result_t result, const json_t *response);

typedef struct store store_t;

typedef struct store_ops {
	/** Reads rows. The response is {"values": {KEY: VALUE}}, without absent
	 * keys.
	 * @param keys a list of strings; takes over its reference */
	bool (*get)(store_t *, json_t *keys, store_done_t, void *arg);
	/** Reads the rows whose keys begin with @p prefix and come after
	 * @p after, in order of key. The response is {"rows": [[KEY, VALUE]]},
	 * at most 1000 rows. */
	bool (*scan)(store_t *, const char *prefix, const char *after,
	    store_done_t, void *arg);
	/** Writes all puts if all checks hold, or else nothing. Takes over the
	 * references.
	 * @param checks [{"key", "value"}]: null means that the key is absent
	 * @param puts [{"key", "value"}]: null deletes the row */
	bool (*txn)(
	    store_t *, json_t *checks, json_t *puts, store_done_t, void *arg);
} store_ops_t;

struct store {
	const store_ops_t *ops;
};

/* Each of these calls done exactly once, later, unless it returns false. */

bool store_get(store_t *, json_t *keys, store_done_t, void *arg);
bool store_scan(
    store_t *, const char *prefix, const char *after, store_done_t, void *arg);
bool
store_txn(store_t *, json_t *checks, json_t *puts, store_done_t, void *arg);

/** An element of checks or puts; a new reference.
 * @param value NULL: absent in checks, delete in puts */
json_t *store_row_new(const char *key, const char *value);

/** The value of @p key in the response to store_get(); NULL if it is absent. */
const char *store_response_value(const json_t *response, const char *key);

#endif
