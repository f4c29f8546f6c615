/**
 * @file
 * A store of a few rows in memory. Calls take effect when the test lets them,
 * and their responses may be lost.
 */
#ifndef TEST_SUPPORT_MEMORY_STORE_H
#define TEST_SUPPORT_MEMORY_STORE_H

#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "moortack/replication/row_store.h"

#define MEMORY_ROWS_MAX 64
#define MEMORY_TEXT_SIZE 4096
#define MEMORY_CHANGES_MAX 40

typedef struct memory_row {
	char key[128];
	char value[MEMORY_TEXT_SIZE];
	uint64_t version;
} memory_row_t;

typedef struct memory_store {
	row_store_t store;
	memory_row_t rows[MEMORY_ROWS_MAX];
	size_t len;
	uint64_t version;
	int64_t now_ms;
	/* The call in flight. */
	row_done_t done;
	void *arg;
	bool is_write;
	char expected_key[128];
	uint64_t expected;
	struct {
		char key[128];
		char value[MEMORY_TEXT_SIZE];
		bool removed;
	} changes[MEMORY_CHANGES_MAX];
	size_t changes_len;
	uint32_t calls;
} memory_store_t;

static inline memory_row_t *
memory_store_find(memory_store_t *self, const char *key)
{
	for (size_t i = 0; i < self->len; i++) {
		if (strcmp(self->rows[i].key, key) == 0)
			return &self->rows[i];
	}
	return NULL;
}

static inline bool
memory_store_read(row_store_t *store, const char *table, const char *page,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	memory_store_t *self = (memory_store_t *)store;

	(void)table;
	(void)page;
	(void)timeout_ms;
	assert(self->done == NULL);
	self->done = done;
	self->arg = arg;
	self->is_write = false;
	self->calls++;
	return true;
}

static inline bool
memory_store_write(row_store_t *store, const row_change_t *expected,
    size_t expected_len, const row_change_t *changes, size_t changes_len,
    int64_t timeout_ms, row_done_t done, void *arg)
{
	memory_store_t *self = (memory_store_t *)store;

	assert(expected_len == 1 && changes_len <= MEMORY_CHANGES_MAX);
	memory_store_read(store, NULL, NULL, timeout_ms, done, arg);
	self->is_write = true;
	snprintf(self->expected_key, sizeof(self->expected_key), "%s",
	    expected->key);
	self->expected = expected->expected;
	self->changes_len = changes_len;
	for (size_t i = 0; i < changes_len; i++) {
		snprintf(self->changes[i].key, sizeof(self->changes[i].key),
		    "%s", changes[i].key);
		self->changes[i].removed = changes[i].value == NULL;
		snprintf(self->changes[i].value, MEMORY_TEXT_SIZE, "%s",
		    changes[i].value != NULL ? changes[i].value : "");
	}
	return true;
}

static inline void
memory_store_change(memory_store_t *self, size_t at)
{
	memory_row_t *row = memory_store_find(self, self->changes[at].key);

	if (self->changes[at].removed) {
		if (row != NULL)
			*row = self->rows[--self->len];
		return;
	}
	if (row == NULL) {
		assert(self->len < MEMORY_ROWS_MAX);
		row = &self->rows[self->len++];
		strcpy(row->key, self->changes[at].key);
	}
	strcpy(row->value, self->changes[at].value);
	row->version = self->version;
}

/* The call in flight takes effect. */
static inline row_result_t
memory_store_execute(memory_store_t *self)
{
	const memory_row_t *row;

	if (!self->is_write)
		return ROW_OK;
	row = memory_store_find(self, self->expected_key);
	if ((row != NULL ? row->version : 0) != self->expected)
		return ROW_CONFLICT;
	self->version++;
	for (size_t i = 0; i < self->changes_len; i++)
		memory_store_change(self, i);
	return ROW_OK;
}

/* Responds to the call in flight. */
static inline void
memory_store_respond(memory_store_t *self, row_result_t result)
{
	row_t rows[MEMORY_ROWS_MAX];
	row_store_response_t response = {.result = result,
	    .rows = rows,
	    .version = self->version,
	    .now_ms = self->now_ms};
	row_done_t done = self->done;

	for (size_t i = 0; i < self->len; i++) {
		const memory_row_t *row = &self->rows[i];

		if (result == ROW_CONFLICT &&
		    strcmp(row->key, self->expected_key) != 0)
			continue;
		rows[response.rows_len++] = (row_t){.key = row->key,
		    .value = row->value,
		    .value_len = strlen(row->value),
		    .version = row->version};
	}
	self->done = NULL;
	done(self->arg, &response);
}

/* Carries out the call in flight, if there is one. */
static inline void
memory_store_serve(memory_store_t *self)
{
	if (self->done != NULL)
		memory_store_respond(self, memory_store_execute(self));
}

static const row_store_ops_t memory_store_ops = {
    .read = memory_store_read, .write = memory_store_write};

#endif
