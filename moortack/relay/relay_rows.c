#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "moortack/replication/era_version.h"
#include "relay_node_priv.h"

#define CALLS_LOG_INTERVAL_MS 2000
/* An endpoint's entry is removed after three missed heartbeats, which takes
 * over three seconds with the heartbeats of the deployments: a shorter outage
 * of the store removes none. */
#define OUTAGE_MIN_MS 2500

static bool
has_prefix(const row_t *row, const char *prefix)
{
	return strncmp(row->key, prefix, strlen(prefix)) == 0;
}

bool
relay_row_has_later_era(const cached_row_t *known, const row_t *row)
{
	return known != NULL &&
	    era_version_era(row->version) > era_version_era(known->version);
}

/* Stores the known value under the version of the older row, so that followers
 * are sent it. */
void
relay_row_keep_known(relay_node_t *node, row_table_t table,
    const cached_row_t *known, const row_t *row)
{
	row_t updated = {.key = row->key,
	    .value_len = known->value_len,
	    .version = row->version,
	    .deleted = known->value == NULL};
	char *value = malloc(known->value_len + 1);

	if (value == NULL)
		return;
	if (known->value != NULL)
		memcpy(value, known->value, known->value_len);
	value[known->value_len] = '\0';
	updated.value = updated.deleted ? NULL : value;
	row_sync_put(&node->row_sync, table, &updated);
	free(value);
	node->rows_kept++;
}

/* Whether the row is an older configuration, or none, from a restored copy of
 * the store. The version inside a configuration says which one is newer. */
static bool
config_is_older(const relay_node_t *node, const cached_row_t *known,
    const row_t *row, const relay_config_t *config)
{
	return relay_row_has_later_era(known, row) && known->value != NULL &&
	    node->relay.config != NULL &&
	    (row->deleted ||
		(config != NULL &&
		    config->version < node->relay.config->version));
}

static void
on_config_row(relay_node_t *node, const row_t *row)
{
	const cached_row_t *known =
	    row_cache_find(&node->row_sync.cache, ROW_TABLE_OPERATOR, row->key);
	relay_config_t *config = NULL;
	err_t err;

	if (!row->deleted)
		config = node->ports.row_dialect->decode_config(
		    row->value, row->value_len, node->relay.config, &err);
	if (config_is_older(node, known, row, config)) {
		relay_row_keep_known(node, ROW_TABLE_OPERATOR, known, row);
		relay_config_release(config);
		return;
	}
	row_sync_put(&node->row_sync, ROW_TABLE_OPERATOR, row);
	if (config != NULL && config->parts_refused > 0)
		row_refusals_record(&node->refusals, ROW_KIND_CONFIG, row,
		    &config->refused_why);
	if (config != NULL) {
		relay_configure(&node->relay, config);
		return;
	}
	/* The last one that could be read stays in force, and ages. */
	relay_config_mark_outdated(&node->relay);
	if (!row->deleted)
		row_refusals_record(
		    &node->refusals, ROW_KIND_CONFIG, row, &err);
}

static void
rollout_order_apply(relay_node_t *node, const row_t *row)
{
	rollout_order_t order;
	err_t err;

	if (row->deleted)
		return;
	if (node->ports.row_dialect->decode_rollout_order(
		row->value, row->value_len, row->version, &order, &err))
		rollouts_apply_order(&node->rollouts, &order);
	else
		row_refusals_record(
		    &node->refusals, ROW_KIND_ROLLOUT_ORDER, row, &err);
}

static void
on_operator_row(relay_node_t *node, const row_t *row)
{
	const row_dialect_t *dialect = node->ports.row_dialect;

	if (strcmp(row->key, dialect->config_key) == 0) {
		on_config_row(node, row);
		return;
	}
	if (has_prefix(row, dialect->evacuation_prefix)) {
		relay_evacuation_apply_row(node, row);
		return;
	}
	row_sync_put(&node->row_sync, ROW_TABLE_OPERATOR, row);
	if (has_prefix(row, dialect->rollout_prefix))
		rollout_order_apply(node, row);
}

static bool
member_row_valid(const row_t *row, err_t *err)
{
	member_record_t facts;
	bool valid = member_row_decode(row, &facts, err) &&
	    member_record_check_addresses(&facts, err);

	member_record_finish(&facts);
	return valid;
}

