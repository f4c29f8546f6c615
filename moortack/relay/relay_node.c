#include "relay_node_priv.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 200
#define US_PER_MS 1000
/* How long an answer may take beyond the time for which the question is held:
 * others follow this daemon, and have to hear within the bounds for changes
 * and for leaving endpoints that the store no longer answers it. */
#define ORDERS_TIMEOUT_MS 400
#define ENDPOINTS_TIMEOUT_MS 500
#define OWN_TIMEOUT_MS 900
#define STORE_RETRY_MS 250
#define STORE_RETRY_MOST_MS 1000
/* At the very first start the table of daemons is empty, and each daemon
 * waits for a random part of this time, so that all but the first ones find
 * a running daemon to follow. Without the spread, 295 daemons make eight
 * calls to the store each; with it 257 of them make one or two (their own
 * counters). */
#define FIRST_START_WITHIN_MS 1500
#define CONFIG_PAUSE_MS 20
#define CALLS_TOLD_MS 2000
#define SESSIONS_KEY_SIZE (sizeof(ROLLOUT_SESSIONS_PREFIX) + MEMBER_NAME_SIZE)
/* Rows of the daemons: how often they are read, and written by one of which
 * nobody hears. */
#define OWN_PAUSE_MS 1500
#define OWN_OLD_MS 6000
#define BEAT_ALONE_MS 2000
/* Whom nobody asks takes all others for silent after this time: they may follow
 * somebody else, whom this daemon does not reach. */
#define LONE_MS 12000
/* While it is not known which daemons are alive, their rows are read this
 * often: those that nobody hears of write theirs. */
#define OWN_PAUSE_DOUBT_MS 500
/* Until the fleet's key is known, the rows of the daemons are read this often:
 * nobody can be followed before. */
#define OWN_PAUSE_KEY_MS 400
/* Parts of the time for which a daemon that is off may be named. A daemon asks
 * twice a second, and is heard of through one in between within 1.1 s; whoever
 * loses the one it follows finds another within 1.9 s. What is left of the
 * whole is for the way. */
#define SILENT_PART 0.35
#define VOUCH_PART 0.50
/* A store that is back is noticed within 1.4 s: with this, daemons that went in
 * the outage are named for 2.9 s after it. */
#define GRANT_PART 0.25
/* The same while a roll-out is under way: its counts have to be known to all
 * well within the bound for stopping it. */
#define OWN_PAUSE_BUSY_MS 1000
#define REPORT_BUSY_MS 700
/* Parts of the time for leaving: until then streams are still taken, idle
 * connections kept, and answers waited for. */
#define LEAVE_STREAMS_PART 0.25
#define LEAVE_LISTEN_PART 0.42
#define LEAVE_MAX_PART 0.96

/* While nobody is followed and this daemon is not the first, its report goes
 * into its row. */
static void
report_send(relay_node_t *node)
{
	struct timespec now = clock_elapsed(node->ports.clock);
	bool active = rollouts_any_active(&node->rollouts);
	row_watch_t *own = &node->source.watches[ROW_TABLE_SYSTEM].watch;

	own->timing.pause_ms = active ? OWN_PAUSE_BUSY_MS : OWN_PAUSE_MS;
	if (!node->members.liveness.authoritative)
		own->timing.pause_ms = OWN_PAUSE_DOUBT_MS;
	if (!node->source.has_key)
		own->timing.pause_ms = OWN_PAUSE_KEY_MS;
	if (timespec_ms_between(node->reported, now) < REPORT_BUSY_MS)
		return;
	node->reported = now;
	if (active && !own->suspended)
		row_watch_poll_now(own);
	if (node->members.isolated && (active || node->members.report != NULL))
		membership_set_report(
		    &node->members, rollouts_report(&node->rollouts));
}

/* While sessions stay where they are, whoever reads the store passes on which
 * ones. */
static void
sessions_send(relay_node_t *node)
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
	    timespec_ms(clock_elapsed(node->ports.clock)));
	row_sync_put(&node->source, ROW_TABLE_SYSTEM, &row);
	free(text);
}

/* What the one that reads the store passed on holds until it changes. */
static void
sessions_take(relay_node_t *node)
{
	const char *reader = row_sync_reader(&node->source);
	char key[SESSIONS_KEY_SIZE];
	const cached_row_t *known;
	row_t row = {.key = key};

	if (reader == NULL)
		return;
	snprintf(key, sizeof(key), "%s%.95s", ROLLOUT_SESSIONS_PREFIX, reader);
	known = row_cache_find(&node->source.cache, ROW_TABLE_SYSTEM, key);
	if (known == NULL || known->value == NULL)
		return;
	row.value = known->value;
	row.value_len = known->value_len;
	rollouts_apply_sessions_row(&node->rollouts, &row);
}

