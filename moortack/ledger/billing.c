#include "moortack/ledger/billing.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"

#define HOLD_TIMEOUT_MS 400
#define HOLD_TRIES 3
#define BATCH_MAX 500
#define HAND_MAX 200
#define MS_PER_SEC 1000
#define US_PER_MS 1000
#define KEY_SIZE 64

enum billing_message {
	BILLING_RECORD,
	BILLING_DRAIN,
	BILLING_MEMBERS,
	BILLING_PEER_HOLDS, /**< a peer's question: keep these */
	BILLING_PEER_DROPS, /**< a peer's word: the store has these */
	BILLING_HELD,	    /**< a peer's answer */
	BILLING_HANDED,	    /**< a peer's answer to what was handed over */
};

typedef struct record {
	bill_t bill;
	uint64_t tag;
} record_t;

/** A record that no peer holds yet. */
typedef struct holding {
	bool used;
	record_t record;
	int tries;
} holding_t;

/** One flush of one incarnation's records. */
typedef struct flush {
	billing_t *billing;
	uint64_t incarnation;
	char mark_key[KEY_SIZE];
	char *mark_before; /**< NULL: there was none */
	interval_set_t mark;
	bill_t bills[BATCH_MAX];
	size_t count;
} flush_t;

struct billing {
	process_t process;
	const options_t *options;
	store_t *store;
	peers_t *peers;
	billing_ports_t ports;
	task_t task;
	bill_book_t book;
	members_t *members;
	table_t holdings; /**< holding_t; its handle is the tag of a question */
	struct event *tick;
	bool flushing;
	bool draining;
	bool handing; /**< a peer is being asked to take over */
	bill_t handed[HAND_MAX];
	size_t handed_count;
	int hand_tries;
};

static void flush_next(billing_t *);

static void
news_post(billing_t *billing, uint64_t tag, bill_kept_t kept)
{
	billing_news_t *news;

	if (tag == 0)
		return;
	news = malloc(sizeof(*news));
	if (news == NULL)
		return;
	*news = (billing_news_t){tag, kept};
	task_post(billing->ports.front, billing->ports.news, news, NULL);
}

static void
room_post(billing_t *billing)
{
	billing_room_t *room = malloc(sizeof(*room));

	if (room == NULL)
		return;
	room->count = bill_book_count(&billing->book);
	room->max = billing->book.max;
	room->drained =
	    billing->draining && bill_book_count(&billing->book) == 0;
	task_post(billing->ports.front, billing->ports.room, room, NULL);
}

/* --- holding: a peer keeps a copy ------------------------------------- */

