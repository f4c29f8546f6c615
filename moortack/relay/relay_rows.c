#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "moortack/replication/era_version.h"
#include "relay_node_priv.h"

/* An endpoint's entry goes after three beats of silence, over three seconds
 * with the users' beats: in a shorter time without the store none goes by
 * itself. */
#define OUTAGE_MIN_MS 2500

static bool
has_prefix(const row_t *row, const char *prefix)
{
	return strncmp(row->key, prefix, strlen(prefix)) == 0;
}

/* Whether the store came back from an older copy since the row was known. */
bool
relay_rows_of_later_era(const cached_row_t *known, const row_t *row)
{
	return known != NULL &&
	    era_version_era(row->version) > era_version_era(known->version);
}

/* What is known holds on, at the place in the order that the older row has. */
void
relay_rows_keep(relay_node_t *node, row_table_t table,
    const cached_row_t *known, const row_t *row)
{
	row_t kept = {.key = row->key,
	    .value_len = known->value_len,
	    .version = row->version,
	    .deleted = known->value == NULL};
	char *value = malloc(known->value_len + 1);

	if (value == NULL)
		return;
	if (known->value != NULL)
		memcpy(value, known->value, known->value_len);
	value[known->value_len] = '\0';
	kept.value = kept.deleted ? NULL : value;
	row_source_put(&node->source, table, &kept);
	free(value);
	node->rows_kept++;
}

/* A configuration says by its own version which one is later. */
static bool
config_steps_back(const relay_node_t *node, const cached_row_t *known,
    const row_t *row, const relay_config_t *config)
{
	return relay_rows_of_later_era(known, row) && known->value != NULL &&
	    node->relay.config != NULL &&
	    (row->deleted ||
		(config != NULL &&
		    config->version < node->relay.config->version));
}

static void
on_config_row(relay_node_t *node, const row_t *row)
{
	const cached_row_t *known =
	    row_cache_find(&node->source.cache, ROW_TABLE_ORDERS, row->key);
	relay_config_t *config = NULL;
	err_t err;

	if (!row->deleted)
		config = node->ports.sources->config(
		    row->value, row->value_len, node->relay.config, &err);
	if (config_steps_back(node, known, row, config))
		relay_rows_keep(node, ROW_TABLE_ORDERS, known, row);
	else
		row_source_put(&node->source, ROW_TABLE_ORDERS, row);
	if (config != NULL)
		relay_configure(&node->relay, config);
	else if (!row->deleted)
		/* The last good one stays in force. */
		row_refusals_note(&node->refusals, ROW_KIND_CONFIG, row, &err);
}

static void
order_row(relay_node_t *node, const row_t *row)
{
	rollout_order_t order;
	err_t err;

	if (row->deleted)
		return;
	if (node->ports.sources->order(
		row->value, row->value_len, row->version, &order, &err))
		rollouts_order(&node->rollouts, &order);
	else
		row_refusals_note(&node->refusals, ROW_KIND_ORDER, row, &err);
}

static void
on_order_row(relay_node_t *node, const row_t *row)
{
	const source_dialect_t *sources = node->ports.sources;

	if (strcmp(row->key, sources->config_key) == 0) {
		on_config_row(node, row);
		return;
	}
	if (has_prefix(row, sources->evacuation_prefix)) {
		relay_evacuation_row(node, row);
		return;
	}
	row_source_put(&node->source, ROW_TABLE_ORDERS, row);
	if (has_prefix(row, sources->rollout_prefix))
		order_row(node, row);
}

/* Entries that lapsed may be gone since their last row: whoever relies on this
 * daemon has to hear of that still. */
static void
lapsed_keep_back(relay_node_t *node)
{
	uint64_t least = 0;

	for (const endpoint_t *one = node->endpoints.endpoints; one != NULL;
	     one = one->hh.next) {
		const cached_row_t *row = one->lapsed
		    ? row_cache_find(&node->source.cache, ROW_TABLE_ENDPOINTS,
			  one->facts.id)
		    : NULL;

		if (row != NULL && (least == 0 || row->version < least))
			least = row->version;
	}
	row_source_keep_back(
	    &node->source, ROW_TABLE_ENDPOINTS, least == 0 ? 0 : least + 1);
}

