/**
 * @file
 * Numbers of requests that endpoints began to run, by window of time and
 * organisation. Bounded, without I/O or clock.
 *
 * Each daemon counts its own requests, and passes its counts and those of the
 * daemons that follow it on to its parent. Counts are kept apart by the process
 * that made them and only grow, so that they may be passed on more than once
 * and on several ways, as happens when a daemon changes its parent.
 */
#ifndef MOORTACK_DUTY_USAGE_COUNTS_H
#define MOORTACK_DUTY_USAGE_COUNTS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/** Windows that are kept: the latest ones. */
#define USAGE_WINDOWS_MAX 64
/** Organisations that are told apart. */
#define USAGE_ORGANISATIONS_MAX 4096

/** Requests of one organisation. */
typedef struct usage_count {
	uint32_t organisation; /**< index of its name */
	uint32_t requests;
} usage_count_t;

/** What one process counted in one window. */
typedef struct usage_entry {
	struct {
		uint64_t process;
		int64_t window;
	} key;
	usage_count_t *counts;
	size_t len;
	size_t cap;
	uint32_t total;	   /**< sum of the counts */
	uint32_t exported; /**< total in the last export */
	uint32_t received; /**< total that the parent has */
	UT_hash_handle hh;
} usage_entry_t;

typedef struct usage_organisation {
	char *name;
	uint32_t index;
	UT_hash_handle hh;
} usage_organisation_t;

typedef struct usage_counts {
	uint64_t process; /**< of this daemon */
	usage_entry_t *entries;
	usage_organisation_t *by_name;
	usage_organisation_t **organisations; /**< by index */
	size_t organisations_len;
	int64_t reported; /**< windows up to this one are not kept */
	int64_t latest;	  /**< window of the last own request */
	uint64_t dropped; /**< requests that were not counted, for metrics */
} usage_counts_t;

/** A sum over all processes. */
typedef struct usage_sum {
	const char *organisation; /**< valid until usage_counts_finish() */
	uint64_t requests;
} usage_sum_t;

void usage_counts_init(usage_counts_t *, uint64_t process);
void usage_counts_finish(usage_counts_t *);

/** Count a request of this daemon. */
void
usage_counts_add(usage_counts_t *, int64_t window, const char *organisation);

/** Encode what the parent does not have yet: the own counts, and those of other
 * processes for windows before @p open_window. Counts of a window that is still
 * open change with each request, and are not worth passing on twice.
 * @return a new reference; NULL: nothing, or out of memory */
json_t *usage_counts_export(usage_counts_t *, int64_t open_window);
/** The parent has received the last export. */
void usage_counts_export_received(usage_counts_t *);
/** Another parent: it has nothing yet. */
void usage_counts_export_restart(usage_counts_t *);
/** Merge what another daemon exported. What is malformed is ignored. */
void usage_counts_import(usage_counts_t *, const json_t *);

/** The windows up to this one are reported: drop their counts. */
void usage_counts_forget(usage_counts_t *, int64_t reported);

/** Whether any process has counted a request in the window. */
bool usage_counts_has_window(const usage_counts_t *, int64_t window);
/** Sums of a window, ordered by name.
 * @param out freed by the caller; NULL if there are none
 * @return number of sums */
size_t
usage_counts_sum(const usage_counts_t *, int64_t window, usage_sum_t **out);

#endif
