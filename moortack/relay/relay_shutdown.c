/* The end of a daemon: it takes the requests that it can still answer, and ends
 * once their responses are sent, or when its time is over. */
#include "relay_node_priv.h"

/* Parts of the grace time of a shutdown: until then requests are accepted that
 * are likely to end in time, after it those that surely do; idle connections of
 * callers are closed between the second and the third, at which new ones are no
 * longer accepted; responses are waited for until the last. */
#define REFUSE_UNCERTAIN_PART 0.25
#define CLOSE_IDLE_PART 0.32
#define STOP_ACCEPTING_PART 0.42
#define MAX_PART 0.96

/* Part of the remaining idle connections to close in this tick, so that about
 * as many are closed in each until none are left. */
static double
idle_part_due(const relay_node_t *node, double part)
{
	double ticks = (STOP_ACCEPTING_PART - part) *
	    (double)node->settings.grace_ms / RELAY_TICK_MS;

	return ticks > 1 ? 1 / ticks : 1;
}

void
relay_node_shutdown_step(relay_node_t *node)
{
	struct timespec now = clock_boottime(node->ports.clock);
	double part = (double)timespec_ms_between(node->leaving_since, now) /
	    (double)node->settings.grace_ms;

	if (part >= STOP_ACCEPTING_PART)
		relay_stop_accepting(&node->relay);
	else if (part >= CLOSE_IDLE_PART)
		relay_close_idle(&node->relay, idle_part_due(node, part));
	if (part < MAX_PART &&
	    (part < STOP_ACCEPTING_PART || relay_has_responses(&node->relay) ||
		node->members.write_pending || duties_busy(&node->duties)))
		return;
	relay_refuse_unsent(&node->relay);
	event_log_write(&node->log, "stop", "under_way=%u part=%.2f",
	    node->relay.in_flight, part);
	if (node->on_stopped != NULL)
		node->on_stopped(node->on_stopped_arg);
	node->on_stopped = NULL;
}

static struct timespec
grace_moment(const relay_node_t *node, double part)
{
	return timespec_add_ms(node->leaving_since,
	    (int64_t)(part * (double)node->settings.grace_ms));
}

void
relay_node_shut_down(relay_node_t *node, void (*on_stopped)(void *), void *arg)
{
	if (node->leaving)
		return;
	node->leaving = true;
	node->leaving_since = clock_boottime(node->ports.clock);
	node->on_stopped = on_stopped;
	node->on_stopped_arg = arg;
	event_log_write(
	    &node->log, "leave", "under_way=%u", node->relay.in_flight);
	membership_set_state(&node->members, MEMBER_LEAVING);
	row_sync_stop_serving(&node->row_sync);
	relay_drain(&node->relay, grace_moment(node, REFUSE_UNCERTAIN_PART),
	    grace_moment(node, MAX_PART));
}
