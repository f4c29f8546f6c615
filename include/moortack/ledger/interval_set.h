/**
 * @file
 * A set of sequence numbers, stored as ranges: the billing records of one
 * incarnation that the store has. Its text form is "1-57,60-60".
 */
#ifndef MOORTACK_LEDGER_INTERVAL_SET_H
#define MOORTACK_LEDGER_INTERVAL_SET_H

#include <stdbool.h>
#include <stdint.h>

#include "common/table.h"

/** A range of numbers, with both ends included. */
typedef struct interval {
	uint64_t first;
	uint64_t last;
} interval_t;

typedef struct interval_set {
	table_t intervals; /**< interval_t, in order; neither overlapping
				nor adjacent */
} interval_set_t;

void interval_set_init(interval_set_t *);
void interval_set_finish(interval_set_t *);

/** @return false when memory is out */
bool interval_set_add(interval_set_t *, uint64_t number);
bool interval_set_contains(const interval_set_t *, uint64_t number);

/** Add the ranges of a text form, which must lie above those in the set.
 * @return false when it is malformed or memory is out */
bool interval_set_parse(interval_set_t *, const char *text);

/** The text form; the caller frees it. NULL when memory is out. */
char *interval_set_format(const interval_set_t *);

#endif
