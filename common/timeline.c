#include "common/timeline.h"

#include <stdarg.h>
#include <stdio.h>

/* Indexed by event_type_t. The names are exported. */
static const char *const event_names[EVENT_TYPE_COUNT] = {
    "started",
    "draining",
    "stopped",
    "peer_seen",
    "peer_lost",
    "plan_made",
    "plan_confirmed",
    "plan_refused",
    "revision_taken",
    "stale",
    "fresh",
    "store_lost",
    "store_back",
    "store_behind",
    "endpoint_seen",
    "endpoint_leaving",
    "endpoint_ejected",
    "request_taken",
    "request_refused",
    "attempt_sent",
    "attempt_failed",
    "stream_resumed",
    "answer_done",
    "answer_cut",
    "ticket_go",
    "ticket_killed",
    "bill_held",
    "bill_flushed",
    "guard_stopped",
    "order_sent",
};

void
timeline_init(timeline_t *timeline, const clock_source_t *clock)
{
	timeline->clock = clock;
	timeline->hlc = (hlc_t){0};
	timeline->event_count = 0;
}

void
timeline_add(timeline_t *timeline, event_type_t type, const char *subject,
    const char *fmt, ...)
{
	timeline_event_t *event =
	    &timeline->events[timeline->event_count++ % TIMELINE_EVENTS];
	int64_t wall_ms = timespec_to_ms(clock_wall(timeline->clock));
	va_list ap;

	event->stamp = hlc_tick(&timeline->hlc, wall_ms);
	event->type = type;
	snprintf(event->subject, sizeof(event->subject), "%s", subject);
	va_start(ap, fmt);
	vsnprintf(event->note, sizeof(event->note), fmt, ap);
	va_end(ap);
}

const timeline_event_t *
timeline_get(const timeline_t *timeline, uint64_t back)
{
	if (back >= timeline->event_count || back >= TIMELINE_EVENTS)
		return NULL;
	return &timeline->events[(timeline->event_count - 1 - back) %
	    TIMELINE_EVENTS];
}

const char *
event_type_name(event_type_t type)
{
	return type < EVENT_TYPE_COUNT ? event_names[type] : "?";
}
