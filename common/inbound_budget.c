#include "common/inbound_budget.h"

#include <string.h>

/* Part of the memory that only small requests use. */
#define RESERVE_DIVISOR 4
#define CROWDED_DIVISOR 2

static unsigned
size_class(size_t bytes)
{
	unsigned class = 0;

	while (class < BUDGET_SIZE_CLASSES - 1 &&
	    bytes >> class >= 2 * (size_t)BUDGET_LARGE_BYTES)
		class ++;
	return class;
}

void
inbound_budget_init(inbound_budget_t *budget, size_t bytes_max)
{
	memset(budget, 0, sizeof(*budget));
	TAILQ_INIT(&budget->shares);
	for (unsigned i = 0; i < BUDGET_SIZE_CLASSES; i++)
		TAILQ_INIT(&budget->sizes[i]);
	inbound_budget_set_max(budget, bytes_max);
}

void
inbound_budget_set_max(inbound_budget_t *budget, size_t bytes_max)
{
	budget->bytes_max = bytes_max;
	budget->bytes_reserved = bytes_max / RESERVE_DIVISOR;
}

void
inbound_share_init(inbound_share_t *share, inbound_budget_t *budget)
{
	memset(share, 0, sizeof(*share));
	share->budget = budget;
	share->connections_max = UINT32_MAX;
	for (unsigned i = 0; i < BUDGET_PHASES; i++)
		TAILQ_INIT(&share->phases[i]);
	TAILQ_INSERT_TAIL(&budget->shares, share, next);
}

void
inbound_share_finish(inbound_share_t *share)
{
	TAILQ_REMOVE(&share->budget->shares, share, next);
}

bool
budget_entry_is_large(const budget_entry_t *entry)
{
	return entry->bytes >=
	    entry->share->connection_bytes + BUDGET_LARGE_BYTES;
}

static bool
is_listed_by_size(const budget_entry_t *entry)
{
	return entry->phase == BUDGET_INCOMPLETE &&
	    budget_entry_is_large(entry);
}

static void
entry_account(budget_entry_t *entry)
{
	inbound_budget_t *budget = entry->share->budget;

	budget->bytes += entry->bytes;
	if (entry->phase == BUDGET_BUSY)
		budget->busy_bytes += entry->bytes;
}

static void
entry_unaccount(budget_entry_t *entry)
{
	inbound_budget_t *budget = entry->share->budget;

	budget->bytes -= entry->bytes;
	if (entry->phase == BUDGET_BUSY)
		budget->busy_bytes -= entry->bytes;
}

static void
phase_enter(budget_entry_t *entry, budget_phase_t phase)
{
	entry->phase = phase;
	entry->since = entry->share->budget->next_since++;
	TAILQ_INSERT_TAIL(&entry->share->phases[phase], entry, by_phase);
}

void
budget_entry_add(
    budget_entry_t *entry, inbound_share_t *share, void *owner, size_t bytes)
{
	*entry =
	    (budget_entry_t){.share = share, .owner = owner, .bytes = bytes};
	share->connections++;
	share->budget->connections++;
	phase_enter(entry, BUDGET_IDLE);
	entry_account(entry);
}

/* Lists a large request among those of its size. */
static void
size_update(budget_entry_t *entry, bool was_listed, unsigned old_class)
{
	budget_list_t *sizes = entry->share->budget->sizes;
	bool listed = is_listed_by_size(entry);
	unsigned class = size_class(entry->bytes);

	if (was_listed && (!listed || class != old_class))
		TAILQ_REMOVE(&sizes[old_class], entry, by_size);
	if (listed && (!was_listed || class != old_class))
		TAILQ_INSERT_TAIL(&sizes[class], entry, by_size);
}

void
budget_entry_set(budget_entry_t *entry, budget_phase_t phase, size_t bytes)
{
	bool was_listed = is_listed_by_size(entry);
	unsigned old_class = size_class(entry->bytes);

	if (phase == entry->phase && bytes == entry->bytes)
		return;
	entry_unaccount(entry);
	entry->bytes = bytes;
	if (phase != entry->phase) {
		TAILQ_REMOVE(
		    &entry->share->phases[entry->phase], entry, by_phase);
		phase_enter(entry, phase);
	}
	entry_account(entry);
	size_update(entry, was_listed, old_class);
}

void
budget_entry_remove(budget_entry_t *entry)
{
	budget_entry_set(entry, BUDGET_CLOSING, 0);
	TAILQ_REMOVE(&entry->share->phases[entry->phase], entry, by_phase);
	entry->share->connections--;
	entry->share->budget->connections--;
}

static size_t
limit(const inbound_budget_t *budget, bool large)
{
	return budget->bytes_max - (large ? budget->bytes_reserved : 0);
}

bool
inbound_budget_has_room(
    const inbound_budget_t *budget, size_t bytes, bool large)
{
	size_t max = limit(budget, large);

	return budget->bytes <= max && bytes <= max - budget->bytes;
}

bool
inbound_share_may_fit(const inbound_share_t *share, size_t bytes)
{
	const inbound_budget_t *budget = share->budget;
	size_t max = limit(budget, bytes >= BUDGET_LARGE_BYTES);
	size_t wanted = share->connection_bytes + bytes;

	return budget->busy_bytes <= max && wanted <= max - budget->busy_bytes;
}

bool
inbound_budget_is_crowded(const inbound_budget_t *budget)
{
	return budget->bytes > budget->bytes_max / CROWDED_DIVISOR;
}

size_t
inbound_budget_request_max(const inbound_budget_t *budget)
{
	return limit(budget, true);
}

/* The oldest connection of a phase, over all listeners. */
static budget_entry_t *
oldest(const inbound_budget_t *budget, budget_phase_t phase)
{
	budget_entry_t *found = NULL;
	const inbound_share_t *share;

	TAILQ_FOREACH(share, &budget->shares, next)
	{
		budget_entry_t *first = TAILQ_FIRST(&share->phases[phase]);

		if (first != NULL &&
		    (found == NULL || first->since < found->since))
			found = first;
	}
	return found;
}

budget_entry_t *
inbound_budget_victim(const inbound_budget_t *budget, bool large)
{
	budget_entry_t *entry = NULL;

	for (unsigned i = BUDGET_SIZE_CLASSES; i > 0 && entry == NULL; i--)
		entry = TAILQ_FIRST(&budget->sizes[i - 1]);
	if (entry == NULL)
		entry = oldest(budget, BUDGET_CLOSING);
	if (entry == NULL)
		entry = oldest(budget, BUDGET_IDLE);
	if (entry == NULL && !large)
		entry = oldest(budget, BUDGET_INCOMPLETE);
	return entry;
}

budget_entry_t *
inbound_share_victim(const inbound_share_t *share)
{
	budget_entry_t *entry = NULL;

	for (unsigned phase = 0; phase < BUDGET_BUSY && entry == NULL; phase++)
		entry = TAILQ_FIRST(&share->phases[phase]);
	return entry;
}
