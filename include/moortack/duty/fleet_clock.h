/**
 * @file
 * The time of day that all daemons of a fleet agree on. The clocks of single
 * VMs may be wrong by seconds; the store's clock is the same for all, but does
 * not tell the time of day. Each daemon therefore tells its parent by how much
 * its VM's time of day is ahead of the store's clock, the median of that goes
 * up the tree, and the root's median comes back down to all.
 */
#ifndef MOORTACK_DUTY_FLEET_CLOCK_H
#define MOORTACK_DUTY_FLEET_CLOCK_H

#include <stdbool.h>
#include <uthash.h>

#include "common/clock_source.h"

#define FLEET_CLOCK_NAME_SIZE 96

/** What a follower told. */
typedef struct fleet_clock_sample {
	char name[FLEET_CLOCK_NAME_SIZE];
	int64_t ahead_ms;
	struct timespec received_at;
	UT_hash_handle hh;
} fleet_clock_sample_t;

typedef struct fleet_clock {
	const clock_source_t *clock;
	bool store_clock_known;
	int64_t store_offset_ms; /**< of the store's clock from this VM's */
	fleet_clock_sample_t *samples;
	bool median_known;
	int64_t median_ms; /**< of this VM and the daemons that follow it */
	bool has_parent;
	int64_t parent_ahead_ms;	/**< the root's median */
	struct timespec parent_lost_at; /**< when has_parent is not set */
} fleet_clock_t;

void fleet_clock_init(fleet_clock_t *, const clock_source_t *);
void fleet_clock_finish(fleet_clock_t *);

/** The estimated offset of the store's clock from this VM's boot time. */
void fleet_clock_set_store_offset(fleet_clock_t *, int64_t offset_ms);
/** A follower's median. */
void
fleet_clock_add_sample(fleet_clock_t *, const char *name, int64_t ahead_ms);
/** The root's median, as the parent tells it. */
void fleet_clock_set_parent(fleet_clock_t *, int64_t ahead_ms);
/** This daemon follows no other one: after a while its own median counts. */
void fleet_clock_clear_parent(fleet_clock_t *);

/** Update the median; called a few times a second. */
void fleet_clock_tick(fleet_clock_t *);

/** By how much the time of day is ahead of the store's clock, by this VM and
 * those below it in the tree, in milliseconds.
 * @return false: not known yet */
bool fleet_clock_median_ms(const fleet_clock_t *, int64_t *ahead_ms);
/** By how much the agreed time of day is ahead of the store's clock.
 * @return false: not known yet */
bool fleet_clock_ahead_ms(const fleet_clock_t *, int64_t *ahead_ms);

/** Time of day in milliseconds since 1970, UTC. Until the fleet's is known,
 * that of this VM. */
int64_t fleet_clock_now_ms(const fleet_clock_t *);

#endif
