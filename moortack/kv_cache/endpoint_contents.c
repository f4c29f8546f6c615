#include "moortack/kv_cache/endpoint_contents.h"

#include <stdlib.h>
#include <uthash.h>

/* The hash table keeps the order in which entries were added. */
struct contents_entry {
	uint32_t part;
	UT_hash_handle hh;
};

void
endpoint_contents_init(endpoint_contents_t *self)
{
	*self = (endpoint_contents_t){0};
}

static void
entry_remove(endpoint_contents_t *self, contents_entry_t *entry)
{
	HASH_DEL(self->entries, entry);
	free(entry);
}

static void
contents_clear(endpoint_contents_t *self)
{
	contents_entry_t *entry, *next;

	HASH_ITER(hh, self->entries, entry, next)
	entry_remove(self, entry);
}

void
endpoint_contents_finish(endpoint_contents_t *self)
{
	contents_clear(self);
}

static contents_entry_t *
entry_find(const endpoint_contents_t *self, uint32_t part)
{
	contents_entry_t *entry;

	HASH_FIND(hh, self->entries, &part, sizeof(part), entry);
	return entry;
}

/* A part that is added again becomes the most recent one. Without memory it is
 * left out. */
static void
part_add(endpoint_contents_t *self, uint32_t part)
{
	contents_entry_t *entry = entry_find(self, part);

	if (entry != NULL)
		HASH_DEL(self->entries, entry);
	else if (HASH_COUNT(self->entries) >= CONTENTS_PARTS_MAX)
		entry_remove(self, self->entries);
	if (entry == NULL)
		entry = malloc(sizeof(*entry));
	if (entry == NULL)
		return;
	entry->part = part;
	HASH_ADD(hh, self->entries, part, sizeof(entry->part), entry);
}

static void
change_apply(endpoint_contents_t *self, const contents_change_t *change)
{
	contents_entry_t *entry;

	if (change->ignored)
		return;
	if (change->kept) {
		part_add(self, change->part);
		return;
	}
	entry = entry_find(self, change->part);
	if (entry != NULL)
		entry_remove(self, entry);
}

void
endpoint_contents_apply_list(
    endpoint_contents_t *self, const contents_report_t *report)
{
	contents_clear(self);
	for (size_t i = 0; i < report->len; i++)
		change_apply(self, &report->changes[i]);
	self->epoch = report->epoch;
	self->next = report->next;
	self->known = true;
	self->incomplete = false;
}

static int
change_compare(const void *a, const void *b)
{
	uint64_t first = ((const contents_change_t *)a)->number;
	uint64_t second = ((const contents_change_t *)b)->number;

	return (first > second) - (first < second);
}

contents_result_t
endpoint_contents_apply_events(
    endpoint_contents_t *self, contents_report_t *report)
{
	const contents_change_t *last = NULL;
	uint64_t count = 0;

	if (!self->known || report->lost || report->epoch != self->epoch ||
	    report->next < self->next) {
		contents_clear(self);
		self->known = false;
		return CONTENTS_LOST;
	}
	if (report->len > 0)
		qsort(report->changes, report->len, sizeof(*report->changes),
		    change_compare);
	for (size_t i = 0; i < report->len; i++) {
		const contents_change_t *change = &report->changes[i];

		if (change->number < self->next ||
		    (last != NULL && change->number == last->number))
			continue;
		change_apply(self, change);
		last = change;
		count++;
	}
	/* The numbers of events are consecutive. The count shows gaps at the
	 * beginning, inside and at the end alike. */
	self->incomplete |= count != report->next - self->next;
	self->next = report->next;
	return self->incomplete ? CONTENTS_GAP : CONTENTS_COMPLETE;
}

bool
endpoint_contents_has(const endpoint_contents_t *self, uint32_t part)
{
	return entry_find(self, part) != NULL;
}

size_t
endpoint_contents_match_count(
    const endpoint_contents_t *self, const uint32_t *parts, size_t len)
{
	size_t count = 0;

	while (count < len && endpoint_contents_has(self, parts[count]))
		count++;
	return count;
}

size_t
endpoint_contents_count(const endpoint_contents_t *self)
{
	return HASH_COUNT(self->entries);
}
