#include "common/suspend_watch.h"

/* The thread may be preempted between the readings of the two clocks, so that
 * small differences are no suspension. */
#define SUSPENSION_MIN_MS 50

int64_t
suspend_watch_poll(suspend_watch_t *watch, const clock_source_t *clock)
{
	struct timespec monotonic = clock_monotonic(clock);
	struct timespec boottime = clock_boottime(clock);
	int64_t suspended_ms = timespec_ms_between(watch->boottime, boottime) -
	    timespec_ms_between(watch->monotonic, monotonic);
	bool polled = watch->polled;

	*watch = (suspend_watch_t){boottime, monotonic, true};
	return polled && suspended_ms >= SUSPENSION_MIN_MS ? suspended_ms : 0;
}
