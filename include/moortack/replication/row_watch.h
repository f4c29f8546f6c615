/**
 * @file
 * Follows a table of a row store: a whole read, then its changes.
 *
 * The age of what is known counts from when the question was asked, on a clock
 * that goes on while the process stands still.
 */
#ifndef MOORTACK_REPLICATION_ROW_WATCH_H
#define MOORTACK_REPLICATION_ROW_WATCH_H

#include <event2/event.h>

#include "common/clock_source.h"
#include "moortack/replication/row_store.h"

/** How often and how long to ask. */
typedef struct row_watch_timing {
	int64_t wait_ms;  /**< the store may hold a question this long */
	int64_t pause_ms; /**< between an answer and the next question */
	int64_t retry_ms; /**< after a failure; doubled for each more */
	int64_t retry_max_ms;
	int64_t timeout_ms; /**< for an answer, beyond wait_ms */
} row_watch_timing_t;

typedef struct row_watch_ops {
	/** One row is new, changed or deleted. */
	void (*row)(void *arg, const row_t *);
	/** A whole read begins: rows not named until settled() are gone. */
	void (*full_read_begin)(void *arg);
	/** What was told until now is newest as of the question. */
	void (*synced)(void *arg, bool whole_read, const row_reply_t *);
	/** The store answers again, or no longer. */
	void (*reachable)(void *arg, bool now);
} row_watch_ops_t;

typedef struct row_watch {
	row_store_t *store;
	const clock_source_t *clock;
	const char *table;
	row_watch_timing_t timing;
	const row_watch_ops_t *ops;
	void *arg;
	struct event *timer;
	uint64_t version;      /**< followed up to here; 0: read whole */
	uint64_t read_version; /**< of the first page of a whole read */
	char *page; /**< of a whole read, after the first; NULL: that one */
	struct timespec requested_at;
	struct timespec synced_at; /**< newest as of this moment */
	bool synced_once;
	bool reachable;
	bool in_full_read;
	bool stopped;
	bool suspended;	   /**< somebody else tells the rows */
	bool by_follower;  /**< read beside somebody else who tells them */
	uint32_t failures; /**< in a row */
	bool call_pending;
} row_watch_t;

bool row_watch_init(row_watch_t *, struct event_base *, row_store_t *,
    const clock_source_t *, const char *table, const row_watch_timing_t *,
    const row_watch_ops_t *, void *arg);
void row_watch_finish(row_watch_t *);

/** Ask for the first time after this time only. */
void row_watch_start_after(row_watch_t *, int64_t ms);

/** Ask now, unless a question is out. */
void row_watch_poll_now(row_watch_t *);

/** Ask no more, or go on where the rows are known up to now. */
void row_watch_suspend(row_watch_t *, bool);

/** Somebody else told the rows: they are known up to @p version, which was
 * newest at @p known. */
void row_watch_advance(row_watch_t *, uint64_t version, struct timespec known);

/** Go on from an earlier version: changes since are told again. */
void row_watch_rewind(row_watch_t *, uint64_t version);

/** Milliseconds since what is known was newest; INT64_MAX: never. */
int64_t row_watch_age_ms(const row_watch_t *);

#endif
