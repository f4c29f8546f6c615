#include <string.h>

#include "moortack/replication/feed_apply.h"
#include "row_source_priv.h"

/* Whether the answer comes from a daemon that knows less of what is kept back
 * here: it can't tell how that ended. */
static bool
knows_less(const row_source_t *self, const feed_answer_t *answer)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		if (self->kept_back[i] != 0 &&
		    answer->tables[i].known < self->watches[i].watch.version)
			return true;
	}
	return false;
}

/* Note which tables the answer does not tell in full: those of which whoever is
 * followed tells less than this daemon knew. Once it tells as much, it has to
 * be asked for all rows. Orders are told by their versions, and always in full.
 * @return whether it has to be asked now */
static bool
partial_note(
    row_source_t *self, const feed_answer_t *answer, bool partial[ROW_TABLES])
{
	bool ask_all = false;

	for (int i = 0; i < ROW_TABLES; i++) {
		const feed_table_t *table = &answer->tables[i];
		uint64_t version = self->watches[i].watch.version;

		partial[i] = false;
		if (i == ROW_TABLE_ORDERS)
			continue;
		if (table->version < version && version > self->ahead[i])
			self->ahead[i] = version;
		if (self->ahead[i] == 0)
			continue;
		partial[i] = !table->whole;
		if (table->version < self->ahead[i])
			continue;
		self->ahead[i] = 0;
		ask_all |= partial[i];
	}
	return ask_all;
}

/* The tables are known as far as the answer says, with the ages that it tells,
 * but for those that it tells in part. */
static void
answer_vouch(row_source_t *self, const feed_answer_t *answer,
    const bool partial[ROW_TABLES], struct timespec sent)
{
	for (int i = 0; i < ROW_TABLES; i++) {
		const feed_table_t *table = &answer->tables[i];

		/* All rows make this daemon know what the other one knows, and
		 * no more: it goes on from there, also from a version before
		 * its own. */
		if (table->whole)
			row_watch_rewind(
			    &self->watches[i].watch, table->version);
		if (partial[i])
			continue;
		if (table->known > self->named[i])
			self->named[i] = table->known;
		if (table->age_ms < 0)
			continue;
		row_watch_vouch(&self->watches[i].watch, table->version,
		    timespec_add_ms(sent, -table->age_ms));
		self->ops->settled(self->arg, (row_table_t)i, false);
	}
}

/* Whether a row may go and come back, and has a version of the store's: not the
 * lists that daemons only tell each other. */
static bool
row_returns(row_table_t table, const char *key)
{
	return table == ROW_TABLE_ENDPOINTS ||
	    (table == ROW_TABLE_OWN &&
		strncmp(key, MEMBER_PREFIX, strlen(MEMBER_PREFIX)) == 0);
}

/** An answer that is taken. */
typedef struct taking {
	row_source_t *self;
	const feed_answer_t *answer;
} taking_t;

/* A row that is not there as far as this daemon knows, which is further than
 * whoever tells it knows, has gone since. */
static bool
row_outlived(const taking_t *taking, row_table_t table, const row_t *row)
{
	const row_source_t *self = taking->self;
	const cached_row_t *known =
	    row_cache_find(&self->cache, table, row->key);
	uint64_t version = self->watches[table].watch.version;

	return !row->deleted && row_returns(table, row->key) &&
	    row->version <= version &&
	    taking->answer->tables[table].version < version &&
	    (known == NULL || known->value == NULL);
}

static void
on_told(void *arg, row_table_t table, const row_t *row)
{
	const taking_t *taking = arg;

	if (!row_outlived(taking, table, row))
		taking->self->ops->row(taking->self->arg, table, row);
}

/* Rows that are later than what a whole answer tells are kept; whoever tells it
 * may see them become again what it has, without a change. */
static void
beyond_note(row_source_t *self, const feed_answer_t *answer)
{
	for (const cached_row_t *row = self->cache.rows; row != NULL;
	     row = row->hh.next) {
		const feed_table_t *told = &answer->tables[row->table];

		if (told->whole &&
		    row_returns(row->table, cached_row_key(row)) &&
		    row->version > told->version &&
		    row->version > self->ahead[row->table])
			self->ahead[row->table] = row->version;
	}
}

/* Take the rows, and what is told of how far they go. */
void
row_answer_take(
    row_source_t *self, const feed_answer_t *answer, struct timespec sent)
{
	taking_t taking = {self, answer};
	bool partial[ROW_TABLES];
	bool ask_all;

	json_decref(self->followed_path);
	self->followed_path = json_incref(answer->path);
	self->taking = true;
	self->taking_less = knows_less(self, answer);
	ask_all = partial_note(self, answer, partial);
	feed_apply(answer, &self->cache, on_told, &taking);
	self->taking = false;
	if (feed_answer_whole(answer))
		beyond_note(self, answer);
	if (answer->tables[ROW_TABLE_OWN].whole)
		row_source_own_look(self);
	answer_vouch(self, answer, partial, sent);
	self->followed_source = ask_all ? 0 : answer->source;
	self->followed_change = answer->change;
}
