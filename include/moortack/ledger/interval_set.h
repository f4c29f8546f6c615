/**
 * @file
 * A set of sequence numbers, kept as ranges: which billing records of one
 * incarnation the store has. Its text form is "1-57,60-60".
 */
#ifndef MOORTACK_LEDGER_INTERVAL_SET_H
#define MOORTACK_LEDGER_INTERVAL_SET_H

#include <stdbool.h>
#include <stdint.h>

#include "common/table.h"

/** Both ends are in the range. */
typedef struct interval {
	uint64_t first;
	uint64_t last;
} interval_t;

typedef struct interval_set {
	table_t intervals; /**< interval_t, in order, none touching */
} interval_set_t;

void interval_set_init(interval_set_t *);
void interval_set_finish(interval_set_t *);

/** @return false when memory is out */
bool interval_set_add(interval_set_t *, uint64_t number);
bool interval_set_contains(const interval_set_t *, uint64_t number);

/** Add what the text form lists. @return false when it is malformed */
bool interval_set_parse(interval_set_t *, const char *text);

/** The text form; the caller frees it. NULL when memory is out. */
char *interval_set_format(const interval_set_t *);

#endif
