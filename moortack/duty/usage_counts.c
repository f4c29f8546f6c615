#include "moortack/duty/usage_counts.h"

#include <stdlib.h>
#include <string.h>

#define COUNTS_CAP_MIN 4

void
usage_counts_init(usage_counts_t *self, uint64_t process)
{
	*self = (usage_counts_t){.process = process};
}

static void
entry_free(usage_counts_t *self, usage_entry_t *entry)
{
	HASH_DEL(self->entries, entry);
	free(entry->counts);
	free(entry);
}

void
usage_counts_finish(usage_counts_t *self)
{
	usage_entry_t *entry, *next;

	HASH_ITER(hh, self->entries, entry, next)
	entry_free(self, entry);
	HASH_CLEAR(hh, self->by_name);
	for (size_t i = 0; i < self->organisations_len; i++) {
		free(self->organisations[i]->name);
		free(self->organisations[i]);
	}
	free(self->organisations);
}

static bool
organisations_reserve(usage_counts_t *self)
{
	size_t len = self->organisations_len;
	usage_organisation_t **grown;

	/* The length is a power of two exactly when the array is full. */
	if ((len & (len - 1)) != 0)
		return true;
	grown = realloc(self->organisations,
	    (len == 0 ? 1 : 2 * len) * sizeof(self->organisations[0]));
	if (grown == NULL)
		return false;
	self->organisations = grown;
	return true;
}

/* @return NULL: too many names, or out of memory */
static usage_organisation_t *
organisation_find_or_add(usage_counts_t *self, const char *name)
{
	usage_organisation_t *organisation;

	HASH_FIND_STR(self->by_name, name, organisation);
	if (organisation != NULL)
		return organisation;
	if (self->organisations_len == USAGE_ORGANISATIONS_MAX ||
	    !organisations_reserve(self))
		return NULL;
	organisation = calloc(1, sizeof(*organisation));
	if (organisation == NULL ||
	    (organisation->name = strdup(name)) == NULL) {
		free(organisation);
		return NULL;
	}
	organisation->index = (uint32_t)self->organisations_len;
	self->organisations[self->organisations_len++] = organisation;
	HASH_ADD_KEYPTR(hh, self->by_name, organisation->name,
	    strlen(organisation->name), organisation);
	return organisation;
}

static void
entries_drop_until(usage_counts_t *self, int64_t window)
{
	usage_entry_t *entry, *next;

	HASH_ITER(hh, self->entries, entry, next)
	{
		if (entry->key.window <= window)
			entry_free(self, entry);
	}
}

/* What could not be reported for long is dropped. */
static void
windows_trim(usage_counts_t *self, int64_t latest)
{
	if (latest == self->latest)
		return;
	self->latest = latest;
	entries_drop_until(self, latest - USAGE_WINDOWS_MAX);
}

/* @return NULL: the window is reported, or out of memory */
static usage_entry_t *
entry_find_or_add(usage_counts_t *self, uint64_t process, int64_t window)
{
	usage_entry_t probe, *entry;

	if (window <= self->reported)
		return NULL;
	memset(&probe.key, 0, sizeof(probe.key));
	probe.key.process = process;
	probe.key.window = window;
	HASH_FIND(hh, self->entries, &probe.key, sizeof(probe.key), entry);
	if (entry != NULL)
		return entry;
	entry = calloc(1, sizeof(*entry));
	if (entry == NULL)
		return NULL;
	memcpy(&entry->key, &probe.key, sizeof(entry->key));
	HASH_ADD(hh, self->entries, key, sizeof(entry->key), entry);
	return entry;
}

/* @return NULL: out of memory */
static usage_count_t *
count_find_or_add(usage_entry_t *entry, uint32_t organisation)
{
	for (size_t i = 0; i < entry->len; i++) {
		if (entry->counts[i].organisation == organisation)
			return &entry->counts[i];
	}
	if (entry->len == entry->cap) {
		size_t cap = entry->cap == 0 ? COUNTS_CAP_MIN : 2 * entry->cap;
		usage_count_t *grown =
		    realloc(entry->counts, cap * sizeof(*grown));

		if (grown == NULL)
			return NULL;
		entry->counts = grown;
		entry->cap = cap;
	}
	entry->counts[entry->len] =
	    (usage_count_t){.organisation = organisation};
	return &entry->counts[entry->len++];
}

void
usage_counts_add(usage_counts_t *self, int64_t window, const char *organisation)
{
	usage_organisation_t *found =
	    organisation_find_or_add(self, organisation);
	usage_entry_t *entry;
	usage_count_t *count = NULL;

	windows_trim(self, window);
	entry = entry_find_or_add(self, self->process, window);
	if (entry != NULL && found != NULL)
		count = count_find_or_add(entry, found->index);
	if (count == NULL) {
		self->dropped++;
		return;
	}
	count->requests++;
	entry->total++;
}

