#include "moortack/duty/usage_reporter.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DUTY_NAME "usage"
#define WINDOW_KEY_SIZE 24
/* Windows in one write, and rows that it removes. */
#define WINDOWS_PER_WRITE 8
#define REMOVALS_PER_WRITE (DUTY_CHANGES_MAX - WINDOWS_PER_WRITE)
/* A report is sent once at a time, within the lease. */
#define SEND_TIMEOUT_MS 800
#define RETRY_MS 300
#define RETRY_MAX_MS 2000
/* Parts of the time until a report is due: the counts of all daemons are here
 * after the first; the second leaves time for a successor. Counts reach the
 * root in 1.1 s over two levels of the tree, 3 s if a parent is lost
 * meanwhile. */
#define SETTLE_PART 0.35
#define LATEST_PART 0.7
/* Daemons that have lost their root follow this one within this time, and tell
 * it their counts. */
#define RESPONSIBLE_SETTLE_MS 2500

static void
report_clear(usage_report_t *report)
{
	json_decref(report->counts);
	*report = (usage_report_t){0};
}

static void
queue_clear(usage_reporter_t *self)
{
	for (size_t i = 0; i < self->queue_len; i++)
		report_clear(&self->queue[i]);
	self->queue_len = 0;
}

/* Keeps the queue ordered by window. Takes over the reference to the counts. */
static void
queue_insert(usage_reporter_t *self, const usage_report_t *report)
{
	size_t at = self->queue_len;

	if (self->queue_len == USAGE_QUEUE_MAX) {
		json_decref(report->counts);
		return;
	}
	while (at > 0 && self->queue[at - 1].window > report->window) {
		self->queue[at] = self->queue[at - 1];
		at--;
	}
	self->queue[at] = *report;
	self->queue_len++;
}

static void
queue_remove(usage_reporter_t *self, size_t at)
{
	report_clear(&self->queue[at]);
	self->queue_len--;
	memmove(&self->queue[at], &self->queue[at + 1],
	    (self->queue_len - at) * sizeof(self->queue[0]));
}

static void
on_read_begin(void *arg)
{
	queue_clear(arg);
}

static void
on_row(void *arg, const char *key, const row_t *row)
{
	usage_reporter_t *self = arg;
	usage_report_t report = {.state = USAGE_REPORT_WRITTEN};
	char *end;

	report.window = strtoll(key, &end, 10);
	report.counts = json_loadb(row->value, row->value_len, 0, NULL);
	if (end == key || *end != '\0' || !json_is_object(report.counts)) {
		json_decref(report.counts);
		return;
	}
	queue_insert(self, &report);
}

static void
write_done(usage_reporter_t *self, bool written)
{
	for (size_t i = 0; i < self->queue_len;) {
		usage_report_t *report = &self->queue[i];

		if ((report->state == USAGE_REPORT_REMOVING && written) ||
		    (report->state == USAGE_REPORT_WRITING && !written)) {
			queue_remove(self, i);
			continue;
		}
		if (report->state == USAGE_REPORT_REMOVING)
			report->state = USAGE_REPORT_SENT;
		if (report->state == USAGE_REPORT_WRITING)
			report->state = USAGE_REPORT_WRITTEN;
		i++;
	}
}

/* The store may have been restored from a copy of before the last reports. */
int64_t
usage_reporter_written(const usage_reporter_t *self)
{
	int64_t stored = self->holder.lease.row.progress;

	return stored > self->counts->reported ? stored
					       : self->counts->reported;
}

static void
on_changed(void *arg, bool written)
{
	usage_reporter_t *self = arg;

	write_done(self, written);
	if (self->holder.lease.known)
		usage_counts_forget(self->counts, usage_reporter_written(self));
}

static const duty_holder_ops_t holder_ops = {on_read_begin, on_row, on_changed};

void
usage_reporter_init(usage_reporter_t *self, row_store_t *store)
{
	self->holder = (duty_holder_t){.name = DUTY_NAME,
	    .store = store,
	    .clock = self->clock,
	    .log = self->log,
	    .ops = &holder_ops,
	    .arg = self};
	duty_holder_init(&self->holder, self->settings.vm,
	    self->settings.process, self->settings.lease_ms);
}

void
usage_reporter_finish(usage_reporter_t *self)
{
	queue_clear(self);
}

static int64_t
window_at(const usage_reporter_t *self, int64_t ms)
{
	return ms / self->settings.window_ms;
}

static int64_t
part_of_due_ms(const usage_reporter_t *self, double part)
{
	return (int64_t)((double)self->settings.due_ms * part);
}

