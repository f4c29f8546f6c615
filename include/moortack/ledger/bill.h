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

typedef struct bill {
	uint64_t incarnation;
	uint64_t sequence;
	char request[BILL_REQUEST_SIZE];
	char organisation[CONFIG_NAME_SIZE];
	char version[CONFIG_NAME_SIZE];
	char place[CONFIG_NAME_SIZE];
	uint64_t tokens_in;
	uint64_t tokens_out;
	uint64_t cost; /**< millionths of the billing unit */
	int64_t at_ms; /**< wall-clock */
	bool cut;      /**< for what was delivered before a cut */
} bill_t;

/** The record as the store keeps it. */
json_t *bill_json(const bill_t *);

/** The record as a message; it points into @p bill. */
void bill_pack(const bill_t *bill, Wire__Bill *out);

/** @return false when a text is too long */
bool bill_unpack(const Wire__Bill *, bill_t *out);

#endif
