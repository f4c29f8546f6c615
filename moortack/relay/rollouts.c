#include "rollouts_priv.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "moortack/replication/era_version.h"

#define TICK_US 200000
#define WRITE_TIMEOUT_MS 1500
/* The first in the order of members acts at once, each later one waits. */
#define RANK_DELAY_MS 400
#define RETRY_MS 500
/* Orders and states older than this let no share grow: what is asked for by
 * long questions is up to two of them old. */
#define UNCERTAIN_MS 3400
#define MS_PER_SEC 1000

rollout_t *
rollouts_find(const rollouts_t *self, const char *service)
{
	rollout_t *rollout;

	HASH_FIND_STR(self->all, service, rollout);
	return rollout;
}

static rollout_t *
rollout_of(rollouts_t *self, const char *service)
{
	rollout_t *rollout = rollouts_find(self, service);

	if (rollout != NULL || strlen(service) >= ENDPOINT_NAME_SIZE)
		return rollout;
	rollout = calloc(1, sizeof(*rollout));
	if (rollout == NULL)
		return NULL;
	rollout->owner = self;
	strcpy(rollout->order.service, service);
	HASH_ADD_KEYPTR(hh, self->all, rollout->order.service,
	    strlen(rollout->order.service), rollout);
	return rollout;
}

/* The state that holds for the order in force. */
static rollout_state_t
state_now(const rollout_t *rollout)
{
	if (rollout->state_order != rollout->order.number)
		return ROLLOUT_NONE;
	return rollout->state;
}

/* When the order in force began, by this daemon's clock: as the state says, if
 * it is of that order and the store's clock is known, or else when it was first
 * seen here. */
struct timespec
rollout_began(const rollout_t *rollout)
{
	const rollouts_t *self = rollout->owner;

	if (rollout->state_order != rollout->order.number ||
	    rollout->began_ms <= 0 || !self->now_known)
		return rollout->seen;
	return timespec_from_ms(rollout->began_ms - self->now_offset_ms);
}

rollout_moment_t
rollout_moment(const rollout_t *rollout)
{
	const rollouts_t *self = rollout->owner;

	return (rollout_moment_t){.state = state_now(rollout),
	    .elapsed_ms = timespec_ms_between(
		rollout_began(rollout), clock_boottime(self->clock)),
	    .duration_ms = rollout->order.duration_ms,
	    .stopped = rollout->stopped,
	    .uncertain = row_watch_age_ms(self->orders) > UNCERTAIN_MS ||
		row_watch_age_ms(self->states) > UNCERTAIN_MS};
}

static bool
ordered(const rollout_t *rollout)
{
	return rollout != NULL && rollout->order.number != 0;
}

bool
rollout_prefers_new(rollout_t *rollout, uint64_t hash, bool session)
{
	rollout_moment_t moment;
	double share;

	if (!ordered(rollout))
		return false;
	moment = rollout_moment(rollout);
	share = rollout_share(&moment);
	if (share != rollout->share) {
		event_log_write(rollout->owner->log, "rollout_share",
		    "service=%s order=%" PRIu64
		    " to=%s state=%s share=%.2f elapsed_ms=%" PRId64
		    " stopped=%d uncertain=%d",
		    rollout->order.service, rollout->order.number,
		    rollout->order.to, rollout_state_names[moment.state], share,
		    moment.elapsed_ms, moment.stopped, moment.uncertain);
		rollout->share = share;
	}
	if (!session || !rollout_pins(&moment))
		return rollout_takes(share, hash);
	/* Served sessions are remembered and reported to the other daemons only
	 * if the first step takes them; the rest must not move while sessions
	 * are pinned. */
	if (share > ROLLOUT_FIRST_SHARE)
		share = ROLLOUT_FIRST_SHARE;
	return !rollouts_session_served(rollout->owner, hash) &&
	    rollout_takes(share, hash);
}

bool
rollout_is_new(const rollout_t *rollout, const endpoint_t *endpoint)
{
	return strcmp(rollout->order.to, endpoint->facts.version) == 0;
}