/* The latest window that is to be reported now. */
static int64_t
latest_window_due(const usage_reporter_t *self)
{
	struct timespec now = clock_boottime(self->clock);
	bool settled = timespec_ms_between(self->responsible_since, now) >=
	    RESPONSIBLE_SETTLE_MS;
	int64_t delay_ms =
	    part_of_due_ms(self, settled ? SETTLE_PART : LATEST_PART);

	return window_at(
		   self, fleet_clock_now_ms(self->fleet_clock) - delay_ms) -
	    1;
}

static int64_t
first_window_due(const usage_reporter_t *self, int64_t latest)
{
	int64_t first = usage_reporter_written(self) + 1;

	return first > latest - USAGE_WINDOWS_MAX ? first
						  : latest - USAGE_WINDOWS_MAX;
}

/* Windows before this daemon's start without any count are left out: no daemon
 * may have run then, or all that did were lost. */
static bool
window_wanted(const usage_reporter_t *self, int64_t window)
{
	return window >= self->start_window ||
	    usage_counts_has_window(self->counts, window);
}

/* Whether a window that is due is not written yet. */
static bool
any_window_wanted(const usage_reporter_t *self, int64_t latest)
{
	for (int64_t window = first_window_due(self, latest); window <= latest;
	     window++) {
		if (window_wanted(self, window))
			return true;
	}
	return false;
}

static json_t *
window_counts(const usage_reporter_t *self, int64_t window)
{
	usage_sum_t *sums;
	size_t len = usage_counts_sum(self->counts, window, &sums);
	json_t *counts = json_object();

	for (size_t i = 0; i < len; i++)
		json_object_set_new(counts, sums[i].organisation,
		    json_integer((json_int_t)sums[i].requests));
	free(sums);
	return counts;
}

/** The changes of one write, and the memory behind them. */
typedef struct report_changes {
	char keys[DUTY_CHANGES_MAX][WINDOW_KEY_SIZE];
	char *values[DUTY_CHANGES_MAX];
	row_change_t changes[DUTY_CHANGES_MAX];
	size_t len;
} report_changes_t;

static void
changes_add(report_changes_t *list, int64_t window, const json_t *counts)
{
	char *key = list->keys[list->len];
	char *value = counts != NULL ? json_dumps(counts, JSON_COMPACT) : NULL;

	snprintf(key, WINDOW_KEY_SIZE, "%020" PRId64, window);
	list->values[list->len] = value;
	list->changes[list->len++] = (row_change_t){.key = key, .value = value};
}

static void
removals_add(usage_reporter_t *self, report_changes_t *list)
{
	for (size_t i = 0;
	     i < self->queue_len && list->len < REMOVALS_PER_WRITE; i++) {
		usage_report_t *report = &self->queue[i];

		if (report->state != USAGE_REPORT_SENT)
			continue;
		report->state = USAGE_REPORT_REMOVING;
		changes_add(list, report->window, NULL);
	}
}

/* @return the last window that was considered */
static int64_t
windows_add(usage_reporter_t *self, int64_t latest, report_changes_t *list)
{
	int64_t window = first_window_due(self, latest);
	size_t added = 0;

	for (; window <= latest && added < WINDOWS_PER_WRITE &&
	     self->queue_len < USAGE_QUEUE_MAX;
	     window++) {
		usage_report_t report = {
		    .window = window, .state = USAGE_REPORT_WRITING};

		if (!window_wanted(self, window))
			continue;
		report.counts = window_counts(self, window);
		changes_add(list, window, report.counts);
		queue_insert(self, &report);
		added++;
	}
	return window - 1;
}

static void
changes_finish(report_changes_t *list)
{
	for (size_t i = 0; i < list->len; i++)
		free(list->values[i]);
}

/* Gives the lease back. The successor need not send again what is confirmed. */
static void
lease_release(usage_reporter_t *self)
{
	report_changes_t list = {.len = 0};

	removals_add(self, &list);
	duty_holder_release(&self->holder, list.changes, list.len);
	changes_finish(&list);
}

/* Writes the counts of windows that are due, and renews the lease. */
static void
reports_write(usage_reporter_t *self, int64_t latest)
{
	report_changes_t list = {.len = 0};
	int64_t progress = usage_reporter_written(self);
	int64_t considered;

	removals_add(self, &list);
	considered = windows_add(self, latest, &list);
	duty_holder_write(&self->holder,
	    considered > progress ? considered : progress, list.changes,
	    list.len);
	changes_finish(&list);
}

