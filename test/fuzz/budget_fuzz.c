/**
 * @file
 * Connections of several listeners open, receive, are handled and close in any
 * order, and give way when there is no room. Checks that the account is the sum
 * of what they hold, that none gives way whose request is handled, that room is
 * found unless what is handled takes it, and that nothing is left at the end.
 */
#include <string.h>

#include "common/inbound_budget.h"
#include "input.h"

#define SHARES 3
#define ENTRIES 24
#define BYTES_STEP 4096
#define STEPS_MAX 4096

typedef struct model {
	inbound_budget_t budget;
	inbound_share_t shares[SHARES];
	budget_entry_t entries[ENTRIES];
	bool open[ENTRIES];
} model_t;

static void
sums_check(const model_t *model)
{
	size_t bytes = 0, busy = 0;
	uint32_t connections = 0;

	for (size_t i = 0; i < ENTRIES; i++) {
		const budget_entry_t *entry = &model->entries[i];

		if (!model->open[i])
			continue;
		connections++;
		bytes += entry->bytes;
		if (entry->phase == BUDGET_BUSY)
			busy += entry->bytes;
	}
	FUZZ_CHECK(model->budget.bytes == bytes);
	FUZZ_CHECK(model->budget.busy_bytes == busy);
	FUZZ_CHECK(model->budget.connections == connections);
}

static void
entry_close(model_t *model, budget_entry_t *entry)
{
	size_t i = (size_t)(entry - model->entries);

	FUZZ_CHECK(i < ENTRIES && model->open[i]);
	budget_entry_remove(entry);
	model->open[i] = false;
}

/* Half of the size of any large request is a smaller class. */
static void
victim_check(const model_t *model, const budget_entry_t *victim)
{
	FUZZ_CHECK(victim->phase != BUDGET_BUSY);
	for (size_t i = 0; i < ENTRIES; i++) {
		const budget_entry_t *entry = &model->entries[i];

		if (model->open[i] && entry->phase == BUDGET_INCOMPLETE &&
		    entry->bytes >= BUDGET_LARGE_BYTES)
			FUZZ_CHECK(victim->bytes > entry->bytes / 2);
	}
}

static void
room_make(model_t *model, size_t bytes, bool large)
{
	const inbound_budget_t *budget = &model->budget;
	size_t max = budget->bytes_max - (large ? budget->bytes_reserved : 0);

	while (!inbound_budget_has_room(budget, bytes, large)) {
		budget_entry_t *victim = inbound_budget_victim(budget, large);

		if (victim == NULL)
			break;
		victim_check(model, victim);
		entry_close(model, victim);
	}
	if (inbound_budget_has_room(budget, bytes, large))
		FUZZ_CHECK(budget->bytes + bytes <= max);
	else if (!large)
		FUZZ_CHECK(budget->bytes == budget->busy_bytes);
}

static void
share_room_make(model_t *model, inbound_share_t *share)
{
	budget_entry_t *victim;

	while (share->connections >= share->connections_max &&
	    (victim = inbound_share_victim(share)) != NULL) {
		FUZZ_CHECK(victim->share == share);
		FUZZ_CHECK(victim->phase != BUDGET_BUSY);
		entry_close(model, victim);
	}
}

static void
step(model_t *model, input_t *input)
{
	size_t i = input_below(input, ENTRIES);
	budget_entry_t *entry = &model->entries[i];
	size_t bytes = input_below(input, 256) * BYTES_STEP;
	inbound_share_t *share = &model->shares[input_below(input, SHARES)];

	switch (input_below(input, 6)) {
	case 0:
		share->connections_max = input_below(input, ENTRIES);
		share_room_make(model, share);
		break;
	case 1:
		inbound_budget_set_max(&model->budget, bytes);
		room_make(model, 0, false);
		FUZZ_CHECK(model->budget.bytes <= bytes ||
		    model->budget.bytes == model->budget.busy_bytes);
		break;
	case 2:
		if (model->open[i])
			entry_close(model, entry);
		break;
	case 3:
		room_make(model, bytes, bytes >= BUDGET_LARGE_BYTES);
		break;
	default:
		if (!model->open[i]) {
			share_room_make(model, share);
			budget_entry_add(entry, share, model, bytes);
			model->open[i] = true;
		} else {
			budget_entry_set(entry,
			    (budget_phase_t)input_below(input, BUDGET_PHASES),
			    bytes);
		}
		break;
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};
	static model_t model;

	memset(&model, 0, sizeof(model));
	inbound_budget_init(
	    &model.budget, input_below(&input, 256) * 16 * BYTES_STEP);
	for (size_t i = 0; i < SHARES; i++)
		inbound_share_init(&model.shares[i], &model.budget);
	for (int i = 0; i < STEPS_MAX && !input_at_end(&input); i++) {
		step(&model, &input);
		sums_check(&model);
	}
	for (size_t i = 0; i < ENTRIES; i++) {
		if (model.open[i])
			entry_close(&model, &model.entries[i]);
	}
	FUZZ_CHECK(model.budget.bytes == 0 && model.budget.busy_bytes == 0);
	FUZZ_CHECK(model.budget.connections == 0);
	FUZZ_CHECK(inbound_budget_victim(&model.budget, false) == NULL);
	for (size_t i = 0; i < SHARES; i++) {
		FUZZ_CHECK(model.shares[i].connections == 0);
		inbound_share_finish(&model.shares[i]);
	}
	return 0;
}
