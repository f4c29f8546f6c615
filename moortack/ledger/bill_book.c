#include "moortack/ledger/bill_book.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

typedef struct bill_id {
	uint64_t incarnation;
	uint64_t sequence;
} bill_id_t;

struct book_entry {
	bill_id_t id;
	struct timespec added_at;
	UT_hash_handle hh;
	bill_t bill; /**< the last field: allocated only up to its last line */
};

void
bill_book_init(
    bill_book_t *book, uint64_t incarnation, uint32_t max, int64_t held_ms)
{
	*book = (bill_book_t){
	    .incarnation = incarnation, .records_max = max, .held_ms = held_ms};
}

static void
entry_remove(bill_book_t *book, book_entry_t *entry)
{
	if (entry->id.incarnation == book->incarnation)
		book->own_count--;
	HASH_DEL(book->entries, entry);
	free(entry);
}

void
bill_book_finish(bill_book_t *book)
{
	book_entry_t *entry, *next;

	HASH_ITER(hh, book->entries, entry, next)
	{
		entry_remove(book, entry);
	}
}

uint32_t
bill_book_count(const bill_book_t *book)
{
	return HASH_COUNT(book->entries);
}

bool
bill_book_has_room(const bill_book_t *book)
{
	return bill_book_count(book) < book->records_max;
}

static book_entry_t *
entry_find(const bill_book_t *book, const bill_id_t *id)
{
	book_entry_t *entry;

	HASH_FIND(hh, book->entries, id, sizeof(*id), entry);
	return entry;
}

static bool
entry_add(bill_book_t *book, const bill_t *bill, struct timespec now)
{
	const bill_id_t id = {bill->incarnation, bill->sequence};
	book_entry_t *entry;

	if (entry_find(book, &id) != NULL)
		return true;
	entry = calloc(1, offsetof(book_entry_t, bill) + bill_size(bill));
	if (entry == NULL)
		return false;
	entry->id = id;
	memcpy(&entry->bill, bill, bill_size(bill));
	entry->added_at = now;
	HASH_ADD(hh, book->entries, id, sizeof(id), entry);
	if (id.incarnation == book->incarnation)
		book->own_count++;
	return true;
}

bool
bill_book_record(bill_book_t *book, bill_t *bill, struct timespec now)
{
	if (!bill_book_has_room(book))
		return false;
	bill->incarnation = book->incarnation;
	bill->sequence = ++book->last_sequence;
	return entry_add(book, bill, now);
}

bool
bill_book_hold(bill_book_t *book, const bill_t *bill, struct timespec now)
{
	if (bill_book_count(book) - book->own_count >= book->records_max / 2)
		return false;
	return entry_add(book, bill, now);
}

static void
bill_copy(bill_t *to, const bill_t *from)
{
	*to = (bill_t){0};
	memcpy(to, from, bill_size(from));
}

static bool
entry_due(const bill_book_t *book, const book_entry_t *entry,
    struct timespec now, bool all)
{
	return all || entry->id.incarnation == book->incarnation ||
	    timespec_ms_between(entry->added_at, now) >= book->held_ms;
}

bool
bill_book_due(const bill_book_t *book, struct timespec now, bool all,
    uint64_t *incarnation)
{
	book_entry_t *entry, *next;

	HASH_ITER(hh, book->entries, entry, next)
	{
		if (entry_due(book, entry, now, all)) {
			*incarnation = entry->id.incarnation;
			return true;
		}
	}
	return false;
}

size_t
bill_book_collect(bill_book_t *book, uint64_t incarnation,
    interval_set_t *flushed, bill_t *out, size_t max)
{
	book_entry_t *entry, *next;
	size_t n = 0;

	HASH_ITER(hh, book->entries, entry, next)
	{
		if (entry->id.incarnation != incarnation)
			continue;
		if (interval_set_contains(flushed, entry->id.sequence)) {
			entry_remove(book, entry);
			continue;
		}
		if (n < max)
			bill_copy(&out[n++], &entry->bill);
	}
	for (size_t i = 0; i < n; i++) {
		if (!interval_set_add(flushed, out[i].sequence))
			return 0;
	}
	return n;
}

size_t
bill_book_copy(const bill_book_t *book, bill_t *out, size_t max)
{
	book_entry_t *entry, *next;
	size_t n = 0;

	HASH_ITER(hh, book->entries, entry, next)
	{
		if (n < max)
			bill_copy(&out[n++], &entry->bill);
	}
	return n;
}

void
bill_book_remove(
    bill_book_t *book, uint64_t incarnation, uint64_t first, uint64_t last)
{
	book_entry_t *entry, *next;

	HASH_ITER(hh, book->entries, entry, next)
	{
		if (entry->id.incarnation == incarnation &&
		    entry->id.sequence >= first && entry->id.sequence <= last)
			entry_remove(book, entry);
	}
}