/* An entry is gone, as of a version of the store: whoever knows less has to be
 * told. What another daemon tells is final. In an outage, and shortly after it,
 * entries also go that are of living endpoints. */
static void
endpoint_gone(relay_node_t *node, endpoint_t *endpoint, uint64_t version)
{
	bool keep =
	    node->lapses && !node->source.taking && !endpoint->facts.leaving;
	bool was_lapsed = endpoint->lapsed;
	row_t end;

	if (keep && was_lapsed)
		return;
	event_line_throttled(&node->log, EVENT_THROTTLED_ENDPOINT_GONE,
	    "id=%s service=%s lapsed=%d in_flight=%u", endpoint->facts.id,
	    endpoint->facts.service, keep, endpoint->in_flight);
	if (keep) {
		endpoint_lapse(endpoint);
		lapsed_keep_back(node);
		return;
	}
	if (!endpoint->facts.leaving)
		relay_quarantine_gone(&node->relay.quarantine, endpoint);
	end = (row_t){
	    .key = endpoint->facts.id, .version = version, .deleted = true};
	row_source_put(&node->source, ROW_TABLE_ENDPOINTS, &end);
	endpoint_set_remove(&node->endpoints, endpoint);
	if (was_lapsed)
		lapsed_keep_back(node);
}

static void
entry_log(
    relay_node_t *node, const endpoint_facts_t *facts, entry_order_t order)
{
	static const char *const orders[] = {
	    [ENTRY_FIRST] = "first",
	    [ENTRY_SAME] = "same",
	    [ENTRY_LATER] = "later",
	    [ENTRY_EARLIER] = "earlier",
	};

	event_line_throttled(&node->log, EVENT_THROTTLED_ENDPOINT,
	    "id=%s service=%s address=%s:%u zone=%s version=%s leaving=%d "
	    "born_ms=%" PRId64 " incarnation=%s",
	    facts->id, facts->service, facts->address.host, facts->address.port,
	    facts->zone, facts->version, facts->leaving, facts->born_ms,
	    orders[order]);
}

/* @param news its row is newer than the one that was known */
static void
endpoint_taken(relay_node_t *node, const endpoint_facts_t *facts, bool news)
{
	endpoint_t *before = endpoint_set_find(&node->endpoints, facts->id);
	entry_order_t order = endpoint_entry_order(before, facts);
	bool was_lapsed = before != NULL && before->lapsed;
	endpoint_t *endpoint;

	if (order != ENTRY_SAME || before->facts.leaving != facts->leaving)
		entry_log(node, facts, order);
	if (order == ENTRY_LATER)
		relay_endpoint_ended(&node->relay, before);
	endpoint = endpoint_set_take(&node->endpoints, facts);
	if (!was_lapsed || endpoint == NULL)
		return;
	/* A daemon that knows less still has the row that lapsed here. */
	endpoint->lapsed = order != ENTRY_LATER && !news &&
	    node->source.taking && node->source.taking_less;
	lapsed_keep_back(node);
}

/* What names no endpoint is none, whatever the row was before: others that
 * follow this daemon are told so, too. */
static void
no_endpoint(relay_node_t *node, endpoint_t *known, const row_t *row)
{
	const row_t end = {
	    .key = row->key, .version = row->version, .deleted = true};

	if (known != NULL)
		endpoint_gone(node, known, row->version);
	else
		row_source_put(&node->source, ROW_TABLE_ENDPOINTS, &end);
}

/* An endpoint that had gone is not back because an older copy names it, until
 * it writes again. Others tell of each of its rows no more than once. */
static bool
end_holds(const relay_node_t *node, const cached_row_t *known, const row_t *row)
{
	return !node->source.taking && relay_rows_of_later_era(known, row) &&
	    known->value == NULL;
}

/* Nor is one in use again that leaves. */
static bool
leaving_holds(const cached_row_t *known, const row_t *row,
    const endpoint_t *endpoint, const endpoint_facts_t *facts)
{
	return relay_rows_of_later_era(known, row) && known->value != NULL &&
	    endpoint != NULL && endpoint->facts.leaving && !facts->leaving &&
	    endpoint_entry_order(endpoint, facts) == ENTRY_SAME;
}

