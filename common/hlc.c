#include "common/hlc.h"

#define COUNT_BITS 16

uint64_t
hlc_tick(hlc_t *hlc, int64_t wall_ms)
{
	uint64_t wall = (uint64_t)wall_ms << COUNT_BITS;

	hlc->last = wall > hlc->last ? wall : hlc->last + 1;
	return hlc->last;
}

void
hlc_receive(hlc_t *hlc, uint64_t stamp, int64_t wall_ms)
{
	if (stamp > hlc->last)
		hlc->last = stamp;
	hlc_tick(hlc, wall_ms);
}

int64_t
hlc_to_ms(uint64_t stamp)
{
	return (int64_t)(stamp >> COUNT_BITS);
}
