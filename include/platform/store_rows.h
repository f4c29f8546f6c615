/**
 * @file
 * Decodes the rows in a response of the platform's store. Other programs write
 * rows too: a value that can't be decoded becomes an empty one, which the
 * decoders of rows refuse; a row whose key can't be a name is skipped and
 * counted.
 */
#ifndef PLATFORM_STORE_ROWS_H
#define PLATFORM_STORE_ROWS_H

#include <jansson.h>

#include "moortack/replication/row_store.h"

/** Decoded rows. Owns their values; their keys point into the JSON body. */
typedef struct store_rows {
	row_t *rows;
	size_t len;
	size_t rows_bad_key; /**< skipped */
	char *next_page;     /**< escaped for a URL; NULL: no more pages */
} store_rows_t;

/** Parse the body of a response.
 * @param text may be NULL
 * @return a new reference; NULL: not JSON */
json_t *store_body_parse(const char *text, size_t len);

/** Decode the rows of a body, which has to outlive them.
 * @param era of the store that sent it */
void store_rows_decode(const json_t *body, uint64_t era, store_rows_t *);
void store_rows_free(store_rows_t *);

#endif