static void
on_endpoint_row(relay_node_t *node, const row_t *row)
{
	endpoint_t *endpoint = endpoint_set_find(&node->endpoints, row->key);
	const cached_row_t *known =
	    row_cache_find(&node->source.cache, ROW_TABLE_ENDPOINTS, row->key);
	bool news = known == NULL || row->version > known->version;
	endpoint_facts_t facts;
	err_t err;

	if (row->deleted) {
		no_endpoint(node, endpoint, row);
		return;
	}
	if (end_holds(node, known, row)) {
		relay_rows_keep(node, ROW_TABLE_ENDPOINTS, known, row);
		return;
	}
	if (!node->ports.sources->endpoint(
		row->key, row->value, row->value_len, &facts, &err)) {
		row_refusals_note(
		    &node->refusals, ROW_KIND_ENDPOINT, row, &err);
		no_endpoint(node, endpoint, row);
		return;
	}
	if (leaving_holds(known, row, endpoint, &facts)) {
		relay_rows_keep(node, ROW_TABLE_ENDPOINTS, known, row);
		return;
	}
	row_source_put(&node->source, ROW_TABLE_ENDPOINTS, row);
	endpoint_taken(node, &facts, news);
}

static bool
names_member(const row_t *row, err_t *err)
{
	member_facts_t facts;
	bool good = member_row_decode(row, &facts, err) &&
	    member_facts_check(&facts, err);

	member_facts_finish(&facts);
	return good;
}

/* What names no daemon is none. */
static void
on_member_row(relay_node_t *node, const row_t *row)
{
	row_t taken = *row;
	err_t err;

	if (!row->deleted && !names_member(row, &err)) {
		row_refusals_note(&node->refusals, ROW_KIND_MEMBER, row, &err);
		taken = (row_t){
		    .key = row->key, .version = row->version, .deleted = true};
	}
	row_source_put(&node->source, ROW_TABLE_OWN, &taken);
	membership_row(&node->members, &taken);
}

static void
on_state_row(relay_node_t *node, const row_t *row)
{
	err_t err;

	row_source_put(&node->source, ROW_TABLE_OWN, row);
	if (!rollouts_row(&node->rollouts, row, &err))
		row_refusals_note(&node->refusals, ROW_KIND_STATE, row, &err);
}

static void
on_key_row(relay_node_t *node, const row_t *row)
{
	err_t err;

	row_source_put(&node->source, ROW_TABLE_OWN, row);
	if (!row->deleted && !fleet_key_check(row->value, &err))
		row_refusals_note(&node->refusals, ROW_KIND_KEY, row, &err);
}

static void
on_verdict_row(relay_node_t *node, const row_t *row)
{
	err_t err;

	row_source_put(&node->source, ROW_TABLE_OWN, row);
	if (!relay_quarantine_row(&node->relay.quarantine, row, &err))
		row_refusals_note(&node->refusals, ROW_KIND_VERDICT, row, &err);
}

static void
on_own_row(relay_node_t *node, const row_t *row)
{
	if (has_prefix(row, MEMBER_PREFIX)) {
		on_member_row(node, row);
	} else if (has_prefix(row, ROLLOUT_PREFIX)) {
		on_state_row(node, row);
	} else if (has_prefix(row, QUARANTINE_PREFIX)) {
		on_verdict_row(node, row);
	} else if (strcmp(row->key, FLEET_KEY_ROW) == 0) {
		on_key_row(node, row);
	} else if (has_prefix(row, ROLLOUT_SESSIONS_PREFIX)) {
		row_source_put(&node->source, ROW_TABLE_OWN, row);
		rollouts_sessions_row(&node->rollouts, row);
	}
}

static void
on_row(void *arg, row_table_t table, const row_t *row)
{
	relay_node_t *node = arg;

	/* A question that was out for long brings rows that are older than what
	 * another daemon told meanwhile. */
	if (row_cache_newer(&node->source.cache, table, row))
		return;
	switch (table) {
	case ROW_TABLE_ORDERS:
		on_order_row(node, row);
		break;
	case ROW_TABLE_ENDPOINTS:
		on_endpoint_row(node, row);
		break;
	case ROW_TABLE_OWN:
		on_own_row(node, row);
		break;
	case ROW_TABLES:
		break;
	}
}

/* The store came back from an older copy: entries of endpoints that are not in
 * it may be written again, as after an outage. */