bool
rollout_on_trial(const rollout_t *rollout)
{
	rollout_moment_t moment = rollout_moment(rollout);

	return ordered(rollout) && rollout_trial(&moment);
}

bool
rollout_old_allowed(const rollout_t *rollout)
{
	return state_now(rollout) != ROLLOUT_COMPLETED;
}

const char *
rollout_base(const rollout_t *rollout)
{
	const rollouts_t *self = rollout->owner;

	if (rollout->state_order == 0)
		return self->first_version != NULL
		    ? self->first_version(self->relay, rollout->order.service)
		    : "";
	if (rollout->state_order < rollout->order.number &&
	    rollout->state == ROLLOUT_COMPLETED)
		return rollout->state_to;
	return rollout->state_base;
}

bool
rollout_taken_back(const rollout_t *rollout, const endpoint_t *endpoint)
{
	return rollout->state_order < rollout->order.number &&
	    rollout->state == ROLLOUT_REVERTED &&
	    strcmp(rollout->state_to, endpoint->facts.version) == 0;
}

static void
order_take(rollout_t *rollout, const rollout_order_t *order)
{
	rollouts_t *self = rollout->owner;

	rollout->before = rollout->order;
	rollout->order.number = order->number;
	strcpy(rollout->order.to, order->to);
	rollout->order.duration_ms = order->duration_ms;
	rollout->next.number = 0;
	rollout->seen = clock_boottime(self->clock);
	rollout->stopped = false;
	rollout->write_after = (struct timespec){0};
	version_guard_restart(&rollout->guard);
	event_log_write(self->log, "rollout_order",
	    "service=%s order=%" PRIu64 " to=%s base=%s duration_ms=%" PRId64,
	    order->service, order->number, order->to, rollout_base(rollout),
	    order->duration_ms);
}

/* Whether it is known how the order in force ended, or that another daemon
 * took up the next one. */
static bool
order_over(const rollout_t *rollout)
{
	return !rollout_under_way(rollout) ||
	    rollout->state_order > rollout->order.number;
}

/* Whether the states are known as of a moment at which the next order was
 * there: the operator reads the end of an order before it gives the next one,
 * or else replaces one that has not ended. */
static bool
next_is_newest(const rollout_t *rollout)
{
	const row_watch_t *states = rollout->owner->states;

	return states->settled_once &&
	    timespec_ms_between(rollout->next_seen, states->known) > 0;
}

static void
next_take(rollout_t *rollout)
{
	rollout_order_t next = rollout->next;

	if (next.number != 0 &&
	    (order_over(rollout) || next_is_newest(rollout)))
		order_take(rollout, &next);
}

static bool
same_words(const rollout_order_t *a, const rollout_order_t *b)
{
	return a->number != 0 && strcmp(a->to, b->to) == 0 &&
	    a->duration_ms == b->duration_ms;
}

/* The store came back from an older copy: the order that is known is not given
 * again when it is read, or written, anew, nor is the one before it.
 * @return whether it is one of these */
static bool
order_known(rollout_t *rollout, const rollout_order_t *order)
{
	if (era_version_era(order->number) <=
	    era_version_era(rollout->order.number))
		return false;
	if (same_words(&rollout->order, order)) {
		if (rollout->state_order == rollout->order.number)
			rollout->state_order = order->number;
		rollout->order.number = order->number;
		rollout->state_spoilt = rollout->state_order != 0;
		return true;
	}
	return same_words(&rollout->before, order) &&
	    era_version_number(rollout->before.number) ==
	    era_version_number(order->number);
}

void
rollouts_order(rollouts_t *self, const rollout_order_t *order)
{
	rollout_t *rollout = rollout_of(self, order->service);

	if (rollout == NULL || order->number <= rollout->order.number ||
	    order->number <= rollout->next.number ||
	    order_known(rollout, order))
		return;
	if (order_over(rollout)) {
		order_take(rollout, order);
		return;
	}
	rollout->next = *order;
	rollout->next_seen = clock_boottime(self->clock);
	event_log_write(self->log, "rollout_next",
	    "service=%s order=%" PRIu64 " to=%s before=%" PRIu64,
	    order->service, order->number, order->to, rollout->order.number);
	if (!self->states->suspended)
		row_watch_hurry(self->states);
}

