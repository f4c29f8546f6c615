#include <inttypes.h>

#include "relay_node_priv.h"

/* Endpoints with lapsed entries may have been removed after their last row:
 * followers of this daemon still have to be sent their removal. */
static void
lapsed_rows_hold_back(relay_node_t *node)
{
	uint64_t oldest = 0;

	for (const endpoint_t *endpoint = node->endpoints.endpoints;
	     endpoint != NULL; endpoint = endpoint->hh.next) {
		const cached_row_t *row = endpoint->lapsed
		    ? row_cache_find(&node->row_sync.cache, ROW_TABLE_ENDPOINTS,
			  endpoint->info.id)
		    : NULL;

		if (row != NULL && (oldest == 0 || row->version < oldest))
			oldest = row->version;
	}
	row_sync_withhold(
	    &node->row_sync, ROW_TABLE_ENDPOINTS, oldest == 0 ? 0 : oldest + 1);
}

/* Handles the removal of an entry at a version of the store; followers with an
 * older version have to be notified. A removal that the parent reports is
 * final. During an outage of the store and shortly after it, entries of
 * endpoints that are alive are removed, too. */
static void
endpoint_removed(relay_node_t *node, endpoint_t *endpoint, uint64_t version)
{
	bool keep = node->keep_lapsed && !node->row_sync.applying &&
	    !endpoint_is_leaving(endpoint);
	bool was_lapsed = endpoint->lapsed;
	const cached_row_t *known = row_cache_find(
	    &node->row_sync.cache, ROW_TABLE_ENDPOINTS, endpoint->info.id);
	row_t tombstone;

	if (keep && was_lapsed)
		return;
	/* The table's version goes back with that of a parent; the row is not
	 * to stay in the cache. */
	if (known != NULL && known->version > version)
		version = known->version;
	event_log_write_throttled(&node->log, EVENT_THROTTLED_ENDPOINT_REMOVED,
	    "id=%s service=%s lapsed=%d in_flight=%u", endpoint->info.id,
	    endpoint->info.service, keep, endpoint->in_flight);
	if (keep) {
		endpoint_mark_lapsed(endpoint);
		lapsed_rows_hold_back(node);
		return;
	}
	if (!endpoint_is_leaving(endpoint))
		relay_quarantine_endpoint_removed(
		    &node->relay.quarantine, endpoint);
	tombstone = (row_t){
	    .key = endpoint->info.id, .version = version, .deleted = true};
	row_sync_put(&node->row_sync, ROW_TABLE_ENDPOINTS, &tombstone);
	endpoint_set_remove(&node->endpoints, endpoint);
	if (was_lapsed)
		lapsed_rows_hold_back(node);
}

static void
entry_log(
    relay_node_t *node, const endpoint_info_t *info, incarnation_order_t order)
{
	static const char *const orders[] = {
	    [INCARNATION_FIRST] = "first",
	    [INCARNATION_SAME] = "same",
	    [INCARNATION_LATER] = "later",
	    [INCARNATION_EARLIER] = "earlier",
	};

	event_log_write_throttled(&node->log, EVENT_THROTTLED_ENDPOINT,
	    "id=%s service=%s address=%s:%u zone=%s version=%s leaving=%d "
	    "born_ms=%" PRId64 " incarnation=%s",
	    info->id, info->service, info->address.host, info->address.port,
	    info->zone, info->version, info->leaving, info->started_ms,
	    orders[order]);
}

/* @param is_newer its row is newer than the one known before */
static void
endpoint_apply(relay_node_t *node, const endpoint_info_t *info, bool is_newer)
{
	endpoint_t *previous = endpoint_set_find(&node->endpoints, info->id);
	incarnation_order_t order =
	    endpoint_compare_incarnation(previous, info);
	bool was_lapsed = previous != NULL && previous->lapsed;
	endpoint_t *endpoint;

	if (order != INCARNATION_SAME ||
	    previous->info.leaving != info->leaving)
		entry_log(node, info, order);
	if (order == INCARNATION_LATER)
		relay_endpoint_restarted(&node->relay, previous);
	endpoint = endpoint_set_update(&node->endpoints, info);
	if (!was_lapsed || endpoint == NULL)
		return;
	/* A daemon with an older version still has the row that lapsed here. */
	endpoint->lapsed = order != INCARNATION_LATER && !is_newer &&
	    node->row_sync.applying && node->row_sync.applying_older;
	lapsed_rows_hold_back(node);
}

/* A row that doesn't decode to an endpoint counts as its removal, whatever it
 * held before; followers are sent the removal, too. */
