/**
 * @file
 * A growable array of rows of equal size. Rows are referred to by handles,
 * since their addresses change when the table grows.
 */
#ifndef COMMON_TABLE_H
#define COMMON_TABLE_H

#include <stddef.h>
#include <stdint.h>

/** The handle of no row. */
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

/** Append a zeroed row. Invalidates pointers to earlier rows.
 * @return NULL when out of memory */
void *table_add(table_t *);

/** The row of @p handle, or NULL if there is none. */
void *table_at(const table_t *, handle_t handle);

#endif
