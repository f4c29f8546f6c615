/**
 * @file
 * One billing record. It is identified by its incarnation and sequence, which
 * never change.
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

/** One execution of a request; a cascade has several. */
typedef struct bill_line {
	char version[CONFIG_NAME_SIZE];
	char place[CONFIG_NAME_SIZE];
	uint64_t tokens_in;
	uint64_t tokens_out;
	uint64_t cost; /**< millionths of the billing unit */
} bill_line_t;

/** A billing record. @c lines is the last field, so that a stored copy can omit
 * the unused ones: see bill_size(). */
typedef struct bill {
	uint64_t incarnation;
	uint64_t sequence;
	char request[BILL_REQUEST_SIZE];
	char organisation[CONFIG_NAME_SIZE];
	int64_t at_ms;	/**< wall-clock */
	bool truncated; /**< billed for what was delivered before the
			 response was truncated */
	uint32_t line_count;
	bill_line_t lines[BILL_LINES_MAX];
} bill_t;

/** The size of a record without its unused lines, in bytes. */
size_t bill_size(const bill_t *);

/** A record as a protobuf message, with the storage that it points to. */
typedef struct bill_packed {
	Wire__Bill bill;
	Wire__BillLine lines[BILL_LINES_MAX];
	Wire__BillLine *pointers[BILL_LINES_MAX];
} bill_packed_t;

/** The record in the JSON form in which it is stored. */
json_t *bill_json(const bill_t *);

/** Encode the record as a message, which points into @p bill and @p out. */
void bill_pack(const bill_t *bill, bill_packed_t *out);

/** Decode a message.
 * @return false when a string is too long or there are more than
 * BILL_LINES_MAX lines */
bool bill_unpack(const Wire__Bill *, bill_t *out);

#endif
