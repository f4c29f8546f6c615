#include "moortack/replication/row_store.h"

const char *const row_purpose_names[ROW_PURPOSES] = {"read", "reread",
    "changes", "beside", "member", "clearing", "state", "key", "quarantine",
    "duty"};

bool
row_store_read(row_store_t *store, row_purpose_t purpose, const char *table,
    const char *page, int64_t timeout_ms, row_done_t done, void *arg)
{
	store->calls[purpose]++;
	return store->ops->read(store, table, page, timeout_ms, done, arg);
}

bool
row_store_poll(row_store_t *store, row_purpose_t purpose, const char *table,
    uint64_t after, int64_t wait_ms, int64_t timeout_ms, row_done_t done,
    void *arg)
{
	store->calls[purpose]++;
	return store->ops->poll(
	    store, table, after, wait_ms, timeout_ms, done, arg);
}

bool
row_store_write(row_store_t *store, row_purpose_t purpose,
    const row_change_t *expected, size_t expected_len,
    const row_change_t *changes, size_t changes_len, int64_t timeout_ms,
    row_done_t done, void *arg)
{
	store->calls[purpose]++;
	return store->ops->write(store, expected, expected_len, changes,
	    changes_len, timeout_ms, done, arg);
}
