#include "moortack/replication/row_cache.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* A row that is gone is told of for this long: far longer than anyone who
 * follows the changes waits between two questions. */
#define GONE_KEPT_MS 60000
/* To look through all rows for such ones at each step of the daemon took a
 * third of the processor time of one that follows 1,500 endpoints without
 * requests. */
#define TRIM_EVERY_MS 10000
/* A shorter value is a few packets at most, whole. */
#define PRIOR_MIN 8192
/* Who follows asks again as soon as it has an answer, and so builds on the
 * value before the last one; four cover changes that come faster than a slow
 * link carries an answer. Of 500 KB each, while a configuration changes. */
#define PRIORS_MAX 4
#define PRIOR_KEPT_MS 5000

void
row_cache_init(row_cache_t *cache, const clock_source_t *clock, row_same_t same,
    const void *arg)
{
	*cache = (row_cache_t){.clock = clock,
	    .same = same,
	    .same_arg = arg,
	    .prior_min = PRIOR_MIN,
	    .reader = ROW_READER_STORE};
}

static void
priors_free(row_prior_t *prior)
{
	while (prior != NULL) {
		row_prior_t *older = prior->older;

		free(prior->value);
		free(prior);
		prior = older;
	}
}

static void
row_free(row_cache_t *cache, cached_row_t *row)
{
	priors_free(row->priors);
	HASH_DEL(cache->rows, row);
	DL_DELETE2(cache->newest, row, newer, older);
	free(row->name);
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

static char *
name_of(row_table_t table, const char *key)
{
	size_t size = strlen(key) + 2;
	char *name = malloc(size);

	if (name != NULL)
		snprintf(name, size, "%c%s", 'a' + (char)table, key);
	return name;
}

const char *
cached_row_key(const cached_row_t *row)
{
	return row->name + 1;
}

static cached_row_t *
row_find(const row_cache_t *cache, row_table_t table, const char *key)
{
	char *name = name_of(table, key);
	cached_row_t *row = NULL;

	if (name != NULL)
		HASH_FIND_STR(cache->rows, name, row);
	free(name);
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
	row->name = name_of(table, key);
	if (row->name == NULL) {
		free(row);
		return NULL;
	}
	row->table = table;
	HASH_ADD_KEYPTR(hh, cache->rows, row->name, strlen(row->name), row);
	DL_APPEND2(cache->newest, row, newer, older);
	return row;
}

static void
row_changed(row_cache_t *cache, cached_row_t *row)
{
	row->change = ++cache->change;
	DL_DELETE2(cache->newest, row, newer, older);
	DL_PREPEND2(cache->newest, row, newer, older);
}

const cached_row_t *
row_cache_after(const row_cache_t *cache, uint64_t change)
{
	const cached_row_t *first = NULL;

	for (const cached_row_t *row = cache->newest;
	     row != NULL && row->change > change; row = row->older)
		first = row;
	return first;
}

const cached_row_t *
row_cache_next(const row_cache_t *cache, const cached_row_t *row)
{
	return row == cache->newest ? NULL : row->newer;
}

static bool
means_same(const row_cache_t *cache, const cached_row_t *row, const row_t *now)
{
	if (now->deleted || row->value == NULL)
		return now->deleted && row->value == NULL;
	return cache->same(cache->same_arg, row->table, cached_row_key(row),
	    row->value, row->value_len, now->value, now->value_len);
}

/* All but the first so many go. */
static void
priors_cut(cached_row_t *row, uint32_t kept)
{
	row_prior_t **at = &row->priors;

	while (*at != NULL && kept-- > 0)
		at = &(*at)->older;
	priors_free(*at);
	*at = NULL;
}

/* Keep the value that is about to be replaced; it goes over to the prior. */
static void
prior_keep(const row_cache_t *cache, cached_row_t *row)
{
	row_prior_t *prior;

	if (row->value == NULL || row->value_len < cache->prior_min)
		return;
	prior = calloc(1, sizeof(*prior));
	if (prior == NULL)
		return;
	*prior = (row_prior_t){.value = row->value,
	    .value_len = row->value_len,
	    .version = row->version,
	    .change = row->change,
	    .replaced_at = clock_boottime(cache->clock),
	    .older = row->priors};
	row->value = NULL;
	row->priors = prior;
	priors_cut(row, PRIORS_MAX);
}

const row_prior_t *
row_cache_prior(const cached_row_t *row, uint64_t change)
{
	const row_prior_t *prior = row->priors;

	while (prior != NULL && prior->change > change)
		prior = prior->older;
	return prior;
}

static bool
value_set(cached_row_t *row, const row_t *now)
{
	char *value = NULL;

	if (!now->deleted) {
		value = malloc(now->value_len + 1);
		if (value == NULL)
			return false;
		memcpy(value, now->value, now->value_len);
		value[now->value_len] = '\0';
	}
	free(row->value);
	row->value = value;
	row->value_len = now->deleted ? 0 : now->value_len;
	return true;
}

bool
row_cache_put(row_cache_t *cache, row_table_t table, const row_t *now)
{
	cached_row_t *row = row_find(cache, table, now->key);
	bool added = row == NULL;
	bool same;

	if (row != NULL && now->version < row->version) {
		row->seen |= cache->reader;
		return false;
	}
	/* The end of a row that was never known here may be news to others. */
	if (added)
		row = row_add(cache, table, now->key);
	if (row == NULL)
		return false;
	same = !added && now->deleted == (row->value == NULL) &&
	    (now->version == row->version || means_same(cache, row, now));
	if (!same)
		prior_keep(cache, row);
	row->version = now->version;
	row->seen |= cache->reader;
	cache->renewed++;
	if (!value_set(row, now) || same)
		return false;
	row_changed(cache, row);
	if (now->deleted)
		row->gone_at = clock_boottime(cache->clock);
	return true;
}

bool
row_cache_newer(row_cache_t *cache, row_table_t table, const row_t *row)
{
	cached_row_t *known = row_find(cache, table, row->key);

	if (known == NULL || known->version <= row->version)
		return false;
	/* An older end names nothing that is there. */
	if (!row->deleted)
		known->seen |= cache->reader;
	return true;
}

void
row_cache_restart(row_cache_t *cache, row_table_t table, row_reader_t reader)
{
	for (cached_row_t *row = cache->rows; row != NULL; row = row->hh.next) {
		if (row->table == table)
			row->seen &= ~(unsigned)reader;
	}
}

bool
row_cache_named(const cached_row_t *row, row_reader_t reader)
{
	return (row->seen & reader) != 0;
}

static void
priors_trim(cached_row_t *row, struct timespec now)
{
	uint32_t kept = 0;

	for (const row_prior_t *prior = row->priors; prior != NULL &&
	     timespec_ms_between(prior->replaced_at, now) <= PRIOR_KEPT_MS;
	     prior = prior->older)
		kept++;
	priors_cut(row, kept);
}

void
row_cache_trim(row_cache_t *cache)
{
	struct timespec now = clock_boottime(cache->clock);
	cached_row_t *row, *next;

	if (timespec_ms_between(cache->trimmed, now) < TRIM_EVERY_MS)
		return;
	cache->trimmed = now;
	HASH_ITER(hh, cache->rows, row, next)
	{
		priors_trim(row, now);
		if (row->value == NULL &&
		    timespec_ms_between(row->gone_at, now) > GONE_KEPT_MS)
			row_free(cache, row);
	}
}
