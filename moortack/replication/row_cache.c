#include "moortack/replication/row_cache.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

/* How long the tombstone of a deleted row is kept: far longer than a follower
 * waits between two requests. */
#define TOMBSTONE_KEPT_MS 60000
/* Searching all rows for old tombstones in each step of the daemon took a third
 * of the processor time of a daemon that follows 1,500 endpoints and serves no
 * requests. */
#define TRIM_INTERVAL_MS 10000
/* A shorter value takes a few packets at most, even when sent entirely. */
#define PRIOR_MIN_LEN 8192
/* A follower sends its next request as soon as it has a response, so its value
 * is the one before the last. Four values cover changes that come faster than
 * a slow link carries a response. They take 500 KB each, while a configuration
 * changes. */
#define PRIORS_MAX 4
#define PRIOR_KEPT_MS 5000
/* Longer keys are rare, and allocated for each search. */
#define HASH_KEY_BUFFER 256

void
row_cache_init(row_cache_t *cache, const clock_source_t *clock,
    row_equal_t equal, const void *arg)
{
	*cache = (row_cache_t){.clock = clock,
	    .equal = equal,
	    .arg = arg,
	    .prior_min_len = PRIOR_MIN_LEN,
	    .origin = ROW_ORIGIN_STORE};
	for (int i = 0; i < ROW_TABLES; i++)
		cache->summaries[i].len = ROW_SUMMARY_MAX;
}

static void
prior_values_free(row_prior_value_t *prior)
{
	while (prior != NULL) {
		row_prior_value_t *older = prior->older;

		free(prior->value);
		free(prior);
		prior = older;
	}
}

static void
row_free(row_cache_t *cache, cached_row_t *row)
{
	prior_values_free(row->prior_values);
	HASH_DEL(cache->rows, row);
	DL_DELETE2(cache->newest, row, newer, older);
	free(row->hash_key);
	free(row->value);
	free(row);
}

void
row_cache_finish(row_cache_t *cache)
{
	cached_row_t *row, *next;

	HASH_ITER(hh, cache->rows, row, next)
	row_free(cache, row);
}

static void
hash_key_fill(char *hash_key, row_table_t table, const char *key, size_t len)
{
	hash_key[0] = (char)('a' + table);
	memcpy(hash_key + 1, key, len + 1);
}

static char *
hash_key_make(row_table_t table, const char *key)
{
	size_t len = strlen(key);
	char *hash_key = malloc(len + 2);

	if (hash_key != NULL)
		hash_key_fill(hash_key, table, key, len);
	return hash_key;
}

const char *
cached_row_key(const cached_row_t *row)
{
	return row->hash_key + 1;
}

static cached_row_t *
row_find(const row_cache_t *cache, row_table_t table, const char *key)
{
	char buffer[HASH_KEY_BUFFER];
	size_t len = strlen(key);
	bool fits = len + 2 <= sizeof(buffer);
	char *hash_key = fits ? buffer : hash_key_make(table, key);
	cached_row_t *row = NULL;

	if (hash_key == NULL)
		return NULL;
	if (fits)
		hash_key_fill(buffer, table, key, len);
	HASH_FIND(hh, cache->rows, hash_key, len + 1, row);
	if (!fits)
		free(hash_key);
	return row;
}

const cached_row_t *
row_cache_find(const row_cache_t *cache, row_table_t table, const char *key)
{
	return row_find(cache, table, key);
}

static cached_row_t *
row_add(row_cache_t *cache, row_table_t table, const char *key)
{
	cached_row_t *row = calloc(1, sizeof(*row));

	if (row == NULL)
		return NULL;
	row->hash_key = hash_key_make(table, key);
	if (row->hash_key == NULL) {
		free(row);
		return NULL;
	}
	row->table = table;
	row->hash = row_summary_hash(key);
	HASH_ADD_KEYPTR(
	    hh, cache->rows, row->hash_key, strlen(row->hash_key), row);
	DL_APPEND2(cache->newest, row, newer, older);
	return row;
}

static void
row_change_record(row_cache_t *cache, cached_row_t *row)
{
	row->change = ++cache->last_change;
	DL_DELETE2(cache->newest, row, newer, older);
	DL_PREPEND2(cache->newest, row, newer, older);
}

const cached_row_t *
row_cache_first_after(const row_cache_t *cache, uint64_t change)
{
	const cached_row_t *first = NULL;

	for (const cached_row_t *row = cache->newest;
	     row != NULL && row->change > change; row = row->older)
		first = row;
	return first;
}

const cached_row_t *
row_cache_next_change(const row_cache_t *cache, const cached_row_t *row)
{
	return row == cache->newest ? NULL : row->newer;
}

static bool
row_is_equal(
    const row_cache_t *cache, const cached_row_t *row, const row_t *update)
{
	if (update->deleted || row->value == NULL)
		return update->deleted && row->value == NULL;
	return cache->equal(cache->arg, row->table, cached_row_key(row),
	    row->value, row->value_len, update->value, update->value_len);
}

/* Drops all prior values but the newest @p count. */
static void
prior_values_truncate(cached_row_t *row, uint32_t count)
{
	row_prior_value_t **at = &row->prior_values;

	while (*at != NULL && count-- > 0)
		at = &(*at)->older;
	prior_values_free(*at);
	*at = NULL;
}

/* Keeps the value that is about to be replaced, by moving it to a prior value.
 */
