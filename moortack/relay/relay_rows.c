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
	row_sync_put(&node->source, table, &kept);
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
	    row_cache_find(&node->source.cache, ROW_TABLE_OPERATOR, row->key);
	relay_config_t *config = NULL;
	err_t err;

	if (!row->deleted)
		config = node->ports.sources->config(
		    row->value, row->value_len, node->relay.config, &err);
	if (config_steps_back(node, known, row, config))
		relay_rows_keep(node, ROW_TABLE_OPERATOR, known, row);
	else
		row_sync_put(&node->source, ROW_TABLE_OPERATOR, row);
	if (config != NULL)
		relay_configure(&node->relay, config);
	else if (!row->deleted)
		/* The last good one stays in force. */
		row_refusals_record(
		    &node->refusals, ROW_KIND_CONFIG, row, &err);
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
		rollouts_apply_order(&node->rollouts, &order);
	else
		row_refusals_record(
		    &node->refusals, ROW_KIND_ROLLOUT_ORDER, row, &err);
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
	row_sync_put(&node->source, ROW_TABLE_OPERATOR, row);
	if (has_prefix(row, sources->rollout_prefix))
		order_row(node, row);
}

static bool
names_member(const row_t *row, err_t *err)
{
	member_record_t facts;
	bool good = member_row_decode(row, &facts, err) &&
	    member_record_check_addresses(&facts, err);

	member_record_finish(&facts);
	return good;
}

/* What names no daemon is none. */
static void
on_member_row(relay_node_t *node, const row_t *row)
{
	row_t taken = *row;
	err_t err;

	if (!row->deleted && !names_member(row, &err)) {
		row_refusals_record(
		    &node->refusals, ROW_KIND_MEMBER, row, &err);
		taken = (row_t){
		    .key = row->key, .version = row->version, .deleted = true};
	}
	row_sync_put(&node->source, ROW_TABLE_SYSTEM, &taken);
	membership_apply_row(&node->members, &taken);
}

static void
on_state_row(relay_node_t *node, const row_t *row)
{
	err_t err;

	row_sync_put(&node->source, ROW_TABLE_SYSTEM, row);
	if (!rollouts_apply_state_row(&node->rollouts, row, &err))
		row_refusals_record(
		    &node->refusals, ROW_KIND_ROLLOUT_STATE, row, &err);
}

static void
on_key_row(relay_node_t *node, const row_t *row)
{
	err_t err;

	row_sync_put(&node->source, ROW_TABLE_SYSTEM, row);
	if (!row->deleted && !fleet_key_check(row->value, &err))
		row_refusals_record(
		    &node->refusals, ROW_KIND_FLEET_KEY, row, &err);
}

static void
on_verdict_row(relay_node_t *node, const row_t *row)
{
	err_t err;

	row_sync_put(&node->source, ROW_TABLE_SYSTEM, row);
	if (!relay_quarantine_apply_row(&node->relay.quarantine, row, &err))
		row_refusals_record(
		    &node->refusals, ROW_KIND_QUARANTINE, row, &err);
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
		row_sync_put(&node->source, ROW_TABLE_SYSTEM, row);
		rollouts_apply_sessions_row(&node->rollouts, row);
	}
}

static void
on_row(void *arg, row_table_t table, const row_t *row)
{
	relay_node_t *node = arg;

	/* A question that was out for long brings rows that are older than what
	 * another daemon told meanwhile. */
	if (row_cache_has_newer(&node->source.cache, table, row))
		return;
	switch (table) {
	case ROW_TABLE_OPERATOR:
		on_order_row(node, row);
		break;
	case ROW_TABLE_ENDPOINTS:
		relay_endpoint_row(node, row);
		break;
	case ROW_TABLE_SYSTEM:
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
		endpoint_set_learn_base_versions(&node->endpoints);
	relay_open(&node->relay);
	if (table != ROW_TABLE_SYSTEM)
		return;
	if (!node->members_read)
		membership_set_rows_read(&node->members);
	relay_warmup_tick(&node->relay, !node->members_read);
	node->members_read = true;
	daemons = membership_alive_count(&node->members);
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
	const row_watch_t *watch = row_sync_watch(&node->source, table);

	event_line(&node->log, now ? "store_back" : "store_lost",
	    "table=%s age_ms=%" PRId64, names[table], row_watch_age_ms(watch));
	if (table != ROW_TABLE_ENDPOINTS || !now)
		return;
	/* The first answer of all ends no outage that this daemon saw, nor does
	 * one after a time in which others told what the store has. */
	if (!watch->synced_once || row_watch_age_ms(watch) < OUTAGE_MIN_MS)
		return;
	node->lapses = true;
	node->store_back = clock_elapsed(node->ports.clock);
}

static void
on_store_clock(void *arg, int64_t now_ms)
{
	relay_node_t *node = arg;

	membership_set_store_clock(&node->members, now_ms);
	rollouts_set_store_clock(&node->rollouts, now_ms);
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

const row_sync_ops_t relay_rows_ops = {on_row, on_restart, on_settled,
    on_reachable, on_store_clock, on_secret, on_report};
