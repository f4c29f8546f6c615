/**
 * @file
 * Suspicions and proofs of parts of prompts at one daemon, from crashes that it
 * detects, or is told of late, and from answers that it sees. Endpoints crash
 * for a part that crashes all of them, and for no reason, under any set of
 * parts.
 *
 * The oracle knows which part is bad and all that the daemon was given. It
 * checks that a part is refused only if three endpoints crashed under it, not
 * at the same moment, since it was last answered; that no answer is outweighed
 * by two crashes; and that the bad part is refused once three such crashes were
 * reported, unless they were explained by another part.
 */
#include <stdlib.h>
#include <string.h>

#include "../support/manual_clock.h"
#include "input.h"
#include "moortack/quarantine/proven_parts.h"
#include "moortack/quarantine/quarantine.h"

#define PARTS 6
/* The first one crashes each endpoint. */
#define BAD 0
#define VERSION 1
#define AGE_MAX_MS 4000
#define PROOF_EXPIRY_MS 600000
/* Reports kept; older ones belong to crashes that have expired. */
#define REPORTS_MAX 512

typedef struct report {
	uint32_t incarnation;
	int64_t crashed_ms;
} report_t;

/** Reports and answers of one part, as the oracle recorded them. */
typedef struct oracle {
	report_t reports[REPORTS_MAX]; /**< since it was last answered */
	size_t len;
	int64_t answered_ms; /**< 0: never */
	bool explained;	     /**< another part was quarantined since then */
} oracle_t;

static struct world {
	manual_clock_t clock;
	quarantine_t table;
	proven_parts_t proven;
	oracle_t oracles[PARTS];
	uint32_t last_incarnation;
} world;

static int64_t
now_ms(void)
{
	return timespec_to_ms(world.clock.now);
}

static uint64_t
digest_of(size_t part)
{
	return (1ULL << 63) + 1000 + part;
}

static void
on_quarantined(void *arg, const suspect_t *suspect)
{
	(void)arg;
	for (size_t i = 0; i < PARTS; i++)
		world.oracles[i].explained |= digest_of(i) != suspect->digest;
}

static void
on_released(void *arg, const suspect_t *suspect, quarantine_end_reason_t reason)
{
	(void)arg;
	(void)suspect;
	(void)reason;
}

static void
on_removed(void *arg, const suspect_t *suspect)
{
	(void)arg;
	(void)suspect;
}

static const quarantine_ops_t ops = {on_quarantined, on_released, on_removed};

/* Number of different incarnations reported since the last answer. */
static size_t
incarnations_count(const oracle_t *oracle)
{
	size_t count = 0;

	for (size_t i = 0; i < oracle->len; i++) {
		bool duplicate = false;

		for (size_t j = 0; j < i; j++)
			duplicate |= oracle->reports[j].incarnation ==
			    oracle->reports[i].incarnation;
		count += !duplicate;
	}
	return count;
}

/* Whether three of the reported crashes are further apart from each other than
 * the crashes of one failure, in the order of the reports. */
static bool
has_three_apart(const oracle_t *oracle)
{
	int64_t latest = 0;
	size_t count = 0;

	for (size_t i = 0; i < oracle->len; i++) {
		int64_t at = oracle->reports[i].crashed_ms;

		if (count > 0 && at - latest < PART_CRASH_SPACING_MS)
			continue;
		latest = at;
		count++;
	}
	return count >= QUARANTINE_CRASH_THRESHOLD;
}

static void
part_crash(size_t part, uint32_t incarnation, int64_t age_ms)
{
	oracle_t *oracle = &world.oracles[part];
	bool outweighed;

	if (oracle->len < REPORTS_MAX)
		oracle->reports[oracle->len++] =
		    (report_t){incarnation, now_ms() - age_ms};
	outweighed = proven_parts_outweigh(
	    &world.proven, digest_of(part), incarnation, now_ms());
	if (oracle->answered_ms == 0)
		FUZZ_CHECK(!outweighed);
	else if (now_ms() - oracle->answered_ms < PROOF_EXPIRY_MS &&
	    incarnations_count(oracle) <= PROOF_CRASHES_MAX)
		FUZZ_CHECK(outweighed);
	if (!outweighed)
		quarantine_record_crash(&world.table, digest_of(part),
		    incarnation, VERSION, age_ms, true);
}

/* @param parts bits of the parts that were under way */
static void
endpoint_crash(input_t *input, uint32_t parts)
{
	uint32_t incarnation = ++world.last_incarnation;
	int64_t age_ms = input_below(input, 3) == 0
	    ? input_below(input, 41) * (AGE_MAX_MS / 40)
	    : 0;

	for (size_t i = 0; i < PARTS; i++) {
		if ((parts >> i & 1) != 0)
			part_crash(i, incarnation, age_ms);
	}
}

static void
prompt_answer(uint32_t parts)
{
	proven_parts_count_answer(&world.proven);
	for (size_t i = 0; i < PARTS; i++) {
		if (i == BAD || (parts >> i & 1) == 0)
			continue;
		proven_parts_add(
		    &world.proven, digest_of(i), VERSION, now_ms());
		quarantine_clear(&world.table, digest_of(i));
		world.oracles[i] = (oracle_t){.answered_ms = now_ms()};
	}
}

static void
time_pass(int64_t ms)
{
	world.clock.now = timespec_add_ms(world.clock.now, ms);
	quarantine_explain_crashes(&world.table);
	quarantine_expire(&world.table);
}

static void
check(void)
{
	for (size_t i = 0; i < PARTS; i++) {
		const oracle_t *oracle = &world.oracles[i];
		bool refused = suspect_is_quarantined(
		    quarantine_find(&world.table, digest_of(i)));

		if (refused && oracle->len < REPORTS_MAX)
			FUZZ_CHECK(incarnations_count(oracle) >=
			    QUARANTINE_CRASH_THRESHOLD);
		if (i == BAD && !oracle->explained && has_three_apart(oracle))
			FUZZ_CHECK(refused);
	}
}

static void
step(input_t *input)
{
	uint32_t parts = input_below(input, 1U << PARTS);

	switch (input_below(input, 5)) {
	case 0:
		time_pass(input_below(input, 64) * 20);
		break;
	case 1:
		endpoint_crash(input, parts);
		break;
	case 2:
		endpoint_crash(input, parts | 1U << BAD);
		break;
	case 3:
		prompt_answer(parts);
		break;
	default:
		time_pass(PART_CRASH_SPACING_MS);
	}
	check();
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {bytes, len, 0};

	memset(&world, 0, sizeof(world));
	world.clock = (manual_clock_t){{&manual_clock_ops}, {1000, 0}};
	quarantine_init(&world.table, &world.clock.source, &ops, NULL);
	FUZZ_CHECK(proven_parts_init(&world.proven));
	while (!input_at_end(&input))
		step(&input);
	quarantine_finish(&world.table);
	proven_parts_finish(&world.proven);
	return 0;
}
