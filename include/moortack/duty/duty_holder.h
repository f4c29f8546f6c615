/**
 * @file
 * Keeps this daemon's lease on a duty in the store, together with the rows that
 * the duty keeps there: each write renews the lease in the same transaction.
 * Nothing is read or written unless the duty asks for it, so that an idle duty
 * makes no calls.
 */
#ifndef MOORTACK_DUTY_DUTY_HOLDER_H
#define MOORTACK_DUTY_DUTY_HOLDER_H

#include "common/event_log.h"
#include "moortack/duty/duty_lease.h"
#include "moortack/replication/row_store.h"

/** Table of the leases and of the duties' own rows. No daemon replicates it. */
#define DUTY_TABLE "moortack-duties"
#define DUTY_NAME_SIZE 32
/** Rows of the duty in one write. */
#define DUTY_CHANGES_MAX 32

typedef struct duty_holder_ops {
	/** A read begins: rows that are not passed to row() until changed() are
	 * not in the store. */
	void (*read_begin)(void *arg);
	/** A row of the duty was read.
	 * @param key without the duty's prefix */
	void (*row)(void *arg, const char *key, const row_t *);
	/** A call has ended.
	 * @param written the changes of a write took effect */
	void (*changed)(void *arg, bool written);
} duty_holder_ops_t;

typedef struct duty_holder {
	char name[DUTY_NAME_SIZE]; /**< of the duty: prefix of its keys */
	row_store_t *store;
	const clock_source_t *clock;
	event_log_t *log;
	const duty_holder_ops_t *ops;
	void *arg;
	duty_lease_t lease;
	bool call_pending;
	bool was_held; /**< as last logged */
	struct timespec sent_at;
	struct timespec next_call_at; /**< after a failed call */
	int64_t retry_ms;
	bool row_is_bad; /**< the lease's row can't be decoded */
	uint64_t takeovers;
	uint64_t refusals; /**< calls that the store did not carry out */
} duty_holder_t;

/** Fill in name, store, clock, log, ops and arg before.
 * @param vm name of this VM
 * @param process random number of this process */
void duty_holder_init(
    duty_holder_t *, const char *vm, uint64_t process, int64_t lease_ms);

/** Whether a call to the store may be started now. */
bool duty_holder_idle(const duty_holder_t *);

/** Whether the rows have to be read before anything can be written. */
bool duty_holder_must_read(const duty_holder_t *);
/** Read the lease and the duty's rows; only if idle. */
void duty_holder_read(duty_holder_t *);

/** Whether the lease can be renewed or taken now; only if idle. */
bool duty_holder_may_write(const duty_holder_t *);
/** Renew or take the lease, and change rows of the duty; only if
 * duty_holder_may_write().
 * @param progress stored with the lease
 * @param changes keys without the duty's prefix; the table is filled in */
void duty_holder_write(duty_holder_t *, int64_t progress,
    const row_change_t *changes, size_t changes_len);
/** Give the lease back, if it is held, and change rows of the duty; only if
 * idle and with no call to the outside system in flight.
 * @param changes as above */
void duty_holder_release(
    duty_holder_t *, const row_change_t *changes, size_t changes_len);

/** Whether a call that ends within @p ms may be sent now. */
bool duty_holder_covers(const duty_holder_t *, int64_t ms);
uint64_t duty_holder_token(const duty_holder_t *);

#endif
