/**
 * @file
 * The duties of a fleet, as one daemon takes part in them: it counts what it
 * sends, passes counts up the tree of daemons, and, as the root of the tree,
 * does what is due.
 */
#ifndef MOORTACK_DUTY_DUTIES_H
#define MOORTACK_DUTY_DUTIES_H

#include "moortack/duty/capacity_orders.h"
#include "moortack/duty/usage_reporter.h"

typedef struct duties_settings {
	bool report_usage;
	int64_t usage_window_ms;
	int64_t usage_due_ms; /**< after the end of a window */
	bool order_capacity;
	int64_t lease_ms;
	char vm[DUTY_VM_NAME_SIZE];
	uint64_t process; /**< random number of this process */
} duties_settings_t;

typedef struct duties {
	duties_settings_t settings;
	const clock_source_t *clock;
	fleet_clock_t fleet_clock;
	usage_counts_t usage;
	usage_reporter_t usage_reporter;
	capacity_orders_t capacity_orders;
} duties_t;

/** @param api may be NULL: there are no duties
 * @param capacity the services for which capacity may be ordered */
void duties_init(duties_t *, const duties_settings_t *, row_store_t *,
    duty_api_t *api, const capacity_source_t *capacity, const clock_source_t *,
    event_log_t *);
void duties_finish(duties_t *);

/** An endpoint began to run a request of the organisation. */
void duties_count_request(duties_t *, const char *organisation);

/** What to tell the parent; a new reference, or NULL: nothing. */
json_t *duties_uplink(duties_t *);
/** The parent has received the last uplink. */
void duties_uplink_received(duties_t *);
/** What a follower told.
 * @param name of the follower */
void duties_apply_uplink(duties_t *, const char *name, const json_t *uplink);
/** What to tell followers; a new reference, or NULL: nothing. */
json_t *duties_downlink(const duties_t *);
void duties_apply_downlink(duties_t *, const json_t *downlink);
/** This daemon has another parent than before, or none. */
void duties_parent_changed(duties_t *);

/** Do what is due; called a few times a second.
 * @param responsible this daemon is the root of the tree, and all others are
 * below it
 * @param store_offset_ms of the store's clock from this VM's boot time */
void duties_tick(duties_t *, bool responsible, int64_t store_offset_ms);

/** Whether the process should wait before it exits. */
bool duties_busy(const duties_t *);

#endif
