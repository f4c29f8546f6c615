#include "relay_node_priv.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define US_PER_MS 1000
/* Time limits for responses of the store, in addition to the time for which it
 * may hold a poll. The followers of this daemon have to learn that the store no
 * longer responds to it within the time limits for configuration changes and
 * for leaving endpoints. */
#define OPERATOR_TIMEOUT_MS 400
#define ENDPOINTS_TIMEOUT_MS 500
#define SYSTEM_TIMEOUT_MS 900
#define STORE_RETRY_MS 250
#define STORE_RETRY_MAX_MS 1000
/* At the very first start of a fleet the table of daemons is empty. Each daemon
 * waits for a random part of this time, so that all but the first ones find a
 * running daemon to follow. Without the jitter, 295 daemons make eight calls to
 * the store each; with it 257 of them make one or two, by their own counters.
 */
#define BOOTSTRAP_JITTER_MS 1500
#define OPERATOR_PAUSE_MS 20
#define SESSIONS_KEY_SIZE (sizeof(ROLLOUT_SESSIONS_PREFIX) + MEMBER_NAME_SIZE)
/* The system's table: the pause between polls, and the age at which its rows
 * are outdated. */
#define SYSTEM_PAUSE_MS 1500
#define SYSTEM_MAX_AGE_MS 6000
/* The pause while it is not known which daemons are alive: those of
 * which no other daemon receives other signs of life show it only by writing
 * their rows. */
#define SYSTEM_PAUSE_LIVENESS_MS 500
/* The pause until the fleet's key is known: without it no daemon can be
 * followed. */
#define SYSTEM_PAUSE_NO_KEY_MS 400
/* The pause while a roll-out is in progress, and the least time between two
 * reports: all daemons have to know the counts of a roll-out well within the
 * time limit for stopping it. */
#define SYSTEM_PAUSE_ROLLOUT_MS 1000
#define REPORT_INTERVAL_MS 700
/* A daemon of which no other daemon receives other signs of life writes its own
 * row as a heartbeat this often. */
#define ROW_HEARTBEAT_MS 2000
/* A daemon that gets no requests from others considers all of them silent after
 * this time: they may follow another daemon, which this one does not reach. */
#define AUTHORITY_TIMEOUT_MS 12000
/* Parts of the time for which callers may still be sent to a daemon that is
 * down. A daemon sends its parent a request twice a second; through one daemon
 * in between, the root learns of it within 1.1 s. A daemon that loses its
 * parent finds another within 1.9 s. The rest of the time remains for passing
 * on the summary of which daemons are alive. */
#define SILENCE_TIMEOUT_PART 0.35
#define SUMMARY_TTL_PART 0.50
/* That the store is available again is noticed within 1.4 s: with this grace
 * time, callers are still sent for 2.9 s after an outage to daemons that went
 * down in it. */
#define GRACE_PART 0.25
/* Sets the poll pause of the system's table, and writes the report on roll-outs
 * to the own row while no other daemon receives other signs of life of this
 * one. */
static void
report_send(relay_node_t *node)
{
	struct timespec now = clock_boottime(node->ports.clock);
	bool active = rollouts_any_active(&node->rollouts);
	row_watch_t *system = &node->row_sync.watches[ROW_TABLE_SYSTEM].watch;

	system->timing.pause_ms =
	    active ? SYSTEM_PAUSE_ROLLOUT_MS : SYSTEM_PAUSE_MS;
	if (!node->members.liveness.authoritative)
		system->timing.pause_ms = SYSTEM_PAUSE_LIVENESS_MS;
	if (!node->row_sync.has_key)
		system->timing.pause_ms = SYSTEM_PAUSE_NO_KEY_MS;
	if (timespec_ms_between(node->report_sent_at, now) < REPORT_INTERVAL_MS)
		return;
	node->report_sent_at = now;
	if (active && !system->suspended)
		row_watch_poll_now(system);
	if (node->members.isolated && (active || node->members.report != NULL))
		membership_set_report(
		    &node->members, rollouts_report(&node->rollouts));
}

