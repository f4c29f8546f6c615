/**
 * @file
 * The duty of reporting usage: one report for each window of the time of day.
 *
 * The counts of a window are written to the store, in the transaction that
 * renews the lease, before they are sent. So whoever sends a window's report,
 * now or after another daemon has taken over, sends the same counts.
 */
#ifndef MOORTACK_DUTY_USAGE_REPORTER_H
#define MOORTACK_DUTY_USAGE_REPORTER_H

#include "moortack/duty/duty_api.h"
#include "moortack/duty/duty_holder.h"
#include "moortack/duty/fleet_clock.h"
#include "moortack/duty/usage_counts.h"

/** Windows whose reports are written but not confirmed. */
#define USAGE_QUEUE_MAX USAGE_WINDOWS_MAX

typedef enum usage_report_state {
	USAGE_REPORT_WRITING,  /**< the write of its counts is in flight */
	USAGE_REPORT_WRITTEN,  /**< to be sent */
	USAGE_REPORT_SENT,     /**< confirmed; its row is to be removed */
	USAGE_REPORT_REMOVING, /**< the removal is in flight */
} usage_report_state_t;

/** The report of one window. */
typedef struct usage_report {
	int64_t window;
	usage_report_state_t state;
	json_t *counts; /**< object: requests by organisation */
} usage_report_t;

typedef struct usage_reporter_settings {
	int64_t window_ms;
	int64_t due_ms; /**< after the end of the window */
	int64_t lease_ms;
	char vm[DUTY_VM_NAME_SIZE];
	uint64_t process;
} usage_reporter_settings_t;

typedef struct usage_reporter {
	usage_reporter_settings_t settings;
	const clock_source_t *clock;
	event_log_t *log;
	duty_api_t *api;
	usage_counts_t *counts;
	const fleet_clock_t *fleet_clock;
	duty_holder_t holder;
	usage_report_t queue[USAGE_QUEUE_MAX]; /**< by window */
	size_t queue_len;
	int64_t start_window; /**< in which this daemon started; 0: not yet
				 known */
	bool responsible;     /**< the counts of all daemons come here */
	struct timespec responsible_since;
	bool call_pending; /**< a report is being sent */
	struct timespec next_send_at;
	int64_t retry_ms;
	uint64_t reports_sent;
	uint64_t reports_failed;
	int64_t last_sent_window;
} usage_reporter_t;

/** Fill in settings, clock, log, api, counts and fleet_clock before. */
void usage_reporter_init(usage_reporter_t *, row_store_t *);
void usage_reporter_finish(usage_reporter_t *);

/** Do what is due; called a few times a second.
 * @param responsible whether the counts of all daemons come to this one, so
 * that it reports them */
void usage_reporter_tick(usage_reporter_t *, bool responsible);

/** Whether a call is in flight or the lease still has to be given back. */
bool usage_reporter_busy(const usage_reporter_t *);

/** The last window whose counts are in the store, as far as this daemon knows.
 */
int64_t usage_reporter_written(const usage_reporter_t *);

#endif
