#include "common/suspend_watch.h"

/* The two clocks are read one after the other, and a thread may wait between.
 */
#define APART_MIN_MS 50

int64_t
suspend_watch_poll(suspend_watch_t *watch, const clock_source_t *clock)
{
	struct timespec steady = clock_monotonic(clock);
	struct timespec elapsed = clock_boottime(clock);
	int64_t missing = timespec_ms_between(watch->boottime, elapsed) -
	    timespec_ms_between(watch->monotonic, steady);
	bool polled = watch->polled;

	*watch = (suspend_watch_t){elapsed, steady, true};
	return polled && missing >= APART_MIN_MS ? missing : 0;
}
