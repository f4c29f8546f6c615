#include "moortack/ledger/billing.h"

#include <stdlib.h>

#include "billing_priv.h"

#define MS_PER_SEC 1000
#define US_PER_MS 1000

void
billing_result_post(
    billing_t *billing, uint64_t tag, bill_durability_t durability)
{
	billing_result_t *result;

	if (tag == 0)
		return;
	result = malloc(sizeof(*result));
	if (result == NULL)
		return;
	*result = (billing_result_t){tag, durability};
	task_post(billing->listener.front, billing->listener.result_kind,
	    result, NULL);
}

void
billing_status_post(billing_t *billing)
{
	billing_status_t *status = malloc(sizeof(*status));

	if (status == NULL)
		return;
	status->unflushed_count = bill_book_count(&billing->book);
	status->unflushed_max = billing->book.records_max;
	status->drained =
	    billing->draining && bill_book_count(&billing->book) == 0;
	task_post(billing->listener.front, billing->listener.status_kind,
	    status, NULL);
}

static void
members_apply(billing_t *billing, members_t *members)
{
	members_release(billing->members);
	billing->members = members_acquire(members);
}

static void
message_handle(void *state, task_msg_t *msg)
{
	billing_t *billing = state;

	switch ((enum billing_message)msg->kind) {
	case BILLING_RECORD:
		billing_bill_accept(billing, msg->body);
		break;
	case BILLING_DRAIN:
		billing->draining = true;
		billing_flush(billing);
		billing_status_post(billing);
		break;
	case BILLING_MEMBERS:
		members_apply(billing, msg->body);
		break;
	case BILLING_HOLD_QUERY:
		billing_hold_query(billing, msg->body);
		break;
	case BILLING_DROP_MESSAGE:
		billing_drop_message(billing, msg->body);
		break;
	case BILLING_HOLD_RESPONSE:
		billing_hold_responded(billing, msg->body);
		break;
	case BILLING_HANDOVER_RESPONSE:
		billing_handover_responded(billing, msg->body);
		break;
	}
}

static void
flush_timer_fired(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	billing_flush(arg);
	billing_status_post(arg);
}

void
billing_record(billing_t *billing, const bill_t *bill, uint64_t tag)
{
	tagged_bill_t *tagged_bill = malloc(sizeof(*tagged_bill));

	if (tagged_bill == NULL)
		return;
	*tagged_bill = (tagged_bill_t){*bill, tag};
	task_post(&billing->task, BILLING_RECORD, tagged_bill, NULL);
}

void
billing_drain(billing_t *billing)
{
	task_post(&billing->task, BILLING_DRAIN, NULL, NULL);
}

task_t *
billing_task(billing_t *billing)
{
	return &billing->task;
}

int
billing_members_kind(void)
{
	return BILLING_MEMBERS;
}

billing_t *
billing_new(const process_context_t *process, const options_t *options,
    store_t *store, peers_t *peers, const billing_listener_t *listener)
{
	billing_t *billing = calloc(1, sizeof(*billing));
	struct timeval interval = {options->flush_ms / MS_PER_SEC,
	    options->flush_ms % MS_PER_SEC * US_PER_MS};

	if (billing == NULL)
		return NULL;
	billing->process = *process;
	billing->options = options;
	billing->store = store;
	billing->peers = peers;
	billing->listener = *listener;
	billing->members = members_new();
	table_init(&billing->pending_holds, sizeof(pending_hold_t));
	bill_book_init(&billing->book, process->incarnation,
	    (uint32_t)options->bills_max, options->held_ms);
	task_init(&billing->task, process->base, message_handle, billing);
	peers_handler_set(peers, WIRE__ENVELOPE__BODY_BILL_HOLD, &billing->task,
	    BILLING_HOLD_QUERY);
	peers_handler_set(peers, WIRE__ENVELOPE__BODY_BILL_DROP, &billing->task,
	    BILLING_DROP_MESSAGE);
	billing->flush_timer = event_new(
	    process->base, -1, EV_PERSIST, flush_timer_fired, billing);
	event_add(billing->flush_timer, &interval);
	return billing;
}

void
billing_free(billing_t *billing)
{
	event_free(billing->flush_timer);
	task_finish(&billing->task);
	bill_book_finish(&billing->book);
	table_finish(&billing->pending_holds);
	members_release(billing->members);
	free(billing);
}
