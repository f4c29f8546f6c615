/**
 * @file
 * Hybrid logical clock (Kulkarni et al., 2014): stamps close to wall-clock time
 * that are always consistent with the order of messages between processes.
 */
#ifndef COMMON_HLC_H
#define COMMON_HLC_H

#include <stdint.h>

/** A clock. A stamp holds milliseconds since the epoch in its upper 48 bits and
 * a counter in the lower 16. */
typedef struct hlc {
	uint64_t last; /**< highest stamp issued or received */
} hlc_t;

/** Issue the stamp of a local event.
 * @param wall_ms wall-clock time, milliseconds since the epoch */
uint64_t hlc_tick(hlc_t *, int64_t wall_ms);

/** Advance the clock past the stamp of a received message.
 * @param wall_ms wall-clock time, milliseconds since the epoch */
void hlc_receive(hlc_t *, uint64_t stamp, int64_t wall_ms);

/** The milliseconds since the epoch that a stamp holds. */
int64_t hlc_to_ms(uint64_t stamp);

#endif