/* Sends followers the sessions that a roll-out in progress does not move. */
static void
sessions_publish(relay_node_t *node)
{
	char *text = rollouts_encode_sessions(&node->rollouts);
	char key[SESSIONS_KEY_SIZE];
	row_t row = {.key = key, .value = text};

	if (text == NULL)
		return;
	snprintf(key, sizeof(key), "%s%s", ROLLOUT_SESSIONS_PREFIX,
	    node->settings.name);
	row.value_len = strlen(text);
	row.version = (uint64_t)(node->members.store_clock_offset_ms +
	    timespec_to_ms(clock_boottime(node->ports.clock)));
	row_sync_put(&node->row_sync, ROW_TABLE_SYSTEM, &row);
	free(text);
}

/* Applies the sessions that the daemon that reads the store has sent. They hold
 * until its row changes, so they are applied again at each tick. */
static void
sessions_apply(relay_node_t *node)
{
	const char *reader = row_sync_reader(&node->row_sync);
	char key[SESSIONS_KEY_SIZE];
	const cached_row_t *known;
	row_t row = {.key = key};

	if (reader == NULL)
		return;
	snprintf(key, sizeof(key), "%s%.95s", ROLLOUT_SESSIONS_PREFIX, reader);
	known = row_cache_find(&node->row_sync.cache, ROW_TABLE_SYSTEM, key);
	if (known == NULL || known->value == NULL)
		return;
	row.value = known->value;
	row.value_len = known->value_len;
	rollouts_apply_sessions_row(&node->rollouts, &row);
}

static void
sessions_sync(relay_node_t *node)
{
	if (!rollouts_any_active(&node->rollouts))
		return;
	relay_sessions_record(&node->relay);
	if (node->row_sync.following)
		sessions_apply(node);
	else
		sessions_publish(node);
}

/* The versions of services without an order are in force: no order can have
 * started endpoints that were read before the orders. */
static void
base_versions_prove(relay_node_t *node)
{
	const row_watch_t *orders =
	    row_sync_watch(&node->row_sync, ROW_TABLE_OPERATOR);
	const row_watch_t *endpoints =
	    row_sync_watch(&node->row_sync, ROW_TABLE_ENDPOINTS);

	if (!orders->synced_once || !endpoints->synced_once ||
	    timespec_ms_between(endpoints->synced_at, orders->synced_at) <= 0)
		return;
	for (endpoint_group_t *group = node->endpoints.groups; group != NULL;
	     group = group->hh.next) {
		const rollout_t *rollout = group->base_proven
		    ? NULL
		    : rollouts_find(&node->rollouts, group->service);

		if (rollout == NULL || rollout->order.number == 0)
			endpoint_group_prove_base_version(group);
	}
}

static void
members_tick(relay_node_t *node)
{
	bool following;

	row_sync_tick(&node->row_sync);
	following = node->row_sync.following;
	if (membership_tick(&node->members, following))
		feed_server_respond_all(&node->row_sync.server);
	/* Rows that were written are sent to others once they are read back. */
	if (node->members.read_back_pending && !following)
		row_watch_poll_now(
		    &node->row_sync.watches[ROW_TABLE_SYSTEM].watch);
	node->members.read_back_pending = false;
	if (following)
		relay_endpoints_stop_keeping_lapsed(node);
}

/* Whether what all daemons report comes to this one. */
static bool
is_responsible(const relay_node_t *node)
{
	return !node->leaving && !node->row_sync.following &&
	    node->members.liveness.authoritative && !node->members.frozen &&
	    relay_node_ready(node);
}

