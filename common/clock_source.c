#include "common/clock_source.h"

#define MS_PER_SEC 1000
#define US_PER_SEC 1000000
#define NS_PER_US 1000
#define NS_PER_MS 1000000
#define NS_PER_SEC 1000000000

static struct timespec
system_boottime(const clock_source_t *clock)
{
	struct timespec now;

	(void)clock;
	clock_gettime(CLOCK_BOOTTIME, &now);
	return now;
}

static struct timespec
system_wall(const clock_source_t *clock)
{
	struct timespec now;

	(void)clock;
	clock_gettime(CLOCK_REALTIME, &now);
	return now;
}

static struct timespec
system_monotonic(const clock_source_t *clock)
{
	struct timespec now;

	(void)clock;
	clock_gettime(CLOCK_MONOTONIC, &now);
	return now;
}

static struct timespec
system_processor(const clock_source_t *clock)
{
	struct timespec now;

	(void)clock;
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return now;
}

static const clock_ops_t system_ops = {
    system_boottime, system_wall, system_monotonic, system_processor};

void
clock_system_init(clock_source_t *clock)
{
	*clock = (clock_source_t){.ops = &system_ops};
}

struct timespec
clock_boottime(const clock_source_t *clock)
{
	return clock->ops->boottime(clock);
}

struct timespec
clock_wall(const clock_source_t *clock)
{
	return clock->ops->wall(clock);
}

struct timespec
clock_monotonic(const clock_source_t *clock)
{
	return clock->ops->monotonic(clock);
}

struct timespec
clock_processor(const clock_source_t *clock)
{
	return clock->ops->processor(clock);
}

int64_t
timespec_us_between(struct timespec from, struct timespec to)
{
	return (int64_t)(to.tv_sec - from.tv_sec) * US_PER_SEC +
	    (to.tv_nsec - from.tv_nsec) / NS_PER_US;
}

int64_t
timespec_ms_between(struct timespec from, struct timespec to)
{
	return timespec_us_between(from, to) / (US_PER_SEC / MS_PER_SEC);
}

struct timespec
timespec_add_ms(struct timespec ts, int64_t ms)
{
	ts.tv_sec += ms / MS_PER_SEC;
	ts.tv_nsec += (ms % MS_PER_SEC) * NS_PER_MS;
	if (ts.tv_nsec >= NS_PER_SEC) {
		ts.tv_sec++;
		ts.tv_nsec -= NS_PER_SEC;
	}
	if (ts.tv_nsec < 0) {
		ts.tv_sec--;
		ts.tv_nsec += NS_PER_SEC;
	}
	return ts;
}

int64_t
timespec_to_ms(struct timespec ts)
{
	return (int64_t)ts.tv_sec * MS_PER_SEC + ts.tv_nsec / NS_PER_MS;
}

struct timespec
timespec_from_ms(int64_t ms)
{
	return timespec_add_ms((struct timespec){0}, ms);
}