void
rollouts_store_clock(rollouts_t *self, int64_t now_ms)
{
	self->now_offset_ms =
	    now_ms - timespec_to_ms(clock_boottime(self->clock));
	self->now_known = true;
}

/* How far a roll-out has come; it never goes back. */
static int
progress_of(rollout_state_t state)
{
	switch (state) {
	case ROLLOUT_NONE:
		return 0;
	case ROLLOUT_IN_PROGRESS:
		return 1;
	case ROLLOUT_COMPLETED:
	case ROLLOUT_REVERTED:
		break;
	}
	return 2;
}

/* An older copy of the store tells of a roll-out what was so before. */
static bool
state_steps_back(const rollout_t *rollout, const state_facts_t *facts)
{
	return rollout->state_order != 0 &&
	    (strcmp(facts->to, rollout->state_to) != 0 ||
		progress_of(facts->state) < progress_of(rollout->state));
}

static void
state_set(rollout_t *rollout, const state_facts_t *facts)
{
	rollout->state_order = facts->order;
	strcpy(rollout->state_to, facts->to);
	strcpy(rollout->state_base, facts->base);
	rollout->state = facts->state;
	rollout->began_ms = facts->began_ms;
	rollout->state_spoilt = false;
}

bool
rollouts_row(rollouts_t *self, const row_t *row, err_t *err)
{
	rollout_t *rollout =
	    rollout_of(self, row->key + strlen(ROLLOUT_PREFIX));
	uint64_t era = era_version_era(row->version);
	state_facts_t facts;
	bool restored;

	if (rollout == NULL)
		return err_set(
		    err, ERR_BAD_NAME, "the service's name is too long");
	if (row->version <= rollout->state_version)
		return true;
	restored = era > era_version_era(rollout->state_version);
	rollout->state_version = row->version;
	if (!rollout->stopped)
		rollout->write_after = (struct timespec){0};
	/* What is no state leaves the known one, which is written again. */
	rollout->state_spoilt = true;
	if (row->deleted) {
		rollout->state_version = 0;
		return true;
	}
	if (!rollout_state_decode(row, &facts, err))
		return false;
	/* Orders are named by the versions of their rows, which are given out
	 * again with these. */
	if (era_version_era(facts.order) < era) {
		if (restored && state_steps_back(rollout, &facts))
			return true;
		facts.order =
		    era_version_of(era, era_version_number(facts.order));
	}
	state_set(rollout, &facts);
	event_log_write(self->log, "rollout_state",
	    "service=%s order=%" PRIu64 " state=%s version=%" PRIu64,
	    rollout->order.service, rollout->state_order,
	    rollout_state_names[rollout->state], row->version);
	next_take(rollout);
	return true;
}

static void
state_written(void *arg, const row_reply_t *reply)
{
	rollout_t *rollout = arg;
	rollouts_t *self = rollout->owner;

	rollout->writing = false;
	/* The state is taken over when its row is read, whoever wrote it; a
	 * lost answer is settled the same way. */
	rollout->write_after =
	    timespec_add_ms(clock_boottime(self->clock), RETRY_MS);
	if (!self->states->suspended)
		row_watch_hurry(self->states);
	event_log_write(self->log, "rollout_write",
	    "service=%s order=%" PRIu64 " state=%s result=%d",
	    rollout->order.service, rollout->order.number,
	    rollout_state_names[rollout->wanted], (int)reply->result);
}