static json_t *
entry_encode(const usage_counts_t *self, const usage_entry_t *entry)
{
	json_t *counts = json_object();

	for (size_t i = 0; i < entry->len; i++)
		json_object_set_new(counts,
		    self->organisations[entry->counts[i].organisation]->name,
		    json_integer(entry->counts[i].requests));
	return json_pack("[I, I, o]", (json_int_t)entry->key.process,
	    (json_int_t)entry->key.window, counts);
}

json_t *
usage_counts_export(usage_counts_t *self, int64_t open_window)
{
	json_t *list = NULL;

	for (usage_entry_t *entry = self->entries; entry != NULL;
	     entry = entry->hh.next) {
		bool own = entry->key.process == self->process;

		entry->exported = entry->received;
		if (entry->total == entry->received ||
		    (!own && entry->key.window >= open_window))
			continue;
		if (list == NULL)
			list = json_array();
		json_array_append_new(list, entry_encode(self, entry));
		entry->exported = entry->total;
	}
	return list;
}

void
usage_counts_export_received(usage_counts_t *self)
{
	for (usage_entry_t *entry = self->entries; entry != NULL;
	     entry = entry->hh.next)
		entry->received = entry->exported;
}

void
usage_counts_export_restart(usage_counts_t *self)
{
	for (usage_entry_t *entry = self->entries; entry != NULL;
	     entry = entry->hh.next) {
		entry->exported = 0;
		entry->received = 0;
	}
}

static void
entry_merge(usage_counts_t *self, usage_entry_t *entry, const json_t *counts)
{
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)(uintptr_t)counts, name, value)
	{
		usage_organisation_t *found =
		    organisation_find_or_add(self, name);
		json_int_t requests = json_integer_value(value);
		usage_count_t *count = NULL;

		if (found != NULL && requests > 0 && requests <= UINT32_MAX)
			count = count_find_or_add(entry, found->index);
		if (count == NULL || requests <= count->requests)
			continue;
		entry->total += (uint32_t)requests - count->requests;
		count->requests = (uint32_t)requests;
	}
}

void
usage_counts_import(usage_counts_t *self, const json_t *list)
{
	size_t i;
	const json_t *item;

	json_array_foreach(list, i, item)
	{
		const json_t *counts = json_array_get(item, 2);
		uint64_t process =
		    (uint64_t)json_integer_value(json_array_get(item, 0));
		int64_t window = json_integer_value(json_array_get(item, 1));
		usage_entry_t *entry = NULL;

		if (process != 0 && process != self->process &&
		    json_is_object(counts))
			entry = entry_find_or_add(self, process, window);
		if (entry != NULL)
			entry_merge(self, entry, counts);
	}
}

void
usage_counts_forget(usage_counts_t *self, int64_t reported)
{
	if (reported <= self->reported)
		return;
	self->reported = reported;
	entries_drop_until(self, reported);
}

bool
usage_counts_has_window(const usage_counts_t *self, int64_t window)
{
	for (const usage_entry_t *entry = self->entries; entry != NULL;
	     entry = entry->hh.next) {
		if (entry->key.window == window)
			return true;
	}
	return false;
}

static int
sum_compare(const void *a, const void *b)
{
	return strcmp(((const usage_sum_t *)a)->organisation,
	    ((const usage_sum_t *)b)->organisation);
}

/* Moves the organisations with requests to the front. */
static size_t
sums_compact(usage_sum_t *sums, size_t len)
{
	size_t kept = 0;

	for (size_t i = 0; i < len; i++) {
		if (sums[i].requests > 0)
			sums[kept++] = sums[i];
	}
	return kept;
}

size_t
usage_counts_sum(const usage_counts_t *self, int64_t window, usage_sum_t **out)
{
	size_t len = self->organisations_len;
	usage_sum_t *sums = len > 0 ? calloc(len, sizeof(*sums)) : NULL;

	*out = sums;
	if (sums == NULL)
		return 0;
	for (size_t i = 0; i < len; i++)
		sums[i].organisation = self->organisations[i]->name;
	for (const usage_entry_t *entry = self->entries; entry != NULL;
	     entry = entry->hh.next) {
		if (entry->key.window != window)
			continue;
		for (size_t i = 0; i < entry->len; i++)
			sums[entry->counts[i].organisation].requests +=
			    entry->counts[i].requests;
	}
	len = sums_compact(sums, len);
	qsort(sums, len, sizeof(*sums), sum_compare);
	return len;
}
