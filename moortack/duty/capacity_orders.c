#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "capacity_priv.h"

#define DUTY_NAME "scale"
#define SEND_TIMEOUT_MS 800
#define RETRY_MS 400
#define PLAN_INTERVAL_MS 500
/* A new root has the rows of all endpoints before it plans. */
#define RESPONSIBLE_SETTLE_MS 800

static void
subjects_free(capacity_orders_t *self)
{
	capacity_subject_t *subject, *next;

	HASH_ITER(hh, self->subjects, subject, next)
	{
		HASH_DEL(self->subjects, subject);
		free(subject);
	}
}

static void
on_read_begin(void *arg)
{
	(void)arg;
}

static void
on_row(void *arg, const char *key, const row_t *row)
{
	const char *slash = strrchr(key, '/');
	char service[CAPACITY_NAME_SIZE];
	capacity_subject_t *subject;
	json_t *body;

	if (slash == NULL || (size_t)(slash - key) >= sizeof(service))
		return;
	snprintf(service, sizeof(service), "%.*s", (int)(slash - key), key);
	body = json_loadb(row->value, row->value_len, 0, NULL);
	subject = json_is_object(body)
	    ? capacity_subject_find_or_add(arg, service, slash + 1)
	    : NULL;
	if (subject != NULL)
		capacity_subject_decode(subject, body);
	json_decref(body);
}

static void
on_changed(void *arg, bool written)
{
	capacity_orders_t *self = arg;

	for (capacity_subject_t *subject = self->subjects; subject != NULL;
	     subject = subject->hh.next) {
		if (!subject->writing)
			continue;
		subject->writing = false;
		if (!written)
			continue;
		subject->stored_provision = subject->provision;
		subject->stored_ceiling = subject->regular_ceiling;
		for (int i = 0; i < CAPACITY_KINDS; i++)
			subject->orders[i].stored = subject->orders[i].wanted;
	}
}

static const duty_holder_ops_t holder_ops = {on_read_begin, on_row, on_changed};

void
capacity_orders_init(capacity_orders_t *self, row_store_t *store,
    const char *vm, uint64_t process, int64_t lease_ms)
{
	self->holder = (duty_holder_t){.name = DUTY_NAME,
	    .store = store,
	    .clock = self->clock,
	    .log = self->log,
	    .ops = &holder_ops,
	    .arg = self};
	duty_holder_init(&self->holder, vm, process, lease_ms);
}

void
capacity_orders_finish(capacity_orders_t *self)
{
	subjects_free(self);
}

static void
on_service(void *arg, const capacity_service_view_t *view)
{
	capacity_orders_t *self = arg;
	capacity_subject_t *subjects[CAPACITY_ZONES_MAX];
	capacity_target_t targets[CAPACITY_ZONES_MAX];
	capacity_zone_t zones[CAPACITY_ZONES_MAX];
	struct timespec now = clock_boottime(self->clock);
	bool settled = true;
	size_t len = 0;

	for (size_t i = 0; i < view->zones_len; i++) {
		capacity_subject_t *subject = capacity_subject_find_or_add(
		    self, view->service, view->zones[i].name);

		if (subject == NULL)
			return;
		capacity_subject_observe(subject, view, &view->zones[i], now);
		/* A zone in which the service does not run. */
		if (subject->provision == 0)
			continue;
		settled &= capacity_subject_settled(subject, now);
		zones[len] = view->zones[i];
		zones[len].provision = subject->provision;
		zones[len].regular_ceiling = subject->regular_ceiling;
		subjects[len++] = subject;
	}
	if (view->rolling_out || len == 0)
		return;
	capacity_plan(view->limits, zones, len, targets);
	for (size_t i = 0; i < len; i++)
		capacity_subject_apply(subjects[i], &targets[i], settled);
}

static void
plan(capacity_orders_t *self)
{
	struct timespec now = clock_boottime(self->clock);

	if (timespec_ms_between(self->planned_at, now) < PLAN_INTERVAL_MS)
		return;
	self->planned_at = now;
	self->source.each_service(self->source.source, on_service, self);
}

/* Renews the lease, and writes the subjects whose rows differ. */
static void
subjects_write(capacity_orders_t *self)
{
	row_change_t changes[DUTY_CHANGES_MAX] = {0};
	char *values[DUTY_CHANGES_MAX];
	size_t len = 0;

	for (capacity_subject_t *subject = self->subjects;
	     subject != NULL && len < DUTY_CHANGES_MAX;
	     subject = subject->hh.next) {
		if (capacity_subject_is_stored(subject))
			continue;
		values[len] = capacity_subject_encode(subject);
		if (values[len] == NULL)
			break;
		subject->writing = true;
		changes[len] =
		    (row_change_t){.key = subject->key, .value = values[len]};
		len++;
	}
	duty_holder_write(&self->holder, 0, changes, len);
	for (size_t i = 0; i < len; i++)
		free(values[i]);
}

static bool
any_unstored(const capacity_orders_t *self)
{
	for (const capacity_subject_t *subject = self->subjects;
	     subject != NULL; subject = subject->hh.next) {
		if (!capacity_subject_is_stored(subject))
			return true;
	}
	return false;
}

