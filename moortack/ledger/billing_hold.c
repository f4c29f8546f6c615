/**
 * @file
 * Holding: a peer keeps a copy of each record; and handing over, when this
 * daemon leaves while the table is out.
 */
#include <inttypes.h>
#include <string.h>

#include "billing_priv.h"
#include "common/log.h"

#define HOLD_TIMEOUT_MS 400
#define HOLD_TRIES 3

/* A partner that answers, elsewhere if there is one; another at each try. */
static const member_t *
holder_choose(const billing_t *billing, const holding_t *holding)
{
	uint32_t first =
	    (uint32_t)holding->record.bill.sequence + (uint32_t)holding->tries;
	const member_t *fallback = NULL;

	for (uint32_t i = 0; i < MEMBERS_PARTNERS_MAX; i++) {
		const member_t *member =
		    members_partner_at(billing->members, first + i);

		if (member == NULL || !member->responsive || member->draining)
			continue;
		if (strcmp(member->place, billing->options->place) != 0)
			return member;
		if (fallback == NULL)
			fallback = member;
	}
	return fallback;
}

static void
holding_end(billing_t *billing, holding_t *holding, bill_kept_t kept)
{
	billing_news_post(billing, holding->record.tag, kept);
	holding->used = false;
}

static void
holding_ask(billing_t *billing, handle_t handle)
{
	holding_t *holding = table_at(&billing->holdings, handle);
	const member_t *member = holder_choose(billing, holding);
	bill_packed_t bill;
	Wire__Bill *bills[1] = {&bill.bill};
	Wire__BillHold hold = WIRE__BILL_HOLD__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	peer_query_options_t ask = {.timeout_ms = HOLD_TIMEOUT_MS,
	    .task = &billing->task,
	    .kind = BILLING_HELD,
	    .tag = handle};

	if (member == NULL || holding->tries++ >= HOLD_TRIES) {
		counter_add(
		    billing->process.counters, COUNTER_BILLS_UNREPLICATED, 1);
		holding_end(billing, holding, BILL_ALONE);
		/* Nobody else holds it: the store is the next best. */
		billing_flush(billing);
		return;
	}
	bill_pack(&holding->record.bill, &bill);
	hold.n_bills = 1;
	hold.bills = bills;
	envelope.body_case = WIRE__ENVELOPE__BODY_BILL_HOLD;
	envelope.bill_hold = &hold;
	ask.to = member->incarnation;
	peers_query(billing->peers, &ask, &envelope);
}

static handle_t
holding_add(billing_t *billing, const record_t *record)
{
	handle_t handle = 0;
	holding_t *holding;

	while (handle < billing->holdings.len &&
	    ((holding_t *)table_at(&billing->holdings, handle))->used)
		handle++;
	if (handle == billing->holdings.len &&
	    table_add(&billing->holdings) == NULL)
		return HANDLE_NONE;
	holding = table_at(&billing->holdings, handle);
	*holding = (holding_t){.used = true, .record = *record};
	return handle;
}

void
billing_take(billing_t *billing, record_t *record)
{
	struct timespec now = clock_boottime(billing->process.clock);
	handle_t handle;

	if (!bill_book_record(&billing->book, &record->bill, now)) {
		log_line(LOG_ERROR, LOG_LEDGER, "The bill book is full.");
		billing_news_post(billing, record->tag, BILL_REFUSED);
		return;
	}
	counter_add(billing->process.counters, COUNTER_BILLS_RECORDED, 1);
	handle = holding_add(billing, record);
	if (handle == HANDLE_NONE)
		billing_news_post(billing, record->tag, BILL_ALONE);
	else
		holding_ask(billing, handle);
}

void
billing_held(billing_t *billing, const peer_response_t *answer)
{
	holding_t *holding =
	    table_at(&billing->holdings, (handle_t)answer->tag);
	bool held = answer->envelope != NULL &&
	    answer->envelope->body_case == WIRE__ENVELOPE__BODY_BILL_HELD &&
	    answer->envelope->bill_held->held;

	if (holding == NULL || !holding->used)
		return;
	if (held)
		holding_end(billing, holding, BILL_HELD);
	else
		holding_ask(billing, (handle_t)answer->tag);
}

void
billing_peer_holds(billing_t *billing, const peer_query_t *question)
{
	const Wire__BillHold *hold = question->envelope->bill_hold;
	Wire__BillHeld held = WIRE__BILL_HELD__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	struct timespec now = clock_boottime(billing->process.clock);

	held.held = !billing->draining;
	for (size_t i = 0; i < hold->n_bills && held.held; i++) {
		bill_t bill;

		held.held = bill_unpack(hold->bills[i], &bill) &&
		    bill_book_hold(&billing->book, &bill, now);
		if (!held.held)
			break;
		counter_add(billing->process.counters, COUNTER_BILLS_HELD, 1);
		timeline_add(billing->process.timeline, EVENT_BILL_HELD,
		    bill.request, "sequence %" PRIu64, bill.sequence);
	}
	envelope.body_case = WIRE__ENVELOPE__BODY_BILL_HELD;
	envelope.bill_held = &held;
	peers_respond(billing->peers, question, &envelope);
}

void
billing_peer_drops(billing_t *billing, const peer_query_t *question)
{
	const Wire__BillDrop *drop = question->envelope->bill_drop;

	for (size_t i = 0; i < drop->n_ranges; i++)
		bill_book_drop(&billing->book, drop->incarnation,
		    drop->ranges[i]->first, drop->ranges[i]->last);
}

/* Any member may flush any record, so one more copy does no harm. */
void
billing_hand_over(billing_t *billing)
{
	const holding_t turn = {.tries = billing->hand_tries++};
	const member_t *member = holder_choose(billing, &turn);
	static bill_packed_t bills[HAND_MAX];
	Wire__Bill *pointers[HAND_MAX];
	Wire__BillHold hold = WIRE__BILL_HOLD__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	peer_query_options_t ask = {.timeout_ms = HOLD_TIMEOUT_MS,
	    .task = &billing->task,
	    .kind = BILLING_HANDED};

	if (billing->handing || member == NULL)
		return;
	billing->handed_count =
	    bill_book_copy(&billing->book, billing->handed, HAND_MAX);
	if (billing->handed_count == 0)
		return;
	for (size_t i = 0; i < billing->handed_count; i++) {
		bill_pack(&billing->handed[i], &bills[i]);
		pointers[i] = &bills[i].bill;
	}
	hold.n_bills = billing->handed_count;
	hold.bills = pointers;
	envelope.body_case = WIRE__ENVELOPE__BODY_BILL_HOLD;
	envelope.bill_hold = &hold;
	ask.to = member->incarnation;
	billing->handing = true;
	peers_query(billing->peers, &ask, &envelope);
}

void
billing_handed(billing_t *billing, const peer_response_t *answer)
{
	billing->handing = false;
	if (answer->envelope != NULL &&
	    answer->envelope->body_case == WIRE__ENVELOPE__BODY_BILL_HELD &&
	    answer->envelope->bill_held->held) {
		for (size_t i = 0; i < billing->handed_count; i++)
			bill_book_drop(&billing->book,
			    billing->handed[i].incarnation,
			    billing->handed[i].sequence,
			    billing->handed[i].sequence);
	}
	billing_room_post(billing);
	if (bill_book_count(&billing->book) > 0)
		billing_hand_over(billing);
}