static void
vm_resumed(relay_node_t *node, int64_t suspended_ms)
{
	node->suspensions++;
	event_log_write(&node->log, "suspended",
	    "ms=%" PRId64 " under_way=%u config_age_ms=%" PRId64, suspended_ms,
	    node->relay.in_flight, relay_config_age_ms(&node->relay));
	relay_vm_resumed(&node->relay);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	relay_node_t *node = arg;
	int64_t suspended_ms =
	    suspend_watch_poll(&node->suspend_watch, node->ports.clock);

	work_turn_t turn = work_begin(&node->meter);

	(void)fd;
	(void)what;
	if (suspended_ms > 0)
		vm_resumed(node, suspended_ms);
	event_log_tick(&node->log);
	relay_accept_when_ready(&node->relay);
	relay_endpoints_remove_lapsed(node);
	relay_endpoints_accept_earlier(node);
	relay_evacuations_expire(node);
	relay_warmup_tick(&node->relay, false);
	endpoint_set_sample_in_flight(&node->endpoints);
	members_tick(node);
	base_versions_prove(node);
	duties_tick(&node->duties, is_responsible(node),
	    node->members.store_clock_offset_ms);
	gossip_tick(&node->gossip);
	relay_contents_tick(&node->relay);
	relay_reach_tick(&node->relay);
	relay_admission_tick(&node->relay);
	sessions_sync(node);
	relay_quarantine_tick(&node->relay.quarantine);
	if (rollouts_any_active(&node->rollouts))
		relay_canary_check_overdue(&node->relay);
	report_send(node);
	relay_store_calls_log(node);
	if (node->leaving)
		relay_node_shutdown_step(node);
	else
		membership_set_state(&node->members,
		    relay_node_ready(node) ? MEMBER_READY : MEMBER_STARTING);
	work_end(&node->meter, WORK_TICK, &turn, 1);
	work_meter_tick(&node->meter, RELAY_TICK_MS);
}

static bool
row_unchanged(const void *arg, row_table_t table, const char *key,
    const char *a, size_t a_len, const char *b, size_t b_len)
{
	const row_dialect_t *row_dialect = arg;

	/* An order that is written again with the same text is a new one. */
	if (table == ROW_TABLE_OPERATOR)
		return false;
	if (a_len == b_len && memcmp(a, b, a_len) == 0)
		return true;
	if (table == ROW_TABLE_ENDPOINTS)
		return row_dialect->endpoint_unchanged(a, a_len, b, b_len);
	return strncmp(key, MEMBER_PREFIX, strlen(MEMBER_PREFIX)) == 0 &&
	    member_row_unchanged(a, a_len, b, b_len);
}

static uint64_t
row_digest(const void *arg, row_table_t table, const char *key,
    const char *value, size_t len)
{
	(void)arg;
	if (table == ROW_TABLE_SYSTEM &&
	    strncmp(key, MEMBER_PREFIX, strlen(MEMBER_PREFIX)) == 0)
		return member_row_digest(value, len);
	return XXH3_64bits(value, len);
}

static bool
node_row_sync_init(relay_node_t *node)
{
	const relay_ports_t *ports = &node->ports;
	const relay_node_settings_t *settings = &node->settings;

	node->row_sync = (row_sync_t){
	    .settings = {.tables = {ports->row_dialect->operator_table,
			     ports->row_dialect->endpoints_table, SYSTEM_TABLE},
		.timings = {{settings->operator_poll_wait_ms, OPERATOR_PAUSE_MS,
				STORE_RETRY_MS, STORE_RETRY_MAX_MS,
				OPERATOR_TIMEOUT_MS},
		    {0, settings->endpoints_poll_pause_ms, STORE_RETRY_MS,
			STORE_RETRY_MAX_MS, ENDPOINTS_TIMEOUT_MS},
		    {0, SYSTEM_PAUSE_NO_KEY_MS, STORE_RETRY_MS,
			STORE_RETRY_MAX_MS, SYSTEM_TIMEOUT_MS}},
		.hold_ms = settings->operator_poll_wait_ms,
		.peers_max =
		    descriptor_shares(settings->bounds.descriptors_max).peers,
		.start_jitter_ms =
		    settings->bootstrap ? BOOTSTRAP_JITTER_MS : 0,
		.max_age_ms = {settings->operator_rows_max_age_ms,
		    settings->endpoint_rows_max_age_ms, SYSTEM_MAX_AGE_MS}},
	    .base = ports->base,
	    .store = ports->store,
	    .clock = ports->clock,
	    .rng = ports->rng,
	    .log = &node->log,
	    .meter = &node->meter,
	    .members = &node->members};
	strcpy(node->row_sync.settings.peer_address, settings->peer_address);
	row_cache_init(&node->row_sync.cache, ports->clock, row_unchanged,
	    ports->row_dialect);
	node->row_sync.cache.digest = row_digest;
	return row_sync_init(&node->row_sync, &relay_rows_ops, node);
}