static bool
order_is_due(const capacity_subject_t *subject, capacity_kind_t kind)
{
	const capacity_order_state_t *order = &subject->orders[kind];

	/* A roll-out needs the endpoints of both versions. */
	return order->known && !order->sent && !subject->rolling_out &&
	    capacity_subject_is_stored(subject);
}

/* The next order that is to be sent; more endpoints before fewer.
 * @return NULL: there is none */
static capacity_subject_t *
order_next(const capacity_orders_t *self, capacity_kind_t *kind)
{
	capacity_subject_t *found = NULL;

	for (capacity_subject_t *subject = self->subjects; subject != NULL;
	     subject = subject->hh.next) {
		for (int i = 0; i < CAPACITY_KINDS; i++) {
			const capacity_order_state_t *order =
			    &subject->orders[i];

			if (!order_is_due(subject, (capacity_kind_t)i))
				continue;
			if (found != NULL && order->wanted <= order->present)
				continue;
			found = subject;
			*kind = (capacity_kind_t)i;
			if (order->wanted > order->present)
				return found;
		}
	}
	return found;
}

static bool
on_may_send(void *arg)
{
	const capacity_orders_t *self = arg;

	return duty_holder_covers(&self->holder, SEND_TIMEOUT_MS);
}

static void
on_ordered(void *arg, duty_api_result_t result)
{
	capacity_orders_t *self = arg;
	capacity_subject_t *subject = self->pending_subject;
	capacity_order_state_t *order = &subject->orders[self->pending_kind];
	struct timespec now = clock_boottime(self->clock);

	self->call_pending = false;
	self->pending_subject = NULL;
	event_log_write(self->log, "capacity_order",
	    "service=%s zone=%s kind=%s endpoints=%u present=%u provision=%u "
	    "token=%" PRIu64 " result=%d",
	    subject->service, subject->zone,
	    capacity_kind_names[self->pending_kind], order->wanted,
	    order->present, subject->provision,
	    duty_holder_token(&self->holder), (int)result);
	order->sent_at = now;
	switch (result) {
	case DUTY_API_DONE:
		order->sent = true;
		self->orders_done++;
		break;
	case DUTY_API_UNAVAILABLE:
		order->refused = true;
		/* fall through */
	case DUTY_API_INVALID:
		order->sent = true;
		self->orders_failed++;
		break;
	case DUTY_API_REFUSED:
	case DUTY_API_NOT_SENT:
	case DUTY_API_NO_RESPONSE:
		self->next_send_at = timespec_add_ms(now, RETRY_MS);
		self->orders_failed++;
		break;
	}
	capacity_orders_tick(self, self->responsible);
}

static void
order_send(
    capacity_orders_t *self, capacity_subject_t *subject, capacity_kind_t kind)
{
	duty_call_t call = {.token = duty_holder_token(&self->holder),
	    .timeout_ms = SEND_TIMEOUT_MS,
	    .may_send = on_may_send,
	    .done = on_ordered,
	    .arg = self};
	capacity_order_t order = {.service = subject->service,
	    .zone = subject->zone,
	    .endpoints = subject->orders[kind].wanted,
	    .preemptible = kind == CAPACITY_PREEMPTIBLE};

	self->pending_subject = subject;
	self->pending_kind = kind;
	self->call_pending = true;
	if (self->api->ops->order_capacity(self->api, &call, &order))
		return;
	self->call_pending = false;
	self->next_send_at =
	    timespec_add_ms(clock_boottime(self->clock), RETRY_MS);
}

static void
responsible_step(capacity_orders_t *self)
{
	struct timespec now = clock_boottime(self->clock);
	capacity_kind_t kind = CAPACITY_REGULAR;
	capacity_subject_t *subject;

	if (timespec_ms_between(self->responsible_since, now) <
	    RESPONSIBLE_SETTLE_MS)
		return;
	if (duty_holder_must_read(&self->holder)) {
		duty_holder_read(&self->holder);
		return;
	}
	plan(self);
	subject = order_next(self, &kind);
	if (any_unstored(self) ||
	    (subject != NULL &&
		!duty_holder_covers(&self->holder, SEND_TIMEOUT_MS))) {
		if (duty_holder_may_write(&self->holder))
			subjects_write(self);
	} else if (subject != NULL &&
	    timespec_ms_between(self->next_send_at, now) >= 0) {
		order_send(self, subject, kind);
	}
}

void
capacity_orders_tick(capacity_orders_t *self, bool responsible)
{
	if (responsible && !self->responsible)
		self->responsible_since = clock_boottime(self->clock);
	self->responsible = responsible;
	if (self->call_pending || !duty_holder_idle(&self->holder))
		return;
	if (responsible)
		responsible_step(self);
	else if (duty_holder_covers(&self->holder, 0))
		duty_holder_release(&self->holder, NULL, 0);
}

bool
capacity_orders_busy(const capacity_orders_t *self)
{
	return self->call_pending || self->holder.call_pending ||
	    duty_holder_covers(&self->holder, 0);
}