static void
sessions_step(relay_node_t *node)
{
	if (!rollouts_any_active(&node->rollouts))
		return;
	relay_sessions_note(&node->relay);
	if (node->source.following)
		sessions_take(node);
	else
		sessions_send(node);
}

/* What the store was asked for so far, every so often. */
static void
calls_tell(relay_node_t *node)
{
	const uint64_t *calls = node->ports.store->calls;
	struct timespec now = clock_elapsed(node->ports.clock);
	uint64_t all = 0;

	for (int i = 0; i < ROW_PURPOSES; i++)
		all += calls[i];
	if (all == node->calls_told ||
	    timespec_ms_between(node->calls_told_at, now) < CALLS_TOLD_MS)
		return;
	node->calls_told = all;
	node->calls_told_at = now;
	event_line(&node->log, "store_calls",
	    "all=%" PRIu64 " read=%" PRIu64 " reread=%" PRIu64
	    " changes=%" PRIu64 " beside=%" PRIu64 " member=%" PRIu64
	    " clearing=%" PRIu64 " state=%" PRIu64 " key=%" PRIu64
	    " quarantine=%" PRIu64,
	    all, calls[ROW_PURPOSE_FIRST_READ], calls[ROW_PURPOSE_REREAD],
	    calls[ROW_PURPOSE_POLL], calls[ROW_PURPOSE_FOLLOWER_POLL],
	    calls[ROW_PURPOSE_MEMBER], calls[ROW_PURPOSE_MEMBER_CLEANUP],
	    calls[ROW_PURPOSE_ROLLOUT_STATE], calls[ROW_PURPOSE_FLEET_KEY],
	    calls[ROW_PURPOSE_QUARANTINE]);
}

static void
members_step(relay_node_t *node)
{
	bool following;

	row_sync_tick(&node->source);
	following = node->source.following;
	if (membership_tick(&node->members, following))
		feed_server_respond_all(&node->source.server);
	/* What was written is told to others once it is read back. */
	if (node->members.read_back_pending && !following)
		row_watch_poll_now(
		    &node->source.watches[ROW_TABLE_SYSTEM].watch);
	node->members.read_back_pending = false;
	if (following)
		relay_rows_lapses_drop(node);
}

static void
leave_step(relay_node_t *node)
{
	struct timespec now = clock_elapsed(node->ports.clock);
	double part = (double)timespec_ms_between(node->leaving_since, now) /
	    (double)node->settings.grace_ms;

	if (part >= LEAVE_STREAMS_PART)
		node->relay.leaving = true;
	if (part >= LEAVE_LISTEN_PART)
		http_inbound_refuse(node->relay.server);
	if (part < LEAVE_MAX_PART &&
	    (part < LEAVE_LISTEN_PART || node->relay.under_way > 0 ||
		node->members.write_pending))
		return;
	event_line(&node->log, "stop", "under_way=%u part=%.2f",
	    node->relay.under_way, part);
	if (node->gone != NULL)
		node->gone(node->gone_arg);
	node->gone = NULL;
}

static void
woken(relay_node_t *node, int64_t suspended_ms)
{
	node->suspensions++;
	event_line(&node->log, "suspended",
	    "ms=%" PRId64 " under_way=%u config_age_ms=%" PRId64, suspended_ms,
	    node->relay.under_way, row_watch_age_ms(node->relay.config_watch));
	relay_woken(&node->relay);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	relay_node_t *node = arg;
	int64_t suspended_ms =
	    suspend_watch_look(&node->suspended, node->ports.clock);

	(void)fd;
	(void)what;
	if (suspended_ms > 0)
		woken(node, suspended_ms);
	event_log_tick(&node->log);
	relay_open(&node->relay);
	relay_rows_lapsed_end(node);
	relay_rows_earlier_take(node);
	relay_evacuations_expire(node);
	relay_warmup_tick(&node->relay, false);
	endpoint_set_sample_in_flight(&node->endpoints);
	members_step(node);
	gossip_tick(&node->gossip);
	sessions_step(node);
	relay_quarantine_tick(&node->relay.quarantine);
	if (rollouts_any_active(&node->rollouts))
		relay_canary_check_overdue(&node->relay);
	report_send(node);
	calls_tell(node);
	if (node->leaving)
		leave_step(node);
	else
		membership_set_state(&node->members,
		    relay_node_ready(node) ? MEMBER_READY : MEMBER_STARTING);
}

