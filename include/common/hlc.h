/**
 * @file
 * A hybrid logical clock (Kulkarni et al., 2014): close to wall-clock time, and
 * never out of order with the messages between processes.
 */
#ifndef COMMON_HLC_H
#define COMMON_HLC_H

#include <stdint.h>

/** A stamp: milliseconds since the epoch in the upper 48 bits, and a count in
 * the lower 16. */
typedef struct hlc {
	uint64_t last;
} hlc_t;

/** A stamp for an event of this process. @param wall_ms wall-clock time */
uint64_t hlc_tick(hlc_t *, int64_t wall_ms);

/** Take note of a stamp that came with a message. */
void hlc_receive(hlc_t *, uint64_t stamp, int64_t wall_ms);

/** The milliseconds of a stamp. */
int64_t hlc_to_ms(uint64_t stamp);

#endif
