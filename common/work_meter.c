#include "common/work_meter.h"

#include <inttypes.h>

/* Callers notice a longer turn: the shortest latency objectives of the
 * deployments are 100 ms. */
#define LONG_TURN_US 50000
#define LATE_TICK_US 100000
#define LOG_INTERVAL_MS 10000
#define US_PER_MS 1000
#define US_PER_SEC 1e6

static const char *const kind_names[WORK_KINDS] = {
    [WORK_ROWS_DECODE] = "rows_decode",
    [WORK_ROWS_APPLY] = "rows_apply",
    [WORK_ROWS_STORE] = "rows_store",
    [WORK_ROWS_SERVE] = "rows_serve",
    [WORK_TICK] = "tick",
    [WORK_CONTENTS] = "contents",
    [WORK_ATTEMPT] = "attempt",
};

void
work_meter_init(
    work_meter_t *meter, const clock_source_t *clock, event_log_t *log)
{
	*meter = (work_meter_t){
	    .clock = clock, .log = log, .logged_at = clock_boottime(clock)};
}

work_turn_t
work_begin(const work_meter_t *meter)
{
	if (meter == NULL)
		return (work_turn_t){0};
	return (work_turn_t){
	    clock_monotonic(meter->clock), clock_processor(meter->clock)};
}

void
work_end(work_meter_t *meter, work_kind_t kind, const work_turn_t *turn,
    uint64_t items)
{
	work_total_t *total;
	uint64_t us, cpu_us;

	if (meter == NULL)
		return;
	total = &meter->totals[kind];
	us = (uint64_t)timespec_us_between(
	    turn->started_at, clock_monotonic(meter->clock));
	cpu_us = (uint64_t)timespec_us_between(
	    turn->cpu_started_at, clock_processor(meter->clock));
	total->turns++;
	total->items += items;
	total->us += us;
	total->cpu_us += cpu_us;
	if (us > total->longest_us)
		total->longest_us = us;
	if (us >= LONG_TURN_US)
		event_log_write_throttled(meter->log, EVENT_THROTTLED_LONG_TURN,
		    "work=%s ms=%" PRIu64 " cpu_ms=%" PRIu64 " items=%" PRIu64,
		    kind_names[kind], us / US_PER_MS, cpu_us / US_PER_MS,
		    items);
}

static uint64_t
turns_sum(const work_meter_t *meter)
{
	uint64_t sum = 0;

	for (int kind = 0; kind < WORK_KINDS; kind++)
		sum += meter->totals[kind].turns;
	return sum;
}

static void
lateness_measure(work_meter_t *meter, int64_t interval_ms)
{
	struct timespec now = clock_monotonic(meter->clock);
	struct timespec before = meter->ticked_at;
	int64_t late_us =
	    timespec_us_between(before, now) - interval_ms * (int64_t)US_PER_MS;

	meter->ticked_at = now;
	if ((before.tv_sec == 0 && before.tv_nsec == 0) || late_us <= 0)
		return;
	meter->late_us += (uint64_t)late_us;
	if (late_us >= LATE_TICK_US)
		event_log_write_throttled(meter->log, EVENT_THROTTLED_LATE_TICK,
		    "ms=%" PRId64, late_us / (int64_t)US_PER_MS);
}

void
work_meter_tick(work_meter_t *meter, int64_t interval_ms)
{
	struct timespec now = clock_boottime(meter->clock);
	uint64_t turns = turns_sum(meter);

	lateness_measure(meter, interval_ms);
	if (timespec_ms_between(meter->logged_at, now) < LOG_INTERVAL_MS ||
	    turns == meter->turns_logged)
		return;
	meter->logged_at = now;
	meter->turns_logged = turns;
	for (int kind = 0; kind < WORK_KINDS; kind++) {
		const work_total_t *total = &meter->totals[kind];

		if (total->turns == 0)
			continue;
		event_log_write(meter->log, "work",
		    "work=%s turns=%" PRIu64 " items=%" PRIu64 " ms=%" PRIu64
		    " cpu_ms=%" PRIu64 " longest_ms=%" PRIu64,
		    kind_names[kind], total->turns, total->items,
		    total->us / US_PER_MS, total->cpu_us / US_PER_MS,
		    total->longest_us / US_PER_MS);
	}
}

static void
metric_write(const work_meter_t *meter, struct evbuffer *out, const char *name,
    const char *type, const char *help, double (*value)(const work_total_t *))
{
	evbuffer_add_printf(out,
	    "# HELP moortack_relay_work_%s %s\n"
	    "# TYPE moortack_relay_work_%s %s\n",
	    name, help, name, type);
	for (int kind = 0; kind < WORK_KINDS; kind++)
		evbuffer_add_printf(out,
		    "moortack_relay_work_%s{work=\"%s\"} %g\n", name,
		    kind_names[kind], value(&meter->totals[kind]));
}

static double
total_turns(const work_total_t *total)
{
	return (double)total->turns;
}

static double
total_seconds(const work_total_t *total)
{
	return (double)total->us / US_PER_SEC;
}

static double
total_cpu_seconds(const work_total_t *total)
{
	return (double)total->cpu_us / US_PER_SEC;
}

static double
total_longest_seconds(const work_total_t *total)
{
	return (double)total->longest_us / US_PER_SEC;
}

void
work_meter_write(const work_meter_t *meter, struct evbuffer *out)
{
	metric_write(meter, out, "turns_total", "counter",
	    "Turns of the event loop, by kind of work.", total_turns);
	metric_write(meter, out, "seconds_total", "counter",
	    "Time that they took.", total_seconds);
	metric_write(meter, out, "cpu_seconds_total", "counter",
	    "Processor time that they took.", total_cpu_seconds);
	metric_write(meter, out, "longest_seconds", "gauge",
	    "The longest turn since the start.", total_longest_seconds);
	evbuffer_add_printf(out,
	    "# HELP moortack_relay_tick_late_seconds_total Time by which a "
	    "periodic timer was late.\n"
	    "# TYPE moortack_relay_tick_late_seconds_total counter\n"
	    "moortack_relay_tick_late_seconds_total %g\n",
	    (double)meter->late_us / US_PER_SEC);
}
