#include "moortack/store/store.h"

bool
store_get(store_t *store, json_t *keys, store_done_t done, void *arg)
{
	return store->ops->get(store, keys, done, arg);
}

bool
store_scan(store_t *store, const char *prefix, const char *after,
    store_done_t done, void *arg)
{
	return store->ops->scan(store, prefix, after, done, arg);
}

bool
store_txn(
    store_t *store, json_t *checks, json_t *puts, store_done_t done, void *arg)
{
	return store->ops->txn(store, checks, puts, done, arg);
}

json_t *
store_row_new(const char *key, const char *value)
{
	return json_pack("{s:s,s:s?}", "key", key, "value", value);
}

const char *
store_response_value(const json_t *response, const char *key)
{
	return json_string_value(
	    json_object_get(json_object_get(response, "values"), key));
}
