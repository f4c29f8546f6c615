#include "rollouts_priv.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "moortack/replication/era_version.h"

#define TICK_US 200000
#define WRITE_TIMEOUT_MS 1500
/* Each member writes this much later than the one ranked before it. */
#define RANK_DELAY_MS 400
#define RETRY_DELAY_MS 500
/* Orders and states older than this are stale, and no share grows then. With
 * long polling they are up to two polls old. */
#define STALE_MS 3400

rollout_t *
rollouts_find(const rollouts_t *self, const char *service)
{
	rollout_t *rollout;

	HASH_FIND_STR(self->by_service, service, rollout);
	return rollout;
}

static rollout_t *
rollout_find_or_add(rollouts_t *self, const char *service)
{
	rollout_t *rollout = rollouts_find(self, service);

	if (rollout != NULL || strlen(service) >= ENDPOINT_NAME_SIZE)
		return rollout;
	rollout = calloc(1, sizeof(*rollout));
	if (rollout == NULL)
		return NULL;
	rollout->owner = self;
	strcpy(rollout->order.service, service);
	HASH_ADD_KEYPTR(hh, self->by_service, rollout->order.service,
	    strlen(rollout->order.service), rollout);
	return rollout;
}

/* The state of the order in force. */
static rollout_state_t
current_state(const rollout_t *rollout)
{
	if (rollout->state_order != rollout->order.number)
		return ROLLOUT_PENDING;
	return rollout->state;
}

rollout_snapshot_t
rollout_take_snapshot(const rollout_t *rollout)
{
	const rollouts_t *self = rollout->owner;

	return (rollout_snapshot_t){.state = current_state(rollout),
	    .elapsed_ms = timespec_ms_between(
		rollout_started_at(rollout), clock_boottime(self->clock)),
	    .late_ms = rollout_late_ms(rollout),
	    .duration_ms = rollout->order.duration_ms,
	    .accepted_ms = rollout_accepted_ms(rollout),
	    .trial = rollout_current_trial(rollout),
	    .load = rollout_current_load(rollout),
	    .stopped = rollout->stopped,
	    .stale = row_watch_age_ms(self->orders_watch) > STALE_MS ||
		row_watch_age_ms(self->states_watch) > STALE_MS};
}

static bool
has_order(const rollout_t *rollout)
{
	return rollout != NULL && rollout->order.number != 0;
}

static void
share_log(rollout_t *rollout, const rollout_snapshot_t *snapshot, double share)
{
	event_log_write(rollout->owner->log, "rollout_share",
	    "service=%s order=%" PRIu64
	    " to=%s state=%s share=%.2f elapsed_ms=%" PRId64
	    " stopped=%d uncertain=%d load_max_percent=%u",
	    rollout->order.service, rollout->order.number,
	    rollout->order.to_version, rollout_state_names[snapshot->state],
	    share, snapshot->elapsed_ms, snapshot->stopped, snapshot->stale,
	    rollout->load_max_percent);
}

bool
rollout_prefers_new(rollout_t *rollout, const rollout_request_t *request)
{
	rollout_snapshot_t snapshot;
	double share;

	if (!has_order(rollout))
		return false;
	snapshot = rollout_take_snapshot(rollout);
	share = rollout_plan_share(&snapshot);
	if (share != rollout->share) {
		share_log(rollout, &snapshot, share);
		rollout->share = share;
		rollout->load_max_percent = 0;
	}
	share = rollout_plan_route_share(&snapshot, request->route);
	if (!request->session || !rollout_plan_pins_sessions(&snapshot))
		return rollout_share_includes(share, request->hash);
	/* Only sessions in the trial's share are reported by all daemons, so
	 * the rest must not move while sessions are pinned. */
	share = rollout_plan_pinned_share(&snapshot);
	return !rollouts_session_on_old(rollout->owner, request->hash) &&
	    !rollout_session_may_be_on_old(&snapshot, request) &&
	    rollout_share_includes(share, request->hash);
}

bool
rollout_allows_old_version(const rollout_t *rollout)
{
	return current_state(rollout) != ROLLOUT_COMPLETED;
}

