#include "moortack/relay/row_refusals.h"

#include <inttypes.h>

/* Rows that can't be taken may be thousands, each written again every second or
 * so: one line for each kind and fault in this time tells what is wrong, and
 * how many there were. */
#define TOLD_EVERY_MS 10000

static const char *const kinds[ROW_KINDS] = {"config", "order", "endpoint",
    "evacuation", "member", "state", "key", "verdict"};
static const char *const faults[ROW_FAULTS] = {"name", "unreadable", "field"};

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
row_refusals_note(
    row_refusals_t *self, row_kind_t kind, const row_t *row, const err_t *why)
{
	row_fault_t fault = fault_of(why);
	row_refusal_t *refusal = &self->counts[kind][fault];
	struct timespec now = clock_boottime(self->clock);

	refusal->count++;
	if (self->log == NULL ||
	    (refusal->told > 0 &&
		timespec_ms_between(refusal->at, now) < TOLD_EVERY_MS))
		return;
	event_log_write(self->log, "row_refused",
	    "kind=%s fault=%s count=%" PRIu64 " key=%.40s version=%" PRIu64
	    " why=\"%s\"",
	    kinds[kind], faults[fault], refusal->count - refusal->told,
	    row->key, row->version, why->detail);
	refusal->told = refusal->count;
	refusal->at = now;
}

void
row_refusals_write(const row_refusals_t *self, struct evbuffer *out)
{
	evbuffer_add_printf(out,
	    "# HELP moortack_relay_rows_refused_total Rows that could not be "
	    "taken.\n"
	    "# TYPE moortack_relay_rows_refused_total counter\n");
	for (int i = 0; i < ROW_KINDS; i++) {
		for (int j = 0; j < ROW_FAULTS; j++)
			evbuffer_add_printf(out,
			    "moortack_relay_rows_refused_total{kind=\"%s\","
			    "fault=\"%s\"} %" PRIu64 "\n",
			    kinds[i], faults[j], self->counts[i][j].count);
	}
}
