#include "moortack/ledger/interval_set.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INTERVAL_TEXT_MAX 48

void
interval_set_init(interval_set_t *set)
{
	table_init(&set->intervals, sizeof(interval_t));
}

void
interval_set_finish(interval_set_t *set)
{
	table_finish(&set->intervals);
}

static interval_t *
interval_at(const interval_set_t *set, handle_t handle)
{
	return table_at(&set->intervals, handle);
}

/* Binary search for the first interval that ends at or after the number. */
static handle_t
lower_bound(const interval_set_t *set, uint64_t number)
{
	handle_t low = 0;
	handle_t high = set->intervals.len;

	while (low < high) {
		handle_t middle = low + (high - low) / 2;

		if (interval_at(set, middle)->last < number)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void
interval_remove(interval_set_t *set, handle_t handle)
{
	memmove(interval_at(set, handle), interval_at(set, handle) + 1,
	    (set->intervals.len - handle - 1) * sizeof(interval_t));
	set->intervals.len--;
}

static bool
interval_insert(interval_set_t *set, handle_t handle, uint64_t number)
{
	if (table_add(&set->intervals) == NULL)
		return false;
	memmove(interval_at(set, handle) + 1, interval_at(set, handle),
	    (set->intervals.len - handle - 1) * sizeof(interval_t));
	*interval_at(set, handle) = (interval_t){number, number};
	return true;
}

bool
interval_set_contains(const interval_set_t *set, uint64_t number)
{
	const interval_t *found = interval_at(set, lower_bound(set, number));

	return found != NULL && found->first <= number;
}

bool
interval_set_add(interval_set_t *set, uint64_t number)
{
	handle_t handle = lower_bound(set, number);
	interval_t *next = interval_at(set, handle);
	interval_t *before = handle > 0 ? interval_at(set, handle - 1) : NULL;
	bool joins_next = next != NULL && next->first == number + 1;
	bool joins_before = before != NULL && before->last + 1 == number;

	if (next != NULL && next->first <= number)
		return true;
	if (joins_before && joins_next) {
		before->last = next->last;
		interval_remove(set, handle);
	} else if (joins_before) {
		before->last = number;
	} else if (joins_next) {
		next->first = number;
	} else {
		return interval_insert(set, handle, number);
	}
	return true;
}

bool
interval_set_parse(interval_set_t *set, const char *text)
{
	while (*text != '\0') {
		interval_t interval;
		interval_t *added;
		int len = 0;

		if (sscanf(text, "%" SCNu64 "-%" SCNu64 "%n", &interval.first,
			&interval.last, &len) != 2 ||
		    interval.first > interval.last)
			return false;
		if (set->intervals.len > 0 &&
		    interval_at(set, set->intervals.len - 1)->last + 1 >=
			interval.first)
			return false;
		added = table_add(&set->intervals);
		if (added == NULL)
			return false;
		*added = interval;
		text += len;
		if (*text == ',')
			text++;
		else if (*text != '\0')
			return false;
	}
	return true;
}

char *
interval_set_format(const interval_set_t *set)
{
	size_t size = set->intervals.len * (size_t)INTERVAL_TEXT_MAX + 1;
	char *text = malloc(size);
	size_t len = 0;

	if (text == NULL)
		return NULL;
	text[0] = '\0';
	for (handle_t h = 0; h < set->intervals.len; h++) {
		len += (size_t)snprintf(text + len, size - len,
		    "%s%" PRIu64 "-%" PRIu64, h > 0 ? "," : "",
		    interval_at(set, h)->first, interval_at(set, h)->last);
	}
	return text;
}
