/**
 * @file
 * Stateful fuzzing of billing: one owner and two holders, each with a book,
 * flushing to one table by read-the-mark, then write-if-unchanged, in any
 * interleaving, with replies lost after the write took effect, and with any of
 * them dying at any point.
 *
 * The oracle is a count for each record: never two in the table, and, once the
 * living have flushed, one for each that any living one had.
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
	char *mark_before;
	interval_set_t mark;
	bill_t bills[BATCH];
	size_t count;
} flush_t;

typedef struct world {
	bill_book_t books[BOOKS];
	bool dead[BOOKS];
	flush_t flushes[BOOKS];
	char *mark; /**< the table's */
	int stored[RECORDS + 1];
	struct timespec now;
} world_t;

static void
flush_close(flush_t *flush)
{
	if (!flush->open)
		return;
	free(flush->mark_before);
	interval_set_finish(&flush->mark);
	flush->open = false;
}

static void
record(world_t *world, input_t *input)
{
	bill_t bill = {.line_count = 1};
	uint32_t holders = input_below(input, 4);

	if (world->dead[0] || world->books[0].last_sequence == RECORDS)
		return;
	if (!bill_book_record(&world->books[0], &bill, world->now))
		return;
	for (int b = 1; b < BOOKS; b++) {
		if ((holders >> (b - 1) & 1) != 0 && !world->dead[b])
			bill_book_hold(&world->books[b], &bill, world->now);
	}
}

static void
flush_read(world_t *world, int b, bool all)
{
	flush_t *flush = &world->flushes[b];
	uint64_t incarnation;

	if (world->dead[b] || flush->open ||
	    !bill_book_due(&world->books[b], world->now, all, &incarnation))
		return;
	flush->open = true;
	flush->mark_before = world->mark != NULL ? strdup(world->mark) : NULL;
	interval_set_init(&flush->mark);
	if (world->mark != NULL)
		FUZZ_CHECK(interval_set_parse(&flush->mark, world->mark));
	flush->count = bill_book_collect(
	    &world->books[b], incarnation, &flush->mark, flush->bills, BATCH);
	if (flush->count == 0)
		flush_close(flush);
}

static bool
mark_unchanged(const world_t *world, const flush_t *flush)
{
	if (world->mark == NULL || flush->mark_before == NULL)
		return world->mark == NULL && flush->mark_before == NULL;
	return strcmp(world->mark, flush->mark_before) == 0;
}

static void
flush_write(world_t *world, int b, bool reply_lost)
{
	flush_t *flush = &world->flushes[b];

	if (!flush->open)
		return;
	if (mark_unchanged(world, flush)) {
		free(world->mark);
		world->mark = interval_set_format(&flush->mark);
		for (size_t i = 0; i < flush->count; i++) {
			uint64_t sequence = flush->bills[i].sequence;

			FUZZ_CHECK(++world->stored[sequence] == 1);
		}
		for (size_t i = 0;
		     i < flush->count && !reply_lost && !world->dead[b]; i++)
			bill_book_remove(&world->books[b],
			    flush->bills[i].incarnation,
			    flush->bills[i].sequence, flush->bills[i].sequence);
	}
	flush_close(flush);
}

/* The owner tells holders what the table has. */
static void
drop_tell(world_t *world, int b)
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
		record(world, input);
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
		drop_tell(world, (int)input_below(input, BOOKS));
		break;
	default:
		/* A write of one that died may still reach the table. */
		if (input_below(input, 10) == 0)
			world->dead[input_below(input, BOOKS)] = true;
		else
			world->now = timespec_add_ms(
			    world->now, input_below(input, HELD_MS));
		break;
	}
}

static void
settle(world_t *world)
{
	static bill_t left[RECORDS];

	for (int b = 0; b < BOOKS; b++) {
		while (
		    !world->dead[b] && bill_book_count(&world->books[b]) > 0) {
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
	settle(&world);
	for (int b = 0; b < BOOKS; b++) {
		flush_close(&world.flushes[b]);
		bill_book_finish(&world.books[b]);
	}
	free(world.mark);
	return 0;
}
