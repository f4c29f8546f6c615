#include <inttypes.h>

#include "relay_node_priv.h"

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
	event_log_write_throttled(&node->log, EVENT_THROTTLED_ENDPOINT_REMOVED,
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

	event_log_write_throttled(&node->log, EVENT_THROTTLED_ENDPOINT,
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

void
relay_endpoint_row(relay_node_t *node, const row_t *row)
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

/* Entries that did not come back after an outage are gone. */
void
relay_rows_lapsed_end(relay_node_t *node)
{
	const row_watch_t *watch =
	    row_source_watch(&node->source, ROW_TABLE_ENDPOINTS);
	struct timespec now = clock_boottime(node->ports.clock);
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
