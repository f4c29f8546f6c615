/**
 * @file
 * A summary of a table's rows, by which two daemons find out in which rows they
 * differ. Rows belong to buckets by their keys, and a bucket's digest changes
 * with each of its rows. Daemons whose digests of a bucket are equal have the
 * same rows in it.
 */
#ifndef MOORTACK_REPLICATION_ROW_SUMMARY_H
#define MOORTACK_REPLICATION_ROW_SUMMARY_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Most buckets; a power of two. */
#define ROW_SUMMARY_MAX 1024

typedef struct row_summary {
	size_t len; /**< number of buckets, a power of two; 0: no summary */
	uint64_t digests[ROW_SUMMARY_MAX];
} row_summary_t;

/** Some of the buckets of a summary. */
typedef struct row_bucket_set {
	size_t len; /**< buckets of the summary; 0: the set has all rows */
	uint8_t bits[ROW_SUMMARY_MAX / 8];
} row_bucket_set_t;

/** The hash by which a key belongs to a bucket. */
uint32_t row_summary_hash(const char *key);

/** Adds a row to an empty or larger summary, or takes it out again.
 * @param digest of key and value */
void row_summary_toggle(row_summary_t *, uint32_t hash, uint64_t digest);
/** Fills in the summary of the same rows with fewer buckets, as many as suit
 * this number of rows. */
void row_summary_fold(const row_summary_t *, size_t rows, row_summary_t *out);

/** Fills in the buckets in which two summaries differ. The larger one is
 * folded. */
void row_summary_compare(
    const row_summary_t *, const row_summary_t *other, row_bucket_set_t *out);

bool row_bucket_set_has(const row_bucket_set_t *, uint32_t hash);

/** Encodes a summary; a new reference, or NULL if out of memory. */
json_t *row_summary_encode(const row_summary_t *);
/** Decodes a summary; an invalid one is none. */
void row_summary_decode(const json_t *, row_summary_t *);
/** The same for the buckets; if they are invalid, this returns false. */
json_t *row_bucket_set_encode(const row_bucket_set_t *);
bool row_bucket_set_decode(const json_t *, row_bucket_set_t *);

#endif
