#include "common/table.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAP 8

void
table_init(table_t *table, size_t row_size)
{
	*table = (table_t){.row_size = row_size};
}

void
table_finish(table_t *table)
{
	free(table->rows);
	*table = (table_t){0};
}

void *
table_add(table_t *table)
{
	void *row;

	if (table->len == table->cap) {
		uint32_t cap = table->cap ? table->cap * 2 : INITIAL_CAP;
		void *rows = realloc(table->rows, cap * table->row_size);

		if (rows == NULL)
			return NULL;
		table->rows = rows;
		table->cap = cap;
	}
	row = (char *)table->rows + table->len++ * table->row_size;
	memset(row, 0, table->row_size);
	return row;
}

void *
table_at(const table_t *table, handle_t handle)
{
	if (handle >= table->len)
		return NULL;
	return (char *)table->rows + handle * table->row_size;
}