/* A row that doesn't decode to a daemon counts as its removal. */
static void
on_member_row(relay_node_t *node, const row_t *row)
{
	row_t applied = *row;
	err_t err;

	if (!row->deleted && !member_row_valid(row, &err)) {
		row_refusals_record(
		    &node->refusals, ROW_KIND_MEMBER, row, &err);
		applied = (row_t){
		    .key = row->key, .version = row->version, .deleted = true};
	}
	row_sync_put(&node->row_sync, ROW_TABLE_SYSTEM, &applied);
	membership_apply_row(&node->members, &applied);
}

static void
on_rollout_state_row(relay_node_t *node, const row_t *row)
{
	err_t err;

	row_sync_put(&node->row_sync, ROW_TABLE_SYSTEM, row);
	if (!rollouts_apply_state_row(&node->rollouts, row, &err))
		row_refusals_record(
		    &node->refusals, ROW_KIND_ROLLOUT_STATE, row, &err);
}

static void
on_fleet_key_row(relay_node_t *node, const row_t *row)
{
	err_t err;

	row_sync_put(&node->row_sync, ROW_TABLE_SYSTEM, row);
	if (!row->deleted && !fleet_key_check(row->value, &err))
		row_refusals_record(
		    &node->refusals, ROW_KIND_FLEET_KEY, row, &err);
}

static void
on_quarantine_row(relay_node_t *node, const row_t *row)
{
	err_t err;

	row_sync_put(&node->row_sync, ROW_TABLE_SYSTEM, row);
	if (!relay_quarantine_apply_row(&node->relay.quarantine, row, &err))
		row_refusals_record(
		    &node->refusals, ROW_KIND_QUARANTINE, row, &err);
}

static void
on_system_row(relay_node_t *node, const row_t *row)
{
	if (has_prefix(row, MEMBER_PREFIX)) {
		on_member_row(node, row);
	} else if (has_prefix(row, ROLLOUT_PREFIX)) {
		on_rollout_state_row(node, row);
	} else if (has_prefix(row, QUARANTINE_PREFIX)) {
		on_quarantine_row(node, row);
	} else if (strcmp(row->key, FLEET_KEY_ROW) == 0) {
		on_fleet_key_row(node, row);
	} else if (has_prefix(row, ROLLOUT_SESSIONS_PREFIX)) {
		row_sync_put(&node->row_sync, ROW_TABLE_SYSTEM, row);
		rollouts_apply_sessions_row(&node->rollouts, row);
	}
}

static void
on_row(void *arg, row_table_t table, const row_t *row)
{
	relay_node_t *node = arg;

	/* The response to a request that was in flight for long has older rows
	 * than those that another daemon has sent meanwhile. */
	if (row_cache_has_newer(&node->row_sync.cache, table, row))
		return;
	switch (table) {
	case ROW_TABLE_OPERATOR:
		on_operator_row(node, row);
		break;
	case ROW_TABLE_ENDPOINTS:
		relay_endpoint_apply_row(node, row);
		break;
	case ROW_TABLE_SYSTEM:
		on_system_row(node, row);
		break;
	case ROW_TABLES:
		break;
	}
}

/* If the store was restored from an older copy, entries of endpoints that are
 * missing in it may be written again, as after an outage. */
static void
on_full_read_begin(void *arg, row_table_t table)
{
	relay_node_t *node = arg;
	uint64_t era = node->ports.store->era;

	(void)table;
	if (era <= node->store_era)
		return;
	if (node->relay.config != NULL) {
		node->keep_lapsed = true;
		node->store_available_at = clock_boottime(node->ports.clock);
	}
	event_log_write(&node->log, "store_era",
	    "era=%" PRIu64 " before=%" PRIu64 " config=%" PRIu64, era,
	    node->store_era,
	    node->relay.config != NULL ? node->relay.config->version : 0);
	node->store_era = era;
}

static void
on_synced(void *arg, row_table_t table, bool full_read)
{
	relay_node_t *node = arg;
	uint32_t daemons;

	(void)full_read;
	if (table == ROW_TABLE_ENDPOINTS) {
		/* Versions learned from a part of the rows may be wrong. */
		if (!node->endpoint_rows_read)
			endpoint_set_forget_base_versions(&node->endpoints);
		node->endpoint_rows_read = true;
		endpoint_set_learn_base_versions(&node->endpoints);
	}
	relay_accept_when_ready(&node->relay);
	if (table != ROW_TABLE_SYSTEM)
		return;
	if (!node->member_rows_read)
		membership_set_rows_read(&node->members);
	relay_warmup_tick(&node->relay, !node->member_rows_read);
	node->member_rows_read = true;
	daemons = membership_alive_count(&node->members);
	/* Fleet-wide limits are divided by the largest number of daemons seen:
	 * one that is too large costs little, one that is too small exceeds the
	 * limits. */
	if (daemons > node->relay.daemons_max_seen)
		node->relay.daemons_max_seen = daemons;
}

