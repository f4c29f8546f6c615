#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "capacity_priv.h"

/* No regular endpoints are given up until their number has not grown for this
 * long: the entries of a fleet that starts appear within some seconds. */
#define PROVISION_SETTLE_MS 3000
/* An order that could not be met is repeated after this time. */
#define REFUSED_RETRY_MS 2000
/* An order is repeated if its endpoints are not there this long after they
 * should have started. */
#define REPEAT_MARGIN_MS 3000

const char *const capacity_kind_names[CAPACITY_KINDS] = {
    "regular", "preemptible"};

capacity_subject_t *
capacity_subject_find_or_add(
    capacity_orders_t *self, const char *service, const char *zone)
{
	char key[sizeof(((capacity_subject_t *)0)->key)];
	capacity_subject_t *subject;

	if (strlen(service) >= CAPACITY_NAME_SIZE ||
	    strlen(zone) >= CAPACITY_NAME_SIZE)
		return NULL;
	snprintf(key, sizeof(key), "%s/%s", service, zone);
	HASH_FIND_STR(self->subjects, key, subject);
	if (subject != NULL)
		return subject;
	subject = calloc(1, sizeof(*subject));
	if (subject == NULL)
		return NULL;
	strcpy(subject->key, key);
	strcpy(subject->service, service);
	strcpy(subject->zone, zone);
	subject->regular_ceiling = UINT32_MAX;
	subject->stored_ceiling = UINT32_MAX;
	HASH_ADD_STR(self->subjects, key, subject);
	return subject;
}

static void
order_encode(
    json_t *body, const capacity_subject_t *subject, capacity_kind_t kind)
{
	const capacity_order_state_t *order = &subject->orders[kind];

	if (order->known)
		json_object_set_new(body, capacity_kind_names[kind],
		    json_integer(order->wanted));
}

char *
capacity_subject_encode(const capacity_subject_t *subject)
{
	json_t *body =
	    json_pack("{s:I, s:I}", "provision", (json_int_t)subject->provision,
		"ceiling", (json_int_t)subject->regular_ceiling);
	char *text;

	for (int i = 0; i < CAPACITY_KINDS; i++)
		order_encode(body, subject, (capacity_kind_t)i);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

static uint32_t
count_decode(const json_t *body, const char *name, uint32_t fallback)
{
	const json_t *value = json_object_get(body, name);
	json_int_t count = json_integer_value(value);

	return json_is_integer(value) && count >= 0 && count <= UINT32_MAX
	    ? (uint32_t)count
	    : fallback;
}

/* An order of before may not have been sent: it can be repeated. */
void
capacity_subject_decode(capacity_subject_t *subject, const json_t *body)
{
	subject->provision = count_decode(body, "provision", 0);
	subject->stored_provision = subject->provision;
	subject->regular_ceiling = count_decode(body, "ceiling", UINT32_MAX);
	subject->stored_ceiling = subject->regular_ceiling;
	for (int i = 0; i < CAPACITY_KINDS; i++) {
		capacity_order_state_t *order = &subject->orders[i];

		order->known =
		    json_object_get(body, capacity_kind_names[i]) != NULL;
		order->wanted = count_decode(body, capacity_kind_names[i], 0);
		order->stored = order->wanted;
		order->sent = false;
	}
}

bool
capacity_subject_is_stored(const capacity_subject_t *subject)
{
	for (int i = 0; i < CAPACITY_KINDS; i++) {
		if (subject->orders[i].known &&
		    subject->orders[i].stored != subject->orders[i].wanted)
			return false;
	}
	return subject->provision == subject->stored_provision &&
	    subject->regular_ceiling == subject->stored_ceiling;
}

/* @param in_force what holds without an order */
static void
order_set(capacity_order_state_t *order, uint32_t wanted, uint32_t in_force)
{
	if (order->known ? order->wanted == wanted : wanted == in_force)
		return;
	order->known = true;
	order->wanted = wanted;
	order->sent = false;
}

/* Whether there are not as many endpoints as were ordered, though there has
 * been time for it: the outside system changes their number as well. */
static bool
order_overdue(
    const capacity_order_state_t *order, int64_t boot_ms, struct timespec now)
{
	int64_t after_ms =
	    order->refused ? REFUSED_RETRY_MS : boot_ms + REPEAT_MARGIN_MS;

	return order->sent && order->present != order->wanted &&
	    timespec_ms_between(order->sent_at, now) >= after_ms;
}

/* What the service was provisioned with is what it had at most before any of
 * it was replaced; endpoints appear one by one when a fleet starts. */
static void
provision_update(capacity_subject_t *subject, const capacity_zone_t *zone,
    struct timespec now)
{
	uint32_t ordered = subject->orders[CAPACITY_PREEMPTIBLE].wanted;
	uint32_t present = zone->regular;

	if (zone->preemptible > ordered)
		present += zone->preemptible - ordered;
	if (subject->regular_ceiling != UINT32_MAX || subject->rolling_out ||
	    present <= subject->provision)
		return;
	subject->provision = present;
	subject->provision_at = now;
}

static void
orders_observe(capacity_subject_t *subject, const capacity_zone_t *zone,
    struct timespec now)
{
	subject->orders[CAPACITY_REGULAR].present = zone->regular;
	subject->orders[CAPACITY_PREEMPTIBLE].present = zone->preemptible;
	for (int i = 0; i < CAPACITY_KINDS; i++) {
		capacity_order_state_t *order = &subject->orders[i];

		order->refused &= order->present < order->wanted;
		if (order_overdue(order, subject->boot_ms, now))
			order->sent = false;
	}
}

void
capacity_subject_observe(capacity_subject_t *subject,
    const capacity_service_view_t *view, const capacity_zone_t *zone,
    struct timespec now)
{
	subject->boot_ms = view->limits->boot_ms;
	subject->rolling_out = view->rolling_out;
	orders_observe(subject, zone, now);
	provision_update(subject, zone, now);
	/* The new version's endpoints are regular ones, to be replaced again.
	 */
	if (view->rolling_out && subject->regular_ceiling != UINT32_MAX)
		subject->regular_ceiling = zone->regular;
}

bool
capacity_subject_settled(const capacity_subject_t *subject, struct timespec now)
{
	return timespec_ms_between(subject->provision_at, now) >=
	    PROVISION_SETTLE_MS;
}

void
capacity_subject_apply(
    capacity_subject_t *subject, const capacity_target_t *target, bool settled)
{
	order_set(
	    &subject->orders[CAPACITY_PREEMPTIBLE], target->preemptible, 0);
	if (!settled)
		return;
	order_set(&subject->orders[CAPACITY_REGULAR], target->regular,
	    subject->provision);
	if (target->regular_ceiling < subject->provision)
		subject->regular_ceiling = target->regular_ceiling;
}