static liveness_timeouts_t
liveness_settings(const relay_node_settings_t *settings)
{
	double listed_ms = (double)settings->down_listed_max_ms;

	return (liveness_timeouts_t){
	    .silence_timeout_ms = (int64_t)(listed_ms * SILENCE_TIMEOUT_PART),
	    .summary_ttl_ms = (int64_t)(listed_ms * SUMMARY_TTL_PART),
	    .grace_ms = (int64_t)(listed_ms * GRACE_PART),
	    .authority_timeout_ms = AUTHORITY_TIMEOUT_MS};
}

static bool
zone_regions_apply(relay_node_t *node, const relay_node_settings_t *settings)
{
	for (size_t i = 0; i < settings->zone_regions_len; i++) {
		if (!zone_table_set_region(&node->endpoints.zones,
			settings->zone_regions[i].zone,
			settings->zone_regions[i].region))
			return false;
	}
	return true;
}

static void
node_duties_init(relay_node_t *node)
{
	duties_settings_t *settings = &node->settings.duties;
	const capacity_source_t capacity = {
	    relay_each_capacity_service, &node->relay};

	strcpy(settings->vm, node->settings.name);
	settings->process = rng_u64(node->ports.rng) >> 1 | 1;
	duties_init(&node->duties, settings, node->ports.store,
	    node->ports.duty_api, &capacity, node->ports.clock, &node->log);
}

static bool
components_init(relay_node_t *node, err_t *err)
{
	const relay_ports_t *ports = &node->ports;
	membership_settings_t member = {.row_heartbeat_ms = ROW_HEARTBEAT_MS,
	    .strength = node->settings.strength,
	    .liveness = liveness_settings(&node->settings)};
	const row_watch_t *orders =
	    row_sync_watch(&node->row_sync, ROW_TABLE_OPERATOR);

	snprintf(member.name, sizeof(member.name), "%s", node->settings.name);
	snprintf(member.zone, sizeof(member.zone), "%s", node->settings.zone);
	strcpy(member.peer_address, node->settings.peer_address);
	endpoint_set_init(&node->endpoints, ports->clock);
	strcpy(node->endpoints.source_address, node->settings.source_address);
	if (!zone_regions_apply(node, &node->settings))
		return err_set(
		    err, ERR_SETTING, "cannot set the region of a zone");
	node->rollouts = (rollouts_t){.store = ports->store,
	    .clock = ports->clock,
	    .status_encoder = ports->rollout_status_encoder,
	    .members = &node->members,
	    .orders_watch = orders,
	    .states_watch = &node->row_sync.watches[ROW_TABLE_SYSTEM].watch,
	    .endpoints_watch =
		&node->row_sync.watches[ROW_TABLE_ENDPOINTS].watch,
	    .log = &node->log,
	    .old_in_flight = relay_old_version_in_flight,
	    .new_version_slots = relay_new_version_slots,
	    .new_version_waiting = relay_new_version_waiting,
	    .new_version_is_one_group = relay_new_version_is_one_group,
	    .exposure_max = node->settings.bounds.exposure_max,
	    .exposure_tolerance = node->settings.bounds.exposure_tolerance,
	    .replaced_version = relay_group_replaced_version,
	    .relay = &node->relay};
	recent_sessions_init(
	    &node->rollouts.local_sessions, node->settings.session_window_ms);
	recent_sessions_init(
	    &node->rollouts.peer_sessions, node->settings.session_window_ms);
	node->relay = (relay_t){.base = ports->base,
	    .clock = ports->clock,
	    .rng = ports->rng,
	    .log = &node->log,
	    .meter = &node->meter,
	    .caller_dialect = ports->caller_dialect,
	    .endpoint_dialect = ports->endpoint_dialect,
	    .endpoints = &node->endpoints,
	    .members = &node->members,
	    .gossip = &node->gossip,
	    .rollouts = &node->rollouts,
	    .duties = &node->duties,
	    .config_watch = orders,
	    .endpoint_watch =
		row_sync_watch(&node->row_sync, ROW_TABLE_ENDPOINTS),
	    .bounds = node->settings.bounds,
	    .contents = {.dialect = node->settings.follow_contents
		    ? ports->contents_dialect
		    : NULL}};
	node_duties_init(node);
	warmup_daemons_init(&node->relay.warmup_daemons, node->settings.name);
	snprintf(node->relay.zone, sizeof(node->relay.zone), "%s",
	    node->settings.zone);
	if (!relay_init(&node->relay, &node->settings.listen,
		&node->settings.forward_listen, err) ||
	    !relay_quarantine_init(
		&node->relay.quarantine, &node->relay, ports->store) ||
	    !gossip_init(&node->gossip, ports->base, ports->clock,
		&node->members, node->settings.peer_address, &relay_gossip_ops,
		&node->relay, err))
		return false;
	node->gossip.rng = ports->rng;
	membership_init(
	    &node->members, ports->store, ports->clock, &node->log, &member);
	if (rollouts_init(&node->rollouts, ports->base) &&
	    node_row_sync_init(node))
		return true;
	return err_set(err, ERR_MEMORY, "out of memory");
}