static void
order_put_in_force(rollout_t *rollout, const rollout_order_t *order)
{
	rollouts_t *self = rollout->owner;

	rollout->previous_order = rollout->order;
	rollout->order.number = order->number;
	strcpy(rollout->order.to_version, order->to_version);
	rollout->order.duration_ms = order->duration_ms;
	rollout->next_order.number = 0;
	rollout->order_seen_at = clock_boottime(self->clock);
	rollout->late_ms = rollout_order_late_ms(self, order);
	rollout->stopped = false;
	rollout->load_proposed = (rollout_load_t){0};
	rollout->accepted_proposed_ms = 0;
	rollout->trial_proposed = (rollout_trial_t){0};
	rollout->given_up = false;
	rollout->write_after = (struct timespec){0};
	canary_analysis_reset(&rollout->canary);
	event_log_write(self->log, "rollout_order",
	    "service=%s order=%" PRIu64 " to=%s base=%s duration_ms=%" PRId64,
	    order->service, order->number, order->to_version,
	    rollout_base_version(rollout), order->duration_ms);
}

/* Whether the end of the order in force, or a later order's start, is known. */
static bool
order_has_ended(const rollout_t *rollout)
{
	return !rollout_is_active(rollout) ||
	    rollout->state_order > rollout->order.number;
}

/* Whether the states were read after the next order was seen. They would show
 * the end of the order in force if the operator had waited for it; without one,
 * the operator replaced an order that has not ended. */
static bool
states_newer_than_next(const rollout_t *rollout)
{
	const row_watch_t *states = rollout->owner->states_watch;

	return states->synced_once &&
	    timespec_ms_between(
		rollout->next_order_seen_at, states->synced_at) > 0;
}

static void
next_order_apply(rollout_t *rollout)
{
	rollout_order_t next_order = rollout->next_order;

	if (next_order.number != 0 &&
	    (order_has_ended(rollout) || states_newer_than_next(rollout)))
		order_put_in_force(rollout, &next_order);
}

static bool
order_equals(const rollout_order_t *a, const rollout_order_t *b)
{
	return a->number != 0 && strcmp(a->to_version, b->to_version) == 0 &&
	    a->duration_ms == b->duration_ms;
}

/* After the store was restored from an older copy, known orders come back with
 * new numbers, read from the copy or written to it again. The order in force
 * takes over its new number instead of starting anew.
 * @return whether the order is the one in force or the one before it */
static bool
order_is_known(rollout_t *rollout, const rollout_order_t *order)
{
	if (era_version_era(order->number) <=
	    era_version_era(rollout->order.number))
		return false;
	if (order_equals(&rollout->order, order)) {
		if (rollout->state_order == rollout->order.number)
			rollout->state_order = order->number;
		rollout->order.number = order->number;
		rollout->state_rewrite_needed = rollout->state_order != 0;
		return true;
	}
	return order_equals(&rollout->previous_order, order) &&
	    era_version_sequence(rollout->previous_order.number) ==
	    era_version_sequence(order->number);
}

void
rollouts_apply_order(rollouts_t *self, const rollout_order_t *order)
{
	rollout_t *rollout = rollout_find_or_add(self, order->service);

	if (rollout == NULL || order->number <= rollout->order.number ||
	    order->number <= rollout->next_order.number ||
	    order_is_known(rollout, order))
		return;
	if (order_has_ended(rollout)) {
		order_put_in_force(rollout, order);
		return;
	}
	rollout->next_order = *order;
	rollout->next_order_seen_at = clock_boottime(self->clock);
	event_log_write(self->log, "rollout_next",
	    "service=%s order=%" PRIu64 " to=%s before=%" PRIu64,
	    order->service, order->number, order->to_version,
	    rollout->order.number);
	if (!self->states_watch->suspended)
		row_watch_poll_now(self->states_watch);
}

void
rollouts_set_store_clock(rollouts_t *self, int64_t now_ms)
{
	self->store_clock_offset_ms =
	    now_ms - timespec_to_ms(clock_boottime(self->clock));
	self->store_clock_known = true;
}

/* The progress of a roll-out, which never decreases. */
static int
state_progress(rollout_state_t state)
{
	switch (state) {
	case ROLLOUT_PENDING:
		return 0;
	case ROLLOUT_IN_PROGRESS:
		return 1;
	case ROLLOUT_COMPLETED:
	case ROLLOUT_REVERTED:
		break;
	}
	return 2;
}

