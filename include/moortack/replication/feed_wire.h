/**
 * @file
 * What daemons ask each other for rows with, and the answers: JSON texts, one a
 * ZeroMQ message. An answer's rows stand in a second frame, if there are any:
 * the same bytes go to all who know the same.
 */
#ifndef MOORTACK_REPLICATION_FEED_WIRE_H
#define MOORTACK_REPLICATION_FEED_WIRE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "moortack/replication/row_cache.h"

#define FEED_NAME_SIZE 96

/** From where on changes are told. */
typedef struct feed_position {
	uint64_t incarnation;	       /**< incarnation that the change is of */
	uint64_t change;	       /**< newest one that is known */
	uint64_t versions[ROW_TABLES]; /**< up to which the tables are known;
					  0: send all */
} feed_position_t;

/** "What changed since?" */
typedef struct feed_request {
	uint64_t id;		   /**< of the question, echoed by its answer */
	char name[FEED_NAME_SIZE]; /**< who asks */
	feed_position_t position;  /**< what the asker knows */
	json_t *report;		   /**< what the asker reports; may be NULL */
	json_t *subtree; /**< whom the asker heard of; see membership_below();
			  may be NULL */
	json_t
	    *row_request; /**< that the asker wants in the store; may be NULL */
} feed_request_t;

/** How far a table is known. */
typedef struct feed_table_state {
	uint64_t version;	    /**< of the store, all is told up to here */
	uint64_t deletions_version; /**< what a whole answer does not name went
		       by then; later than version while ends are kept back */
	int64_t age_ms; /**< since it was newest; negative: never known */
	bool full;	/**< all its rows, not only those that changed */
} feed_table_state_t;

typedef struct feed_response {
	uint64_t request_id;
	uint64_t incarnation;
	uint64_t change;
	bool store_unavailable; /**< the store does not answer the one that
				   reads it */
	bool leaving;		/**< another daemon is to be followed */
	int64_t store_now_ms;
	feed_table_state_t tables[ROW_TABLES];
	json_t *path;	 /**< names: who answers, whom that one follows, and so
			    on to who reads the store; may be NULL */
	json_t *rows;	 /**< of [table, key, version, value or null] */
	int64_t held_ms; /**< the question was held: the ages in the answer
			    count from so much later */
	int64_t liveness_age_ms; /**< since the sender judged which daemons are
			       alive; negative: there is none */
	json_t *silent; /**< names of those that it takes for silent; may be
			   NULL */
} feed_response_t;

/** A text to send, or NULL. */
char *feed_request_encode(const feed_request_t *);
/** An answer's without its rows. */
char *feed_response_encode(const feed_response_t *);
/** Its rows'. */
char *feed_rows_encode(const feed_response_t *);

/** Read one; false if it is none. The JSON parts are references to give back
 * with the functions below. */
bool feed_request_decode(const char *text, size_t len, feed_request_t *);
/** @param rows their text, or NULL: none */
bool feed_response_decode(const char *text, size_t len, const char *rows,
    size_t rows_len, feed_response_t *);
void feed_request_clear(feed_request_t *);
void feed_response_clear(feed_response_t *);

/** Whether some table is told whole. */
bool feed_response_has_full_table(const feed_response_t *);
/** Whether the rows of an answer came through this daemon. */
bool feed_response_path_contains(const feed_response_t *, const char *name);
/** Append a cached row to an answer. */
void feed_response_add_row(feed_response_t *, const cached_row_t *);
/** The row at @p at of an answer; false if it is malformed. */
bool feed_response_row(
    const feed_response_t *, size_t at, row_table_t *table, row_t *row);

#endif
