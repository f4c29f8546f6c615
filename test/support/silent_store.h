/**
 * @file
 * A store that never responds, and a row dialect for tests that apply rows
 * themselves.
 */
#ifndef TEST_SUPPORT_SILENT_STORE_H
#define TEST_SUPPORT_SILENT_STORE_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "moortack/relay/relay_node.h"

static inline bool
silent_store_read(row_store_t *store, const char *table, const char *page,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	(void)store;
	(void)table;
	(void)page;
	(void)timeout_ms;
	(void)done;
	(void)arg;
	return true;
}

static inline bool
silent_store_poll(row_store_t *store, const char *table, uint64_t after,
    int64_t wait_ms, int64_t timeout_ms, row_done_t done, void *arg)
{
	(void)after;
	(void)wait_ms;
	return silent_store_read(store, table, NULL, timeout_ms, done, arg);
}

static inline bool
silent_store_write(row_store_t *store, const row_change_t *expected,
    size_t expected_len, const row_change_t *changes, size_t changes_len,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	(void)expected;
	(void)expected_len;
	(void)changes;
	(void)changes_len;
	return silent_store_read(store, NULL, NULL, timeout_ms, done, arg);
}

static const row_store_ops_t silent_store_ops = {
    silent_store_read, silent_store_poll, silent_store_write};

/* An entry is "leaving" or the endpoint's version, optionally followed by an @
 * and the start time in milliseconds; "?" is invalid. */
static inline bool
test_endpoint_decode(const char *id, const char *text, size_t len,
    endpoint_info_t *info, err_t *err)
{
	const char *start = memchr(text, '@', len);

	if (len == 1 && text[0] == '?')
		return err_set(err, ERR_UNREADABLE, "no entry");
	*info = (endpoint_info_t){.service = "s", .zone = "a", .slots = 1};
	if (start != NULL) {
		info->started_ms = strtoll(start + 1, NULL, 10);
		len = (size_t)(start - text);
	}
	snprintf(info->version, sizeof(info->version), "%.*s", (int)len, text);
	info->leaving = len == 7 && memcmp(text, "leaving", len) == 0;
	snprintf(info->id, sizeof(info->id), "%s", id);
	return http_address_parse("127.0.0.1:9", &info->address);
}

static inline bool
test_endpoint_unchanged(
    const char *a, size_t a_len, const char *b, size_t b_len)
{
	return a_len == b_len && memcmp(a, b, a_len) == 0;
}

static inline bool
test_evacuation_zone_check(const char *zone, err_t *err)
{
	return zone[0] != '\0' || err_set(err, ERR_BAD_NAME, "no zone");
}

static const row_dialect_t test_row_dialect = {.operator_table = "orders",
    .config_key = "config",
    .rollout_prefix = "rollout/",
    .evacuation_prefix = "evacuate/",
    .check_evacuation_zone = test_evacuation_zone_check,
    .endpoints_table = "endpoints",
    .decode_endpoint = test_endpoint_decode,
    .endpoint_unchanged = test_endpoint_unchanged};

#endif