bool
relay_node_init(relay_node_t *node, const relay_ports_t *ports,
    const relay_node_settings_t *settings, err_t *err)
{
	struct timeval tick = {0, RELAY_TICK_MS * US_PER_MS};

	memset(node, 0, sizeof(*node));
	node->ports = *ports;
	node->settings = *settings;
	event_log_init(&node->log, ports->clock, settings->log_lines_per_s);
	work_meter_init(&node->meter, ports->clock, &node->log);
	ports->store->meter = &node->meter;
	node->refusals =
	    (row_refusals_t){.clock = ports->clock, .log = &node->log};
	if (!components_init(node, err))
		return false;
	node->settings.zone_regions = NULL;
	node->settings.zone_regions_len = 0;
	node->tick_timer =
	    event_new(ports->base, -1, EV_PERSIST, on_tick, node);
	if (node->tick_timer == NULL || event_add(node->tick_timer, &tick) != 0)
		return err_set(err, ERR_MEMORY, "out of memory");
	event_log_write(&node->log, "start", "name=%s zone=%s", settings->name,
	    settings->zone);
	return true;
}

void
relay_node_finish(relay_node_t *node)
{
	event_free(node->tick_timer);
	relay_finish(&node->relay);
	relay_quarantine_finish(&node->relay.quarantine);
	row_sync_finish(&node->row_sync);
	gossip_finish(&node->gossip);
	duties_finish(&node->duties);
	rollouts_finish(&node->rollouts);
	membership_finish(&node->members);
	endpoint_set_finish(&node->endpoints);
}

void
relay_node_reload(relay_node_t *node, const relay_node_settings_t *settings)
{
	node->settings.bounds = settings->bounds;
	node->settings.grace_ms = settings->grace_ms;
	node->settings.endpoints_poll_pause_ms =
	    settings->endpoints_poll_pause_ms;
	node->row_sync.settings.max_age_ms[ROW_TABLE_ENDPOINTS] =
	    settings->endpoint_rows_max_age_ms;
	node->settings.down_listed_max_ms = settings->down_listed_max_ms;
	node->members.settings.liveness = liveness_settings(settings);
	node->members.liveness.timeouts = node->members.settings.liveness;
	node->relay.bounds = settings->bounds;
	if (node->relay.config != NULL)
		relay_inbound_limits_set(&node->relay);
	node->row_sync.settings.peers_max =
	    descriptor_shares(settings->bounds.descriptors_max).peers;
	peer_listener_set_max(
	    &node->row_sync.server.listener, node->row_sync.settings.peers_max);
	node->rollouts.exposure_max = settings->bounds.exposure_max;
	node->rollouts.exposure_tolerance = settings->bounds.exposure_tolerance;
	zone_regions_apply(node, settings);
	node->row_sync.watches[ROW_TABLE_ENDPOINTS].watch.timing.pause_ms =
	    settings->endpoints_poll_pause_ms;
	event_log_write(&node->log, "reload",
	    "key_fresh_ms=%" PRId64 " grace_ms=%" PRId64,
	    settings->bounds.key_max_age_ms, settings->grace_ms);
}

bool
relay_node_ready(const relay_node_t *node)
{
	return !node->leaving && relay_ready(&node->relay);
}
