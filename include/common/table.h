/**
 * @file
 * A growing table of rows of one size; a row is named by its small handle.
 */
#ifndef COMMON_TABLE_H
#define COMMON_TABLE_H

#include <stddef.h>
#include <stdint.h>

/** No row. */
#define HANDLE_NONE UINT32_MAX

/** The index of a row in a table_t. */
typedef uint32_t handle_t;

typedef struct table {
	void *rows;
	size_t row_size; /**< bytes */
	uint32_t len;	 /**< rows in use */
	uint32_t cap;	 /**< rows allocated */
} table_t;

void table_init(table_t *, size_t row_size);
void table_finish(table_t *);

/** Append a zeroed row; NULL when memory is out. Moves earlier rows. */
void *table_add(table_t *);

/** The row of @p handle, or NULL when there is none. */
void *table_at(const table_t *, handle_t handle);

#endif
