/**
 * @file
 * Keeps a table of a row store up to date: a full read, then polls for
 * changes.
 *
 * The age of the rows counts from when the request for them was sent, on a
 * clock that also runs while the process is stopped.
 */
#ifndef MOORTACK_REPLICATION_ROW_WATCH_H
#define MOORTACK_REPLICATION_ROW_WATCH_H

#include <event2/event.h>

#include "common/clock_source.h"
#include "moortack/replication/row_store.h"

/** Intervals and time limits of requests to the store. */
typedef struct row_watch_timing {
	int64_t wait_ms;  /**< the store may hold a poll this long */
	int64_t pause_ms; /**< between a response and the next request */
	int64_t retry_ms; /**< after a failure; doubled for each further one */
	int64_t retry_max_ms;
	int64_t timeout_ms; /**< for a response, in addition to wait_ms */
} row_watch_timing_t;

typedef struct row_watch_ops {
	/** A row is new, changed or deleted. */
	void (*row)(void *arg, const row_t *);
	/** A full read begins: rows that are not passed to row() until synced()
	 * have been deleted. */
	void (*full_read_begin)(void *arg);
	/** With what was passed until now, the rows are up to date as of the
	 * request. */
	void (*synced)(void *arg, bool full_read, const row_store_response_t *);
	/** The store is available again, or no longer. */
	void (*reachable)(void *arg, bool available);
} row_watch_ops_t;

typedef struct row_watch {
	row_store_t *store;
	const clock_source_t *clock;
	const char *table;
	row_watch_timing_t timing;
	const row_watch_ops_t *ops;
	void *arg;
	struct event *timer;
	uint64_t version;      /**< of the rows; 0: a full read is needed */
	uint64_t read_version; /**< of the first page of a full read */
	char *page; /**< next page of a full read; NULL: the first one */
	struct timespec requested_at;
	struct timespec synced_at; /**< the rows are up to date as of then */
	bool synced_once;
	bool reachable;
	bool in_full_read;
	bool stopped;
	bool suspended;	   /**< another daemon sends the rows */
	bool by_follower;  /**< reads although another daemon sends the rows */
	uint32_t failures; /**< consecutive ones */
	bool call_pending;
} row_watch_t;

bool row_watch_init(row_watch_t *, struct event_base *, row_store_t *,
    const clock_source_t *, const char *table, const row_watch_timing_t *,
    const row_watch_ops_t *, void *arg);
void row_watch_finish(row_watch_t *);

/** Delays the first request by @p delay_ms. */
void row_watch_start_after(row_watch_t *, int64_t delay_ms);

/** Sends a request now, unless one is in flight. */
void row_watch_poll_now(row_watch_t *);

/** Stops sending requests, or continues from the current version. */
void row_watch_suspend(row_watch_t *, bool);

/** Another daemon has sent the rows: they are complete up to @p version, and up
 * to date as of @p synced_at. */
void
row_watch_advance(row_watch_t *, uint64_t version, struct timespec synced_at);

/** Goes back to an earlier version: the changes since then are requested again.
 */
void row_watch_rewind(row_watch_t *, uint64_t version);

/** Milliseconds since the rows were up to date; INT64_MAX: they never were. */
int64_t row_watch_age_ms(const row_watch_t *);

#endif
