/**
 * @file
 * Flushing. For each incarnation the row "mark/INCARNATION" holds the set of
 * flushed sequence numbers. It is written in one transaction with the records,
 * provided that it is as it was read: a record is in the table if, and only if,
 * its number is in the set.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "billing_priv.h"
#include "common/log.h"

#define BATCH_MAX 500
#define KEY_SIZE 64

/** One flush of one incarnation's records. */
typedef struct flush {
	billing_t *billing;
	uint64_t incarnation;
	char flushed_key[KEY_SIZE];
	char *flushed_before; /**< as it was read; NULL: there was no row */
	interval_set_t flushed;
	bill_t bills[BATCH_MAX];
	size_t count;
} flush_t;

static void
flush_free(flush_t *flush)
{
	interval_set_finish(&flush->flushed);
	free(flush->flushed_before);
	free(flush);
}

static void
flush_finish(flush_t *flush, bool more)
{
	billing_t *billing = flush->billing;

	billing->flushing = false;
	flush_free(flush);
	billing_status_post(billing);
	if (more)
		billing_flush(billing);
}

/* Send the last range of flushed records to all members: any of them may hold
 * copies. */
static void
drops_broadcast(billing_t *billing, const interval_set_t *flushed)
{
	Wire__BillDrop drop = WIRE__BILL_DROP__INIT;
	Wire__BillRange range = WIRE__BILL_RANGE__INIT;
	Wire__BillRange *ranges[1] = {&range};
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	const interval_t *last =
	    table_at(&flushed->intervals, flushed->intervals.len - 1);

	if (last == NULL)
		return;
	range.first = last->first;
	range.last = last->last;
	drop.incarnation = billing->process.incarnation;
	drop.n_ranges = 1;
	drop.ranges = ranges;
	envelope.body_case = WIRE__ENVELOPE__BODY_BILL_DROP;
	envelope.bill_drop = &drop;
	for (handle_t h = 0; h < billing->members->rows.len; h++)
		peers_send_message(billing->peers,
		    members_at(billing->members, h)->incarnation, &envelope);
}

static void
flush_write_done(void *arg, store_result_t result, const json_t *response)
{
	flush_t *flush = arg;
	billing_t *billing = flush->billing;

	(void)response;
	/* The response was lost, or another daemon wrote first: the next flush
	 * reads the set again and skips what it has. */
	if (result != STORE_OK) {
		flush_finish(flush, result == STORE_CONFLICT);
		return;
	}
	for (size_t i = 0; i < flush->count; i++)
		bill_book_remove(&billing->book, flush->incarnation,
		    flush->bills[i].sequence, flush->bills[i].sequence);
	counter_add(
	    billing->process.counters, COUNTER_BILLS_FLUSHED, flush->count);
	timeline_add(billing->process.timeline, EVENT_BILL_FLUSHED,
	    flush->flushed_key, "%zu records", flush->count);
	if (flush->incarnation == billing->process.incarnation)
		drops_broadcast(billing, &flush->flushed);
	flush_finish(flush, true);
}

static json_t *
batch_json(const flush_t *flush)
{
	json_t *batch = json_array();

	for (size_t i = 0; i < flush->count; i++)
		json_array_append_new(batch, bill_json(&flush->bills[i]));
	return batch;
}

static bool
flush_write(flush_t *flush)
{
	char incarnation[INCARNATION_TEXT_SIZE];
	char key[KEY_SIZE];
	json_t *batch = batch_json(flush);
	char *text = json_dumps(batch, JSON_COMPACT);
	char *flushed_text = interval_set_format(&flush->flushed);
	bool started = false;

	json_decref(batch);
	incarnation_format(flush->incarnation, incarnation);
	/* A number enters the set only once, so no other batch has this key. */
	snprintf(key, sizeof(key), "bill/%s/%012" PRIu64, incarnation,
	    flush->bills[0].sequence);
	if (text != NULL && flushed_text != NULL) {
		started = store_txn(flush->billing->store,
		    json_pack("[o]",
			store_row_new(
			    flush->flushed_key, flush->flushed_before)),
		    json_pack("[o,o]",
			store_row_new(flush->flushed_key, flushed_text),
			store_row_new(key, text)),
		    flush_write_done, flush);
	}
	free(text);
	free(flushed_text);
	return started;
}

static void
flushed_read(void *arg, store_result_t result, const json_t *response)
{
	flush_t *flush = arg;
	const char *flushed_text =
	    store_response_value(response, flush->flushed_key);

	if (result != STORE_OK) {
		if (flush->billing->draining)
			billing_handover_start(flush->billing);
		flush_finish(flush, false);
		return;
	}
	if (flushed_text != NULL) {
		flush->flushed_before = strdup(flushed_text);
		if (!interval_set_parse(&flush->flushed, flushed_text)) {
			log_line(LOG_ERROR, LOG_LEDGER,
			    "The set of flushed records in row %s is "
			    "malformed.",
			    flush->flushed_key);
			flush_finish(flush, false);
			return;
		}
	}
	flush->count = bill_book_collect(&flush->billing->book,
	    flush->incarnation, &flush->flushed, flush->bills, BATCH_MAX);
	if (flush->count == 0)
		flush_finish(flush, true);
	else if (!flush_write(flush))
		flush_finish(flush, false);
}

void
billing_flush(billing_t *billing)
{
	struct timespec now = clock_boottime(billing->process.clock);
	char incarnation[INCARNATION_TEXT_SIZE];
	uint64_t due;
	flush_t *flush;

	if (billing->flushing ||
	    !bill_book_due(&billing->book, now, billing->draining, &due))
		return;
	flush = calloc(1, sizeof(*flush));
	if (flush == NULL)
		return;
	flush->billing = billing;
	flush->incarnation = due;
	interval_set_init(&flush->flushed);
	incarnation_format(due, incarnation);
	snprintf(flush->flushed_key, sizeof(flush->flushed_key), "mark/%s",
	    incarnation);
	billing->flushing = true;
	if (!store_get(billing->store, json_pack("[s]", flush->flushed_key),
		flushed_read, flush)) {
		billing->flushing = false;
		flush_free(flush);
	}
}