/* A member that answers, elsewhere if there is one; another at each try. */
static const member_t *
holder_choose(const billing_t *billing, const holding_t *holding)
{
	uint32_t count = billing->members->rows.len;
	const member_t *fallback = NULL;

	for (uint32_t i = 0; i < count; i++) {
		const member_t *member = members_at(billing->members,
		    ((uint32_t)holding->record.bill.sequence +
			(uint32_t)holding->tries + i) %
			count);

		if (!member->answers || member->draining)
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
	news_post(billing, holding->record.tag, kept);
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
	peer_ask_t ask = {.timeout_ms = HOLD_TIMEOUT_MS,
	    .task = &billing->task,
	    .kind = BILLING_HELD,
	    .tag = handle};

	if (member == NULL || holding->tries++ >= HOLD_TRIES) {
		counter_add(billing->process.counters, COUNTER_BILLS_ALONE, 1);
		holding_end(billing, holding, BILL_ALONE);
		/* Nobody else holds it: the store is the next best. */
		flush_next(billing);
		return;
	}
	bill_pack(&holding->record.bill, &bill);
	hold.n_bills = 1;
	hold.bills = bills;
	envelope.body_case = WIRE__ENVELOPE__BODY_BILL_HOLD;
	envelope.bill_hold = &hold;
	ask.to = member->incarnation;
	peers_ask(billing->peers, &ask, &envelope);
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

static void
record_take(billing_t *billing, record_t *record)
{
	struct timespec now = clock_elapsed(billing->process.clock);
	handle_t handle;

	if (!bill_book_record(&billing->book, &record->bill, now)) {
		log_line(LOG_ERROR, LOG_LEDGER, "The bill book is full.");
		news_post(billing, record->tag, BILL_REFUSED);
		return;
	}
	counter_add(billing->process.counters, COUNTER_BILLS_RECORDED, 1);
	handle = holding_add(billing, record);
	if (handle == HANDLE_NONE)
		news_post(billing, record->tag, BILL_ALONE);
	else
		holding_ask(billing, handle);
}

static void
held_answered(billing_t *billing, const peer_answer_t *answer)
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

static void
peer_holds(billing_t *billing, const peer_question_t *question)
{
	const Wire__BillHold *hold = question->envelope->bill_hold;
	Wire__BillHeld held = WIRE__BILL_HELD__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	struct timespec now = clock_elapsed(billing->process.clock);

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
	peers_answer(billing->peers, question, &envelope);
}

static void
peer_drops(billing_t *billing, const peer_question_t *question)
{
	const Wire__BillDrop *drop = question->envelope->bill_drop;

	for (size_t i = 0; i < drop->n_ranges; i++)
		bill_book_drop(&billing->book, drop->incarnation,
		    drop->ranges[i]->first, drop->ranges[i]->last);
}

/* --- handing over: the store is out and this daemon leaves ------------- */

/* Any member may flush any record, so one more copy does no harm. */
static void
hand_over(billing_t *billing)
{
	const holding_t turn = {.tries = billing->hand_tries++};
	const member_t *member = holder_choose(billing, &turn);
	static bill_packed_t bills[HAND_MAX];
	Wire__Bill *pointers[HAND_MAX];
	Wire__BillHold hold = WIRE__BILL_HOLD__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	peer_ask_t ask = {.timeout_ms = HOLD_TIMEOUT_MS,
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
	peers_ask(billing->peers, &ask, &envelope);
}

static void
handed(billing_t *billing, const peer_answer_t *answer)
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
	room_post(billing);
	if (bill_book_count(&billing->book) > 0)
		hand_over(billing);
}

/* --- flushing: the store has it --------------------------------------- */

static void
flush_free(flush_t *flush)
{
	interval_set_finish(&flush->mark);
	free(flush->mark_before);
	free(flush);
}

static void
flush_end(flush_t *flush, bool more)
{
	billing_t *billing = flush->billing;

	billing->flushing = false;
	flush_free(flush);
	room_post(billing);
	if (more)
		flush_next(billing);
}

/* Tell the holders of this daemon's records what the store has. */
static void
drops_tell(billing_t *billing, const interval_set_t *mark)
{
	Wire__BillDrop drop = WIRE__BILL_DROP__INIT;
	Wire__BillRange range = WIRE__BILL_RANGE__INIT;
	Wire__BillRange *ranges[1] = {&range};
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	const interval_t *last =
	    table_at(&mark->intervals, mark->intervals.len - 1);

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
		peers_tell(billing->peers,
		    members_at(billing->members, h)->incarnation, &envelope);
}

static void
flush_written(void *arg, store_result_t result, const json_t *reply)
{
	flush_t *flush = arg;
	billing_t *billing = flush->billing;

	(void)reply;
	/* Lost or overtaken: the next flush reads the mark, which tells. */
	if (result != STORE_OK) {
		flush_end(flush, result == STORE_CONFLICT);
		return;
	}
	for (size_t i = 0; i < flush->count; i++)
		bill_book_drop(&billing->book, flush->incarnation,
		    flush->bills[i].sequence, flush->bills[i].sequence);
	counter_add(
	    billing->process.counters, COUNTER_BILLS_FLUSHED, flush->count);
	timeline_add(billing->process.timeline, EVENT_BILL_FLUSHED,
	    flush->mark_key, "%zu records", flush->count);
	if (flush->incarnation == billing->process.incarnation)
		drops_tell(billing, &flush->mark);
	flush_end(flush, true);
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
	char *mark = interval_set_text(&flush->mark);
	bool started = false;

	json_decref(batch);
	incarnation_text(flush->incarnation, incarnation);
	/* A number enters the mark once, so no other batch has this key. */
	snprintf(key, sizeof(key), "bill/%s/%012" PRIu64, incarnation,
	    flush->bills[0].sequence);
	if (text != NULL && mark != NULL) {
		started = store_txn(flush->billing->store,
		    json_pack(
			"[o]", store_row(flush->mark_key, flush->mark_before)),
		    json_pack("[o,o]", store_row(flush->mark_key, mark),
			store_row(key, text)),
		    flush_written, flush);
	}
	free(text);
	free(mark);
	return started;
}

static void
mark_read(void *arg, store_result_t result, const json_t *reply)
{
	flush_t *flush = arg;
	const char *mark = store_value(reply, flush->mark_key);

	if (result != STORE_OK) {
		if (flush->billing->draining)
			hand_over(flush->billing);
		flush_end(flush, false);
		return;
	}
	if (mark != NULL) {
		flush->mark_before = strdup(mark);
		if (!interval_set_parse(&flush->mark, mark)) {
			log_line(LOG_ERROR, LOG_LEDGER,
			    "The mark %s cannot be read.", flush->mark_key);
			flush_end(flush, false);
			return;
		}
	}
	flush->count = bill_book_collect(&flush->billing->book,
	    flush->incarnation, &flush->mark, flush->bills, BATCH_MAX);
	if (flush->count == 0)
		flush_end(flush, true);
	else if (!flush_write(flush))
		flush_end(flush, false);
}

static void
flush_next(billing_t *billing)
{
	struct timespec now = clock_elapsed(billing->process.clock);
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
	interval_set_init(&flush->mark);
	incarnation_text(due, incarnation);
	snprintf(
	    flush->mark_key, sizeof(flush->mark_key), "mark/%s", incarnation);
	billing->flushing = true;
	if (!store_get(billing->store, json_pack("[s]", flush->mark_key),
		mark_read, flush)) {
		billing->flushing = false;
		flush_free(flush);
	}
}

/* --- the task --------------------------------------------------------- */

static void
members_take(billing_t *billing, members_t *members)
{
	members_release(billing->members);
	billing->members = members_share(members);
}

static void
handle(void *state, msg_t *msg)
{
	billing_t *billing = state;

	switch ((enum billing_message)msg->kind) {
	case BILLING_RECORD:
		record_take(billing, msg->body);
		break;
	case BILLING_DRAIN:
		billing->draining = true;
		flush_next(billing);
		room_post(billing);
		break;
	case BILLING_MEMBERS:
		members_take(billing, msg->body);
		break;
	case BILLING_PEER_HOLDS:
		peer_holds(billing, msg->body);
		break;
	case BILLING_PEER_DROPS:
		peer_drops(billing, msg->body);
		break;
	case BILLING_HELD:
		held_answered(billing, msg->body);
		break;
	case BILLING_HANDED:
		handed(billing, msg->body);
		break;
	}
}

static void
ticked(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	flush_next(arg);
	room_post(arg);
}

void
billing_record(billing_t *billing, const bill_t *bill, uint64_t tag)
{
	record_t *record = malloc(sizeof(*record));

	if (record == NULL)
		return;
	*record = (record_t){*bill, tag};
	task_post(&billing->task, BILLING_RECORD, record, NULL);
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
billing_new(const process_t *process, const options_t *options, store_t *store,
    peers_t *peers, const billing_ports_t *ports)
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
	billing->ports = *ports;
	billing->members = members_new();
	table_init(&billing->holdings, sizeof(holding_t));
	bill_book_init(&billing->book, process->incarnation,
	    (uint32_t)options->bills_max, options->held_ms);
	task_init(&billing->task, process->base, handle, billing);
	peers_route(peers, WIRE__ENVELOPE__BODY_BILL_HOLD, &billing->task,
	    BILLING_PEER_HOLDS);
	peers_route(peers, WIRE__ENVELOPE__BODY_BILL_DROP, &billing->task,
	    BILLING_PEER_DROPS);
	billing->tick =
	    event_new(process->base, -1, EV_PERSIST, ticked, billing);
	event_add(billing->tick, &interval);
	return billing;
}

void
billing_free(billing_t *billing)
{
	event_free(billing->tick);
	task_finish(&billing->task);
	bill_book_finish(&billing->book);
	table_finish(&billing->holdings);
	members_release(billing->members);
	free(billing);
}