static void
endpoint_row_delete(relay_node_t *node, endpoint_t *known, const row_t *row)
{
	const row_t tombstone = {
	    .key = row->key, .version = row->version, .deleted = true};

	if (known != NULL)
		endpoint_removed(node, known, row->version);
	else
		row_sync_put(&node->row_sync, ROW_TABLE_ENDPOINTS, &tombstone);
}

/* An endpoint that was removed doesn't come back because a restored older copy
 * of the store lists it, until it writes its entry again. Rows from a parent
 * are applied in any case, since it sends each of the endpoint's rows at most
 * once. */
static bool
removal_stands(
    const relay_node_t *node, const cached_row_t *known, const row_t *row)
{
	return !node->row_sync.applying &&
	    relay_row_has_later_era(known, row) && known->value == NULL;
}

/* Nor does a leaving endpoint get requests again for that reason. */
static bool
leaving_stands(const cached_row_t *known, const row_t *row,
    const endpoint_t *endpoint, const endpoint_info_t *info)
{
	return relay_row_has_later_era(known, row) && known->value != NULL &&
	    endpoint != NULL && endpoint->info.leaving && !info->leaving &&
	    endpoint_compare_incarnation(endpoint, info) == INCARNATION_SAME;
}

/* Keeps of the row what was decoded. */
static void
endpoint_row_put(
    relay_node_t *node, const row_t *row, const endpoint_info_t *info)
{
	const row_dialect_t *dialect = node->ports.row_dialect;
	char text[ENDPOINT_TEXT_SIZE];
	row_t kept = *row;
	size_t len = dialect->encode_endpoint != NULL
	    ? dialect->encode_endpoint(info, text, sizeof(text))
	    : 0;

	if (len > 0) {
		kept.value = text;
		kept.value_len = len;
	}
	row_sync_put(&node->row_sync, ROW_TABLE_ENDPOINTS, &kept);
}

void
relay_endpoint_apply_row(relay_node_t *node, const row_t *row)
{
	endpoint_t *endpoint = endpoint_set_find(&node->endpoints, row->key);
	const cached_row_t *known = row_cache_find(
	    &node->row_sync.cache, ROW_TABLE_ENDPOINTS, row->key);
	bool is_newer = known == NULL || row->version > known->version;
	endpoint_info_t info;
	err_t err;

	if (row->deleted) {
		endpoint_row_delete(node, endpoint, row);
		return;
	}
	if (removal_stands(node, known, row)) {
		relay_row_keep_known(node, ROW_TABLE_ENDPOINTS, known, row);
		return;
	}
	if (!node->ports.row_dialect->decode_endpoint(
		row->key, row->value, row->value_len, &info, &err)) {
		row_refusals_record(
		    &node->refusals, ROW_KIND_ENDPOINT, row, &err);
		endpoint_row_delete(node, endpoint, row);
		return;
	}
	if (leaving_stands(known, row, endpoint, &info)) {
		relay_row_keep_known(node, ROW_TABLE_ENDPOINTS, known, row);
		return;
	}
	endpoint_row_put(node, row, &info);
	endpoint_apply(node, &info, is_newer);
}

/* Removes the endpoints whose entries did not come back after an outage. */
void
relay_endpoints_remove_lapsed(relay_node_t *node)
{
	const row_watch_t *watch =
	    row_sync_watch(&node->row_sync, ROW_TABLE_ENDPOINTS);
	struct timespec now = clock_boottime(node->ports.clock);
	endpoint_t *current, *next;

	if (node->row_sync.following || !watch->reachable ||
	    timespec_ms_between(node->store_available_at, now) <
		node->settings.lapsed_keep_ms)
		return;
	node->keep_lapsed = false;
	if (node->row_sync.withheld_version[ROW_TABLE_ENDPOINTS] == 0)
		return;
	for (current = node->endpoints.endpoints; current != NULL;
	     current = next) {
		next = current->hh.next;
		if (current->lapsed)
			endpoint_removed(node, current, watch->version + 1);
	}
}

/* Accepts uncontradicted entries of earlier incarnations, so that an endpoint
 * isn't lost if it restarts with its clock set back. */
void
relay_endpoints_accept_earlier(relay_node_t *node)
{
	endpoint_info_t info;

	while (endpoint_set_find_earlier(&node->endpoints, &info)) {
		endpoint_t *previous =
		    endpoint_set_find(&node->endpoints, info.id);

		relay_endpoint_restarted(&node->relay, previous);
		endpoint_set_remove(&node->endpoints, previous);
		endpoint_apply(node, &info, true);
		lapsed_rows_hold_back(node);
	}
}

void
relay_endpoints_stop_keeping_lapsed(relay_node_t *node)
{
	node->keep_lapsed = false;
}