/* Write the state for the daemons and for the operator in one transaction. */
static void
state_write(rollout_t *rollout, rollout_state_t state)
{
	rollouts_t *self = rollout->owner;
	char key[sizeof(ROLLOUT_PREFIX) + ENDPOINT_NAME_SIZE];
	char *told_table = NULL, *told_key = NULL, *told = NULL;
	char *own = rollout_state_text(rollout, state);
	row_change_t expected = {.table = MEMBER_TABLE,
	    .key = key,
	    .expected = rollout->state_version};
	row_change_t changes[2];

	snprintf(
	    key, sizeof(key), "%s%s", ROLLOUT_PREFIX, rollout->order.service);
	if (own != NULL &&
	    self->dialect->tell(
		&rollout->order, state, &told_table, &told_key, &told)) {
		changes[0] = (row_change_t){
		    .table = MEMBER_TABLE, .key = key, .value = own};
		changes[1] = (row_change_t){
		    .table = told_table, .key = told_key, .value = told};
		rollout->wanted = state;
		rollout->writing =
		    row_store_write(self->store, ROW_FOR_STATE, &expected, 1,
			changes, 2, WRITE_TIMEOUT_MS, state_written, rollout);
	}
	free(told_table);
	free(told_key);
	free(told);
	free(own);
}

/* The state that the store ought to have, or the one that it has. */
static rollout_state_t
state_wanted(rollout_t *rollout, const rollout_moment_t *moment)
{
	if (moment->state == ROLLOUT_NONE)
		return rollout->stopped ? ROLLOUT_REVERTED
					: ROLLOUT_IN_PROGRESS;
	if (moment->state != ROLLOUT_IN_PROGRESS)
		return moment->state;
	if (rollout->stopped)
		return ROLLOUT_REVERTED;
	if (rollout_may_complete(moment, rollout_settled(rollout)))
		return ROLLOUT_COMPLETED;
	return ROLLOUT_IN_PROGRESS;
}

static void
rollout_step(rollout_t *rollout)
{
	rollouts_t *self = rollout->owner;
	struct timespec now = clock_boottime(self->clock);
	rollout_moment_t moment = rollout_moment(rollout);
	rollout_state_t wanted;

	if (moment.state == ROLLOUT_IN_PROGRESS && !rollout->stopped &&
	    rollout_found_bad(rollout)) {
		rollout->stopped = true;
		moment.stopped = true;
		rollout->write_after = now;
	}
	wanted = state_wanted(rollout, &moment);
	if (rollout->writing ||
	    (wanted == moment.state && !rollout->state_spoilt))
		return;
	/* Others took up a later order, which is not known here yet: its state
	 * stays. */
	if (rollout->state_order > rollout->order.number)
		return;
	if (rollout->write_after.tv_sec == 0) {
		rollout->write_after = timespec_add_ms(now,
		    (int64_t)membership_rank(self->members) * RANK_DELAY_MS);
	}
	if (timespec_ms_between(rollout->write_after, now) < 0)
		return;
	state_write(rollout, wanted);
}

bool
rollout_under_way(const rollout_t *rollout)
{
	rollout_state_t state = state_now(rollout);

	return ordered(rollout) &&
	    (state == ROLLOUT_NONE || state == ROLLOUT_IN_PROGRESS);
}

bool
rollouts_active(const rollouts_t *self)
{
	for (const rollout_t *one = self->all; one != NULL;
	     one = one->hh.next) {
		if (rollout_under_way(one))
			return true;
	}
	return false;
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	rollouts_t *self = arg;

	(void)fd;
	(void)what;
	if (rollouts_active(self))
		rollouts_sessions_take(self);
	for (rollout_t *one = self->all; one != NULL; one = one->hh.next) {
		next_take(one);
		if (ordered(one))
			rollout_step(one);
	}
}

bool
rollouts_init(rollouts_t *self, struct event_base *base)
{
	struct timeval tick = {0, TICK_US};

	self->timer = event_new(base, -1, EV_PERSIST, on_tick, self);
	return self->timer != NULL && event_add(self->timer, &tick) == 0;
}

void
rollouts_finish(rollouts_t *self)
{
	rollout_t *rollout, *next;

	HASH_ITER(hh, self->all, rollout, next)
	{
		HASH_DEL(self->all, rollout);
		free(rollout);
	}
	session_memory_finish(&self->served);
	session_memory_finish(&self->heard);
	event_free(self->timer);
}