/* Whether a row of an older copy of the store holds an earlier state. */
static bool
state_is_earlier(const rollout_t *rollout, const rollout_state_row_t *row)
{
	return rollout->state_order != 0 &&
	    (strcmp(row->to_version, rollout->state_to_version) != 0 ||
		state_progress(row->state) < state_progress(rollout->state));
}

static void
state_set(rollout_t *rollout, const rollout_state_row_t *row)
{
	rollout->state_order = row->order;
	strcpy(rollout->state_to_version, row->to_version);
	strcpy(rollout->state_base_version, row->base_version);
	rollout->state = row->state;
	rollout->started_ms = row->started_ms;
	rollout->state_late_ms = row->late_ms;
	rollout->accepted_ms = row->accepted_ms;
	rollout->trial = row->trial;
	rollout->load = row->load;
	rollout->state_rewrite_needed = false;
}

bool
rollouts_apply_state_row(rollouts_t *self, const row_t *row, err_t *err)
{
	rollout_t *rollout =
	    rollout_find_or_add(self, row->key + strlen(ROLLOUT_PREFIX));
	uint64_t era = era_version_era(row->version);
	rollout_state_row_t content;
	bool restored;

	if (rollout == NULL)
		return err_set(
		    err, ERR_BAD_NAME, "the service's name is too long");
	if (row->version <= rollout->stored_version)
		return true;
	restored = era > era_version_era(rollout->stored_version);
	rollout->stored_version = row->version;
	if (!rollout->stopped)
		rollout->write_after = (struct timespec){0};
	/* A deleted or invalid row is overwritten with the known state. */
	rollout->state_rewrite_needed = true;
	if (row->deleted) {
		rollout->stored_version = 0;
		return true;
	}
	if (!rollout_state_decode(row, &content, err))
		return false;
	/* The row of the order got a later era when the store was restored. */
	if (era_version_era(content.order) < era) {
		if (restored && state_is_earlier(rollout, &content))
			return true;
		content.order =
		    era_version_make(era, era_version_sequence(content.order));
	}
	state_set(rollout, &content);
	event_log_write(self->log, "rollout_state",
	    "service=%s order=%" PRIu64 " state=%s version=%" PRIu64
	    " trial_share=%.3f accepted_ms=%" PRId64
	    " load_share=%.3f load_endpoints=%u",
	    rollout->order.service, rollout->state_order,
	    rollout_state_names[rollout->state], row->version,
	    rollout->trial.share, rollout->accepted_ms, rollout->load.share,
	    rollout->load.endpoints);
	next_order_apply(rollout);
	return true;
}

static void
on_state_written(void *arg, const row_store_response_t *response)
{
	rollout_t *rollout = arg;
	rollouts_t *self = rollout->owner;

	if (self == NULL) {
		free(rollout);
		return;
	}
	rollout->writing = false;
	/* The state is applied when its row is read, whichever daemon wrote it.
	 * That also resolves a write whose result is unknown. */
	rollout->write_after =
	    timespec_add_ms(clock_boottime(self->clock), RETRY_DELAY_MS);
	if (!self->states_watch->suspended)
		row_watch_poll_now(self->states_watch);
	event_log_write(self->log, "rollout_write",
	    "service=%s order=%" PRIu64 " state=%s result=%d",
	    rollout->order.service, rollout->order.number,
	    rollout_state_names[rollout->write_state], (int)response->result);
}

