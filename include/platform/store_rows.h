/**
 * @file
 * The rows in an answer of the platform's store, decoded. Others write rows
 * too: one whose value can't be read has an empty one, which no decoder takes;
 * one whose key can't be a name is left out and counted.
 */
#ifndef PLATFORM_STORE_ROWS_H
#define PLATFORM_STORE_ROWS_H

#include <jansson.h>

#include "moortack/replication/row_store.h"

/** Rows, with the memory behind their values; keys belong to the answer. */
typedef struct store_rows {
	row_t *rows;
	size_t len;
	size_t rows_bad_key; /**< rows that were left out */
	char *next_page;     /**< of the address of the next page; NULL: none */
} store_rows_t;

/** An answer's body, or NULL: it is no JSON. @param text may be NULL */
json_t *store_body_parse(const char *text, size_t len);

/** Its rows; the body has to outlive them. @param era of the store that told it
 */
void store_rows_decode(const json_t *body, uint64_t era, store_rows_t *);
void store_rows_free(store_rows_t *);

#endif