static bool
rows_same(const void *arg, row_table_t table, const char *key, const char *a,
    size_t a_len, const char *b, size_t b_len)
{
	const source_dialect_t *sources = arg;

	if (table == ROW_TABLE_ENDPOINTS)
		return sources->endpoint_same(a, a_len, b, b_len);
	if (table == ROW_TABLE_SYSTEM &&
	    strncmp(key, MEMBER_PREFIX, strlen(MEMBER_PREFIX)) == 0)
		return member_row_unchanged(a, a_len, b, b_len);
	/* An order that is given again with the same words is another one. */
	return table != ROW_TABLE_OPERATOR && a_len == b_len &&
	    memcmp(a, b, a_len) == 0;
}

static bool
source_init(relay_node_t *node)
{
	const relay_ports_t *ports = &node->ports;
	const relay_node_settings_t *settings = &node->settings;

	node->source = (row_sync_t){
	    .settings = {.tables = {ports->sources->orders_table,
			     ports->sources->endpoints_table, SYSTEM_TABLE},
		.timings = {{settings->config_wait_ms, CONFIG_PAUSE_MS,
				STORE_RETRY_MS, STORE_RETRY_MOST_MS,
				ORDERS_TIMEOUT_MS},
		    {0, settings->endpoints_pause_ms, STORE_RETRY_MS,
			STORE_RETRY_MOST_MS, ENDPOINTS_TIMEOUT_MS},
		    {0, OWN_PAUSE_KEY_MS, STORE_RETRY_MS, STORE_RETRY_MOST_MS,
			OWN_TIMEOUT_MS}},
		.hold_ms = settings->config_wait_ms,
		.start_jitter_ms =
		    settings->first_start ? FIRST_START_WITHIN_MS : 0,
		.max_age_ms = {settings->old_ms, settings->endpoints_old_ms,
		    OWN_OLD_MS}},
	    .base = ports->base,
	    .store = ports->store,
	    .clock = ports->clock,
	    .rng = ports->rng,
	    .log = &node->log,
	    .members = &node->members};
	strcpy(node->source.settings.peer_address, settings->peer);
	row_cache_init(
	    &node->source.cache, ports->clock, rows_same, ports->sources);
	return row_sync_init(&node->source, &relay_rows_ops, node);
}

static liveness_timeouts_t
liveness_timeouts(const relay_node_settings_t *settings)
{
	double named_ms = (double)settings->off_named_ms;

	return (liveness_timeouts_t){
	    .silence_timeout_ms = (int64_t)(named_ms * SILENT_PART),
	    .summary_ttl_ms = (int64_t)(named_ms * VOUCH_PART),
	    .grace_ms = (int64_t)(named_ms * GRANT_PART),
	    .authority_timeout_ms = LONE_MS};
}

static bool
zone_regions_set(relay_node_t *node, const relay_node_settings_t *settings)
{
	for (size_t i = 0; i < settings->zones_len; i++) {
		if (!zone_table_set_region(&node->endpoints.zones,
			settings->zones[i].zone, settings->zones[i].region))
			return false;
	}
	return true;
}