/* Write the state for the daemons and for the operator in one transaction. */
static void
state_write(rollout_t *rollout, rollout_state_t state)
{
	rollouts_t *self = rollout->owner;
	char key[sizeof(ROLLOUT_PREFIX) + ENDPOINT_NAME_SIZE];
	char *status_table = NULL, *status_key = NULL, *status = NULL;
	char *value = rollout_state_encode(rollout, state);
	row_change_t expected = {.table = SYSTEM_TABLE,
	    .key = key,
	    .expected = rollout->stored_version};
	row_change_t changes[2];

	snprintf(
	    key, sizeof(key), "%s%s", ROLLOUT_PREFIX, rollout->order.service);
	if (value != NULL &&
	    self->status_encoder->encode(
		&rollout->order, state, &status_table, &status_key, &status)) {
		changes[0] = (row_change_t){
		    .table = SYSTEM_TABLE, .key = key, .value = value};
		changes[1] = (row_change_t){
		    .table = status_table, .key = status_key, .value = status};
		rollout->write_state = state;
		rollout->writing = row_store_write(self->store,
		    ROW_PURPOSE_ROLLOUT_STATE, &expected, 1, changes, 2,
		    WRITE_TIMEOUT_MS, on_state_written, rollout);
	}
	free(status_table);
	free(status_key);
	free(status);
	free(value);
}

/* The state that the store should have, which may be the one that it has. */
static rollout_state_t
target_state(rollout_t *rollout, const rollout_snapshot_t *snapshot)
{
	if (snapshot->state == ROLLOUT_PENDING)
		return rollout->stopped ? ROLLOUT_REVERTED
					: ROLLOUT_IN_PROGRESS;
	if (snapshot->state != ROLLOUT_IN_PROGRESS)
		return snapshot->state;
	if (rollout->stopped ||
	    (rollout->given_up && snapshot->accepted_ms <= 0 &&
		!snapshot->stale))
		return ROLLOUT_REVERTED;
	if (rollout_plan_may_complete(snapshot, rollout_is_drained(rollout)))
		return ROLLOUT_COMPLETED;
	return ROLLOUT_IN_PROGRESS;
}

static void
rollout_step(rollout_t *rollout)
{
	rollouts_t *self = rollout->owner;
	struct timespec now = clock_boottime(self->clock);
	rollout_snapshot_t snapshot = rollout_take_snapshot(rollout);
	rollout_state_t target;

	if (snapshot.state == ROLLOUT_PENDING &&
	    self->endpoints_watch != NULL &&
	    !self->endpoints_watch->synced_once)
		return;
	if (snapshot.state == ROLLOUT_IN_PROGRESS && !rollout->stopped) {
		rollout_judge(rollout);
		snapshot.stopped = rollout->stopped;
	}
	target = target_state(rollout, &snapshot);
	if (rollout->writing ||
	    (target == snapshot.state && !rollout->state_rewrite_needed &&
		!(snapshot.state == ROLLOUT_IN_PROGRESS &&
		    (rollout_acceptance_pending(rollout) ||
			rollout_trial_propose(rollout))) &&
		!(rollout_plan_load_due(&snapshot) &&
		    rollout_load_propose(rollout))))
		return;
	/* Other daemons have put a later order in force that isn't known here
	 * yet: its state must not be overwritten. */
	if (rollout->state_order > rollout->order.number)
		return;
	if (rollout->write_after.tv_sec == 0) {
		rollout->write_after = timespec_add_ms(now,
		    (int64_t)membership_rank(self->members) * RANK_DELAY_MS);
	}
	if (timespec_ms_between(rollout->write_after, now) < 0)
		return;
	state_write(rollout, target);
}

bool
rollout_is_active(const rollout_t *rollout)
{
	rollout_state_t state = current_state(rollout);

	return has_order(rollout) &&
	    (state == ROLLOUT_PENDING || state == ROLLOUT_IN_PROGRESS);
}

bool
rollouts_any_active(const rollouts_t *self)
{
	for (const rollout_t *rollout = self->by_service; rollout != NULL;
	     rollout = rollout->hh.next) {
		if (rollout_is_active(rollout))
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
	if (rollouts_any_active(self))
		rollouts_merge_member_sessions(self);
	for (rollout_t *rollout = self->by_service; rollout != NULL;
	     rollout = rollout->hh.next) {
		next_order_apply(rollout);
		if (has_order(rollout))
			rollout_step(rollout);
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

	HASH_ITER(hh, self->by_service, rollout, next)
	{
		HASH_DEL(self->by_service, rollout);
		/* The response to its write frees it. */
		rollout->owner = NULL;
		if (!rollout->writing)
			free(rollout);
	}
	recent_sessions_finish(&self->local_sessions);
	recent_sessions_finish(&self->peer_sessions);
	event_free(self->timer);
}
