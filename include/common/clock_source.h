/**
 * @file
 * Clock interface, so that tests can supply the time, and arithmetic on
 * struct timespec.
 */
#ifndef COMMON_CLOCK_SOURCE_H
#define COMMON_CLOCK_SOURCE_H

#include <stdint.h>
#include <time.h>

typedef struct clock_source clock_source_t;

/** Operations of a clock. */
typedef struct clock_ops {
	/** Time since boot, including time for which the VM or the process was
	 * suspended (CLOCK_BOOTTIME). */
	struct timespec (*boottime)(const clock_source_t *);
	/** Wall-clock time, UTC (CLOCK_REALTIME). */
	struct timespec (*wall)(const clock_source_t *);
	/** The clock by which timers run; stops while the VM is suspended
	 * (CLOCK_MONOTONIC). */
	struct timespec (*monotonic)(const clock_source_t *);
	/** Processor time that the calling thread has used. */
	struct timespec (*processor)(const clock_source_t *);
} clock_ops_t;

/** A clock. Implementations embed it as their first member. */
struct clock_source {
	const clock_ops_t *ops;
};

/** The VM's clocks: CLOCK_BOOTTIME, CLOCK_REALTIME, CLOCK_MONOTONIC, and
 * CLOCK_THREAD_CPUTIME_ID. */
void clock_system_init(clock_source_t *);

struct timespec clock_boottime(const clock_source_t *);
struct timespec clock_wall(const clock_source_t *);
struct timespec clock_monotonic(const clock_source_t *);
struct timespec clock_processor(const clock_source_t *);

/** Milliseconds from @p from until @p to; negative if @p to is earlier. */
int64_t timespec_ms_between(struct timespec from, struct timespec to);

/** Microseconds from @p from until @p to. */
int64_t timespec_us_between(struct timespec from, struct timespec to);

/** @p ts plus @p ms milliseconds, which may be negative. */
struct timespec timespec_add_ms(struct timespec ts, int64_t ms);

/** @p ts in milliseconds since its epoch. */
int64_t timespec_to_ms(struct timespec ts);

/** The time @p ms milliseconds after the epoch. */
struct timespec timespec_from_ms(int64_t ms);

#endif