static void
prior_value_keep(const row_cache_t *cache, cached_row_t *row)
{
	row_prior_value_t *prior;

	if (row->value == NULL || row->value_len < cache->prior_min_len)
		return;
	prior = calloc(1, sizeof(*prior));
	if (prior == NULL)
		return;
	*prior = (row_prior_value_t){.value = row->value,
	    .value_len = row->value_len,
	    .version = row->version,
	    .change = row->change,
	    .replaced_at = clock_boottime(cache->clock),
	    .older = row->prior_values};
	row->value = NULL;
	row->prior_values = prior;
	prior_values_truncate(row, PRIORS_MAX);
}

const row_prior_value_t *
row_cache_prior_value(const cached_row_t *row, uint64_t change)
{
	const row_prior_value_t *prior = row->prior_values;

	while (prior != NULL && prior->change > change)
		prior = prior->older;
	return prior;
}

/* The digest depends on the key as well, so that two rows with the same value
 * do not cancel each other in a summary. 0 is left to deleted rows. */
static uint64_t
row_digest(const row_cache_t *cache, const cached_row_t *row)
{
	const char *key = cached_row_key(row);
	uint64_t digest;

	if (row->value == NULL)
		return 0;
	digest = cache->digest != NULL
	    ? cache->digest(
		  cache->arg, row->table, key, row->value, row->value_len)
	    : XXH3_64bits(row->value, row->value_len);
	return XXH3_64bits_withSeed(key, strlen(key), digest) | 1;
}

static void
digest_update(row_cache_t *cache, cached_row_t *row)
{
	row_summary_t *summary = &cache->summaries[row->table];
	uint64_t digest = row_digest(cache, row);

	cache->row_counts[row->table] += (digest != 0) - (row->digest != 0);
	row_summary_toggle(summary, row->hash, row->digest ^ digest);
	row->digest = digest;
}

static bool
value_set(row_cache_t *cache, cached_row_t *row, const row_t *update)
{
	char *value = NULL;

	if (!update->deleted && row->value != NULL &&
	    row->value_len == update->value_len &&
	    memcmp(row->value, update->value, update->value_len) == 0)
		return true;
	if (!update->deleted) {
		value = malloc(update->value_len + 1);
		if (value == NULL)
			return false;
		memcpy(value, update->value, update->value_len);
		value[update->value_len] = '\0';
	}
	free(row->value);
	row->value = value;
	row->value_len = update->deleted ? 0 : update->value_len;
	digest_update(cache, row);
	return true;
}

bool
row_cache_put(row_cache_t *cache, row_table_t table, const row_t *update)
{
	cached_row_t *row = row_find(cache, table, update->key);
	bool added = row == NULL;
	bool unchanged;

	if (row != NULL && update->version < row->version) {
		row->marks |= cache->origin;
		return false;
	}
	/* The deletion of a row that was never cached here may be a change to
	 * others. */
	if (added)
		row = row_add(cache, table, update->key);
	if (row == NULL)
		return false;
	unchanged = !added && update->deleted == (row->value == NULL) &&
	    (update->version == row->version ||
		row_is_equal(cache, row, update));
	if (!unchanged)
		prior_value_keep(cache, row);
	row->version = update->version;
	row->marks |= cache->origin;
	cache->put_count++;
	if (!value_set(cache, row, update) || unchanged)
		return false;
	row_change_record(cache, row);
	if (update->deleted)
		row->deleted_at = clock_boottime(cache->clock);
	return true;
}

bool
row_cache_has_newer(row_cache_t *cache, row_table_t table, const row_t *row)
{
	cached_row_t *known = row_find(cache, table, row->key);

	if (known == NULL || known->version <= row->version)
		return false;
	/* An older deletion does not list the row. */
	if (!row->deleted)
		known->marks |= cache->origin;
	return true;
}

void
row_cache_clear_marks(
    row_cache_t *cache, row_table_t table, row_origin_t origin)
{
	for (cached_row_t *row = cache->rows; row != NULL; row = row->hh.next) {
		if (row->table == table)
			row->marks &= ~(unsigned)origin;
	}
}

void
row_cache_confirm(row_cache_t *cache, cached_row_t *row, uint64_t version)
{
	if (row->version >= version)
		return;
	row->version = version;
	cache->put_count++;
}

void
cached_row_mark(cached_row_t *row, row_origin_t origin)
{
	row->marks |= origin;
}

bool
cached_row_is_marked(const cached_row_t *row, row_origin_t origin)
{
	return (row->marks & origin) != 0;
}

static void
prior_values_trim(cached_row_t *row, struct timespec now)
{
	uint32_t count = 0;

	for (const row_prior_value_t *prior = row->prior_values;
	     prior != NULL &&
	     timespec_ms_between(prior->replaced_at, now) <= PRIOR_KEPT_MS;
	     prior = prior->older)
		count++;
	prior_values_truncate(row, count);
}

void
row_cache_trim(row_cache_t *cache)
{
	struct timespec now = clock_boottime(cache->clock);
	cached_row_t *row, *next;

	if (timespec_ms_between(cache->trimmed_at, now) < TRIM_INTERVAL_MS)
		return;
	cache->trimmed_at = now;
	HASH_ITER(hh, cache->rows, row, next)
	{
		prior_values_trim(row, now);
		if (row->value == NULL &&
		    timespec_ms_between(row->deleted_at, now) >
			TOMBSTONE_KEPT_MS)
			row_free(cache, row);
	}
}
