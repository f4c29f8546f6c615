/**
 * @file
 * Lease on a duty: what one daemon at a time does for the whole fleet at an
 * outside system, such as reporting usage. Pure decisions, without I/O or
 * clock.
 *
 * The lease is a row of the store that is only written on condition of its
 * version. Whoever takes it gets a fencing token that is higher than all
 * before. The outside system may not check tokens, so that the lease itself has
 * to keep two holders apart:
 *
 * - A holder counts its lease from before the write that renewed it was sent,
 *   on a clock that includes suspended time. The row states the end of the
 *   lease by the store's clock, no earlier than that.
 * - A successor waits until the store's clock is past that end.
 * - The VM that held the lease before the current holder takes it again only
 *   after lease_ms: orders of two VMs must not alternate within that time.
 */
#ifndef MOORTACK_DUTY_DUTY_LEASE_H
#define MOORTACK_DUTY_DUTY_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock_source.h"
#include "common/err.h"

#define DUTY_VM_NAME_SIZE 96
/** Earlier holders that the row lists. While it is full, nobody new takes the
 * lease. */
#define DUTY_PAST_MAX 6

/** A VM that held the lease before. */
typedef struct duty_past {
	char vm[DUTY_VM_NAME_SIZE];
	int64_t until_ms; /**< it acted no later; by the store's clock */
} duty_past_t;

/** Contents of a lease's row. */
typedef struct duty_lease_row {
	char vm[DUTY_VM_NAME_SIZE]; /**< that holds it; "": nobody ever did */
	uint64_t process;	    /**< incarnation of the holder's process */
	uint64_t token;		    /**< fencing token of the holder */
	int64_t until_ms; /**< end of the lease, by the store's clock */
	duty_past_t past[DUTY_PAST_MAX]; /**< the latest last */
	size_t past_len;
	int64_t progress; /**< how far the duty is done; the duty defines it */
} duty_lease_row_t;

/** Times of one call to the store, and what its response said. */
typedef struct duty_store_times {
	struct timespec sent_at;
	struct timespec received_at;
	int64_t store_now_ms; /**< the store's clock, at some time between */
	uint64_t era;	      /**< of the store */
} duty_store_times_t;

typedef struct duty_lease {
	char vm[DUTY_VM_NAME_SIZE]; /**< this one */
	uint64_t process;
	int64_t lease_ms;
	bool known;	      /**< row and version are those last read */
	duty_lease_row_t row; /**< empty if there is no row */
	uint64_t version;     /**< of the row; 0: there is none */
	bool held;	      /**< by this process, until valid_until */
	struct timespec valid_until;
	/* The store's clock is between these offsets from this VM's. */
	int64_t offset_min_ms;
	int64_t offset_max_ms;
	uint64_t era; /**< of the store, latest known */
	/** A restored copy of the store may lack a lease of before: nobody
	 * takes the lease for a time after this. 0: the store was never
	 * restored. */
	struct timespec restored_at;
	duty_lease_row_t proposed; /**< by the write in flight */
	struct timespec proposed_at;
} duty_lease_t;

/** @param process random number of this process
 * @param lease_ms within which two VMs must not alternate as holders */
void duty_lease_init(
    duty_lease_t *, const char *vm, uint64_t process, int64_t lease_ms);

/** The row was read.
 * @param row NULL: there is none
 * @param version 0: there is none */
void duty_lease_apply_read(duty_lease_t *, const duty_lease_row_t *row,
    uint64_t version, const duty_store_times_t *);

/** Milliseconds until this daemon may renew or take the lease; 0: now.
 * INT64_MAX: the row has to be read first. */
int64_t duty_lease_wait_ms(const duty_lease_t *, struct timespec now);

/** Prepare the write that renews or takes the lease; only if
 * duty_lease_wait_ms() is 0.
 * @param progress of the duty, to be stored with it
 * @return the row to be written on condition of the known version */
const duty_lease_row_t *
duty_lease_propose(duty_lease_t *, struct timespec now, int64_t progress);
/** Prepare the write that gives the lease back. From now on this daemon must
 * not act.
 * @return NULL: it does not hold the lease, and there is nothing to write */
const duty_lease_row_t *
duty_lease_propose_release(duty_lease_t *, struct timespec now);

/** The prepared write took effect.
 * @param version of the row now */
void duty_lease_apply_written(
    duty_lease_t *, uint64_t version, const duty_store_times_t *);
/** It is not known whether the write took effect: the row has to be read. */
void duty_lease_apply_unknown(duty_lease_t *);

/** Whether this daemon holds the lease now and for @p ms more. */
bool duty_lease_covers(const duty_lease_t *, struct timespec now, int64_t ms);

/** Encode a row as a JSON text that the caller frees; NULL: out of memory. */
char *duty_lease_row_encode(const duty_lease_row_t *);
/** @return false with the error set: the text is malformed */
bool duty_lease_row_decode(
    const char *text, size_t len, duty_lease_row_t *, err_t *);

#endif