static bool
parts_init(relay_node_t *node, err_t *err)
{
	const relay_ports_t *ports = &node->ports;
	membership_settings_t member = {.row_heartbeat_ms = BEAT_ALONE_MS,
	    .strength = node->settings.strength,
	    .liveness = liveness_timeouts(&node->settings)};
	const row_watch_t *orders =
	    row_sync_watch(&node->source, ROW_TABLE_OPERATOR);

	snprintf(member.name, sizeof(member.name), "%s", node->settings.name);
	snprintf(member.zone, sizeof(member.zone), "%s", node->settings.zone);
	strcpy(member.peer_address, node->settings.peer);
	endpoint_set_init(&node->endpoints, ports->clock);
	if (!zone_regions_set(node, &node->settings))
		return err_set(
		    err, ERR_SETTING, "cannot set the region of a zone");
	node->rollouts = (rollouts_t){.store = ports->store,
	    .clock = ports->clock,
	    .status_encoder = ports->rollouts,
	    .members = &node->members,
	    .orders_watch = orders,
	    .states_watch = &node->source.watches[ROW_TABLE_SYSTEM].watch,
	    .log = &node->log,
	    .old_in_flight = relay_on_old,
	    .group_base_version = relay_first_version,
	    .relay = &node->relay};
	recent_sessions_init(
	    &node->rollouts.local_sessions, node->settings.session_ms);
	recent_sessions_init(
	    &node->rollouts.peer_sessions, node->settings.session_ms);
	node->relay = (relay_t){.base = ports->base,
	    .clock = ports->clock,
	    .rng = ports->rng,
	    .log = &node->log,
	    .callers = ports->callers,
	    .endpoint_words = ports->endpoints,
	    .endpoints = &node->endpoints,
	    .members = &node->members,
	    .gossip = &node->gossip,
	    .rollouts = &node->rollouts,
	    .config_watch = orders,
	    .endpoint_watch =
		row_sync_watch(&node->source, ROW_TABLE_ENDPOINTS),
	    .bounds = node->settings.bounds};
	warmup_daemons_init(&node->relay.warmup_daemons, node->settings.name);
	snprintf(node->relay.zone, sizeof(node->relay.zone), "%s",
	    node->settings.zone);
	if (!relay_init(&node->relay, &node->settings.listen, err) ||
	    !relay_quarantine_init(
		&node->relay.quarantine, &node->relay, ports->store) ||
	    !gossip_init(&node->gossip, ports->base, ports->clock,
		&node->members, node->settings.peer, &relay_gossip_ops,
		&node->relay, err))
		return false;
	membership_init(
	    &node->members, ports->store, ports->clock, &node->log, &member);
	if (rollouts_init(&node->rollouts, ports->base) && source_init(node))
		return true;
	return err_set(err, ERR_MEMORY, "out of memory");
}

bool
relay_node_init(relay_node_t *node, const relay_ports_t *ports,
    const relay_node_settings_t *settings, err_t *err)
{
	struct timeval tick = {0, TICK_MS * US_PER_MS};

	memset(node, 0, sizeof(*node));
	node->ports = *ports;
	node->settings = *settings;
	event_log_init(&node->log, ports->clock, settings->log_per_s);
	node->refusals =
	    (row_refusals_t){.clock = ports->clock, .log = &node->log};
	if (!parts_init(node, err))
		return false;
	node->settings.zones = NULL;
	node->settings.zones_len = 0;
	node->tick = event_new(ports->base, -1, EV_PERSIST, on_tick, node);
	if (node->tick == NULL || event_add(node->tick, &tick) != 0)
		return err_set(err, ERR_MEMORY, "out of memory");
	event_line(&node->log, "start", "name=%s zone=%s", settings->name,
	    settings->zone);
	return true;
}

void
relay_node_finish(relay_node_t *node)
{
	event_free(node->tick);
	relay_finish(&node->relay);
	relay_quarantine_finish(&node->relay.quarantine);
	row_sync_finish(&node->source);
	gossip_finish(&node->gossip);
	rollouts_finish(&node->rollouts);
	membership_finish(&node->members);
	endpoint_set_finish(&node->endpoints);
}

void
relay_node_reload(relay_node_t *node, const relay_node_settings_t *settings)
{
	node->settings.bounds = settings->bounds;
	node->settings.grace_ms = settings->grace_ms;
	node->settings.endpoints_pause_ms = settings->endpoints_pause_ms;
	node->source.settings.max_age_ms[ROW_TABLE_ENDPOINTS] =
	    settings->endpoints_old_ms;
	node->settings.off_named_ms = settings->off_named_ms;
	node->members.settings.liveness = liveness_timeouts(settings);
	node->members.liveness.timeouts = node->members.settings.liveness;
	node->relay.bounds = settings->bounds;
	zone_regions_set(node, settings);
	node->source.watches[ROW_TABLE_ENDPOINTS].watch.timing.pause_ms =
	    settings->endpoints_pause_ms;
	event_line(&node->log, "reload",
	    "key_fresh_ms=%" PRId64 " grace_ms=%" PRId64,
	    settings->bounds.key_fresh_ms, settings->grace_ms);
}

void
relay_node_leave(relay_node_t *node, void (*gone)(void *), void *arg)
{
	if (node->leaving)
		return;
	node->leaving = true;
	node->leaving_since = clock_elapsed(node->ports.clock);
	node->gone = gone;
	node->gone_arg = arg;
	event_line(&node->log, "leave", "under_way=%u", node->relay.under_way);
	membership_set_state(&node->members, MEMBER_LEAVING);
	row_sync_stop_serving(&node->source);
	relay_leave(&node->relay);
}

bool
relay_node_ready(const relay_node_t *node)
{
	return !node->leaving && relay_ready(&node->relay);
}
