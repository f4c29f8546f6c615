/**
 * @file
 * Stateful fuzzing of billing: one owner and two holders, each with a book.
 * They flush to one table by reading the set of flushed numbers, then writing
 * it and the records if it is unchanged, in any interleaving. Responses are
 * lost after the write took effect, and any of the three goes down at any
 * point.
 *
 * The oracle is a count for each record in the table: never two, and, after
 * those that are alive have flushed, one for each record that any of them had.
 */
#include <string.h>

#include "input.h"
#include "moortack/ledger/bill_book.h"

#define BOOKS 3
#define RECORDS 64
#define BATCH 4
#define HELD_MS 50
#define OWNER 77

/** A flush between its read and its write. */
typedef struct flush {
	bool open;
	char *flushed_before;
	interval_set_t flushed;
	bill_t bills[BATCH];
	size_t count;
} flush_t;

typedef struct world {
	bill_book_t books[BOOKS];
	bool down[BOOKS];
	flush_t flushes[BOOKS];
	char *flushed; /**< the set in the table, as text */
	int stored[RECORDS + 1];
	struct timespec now;
} world_t;

static void
flush_close(flush_t *flush)
{
	if (!flush->open)
		return;
	free(flush->flushed_before);
	interval_set_finish(&flush->flushed);
	flush->open = false;
}

static void
record_bill(world_t *world, input_t *input)
{
	bill_t bill = {.line_count = 1};
	uint32_t holders = input_below(input, 4);

	if (world->down[0] || world->books[0].last_sequence == RECORDS)
		return;
	if (!bill_book_record(&world->books[0], &bill, world->now))
		return;
	for (int b = 1; b < BOOKS; b++) {
		if ((holders >> (b - 1) & 1) != 0 && !world->down[b])
			bill_book_hold(&world->books[b], &bill, world->now);
	}
}

static void
flush_read(world_t *world, int b, bool all)
{
	flush_t *flush = &world->flushes[b];
	uint64_t incarnation;

	if (world->down[b] || flush->open ||
	    !bill_book_due(&world->books[b], world->now, all, &incarnation))
		return;
	flush->open = true;
	flush->flushed_before =
	    world->flushed != NULL ? strdup(world->flushed) : NULL;
	interval_set_init(&flush->flushed);
	if (world->flushed != NULL)
		FUZZ_CHECK(interval_set_parse(&flush->flushed, world->flushed));
	flush->count = bill_book_collect(&world->books[b], incarnation,
	    &flush->flushed, flush->bills, BATCH);
	if (flush->count == 0)
		flush_close(flush);
}

static bool
flushed_unchanged(const world_t *world, const flush_t *flush)
{
	if (world->flushed == NULL || flush->flushed_before == NULL)
		return world->flushed == NULL && flush->flushed_before == NULL;
	return strcmp(world->flushed, flush->flushed_before) == 0;
}

static void
flush_write(world_t *world, int b, bool response_lost)
{
	flush_t *flush = &world->flushes[b];

	if (!flush->open)
		return;
	if (flushed_unchanged(world, flush)) {
		free(world->flushed);
		world->flushed = interval_set_format(&flush->flushed);
		for (size_t i = 0; i < flush->count; i++) {
			uint64_t sequence = flush->bills[i].sequence;

			FUZZ_CHECK(++world->stored[sequence] == 1);
		}
		for (size_t i = 0;
		     i < flush->count && !response_lost && !world->down[b]; i++)
			bill_book_remove(&world->books[b],
			    flush->bills[i].incarnation,
			    flush->bills[i].sequence, flush->bills[i].sequence);
	}
	flush_close(flush);
}

/* The owner's messages on the records in the table arrive at one daemon. */
static void
drops_receive(world_t *world, int b)
{
	for (uint64_t s = 1; s <= RECORDS; s++) {
		if (world->stored[s] == 1)
			bill_book_remove(&world->books[b], OWNER, s, s);
	}
}

static void
step(world_t *world, input_t *input)
{
	int b;

	switch (input_below(input, 8)) {
	case 0:
	case 1:
		record_bill(world, input);
		break;
	case 2:
	case 3:
		flush_read(world, (int)input_below(input, BOOKS), false);
		break;
	case 4:
	case 5:
		b = (int)input_below(input, BOOKS);
		flush_write(world, b, input_below(input, 3) == 0);
		break;
	case 6:
		drops_receive(world, (int)input_below(input, BOOKS));
		break;
	default:
		/* A write by a daemon that is now down may still reach the
		 * table. */
		if (input_below(input, 10) == 0)
			world->down[input_below(input, BOOKS)] = true;
		else
			world->now = timespec_add_ms(
			    world->now, input_below(input, HELD_MS));
		break;
	}
}

static void
flush_all(world_t *world)
{
	static bill_t left[RECORDS];

	for (int b = 0; b < BOOKS; b++) {
		while (
		    !world->down[b] && bill_book_count(&world->books[b]) > 0) {
			size_t count =
			    bill_book_copy(&world->books[b], left, RECORDS);

			flush_write(world, b, false);
			flush_read(world, b, true);
			flush_write(world, b, false);
			for (size_t i = 0; i < count &&
			     bill_book_count(&world->books[b]) == 0;
			     i++)
				FUZZ_CHECK(
				    world->stored[left[i].sequence] == 1);
		}
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	static world_t world;
	input_t input = {bytes, len, 0};

	memset(&world, 0, sizeof(world));
	for (int b = 0; b < BOOKS; b++)
		bill_book_init(
		    &world.books[b], OWNER + (uint64_t)b, 2 * RECORDS, HELD_MS);
	while (!input_at_end(&input))
		step(&world, &input);
	flush_all(&world);
	for (int b = 0; b < BOOKS; b++) {
		flush_close(&world.flushes[b]);
		bill_book_finish(&world.books[b]);
	}
	free(world.flushed);
	return 0;
}
