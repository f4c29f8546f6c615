/**
 * @file
 * Measures what the event loop of a daemon spends its time on, by kind of work.
 * A turn is one piece of work that nothing else of the daemon runs beside:
 * timers, time limits and responses wait for its end.
 */
#ifndef COMMON_WORK_METER_H
#define COMMON_WORK_METER_H

#include <event2/buffer.h>

#include "common/event_log.h"

typedef enum work_kind {
	WORK_ROWS_DECODE, /**< rows that another daemon sent; counts bytes */
	WORK_ROWS_APPLY,  /**< the same; counts rows */
	WORK_ROWS_STORE, /**< rows that were read from the store; counts rows */
	WORK_ROWS_SERVE, /**< responses to followers; counts responses */
	WORK_TICK,	 /**< what is due a few times a second */
	WORK_CONTENTS,	 /**< choice of the endpoints to follow; counts
			    endpoints */
	WORK_ATTEMPT,	 /**< choice of an endpoint, and sending */
	WORK_KINDS	 /* count */
} work_kind_t;

/** What one kind of work has taken. */
typedef struct work_total {
	uint64_t turns;
	uint64_t items;	     /**< unit: see work_kind_t */
	uint64_t us;	     /**< that passed */
	uint64_t cpu_us;     /**< processor time of this thread */
	uint64_t longest_us; /**< turn, by time that passed */
} work_total_t;

typedef struct work_meter {
	const clock_source_t *clock;
	event_log_t *log;
	work_total_t totals[WORK_KINDS];
	struct timespec logged_at;
	uint64_t turns_logged; /**< of all kinds, as of the last line `work` */
	struct timespec ticked_at; /**< by the monotonic clock */
	uint64_t late_us;	   /**< of ticks, in all */
} work_meter_t;

/** A turn in progress. */
typedef struct work_turn {
	struct timespec started_at; /**< by the monotonic clock */
	struct timespec cpu_started_at;
} work_turn_t;

void work_meter_init(work_meter_t *, const clock_source_t *, event_log_t *);

/** Begins a turn. The meter may be NULL in these two: nothing is measured. */
work_turn_t work_begin(const work_meter_t *);
/** A turn that takes long is logged as `long_turn`.
 * @param items see work_kind_t */
void work_end(work_meter_t *, work_kind_t, const work_turn_t *, uint64_t items);

/** Called by a timer. Measures how late it is, and logs that as `late_tick` if
 * it is much; logs the totals as `work` lines, one for each kind, every few
 * seconds while they change.
 * @param interval_ms of the timer */
void work_meter_tick(work_meter_t *, int64_t interval_ms);

/** Writes the totals as metrics. */
void work_meter_write(const work_meter_t *, struct evbuffer *out);

#endif
