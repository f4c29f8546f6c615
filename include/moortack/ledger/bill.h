/**
 * @file
 * One billing record. Its identity, incarnation and sequence, never changes.
 */
#ifndef MOORTACK_LEDGER_BILL_H
#define MOORTACK_LEDGER_BILL_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "moortack/config/config.h"
#include "moortack/wire/peer.pb-c.h"

#define BILL_REQUEST_SIZE 64
#define BILL_LINES_MAX 4

/** One run that a request needed; a cascade has several. */
typedef struct bill_line {
	char version[CONFIG_NAME_SIZE];
	char place[CONFIG_NAME_SIZE];
	uint64_t tokens_in;
	uint64_t tokens_out;
	uint64_t cost; /**< millionths of the billing unit */
} bill_line_t;

/** The lines come last, so that a copy may leave out those not used. */
typedef struct bill {
	uint64_t incarnation;
	uint64_t sequence;
	char request[BILL_REQUEST_SIZE];
	char organisation[CONFIG_NAME_SIZE];
	int64_t at_ms;	/**< wall-clock */
	bool truncated; /**< for what was delivered before a cut */
	uint32_t line_count;
	bill_line_t lines[BILL_LINES_MAX];
} bill_t;

/** Bytes of a record without the lines that it doesn't use. */
size_t bill_size(const bill_t *);

/** A record packed as a message, with what it points to. */
typedef struct bill_packed {
	Wire__Bill bill;
	Wire__BillLine lines[BILL_LINES_MAX];
	Wire__BillLine *pointers[BILL_LINES_MAX];
} bill_packed_t;

/** The record as the store keeps it. */
json_t *bill_json(const bill_t *);

/** The record as a message; it points into @p bill and @p out. */
void bill_pack(const bill_t *bill, bill_packed_t *out);

/** @return false when a text is too long */
bool bill_unpack(const Wire__Bill *, bill_t *out);

#endif
