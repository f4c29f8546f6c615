#include "moortack/relay/row_refusals.h"

#include <inttypes.h>

/* There may be thousands of invalid rows, each written again every second or
 * so: for each kind and fault, one line is logged in this time, with the number
 * of rows since the last line. */
#define LOG_INTERVAL_MS 10000

static const char *const kind_names[ROW_KIND_COUNT] = {"config", "order",
    "endpoint", "evacuation", "member", "state", "key", "verdict"};
static const char *const fault_names[ROW_FAULT_COUNT] = {
    "name", "unreadable", "field"};

static row_fault_t
fault_of(const err_t *why)
{
	switch (why->code) {
	case ERR_BAD_NAME:
		return ROW_FAULT_NAME;
	case ERR_UNREADABLE:
		return ROW_FAULT_UNREADABLE;
	default:
		return ROW_FAULT_FIELD;
	}
}

void
row_refusals_record(
    row_refusals_t *self, row_kind_t kind, const row_t *row, const err_t *why)
{
	row_fault_t fault = fault_of(why);
	row_refusal_t *refusal = &self->counts[kind][fault];
	struct timespec now = clock_boottime(self->clock);

	refusal->count++;
	if (self->log == NULL ||
	    (refusal->logged_count > 0 &&
		timespec_ms_between(refusal->logged_at, now) < LOG_INTERVAL_MS))
		return;
	event_log_write(self->log, "row_refused",
	    "kind=%s fault=%s count=%" PRIu64 " key=%.40s version=%" PRIu64
	    " why=\"%s\"",
	    kind_names[kind], fault_names[fault],
	    refusal->count - refusal->logged_count, row->key, row->version,
	    why->detail);
	refusal->logged_count = refusal->count;
	refusal->logged_at = now;
}

void
row_refusals_write_metrics(const row_refusals_t *self, struct evbuffer *out)
{
	evbuffer_add_printf(out,
	    "# HELP moortack_relay_rows_refused_total Rows that could not be "
	    "taken.\n"
	    "# TYPE moortack_relay_rows_refused_total counter\n");
	for (int i = 0; i < ROW_KIND_COUNT; i++) {
		for (int j = 0; j < ROW_FAULT_COUNT; j++)
			evbuffer_add_printf(out,
			    "moortack_relay_rows_refused_total{kind=\"%s\","
			    "fault=\"%s\"} %" PRIu64 "\n",
			    kind_names[i], fault_names[j],
			    self->counts[i][j].count);
	}
}