static void
on_restart(void *arg, row_table_t table)
{
	relay_node_t *node = arg;
	uint64_t era = node->ports.store->era;

	(void)table;
	if (era <= node->era)
		return;
	if (node->relay.config != NULL) {
		node->lapses = true;
		node->store_back = clock_elapsed(node->ports.clock);
	}
	event_line(&node->log, "store_era",
	    "era=%" PRIu64 " before=%" PRIu64 " config=%" PRIu64, era,
	    node->era,
	    node->relay.config != NULL ? node->relay.config->version : 0);
	node->era = era;
}

static void
on_settled(void *arg, row_table_t table, bool whole)
{
	relay_node_t *node = arg;
	uint32_t daemons;

	(void)whole;
	if (table == ROW_TABLE_ENDPOINTS)
		endpoint_set_learn(&node->endpoints);
	relay_open(&node->relay);
	if (table != ROW_TABLE_OWN)
		return;
	if (!node->members_read)
		membership_rows_read(&node->members);
	relay_warmup_tick(&node->relay, !node->members_read);
	node->members_read = true;
	daemons = membership_count(&node->members);
	/* Bounds that daemons share are cut by the most ever seen: too many
	 * costs little, too few breaks them. */
	if (daemons > node->relay.daemons_most)
		node->relay.daemons_most = daemons;
}

static void
on_reachable(void *arg, row_table_t table, bool now)
{
	static const char *const names[ROW_TABLES] = {
	    "orders", "endpoints", "own"};
	relay_node_t *node = arg;
	const row_watch_t *watch = row_source_watch(&node->source, table);

	event_line(&node->log, now ? "store_back" : "store_lost",
	    "table=%s age_ms=%" PRId64, names[table], row_watch_age_ms(watch));
	if (table != ROW_TABLE_ENDPOINTS || !now)
		return;
	/* The first answer of all ends no outage that this daemon saw, nor does
	 * one after a time in which others told what the store has. */
	if (!watch->settled_once || row_watch_age_ms(watch) < OUTAGE_MIN_MS)
		return;
	node->lapses = true;
	node->store_back = clock_elapsed(node->ports.clock);
}

static void
on_store_clock(void *arg, int64_t now_ms)
{
	relay_node_t *node = arg;

	membership_store_clock(&node->members, now_ms);
	rollouts_store_clock(&node->rollouts, now_ms);
}

static json_t *
on_report(void *arg)
{
	relay_node_t *node = arg;
	return rollouts_report(&node->rollouts);
}

static void
on_secret(void *arg, const char *secret)
{
	relay_node_t *node = arg;

	gossip_set_secret(&node->gossip, secret);
	relay_quarantine_set_secret(&node->relay.quarantine, secret);
}

const row_source_ops_t relay_rows_ops = {on_row, on_restart, on_settled,
    on_reachable, on_store_clock, on_secret, on_report};

/* Entries that did not come back after an outage are gone. */
void
relay_rows_lapsed_end(relay_node_t *node)
{
	const row_watch_t *watch =
	    row_source_watch(&node->source, ROW_TABLE_ENDPOINTS);
	struct timespec now = clock_elapsed(node->ports.clock);
	endpoint_t *one, *next;

	if (node->source.following || !watch->reachable ||
	    timespec_ms_between(node->store_back, now) <
		node->settings.lapse_ms)
		return;
	node->lapses = false;
	if (node->source.kept_back[ROW_TABLE_ENDPOINTS] == 0)
		return;
	for (one = node->endpoints.endpoints; one != NULL; one = next) {
		next = one->hh.next;
		if (one->lapsed)
			endpoint_gone(node, one, watch->version + 1);
	}
}

/* Entries of earlier starts that nothing has contradicted are taken: whoever
 * started again with its clock set back is not lost. */
void
relay_rows_earlier_take(relay_node_t *node)
{
	endpoint_facts_t facts;

	while (endpoint_set_earlier(&node->endpoints, &facts)) {
		endpoint_t *before =
		    endpoint_set_find(&node->endpoints, facts.id);

		relay_endpoint_ended(&node->relay, before);
		endpoint_set_remove(&node->endpoints, before);
		endpoint_taken(node, &facts, true);
		lapsed_keep_back(node);
	}
}

void
relay_rows_lapses_drop(relay_node_t *node)
{
	node->lapses = false;
}