static usage_report_t *
first_unsent(usage_reporter_t *self)
{
	for (size_t i = 0; i < self->queue_len; i++) {
		if (self->queue[i].state == USAGE_REPORT_WRITTEN)
			return &self->queue[i];
	}
	return NULL;
}

static bool
on_may_send(void *arg)
{
	const usage_reporter_t *self = arg;

	return duty_holder_covers(&self->holder, SEND_TIMEOUT_MS);
}

static void
send_failed(usage_reporter_t *self)
{
	self->reports_failed++;
	self->retry_ms = self->retry_ms == 0 ? RETRY_MS : 2 * self->retry_ms;
	if (self->retry_ms > RETRY_MAX_MS)
		self->retry_ms = RETRY_MAX_MS;
	self->next_send_at =
	    timespec_add_ms(clock_boottime(self->clock), self->retry_ms);
}

static uint64_t
requests_sum(const usage_report_t *report)
{
	uint64_t sum = 0;
	const char *name;
	json_t *value;

	json_object_foreach(report->counts, name, value) sum +=
	    (uint64_t)json_integer_value(value);
	return sum;
}

static void
on_sent(void *arg, duty_api_result_t result)
{
	usage_reporter_t *self = arg;
	usage_report_t *report = first_unsent(self);
	bool ended = result == DUTY_API_DONE || result == DUTY_API_INVALID;

	self->call_pending = false;
	if (report == NULL)
		return;
	event_log_write(self->log, "usage_report",
	    "window=%" PRId64 " organisations=%zu requests=%" PRIu64
	    " token=%" PRIu64 " result=%d late_ms=%" PRId64,
	    report->window, json_object_size(report->counts),
	    requests_sum(report), duty_holder_token(&self->holder), (int)result,
	    fleet_clock_now_ms(self->fleet_clock) -
		(report->window + 1) * self->settings.window_ms);
	if (!ended) {
		send_failed(self);
		return;
	}
	self->retry_ms = 0;
	self->reports_sent += result == DUTY_API_DONE;
	self->last_sent_window = report->window;
	report->state = USAGE_REPORT_SENT;
}

static void
report_send(usage_reporter_t *self, const usage_report_t *report)
{
	size_t len = json_object_size(report->counts);
	usage_sum_t *sums = calloc(len + 1, sizeof(*sums));
	duty_call_t call = {.token = duty_holder_token(&self->holder),
	    .timeout_ms = SEND_TIMEOUT_MS,
	    .may_send = on_may_send,
	    .done = on_sent,
	    .arg = self};
	const char *name;
	json_t *value;
	size_t at = 0;

	if (sums == NULL)
		return;
	json_object_foreach(report->counts, name, value)
	{
		sums[at].organisation = name;
		sums[at++].requests = (uint64_t)json_integer_value(value);
	}
	self->call_pending = true;
	if (!self->api->ops->report_usage(
		self->api, &call, report->window, sums, at)) {
		self->call_pending = false;
		send_failed(self);
	}
	free(sums);
}

static void
responsible_step(usage_reporter_t *self)
{
	int64_t latest = latest_window_due(self);
	const usage_report_t *unsent = first_unsent(self);
	bool write_due = any_window_wanted(self, latest);

	if (duty_holder_must_read(&self->holder)) {
		if (write_due)
			duty_holder_read(&self->holder);
		return;
	}
	if (unsent != NULL &&
	    duty_holder_covers(&self->holder, SEND_TIMEOUT_MS)) {
		if (timespec_ms_between(
			self->next_send_at, clock_boottime(self->clock)) >= 0)
			report_send(self, unsent);
		return;
	}
	if ((unsent != NULL || write_due) &&
	    duty_holder_may_write(&self->holder))
		reports_write(self, latest);
}

static void
responsible_set(usage_reporter_t *self, bool responsible)
{
	if (responsible && !self->responsible)
		self->responsible_since = clock_boottime(self->clock);
	self->responsible = responsible;
}

void
usage_reporter_tick(usage_reporter_t *self, bool responsible)
{
	int64_t ahead_ms;
	bool time_known = fleet_clock_ahead_ms(self->fleet_clock, &ahead_ms);

	responsible_set(self, responsible);
	if (time_known && self->start_window == 0)
		self->start_window =
		    window_at(self, fleet_clock_now_ms(self->fleet_clock));
	if (self->call_pending || !duty_holder_idle(&self->holder))
		return;
	if (responsible && time_known)
		responsible_step(self);
	else if (duty_holder_covers(&self->holder, 0))
		lease_release(self);
}

bool
usage_reporter_busy(const usage_reporter_t *self)
{
	return self->call_pending || self->holder.call_pending ||
	    duty_holder_covers(&self->holder, 0);
}
