/**
 * @file
 * Has a peer hold a copy of each record, and hands the records over to a peer
 * when this daemon shuts down while the store is unavailable.
 */
#include <inttypes.h>
#include <string.h>

#include "billing_priv.h"
#include "common/log.h"

#define HOLD_TIMEOUT_MS 400
#define HOLD_TRIES 3

/* A partner that responds, in another place if there is one. Each try starts at
 * the next partner. */
static const member_t *
holder_select(const billing_t *billing, const pending_hold_t *pending)
{
	uint32_t first = (uint32_t)pending->tagged_bill.bill.sequence +
	    (uint32_t)pending->tries;
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
pending_hold_finish(
    billing_t *billing, pending_hold_t *pending, bill_durability_t durability)
{
	billing_result_post(billing, pending->tagged_bill.tag, durability);
	pending->used = false;
}

static void
pending_hold_query(billing_t *billing, handle_t handle)
{
	pending_hold_t *pending = table_at(&billing->pending_holds, handle);
	const member_t *member = holder_select(billing, pending);
	bill_packed_t bill;
	Wire__Bill *bills[1] = {&bill.bill};
	Wire__BillHold hold = WIRE__BILL_HOLD__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	peer_query_options_t peer_query = {.timeout_ms = HOLD_TIMEOUT_MS,
	    .task = &billing->task,
	    .kind = BILLING_HOLD_RESPONSE,
	    .tag = handle};

	if (member == NULL || pending->tries++ >= HOLD_TRIES) {
		counter_add(
		    billing->process.counters, COUNTER_BILLS_UNREPLICATED, 1);
		pending_hold_finish(billing, pending, BILL_UNREPLICATED);
		/* No peer holds it, so it is flushed to the store at once. */
		billing_flush(billing);
		return;
	}
	bill_pack(&pending->tagged_bill.bill, &bill);
	hold.n_bills = 1;
	hold.bills = bills;
	envelope.body_case = WIRE__ENVELOPE__BODY_BILL_HOLD;
	envelope.bill_hold = &hold;
	peer_query.to = member->incarnation;
	peers_query(billing->peers, &peer_query, &envelope);
}

static handle_t
pending_hold_add(billing_t *billing, const tagged_bill_t *tagged_bill)
{
	handle_t handle = 0;
	pending_hold_t *pending;

	while (handle < billing->pending_holds.len &&
	    ((pending_hold_t *)table_at(&billing->pending_holds, handle))->used)
		handle++;
	if (handle == billing->pending_holds.len &&
	    table_add(&billing->pending_holds) == NULL)
		return HANDLE_NONE;
	pending = table_at(&billing->pending_holds, handle);
	*pending = (pending_hold_t){.used = true, .tagged_bill = *tagged_bill};
	return handle;
}

void
billing_bill_accept(billing_t *billing, tagged_bill_t *tagged_bill)
{
	struct timespec now = clock_boottime(billing->process.clock);
	handle_t handle;

	if (!bill_book_record(&billing->book, &tagged_bill->bill, now)) {
		log_line(LOG_ERROR, LOG_LEDGER,
		    "A bill was not recorded: the bill book is full.");
		billing_result_post(
		    billing, tagged_bill->tag, BILL_NOT_RECORDED);
		return;
	}
	counter_add(billing->process.counters, COUNTER_BILLS_RECORDED, 1);
	handle = pending_hold_add(billing, tagged_bill);
	if (handle == HANDLE_NONE)
		billing_result_post(
		    billing, tagged_bill->tag, BILL_UNREPLICATED);
	else
		pending_hold_query(billing, handle);
}

void
billing_hold_responded(billing_t *billing, const peer_response_t *response)
{
	pending_hold_t *pending =
	    table_at(&billing->pending_holds, (handle_t)response->tag);
	bool held = response->envelope != NULL &&
	    response->envelope->body_case == WIRE__ENVELOPE__BODY_BILL_HELD &&
	    response->envelope->bill_held->held;

	if (pending == NULL || !pending->used)
		return;
	if (held)
		pending_hold_finish(billing, pending, BILL_REPLICATED);
	else
		pending_hold_query(billing, (handle_t)response->tag);
}

void
billing_hold_query(billing_t *billing, const peer_query_t *query)
{
	const Wire__BillHold *hold = query->envelope->bill_hold;
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
	peers_respond(billing->peers, query, &envelope);
}

void
billing_drop_message(billing_t *billing, const peer_query_t *message)
{
	const Wire__BillDrop *drop = message->envelope->bill_drop;

	for (size_t i = 0; i < drop->n_ranges; i++)
		bill_book_remove(&billing->book, drop->incarnation,
		    drop->ranges[i]->first, drop->ranges[i]->last);
}

/* Any daemon may flush any record, so a copy that another one holds, too, does
 * no harm. */
void
billing_handover_start(billing_t *billing)
{
	const pending_hold_t selection = {.tries = billing->handover_tries++};
	const member_t *member = holder_select(billing, &selection);
	static bill_packed_t bills[HANDOVER_MAX];
	Wire__Bill *pointers[HANDOVER_MAX];
	Wire__BillHold hold = WIRE__BILL_HOLD__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	peer_query_options_t peer_query = {.timeout_ms = HOLD_TIMEOUT_MS,
	    .task = &billing->task,
	    .kind = BILLING_HANDOVER_RESPONSE};

	if (billing->handover_pending || member == NULL)
		return;
	billing->handover_count = bill_book_copy(
	    &billing->book, billing->handover_bills, HANDOVER_MAX);
	if (billing->handover_count == 0)
		return;
	for (size_t i = 0; i < billing->handover_count; i++) {
		bill_pack(&billing->handover_bills[i], &bills[i]);
		pointers[i] = &bills[i].bill;
	}
	hold.n_bills = billing->handover_count;
	hold.bills = pointers;
	envelope.body_case = WIRE__ENVELOPE__BODY_BILL_HOLD;
	envelope.bill_hold = &hold;
	peer_query.to = member->incarnation;
	billing->handover_pending = true;
	peers_query(billing->peers, &peer_query, &envelope);
}

void
billing_handover_responded(billing_t *billing, const peer_response_t *response)
{
	billing->handover_pending = false;
	if (response->envelope != NULL &&
	    response->envelope->body_case == WIRE__ENVELOPE__BODY_BILL_HELD &&
	    response->envelope->bill_held->held) {
		for (size_t i = 0; i < billing->handover_count; i++)
			bill_book_remove(&billing->book,
			    billing->handover_bills[i].incarnation,
			    billing->handover_bills[i].sequence,
			    billing->handover_bills[i].sequence);
	}
	billing_status_post(billing);
	if (bill_book_count(&billing->book) > 0)
		billing_handover_start(billing);
}
