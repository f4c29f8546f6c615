#include "common/suspend_watch.h"

/* The two clocks are read one after the other, and a thread may wait between.
 */
#define APART_MIN_MS 50

int64_t
suspend_watch_look(suspend_watch_t *watch, const clock_source_t *clock)
{
	struct timespec steady = clock_steady(clock);
	struct timespec elapsed = clock_elapsed(clock);
	int64_t missing = timespec_ms_between(watch->elapsed, elapsed) -
	    timespec_ms_between(watch->steady, steady);
	bool looked = watch->looked;

	*watch = (suspend_watch_t){elapsed, steady, true};
	return looked && missing >= APART_MIN_MS ? missing : 0;
}
