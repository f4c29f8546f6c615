/**
 * @file
 * The prompt parts that one endpoint keeps in its KV cache, by its own reports:
 * a list, then numbered events. Pure, without a clock or I/O.
 */
#ifndef MOORTACK_KV_CACHE_ENDPOINT_CONTENTS_H
#define MOORTACK_KV_CACHE_ENDPOINT_CONTENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Parts that are remembered of one endpoint: its 452,000 tokens in parts of
 * 110 tokens, where common prompts have parts of 500 and more. Takes up to
 * 0.4 MB. */
#define CONTENTS_PARTS_MAX 4096

/** A part that an endpoint keeps, or has added or dropped. */
typedef struct contents_change {
	uint64_t number; /**< of the event; unused in a list */
	uint32_t part;	 /**< see part_hash() */
	bool kept;	 /**< false: dropped */
	bool ignored;	 /**< its number counts, but not the part: it is not
			    shared between requests */
} contents_change_t;

/** A response of an endpoint: a list, or events. */
typedef struct contents_report {
	uint64_t epoch; /**< differs after a restart */
	uint64_t next;	/**< number from which the next events are requested */
	bool lost;	/**< events before these are no longer available */
	contents_change_t *changes;
	size_t len;
} contents_report_t;

typedef enum contents_result {
	CONTENTS_COMPLETE, /**< all events up to report.next are applied */
	CONTENTS_GAP,	   /**< events are missing; the others are applied */
	CONTENTS_LOST, /**< too many are missing, or the endpoint has restarted:
			  nothing is known until the next list */
} contents_result_t;

typedef struct contents_entry contents_entry_t;

typedef struct endpoint_contents {
	contents_entry_t *entries; /**< least recently added first */
	uint64_t epoch;
	uint64_t next;	 /**< see contents_report_t */
	bool known;	 /**< a list is applied, and no state was lost since */
	bool incomplete; /**< events are missing since the last list */
} endpoint_contents_t;

void endpoint_contents_init(endpoint_contents_t *);
void endpoint_contents_finish(endpoint_contents_t *);

/** Replaces the contents by a list. If it has more than CONTENTS_PARTS_MAX
 * parts, the last ones count. */
void
endpoint_contents_apply_list(endpoint_contents_t *, const contents_report_t *);
/** Applies events in the order of their numbers; those that were applied before
 * are skipped. The report's events are sorted. */
contents_result_t
endpoint_contents_apply_events(endpoint_contents_t *, contents_report_t *);

/** Whether the endpoint keeps the part. After CONTENTS_PARTS_MAX parts the
 * least recently added ones are forgotten, so false may be wrong. */
bool endpoint_contents_has(const endpoint_contents_t *, uint32_t part);
/** How many of a prompt's leading parts the endpoint keeps; a lower bound. */
size_t endpoint_contents_match_count(
    const endpoint_contents_t *, const uint32_t *parts, size_t len);
/** Number of parts. */
size_t endpoint_contents_count(const endpoint_contents_t *);

#endif