static void
on_reachable(void *arg, row_table_t table, bool available)
{
	static const char *const names[ROW_TABLES] = {
	    "orders", "endpoints", "own"};
	relay_node_t *node = arg;
	const row_watch_t *watch = row_sync_watch(&node->row_sync, table);

	event_log_write(&node->log, available ? "store_back" : "store_lost",
	    "table=%s age_ms=%" PRId64, names[table], row_watch_age_ms(watch));
	if (table != ROW_TABLE_ENDPOINTS || !available)
		return;
	/* The first response of all ends no outage that this daemon observed,
	 * nor does one after a time in which other daemons sent the rows. */
	if (!watch->synced_once || row_watch_age_ms(watch) < OUTAGE_MIN_MS)
		return;
	node->keep_lapsed = true;
	node->store_available_at = clock_boottime(node->ports.clock);
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
on_fleet_key(void *arg, const char *key)
{
	relay_node_t *node = arg;

	gossip_set_secret(&node->gossip, key);
	relay_set_secret(&node->relay, key);
	relay_quarantine_set_secret(&node->relay.quarantine, key);
}

static json_t *
on_uplink(void *arg)
{
	return duties_uplink(&((relay_node_t *)arg)->duties);
}

static void
on_uplink_received(void *arg, const char *name, const json_t *uplink)
{
	duties_apply_uplink(&((relay_node_t *)arg)->duties, name, uplink);
}

static json_t *
on_downlink(void *arg)
{
	return duties_downlink(&((relay_node_t *)arg)->duties);
}

static void
on_downlink_received(void *arg, const json_t *downlink)
{
	relay_node_t *node = arg;

	duties_uplink_received(&node->duties);
	duties_apply_downlink(&node->duties, downlink);
}

static void
on_parent_changed(void *arg)
{
	duties_parent_changed(&((relay_node_t *)arg)->duties);
}

void
relay_store_calls_log(relay_node_t *node)
{
	const uint64_t *calls = node->ports.store->calls;
	struct timespec now = clock_boottime(node->ports.clock);
	uint64_t total = 0;

	for (int i = 0; i < ROW_PURPOSES; i++)
		total += calls[i];
	if (total == node->calls_logged ||
	    timespec_ms_between(node->calls_logged_at, now) <
		CALLS_LOG_INTERVAL_MS)
		return;
	node->calls_logged = total;
	node->calls_logged_at = now;
	event_log_write(&node->log, "store_calls",
	    "all=%" PRIu64 " read=%" PRIu64 " reread=%" PRIu64
	    " changes=%" PRIu64 " beside=%" PRIu64 " member=%" PRIu64
	    " clearing=%" PRIu64 " state=%" PRIu64 " key=%" PRIu64
	    " quarantine=%" PRIu64 " duty=%" PRIu64,
	    total, calls[ROW_PURPOSE_FIRST_READ], calls[ROW_PURPOSE_REREAD],
	    calls[ROW_PURPOSE_POLL], calls[ROW_PURPOSE_FOLLOWER_POLL],
	    calls[ROW_PURPOSE_MEMBER], calls[ROW_PURPOSE_MEMBER_CLEANUP],
	    calls[ROW_PURPOSE_ROLLOUT_STATE], calls[ROW_PURPOSE_FLEET_KEY],
	    calls[ROW_PURPOSE_QUARANTINE], calls[ROW_PURPOSE_DUTY]);
}

const row_sync_ops_t relay_rows_ops = {
    .row = on_row,
    .full_read_begin = on_full_read_begin,
    .synced = on_synced,
    .reachable = on_reachable,
    .store_clock = on_store_clock,
    .fleet_key = on_fleet_key,
    .report = on_report,
    .uplink = on_uplink,
    .uplink_received = on_uplink_received,
    .downlink = on_downlink,
    .downlink_received = on_downlink_received,
    .parent_changed = on_parent_changed,
};
