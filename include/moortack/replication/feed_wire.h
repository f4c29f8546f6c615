/**
 * @file
 * Requests for rows that daemons send each other, and the responses: JSON
 * texts, one per ZeroMQ message. The rows of a response are in a second frame,
 * if there are any, so that the same bytes can be sent to all requesters that
 * have the same rows.
 */
#ifndef MOORTACK_REPLICATION_FEED_WIRE_H
#define MOORTACK_REPLICATION_FEED_WIRE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "moortack/replication/row_cache.h"

#define FEED_NAME_SIZE 96

/** Position in a daemon's sequence of changes, from which on changes are sent.
 */
typedef struct feed_position {
	uint64_t incarnation; /**< of the daemon that numbered the change */
	uint64_t change;      /**< newest one that was received */
	uint64_t versions[ROW_TABLES]; /**< up to which all rows of the tables
					  are known; 0: send all rows */
	/** Of the requester's rows, by table: instead of all rows it is sent
	 * those of the buckets that differ. NULL: of none; belongs to the
	 * request. */
	row_summary_t *summaries;
} feed_position_t;

/** Request for the changes since a position. */
typedef struct feed_request {
	uint64_t id;		   /**< echoed in the response */
	char name[FEED_NAME_SIZE]; /**< of the requester */
	feed_position_t position;  /**< of the requester */
	json_t *report;		   /**< of the requester; may be NULL */
	json_t *subtree;     /**< daemons that the requester heard from; see
				membership_subtree(); may be NULL */
	json_t *row_request; /**< row that the requester wants to have in the
				store; may be NULL */
	json_t *uplink;	     /**< see row_sync_ops_t; may be NULL */
} feed_request_t;

/** State of a table at the sender. */
typedef struct feed_table_state {
	uint64_t version; /**< of the store; the rows are complete up to it */
	/** Rows that a full table does not list were deleted by this version.
	 * It is later than @c version while deletions are withheld. */
	uint64_t deletions_version;
	int64_t age_ms; /**< since the rows were up to date; negative: they
			   never were */
	bool full;	/**< the response has all its rows, not only those that
			   changed */
	/** Of a full table: the response has the rows of these buckets, and the
	 * requester has the others, as its summary shows. */
	row_bucket_set_t sent;
} feed_table_state_t;

typedef struct feed_response {
	uint64_t request_id;
	uint64_t incarnation;
	uint64_t change;
	bool store_unavailable; /**< to the daemon that reads it */
	bool leaving;		/**< followers have to follow another daemon */
	int64_t store_now_ms;
	feed_table_state_t tables[ROW_TABLES];
	json_t *path; /**< names of the sender, its parent, and so on up to the
			 daemon that reads the store; may be NULL */
	json_t *rows; /**< of [table, key, version, value or null] */
	int64_t held_ms; /**< how long the request was held; the ages count from
			    the end of that time */
	int64_t liveness_age_ms; /**< since the sender determined which daemons
				    are alive; negative: it has not */
	json_t *silent; /**< names of the daemons that it considers silent; may
			   be NULL */
	json_t *downlink; /**< see row_sync_ops_t; may be NULL */
} feed_response_t;

/** Allocates the summaries of a position, all empty; false: out of memory. */
bool feed_position_add_summaries(feed_position_t *);
/** Releases them. */
void feed_position_clear(feed_position_t *);

/** Encodes a request; NULL if out of memory. */
char *feed_request_encode(const feed_request_t *);
/** Encodes a response without its rows; NULL if out of memory. */
char *feed_response_encode(const feed_response_t *);
/** Encodes the rows of a response; NULL if out of memory. */
char *feed_rows_encode(const feed_response_t *);

/** Decodes a request; false if it is malformed. feed_request_clear() releases
 * its JSON values. */
bool feed_request_decode(const char *text, size_t len, feed_request_t *);
/** Decodes a response; false if it is malformed. feed_response_clear() releases
 * its JSON values.
 * @param rows text of the rows; NULL if there are none */
bool feed_response_decode(const char *text, size_t len, const char *rows,
    size_t rows_len, feed_response_t *);
void feed_request_clear(feed_request_t *);
void feed_response_clear(feed_response_t *);

/** Whether any table is sent in full. */
bool feed_response_has_full_table(const feed_response_t *);
/** Whether it leaves out rows that the requester has by its summary. */
bool feed_response_is_summarized(const feed_response_t *);
/** Whether the rows of a response came through the daemon @p name. */
bool feed_response_path_contains(const feed_response_t *, const char *name);
/** Appends a cached row to a response. */
void feed_response_add_row(feed_response_t *, const cached_row_t *);
/** Decodes the row at @p index; false if it is malformed. */
bool feed_response_row(
    const feed_response_t *, size_t index, row_table_t *table, row_t *row);

#endif
