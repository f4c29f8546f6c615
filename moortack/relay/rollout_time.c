/* When the order in force started, and how much earlier it may have been given.
 */
#include "rollouts_priv.h"

/* Time in which daemons that were all lost are back, by which the last steps of
 * an order that came meanwhile are taken earlier; at most this part of its
 * duration. */
#define RESTART_MS 2000
#define RESTART_PART 8

struct timespec
rollout_started_at(const rollout_t *rollout)
{
	const rollouts_t *self = rollout->owner;

	if (rollout->state_order != rollout->order.number ||
	    rollout->started_ms <= 0 || !self->store_clock_known)
		return rollout->order_seen_at;
	return timespec_from_ms(
	    rollout->started_ms - self->store_clock_offset_ms);
}

/* Daemons that run store a state soon after an order: one that is found at the
 * start without a state was given while all daemons were lost. */
int64_t
rollout_order_late_ms(const rollouts_t *self, const rollout_order_t *order)
{
	int64_t late_ms = order->duration_ms / RESTART_PART;

	if (self->orders_watch->synced_once)
		return 0;
	return late_ms < RESTART_MS ? late_ms : RESTART_MS;
}

int64_t
rollout_late_ms(const rollout_t *rollout)
{
	return rollout->state_order == rollout->order.number
	    ? rollout->state_late_ms
	    : rollout->late_ms;
}
