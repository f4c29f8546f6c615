#include "moortack/duty/duties.h"

#include <stdio.h>
#include <string.h>

#define FIELD_AHEAD "ahead_ms"
#define FIELD_USAGE "usage"
#define FIELD_REPORTED "reported"

static void
usage_init(
    duties_t *self, row_store_t *store, duty_api_t *api, event_log_t *log)
{
	const duties_settings_t *settings = &self->settings;

	self->usage_reporter = (usage_reporter_t){
	    .settings = {.window_ms = settings->usage_window_ms,
		.due_ms = settings->usage_due_ms,
		.lease_ms = settings->lease_ms,
		.process = settings->process},
	    .clock = self->clock,
	    .log = log,
	    .api = api,
	    .counts = &self->usage,
	    .fleet_clock = &self->fleet_clock};
	strcpy(self->usage_reporter.settings.vm, settings->vm);
	usage_reporter_init(&self->usage_reporter, store);
}

static void
capacity_init(duties_t *self, row_store_t *store, duty_api_t *api,
    const capacity_source_t *source, event_log_t *log)
{
	self->capacity_orders = (capacity_orders_t){
	    .clock = self->clock, .log = log, .api = api, .source = *source};
	capacity_orders_init(&self->capacity_orders, store, self->settings.vm,
	    self->settings.process, self->settings.lease_ms);
}

void
duties_init(duties_t *self, const duties_settings_t *settings,
    row_store_t *store, duty_api_t *api, const capacity_source_t *capacity,
    const clock_source_t *clock, event_log_t *log)
{
	*self = (duties_t){.settings = *settings, .clock = clock};
	self->settings.report_usage &= api != NULL;
	self->settings.order_capacity &= api != NULL;
	fleet_clock_init(&self->fleet_clock, clock);
	usage_counts_init(&self->usage, settings->process);
	if (self->settings.report_usage)
		usage_init(self, store, api, log);
	if (self->settings.order_capacity)
		capacity_init(self, store, api, capacity, log);
}

void
duties_finish(duties_t *self)
{
	if (self->settings.report_usage)
		usage_reporter_finish(&self->usage_reporter);
	if (self->settings.order_capacity)
		capacity_orders_finish(&self->capacity_orders);
	usage_counts_finish(&self->usage);
	fleet_clock_finish(&self->fleet_clock);
}

static int64_t
window_now(const duties_t *self)
{
	return fleet_clock_now_ms(&self->fleet_clock) /
	    self->settings.usage_window_ms;
}

void
duties_count_request(duties_t *self, const char *organisation)
{
	if (self->settings.report_usage)
		usage_counts_add(&self->usage, window_now(self), organisation);
}

json_t *
duties_uplink(duties_t *self)
{
	json_t *uplink, *usage;
	int64_t ahead_ms;

	if (!self->settings.report_usage)
		return NULL;
	uplink = json_object();
	if (fleet_clock_median_ms(&self->fleet_clock, &ahead_ms))
		json_object_set_new(
		    uplink, FIELD_AHEAD, json_integer(ahead_ms));
	usage = usage_counts_export(&self->usage, window_now(self));
	if (usage != NULL)
		json_object_set_new(uplink, FIELD_USAGE, usage);
	return uplink;
}

void
duties_uplink_received(duties_t *self)
{
	usage_counts_export_received(&self->usage);
}

void
duties_apply_uplink(duties_t *self, const char *name, const json_t *uplink)
{
	const json_t *ahead = json_object_get(uplink, FIELD_AHEAD);

	if (json_is_integer(ahead))
		fleet_clock_add_sample(
		    &self->fleet_clock, name, json_integer_value(ahead));
	usage_counts_import(&self->usage, json_object_get(uplink, FIELD_USAGE));
}

json_t *
duties_downlink(const duties_t *self)
{
	int64_t ahead_ms;

	if (!self->settings.report_usage ||
	    !fleet_clock_ahead_ms(&self->fleet_clock, &ahead_ms))
		return NULL;
	return json_pack("{s:I, s:I}", FIELD_AHEAD, (json_int_t)ahead_ms,
	    FIELD_REPORTED, (json_int_t)self->usage.reported);
}

void
duties_apply_downlink(duties_t *self, const json_t *downlink)
{
	const json_t *ahead = json_object_get(downlink, FIELD_AHEAD);

	if (json_is_integer(ahead))
		fleet_clock_set_parent(
		    &self->fleet_clock, json_integer_value(ahead));
	usage_counts_forget(&self->usage,
	    json_integer_value(json_object_get(downlink, FIELD_REPORTED)));
}

void
duties_parent_changed(duties_t *self)
{
	fleet_clock_clear_parent(&self->fleet_clock);
	usage_counts_export_restart(&self->usage);
}

void
duties_tick(duties_t *self, bool responsible, int64_t store_offset_ms)
{
	if (self->settings.order_capacity)
		capacity_orders_tick(&self->capacity_orders, responsible);
	if (!self->settings.report_usage)
		return;
	fleet_clock_set_store_offset(&self->fleet_clock, store_offset_ms);
	fleet_clock_tick(&self->fleet_clock);
	usage_reporter_tick(&self->usage_reporter, responsible);
}

bool
duties_busy(const duties_t *self)
{
	return (self->settings.report_usage &&
		   usage_reporter_busy(&self->usage_reporter)) ||
	    (self->settings.order_capacity &&
		capacity_orders_busy(&self->capacity_orders));
}
