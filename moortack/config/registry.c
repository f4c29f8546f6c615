#include "moortack/config/registry.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "moortack/config/intent.h"
#include "registry_priv.h"

#define US_PER_MS 1000
#define MS_PER_SEC 1000

static void
config_body_release(void *body)
{
	config_release(body);
}

static void
config_publish(registry_t *registry)
{
	task_post(registry->subscribers.front_task,
	    registry->subscribers.config_kind, config_acquire(registry->config),
	    config_body_release);
}

void
registry_freshness_publish(registry_t *registry)
{
	freshness_update_t *update = malloc(sizeof(*update));
	struct timespec now = clock_boottime(registry->process.clock);
	bool fresh;

	if (update == NULL)
		return;
	update->expires_at = freshness_expires_at(&registry->freshness);
	update->has_revision = registry->config->revision > 0;
	update->listed = registry->joined || registry->leaving;
	fresh = timespec_ms_between(now, update->expires_at) > 0;
	if (fresh != registry->was_fresh) {
		registry->was_fresh = fresh;
		timeline_add(registry->process.timeline,
		    fresh ? EVENT_FRESH : EVENT_STALE, "configuration",
		    "revision %" PRIu64, registry->config->revision);
		if (!fresh)
			counter_add(registry->process.counters,
			    COUNTER_STALE_PAUSES, 1);
	}
	task_post(registry->subscribers.front_task,
	    registry->subscribers.freshness_kind, update, NULL);
}

const revision_row_t *
registry_revision_row(const registry_t *registry, uint64_t number)
{
	const revision_row_t *row =
	    &registry->revision_rows[number % REVISION_ROWS_MAX];

	return row->text != NULL && row->number == number ? row : NULL;
}

static void
revision_row_store(registry_t *registry, uint64_t number, const char *text)
{
	revision_row_t *row =
	    &registry->revision_rows[number % REVISION_ROWS_MAX];

	free(row->text);
	row->number = number;
	row->text = strdup(text);
}

static void
config_replace(registry_t *registry, config_t *config)
{
	config_release(registry->config);
	registry->config = config;
	registry->freshness.revision = config->revision;
	if (config->revision > registry->head)
		registry->head = config->revision;
	counter_add(registry->process.counters, COUNTER_REVISIONS_APPLIED, 1);
	config_publish(registry);
}

bool
registry_revision_apply(registry_t *registry, uint64_t number, const char *text)
{
	json_t *row;
	json_t *document;
	config_t *config = NULL;
	err_t err = {0};
	const char *plan;

	if (number != registry->config->revision + 1)
		return false;
	row = json_loads(text, 0, NULL);
	document = intent_apply(
	    registry->config->document, json_object_get(row, "intent"), &err);
	if (document != NULL)
		config = config_compile(document, number, &err);
	json_decref(document);
	if (config == NULL) {
		/* Every confirmed plan was compiled before: the revision was
		 * written by a newer version of the program, or the table is
		 * corrupt. */
		log_line(LOG_ERROR, LOG_CONFIG,
		    "Cannot apply revision %" PRIu64 ": %s.", number,
		    err.detail);
		json_decref(row);
		return false;
	}
	revision_row_store(registry, number, text);
	config_replace(registry, config);
	plan = json_string_value(json_object_get(row, "plan"));
	timeline_add(registry->process.timeline, EVENT_REVISION_APPLIED,
	    plan != NULL ? plan : "", "revision %" PRIu64, number);
	json_decref(row);
	return true;
}

static void
store_availability_set(registry_t *registry, bool available)
{
	if (available != registry->store_unavailable)
		return;
	registry->store_unavailable = !available;
	timeline_add(registry->process.timeline,
	    available ? EVENT_STORE_AVAILABLE : EVENT_STORE_UNAVAILABLE,
	    "store", "%s", "");
	log_line(available ? LOG_INFO : LOG_WARN, LOG_CONFIG, "%s",
	    available ? "The store is available again."
		      : "The store is unavailable.");
}

static void
snapshot_written(void *arg, store_result_t result, const json_t *response)
{
	(void)response;
	(void)arg;
	if (result != STORE_OK)
		log_line(LOG_WARN, LOG_CONFIG, "Cannot write the snapshot.");
}

void
registry_snapshot_write(registry_t *registry)
{
	json_t *snapshot = json_pack("{s:I,s:O}", "revision",
	    (json_int_t)registry->config->revision, "document",
	    registry->config->document);
	char *text = json_dumps(snapshot, JSON_COMPACT);

	json_decref(snapshot);
	if (text != NULL) {
		store_txn(registry->store, json_array(),
		    json_pack("[o]", store_row_new("snapshot", text)),
		    snapshot_written, registry);
	}
	free(text);
}

static void
revisions_read(void *arg, store_result_t result, const json_t *response)
{
	registry_t *registry = arg;
	uint64_t before = registry->config->revision;
	json_t *row;
	size_t i;

	registry->revisions_pending = false;
	if (result != STORE_OK)
		return;
	json_array_foreach(json_object_get(response, "rows"), i, row)
	{
		const char *key = json_string_value(json_array_get(row, 0));
		const char *text = json_string_value(json_array_get(row, 1));
		uint64_t number;

		if (key == NULL || text == NULL ||
		    sscanf(key, "rev/%" SCNu64, &number) != 1)
			continue;
		if (number > registry->config->revision &&
		    !registry_revision_apply(registry, number, text))
			break;
	}
	/* After so many revisions, a snapshot spares other daemons from
	 * reading them. */
	if (registry->config->revision - before >= SNAPSHOT_INTERVAL)
		registry_snapshot_write(registry);
	if (registry->config->revision > before)
		registry_head_read(registry);
}

void
registry_revisions_read(registry_t *registry)
{
	char after[KEY_SIZE];

	if (registry->revisions_pending)
		return;
	snprintf(after, sizeof(after), REVISION_KEY_FORMAT,
	    registry->config->revision);
	registry->revisions_pending = store_scan(
	    registry->store, "rev/", after, revisions_read, registry);
}

static void
snapshot_apply(registry_t *registry, const char *text)
{
	json_t *snapshot = json_loads(text, 0, NULL);
	json_t *document = json_object_get(snapshot, "document");
	uint64_t revision =
	    (uint64_t)json_integer_value(json_object_get(snapshot, "revision"));
	config_t *config = NULL;
	err_t err;

	if (revision > registry->config->revision && json_is_object(document))
		config = config_compile(document, revision, &err);
	if (config != NULL)
		config_replace(registry, config);
	json_decref(snapshot);
}

static void
head_check(registry_t *registry, uint64_t head)
{
	if (head < registry->head) {
		counter_add(registry->process.counters,
		    COUNTER_STORE_OUTDATED_READS, 1);
		timeline_add(registry->process.timeline,
		    EVENT_STORE_OUTDATED_READ, "store",
		    "head %" PRIu64 ", was %" PRIu64, head, registry->head);
		log_line(LOG_ERROR, LOG_CONFIG,
		    "The store's head went back from %" PRIu64 " to %" PRIu64
		    "; ignoring it.",
		    registry->head, head);
		return;
	}
	registry->head = head;
	if (head > registry->config->revision)
		registry_revisions_read(registry);
	else
		freshness_store_read(
		    &registry->freshness, head, registry->head_requested_at);
}

static void
head_read(void *arg, store_result_t result, const json_t *response)
{
	registry_t *registry = arg;
	const char *head = store_response_value(response, "head");
	const char *epoch = store_response_value(response, "epoch");
	const char *snapshot = store_response_value(response, "snapshot");

	registry->head_pending = false;
	store_availability_set(registry, result == STORE_OK);
	if (result == STORE_OK) {
		uint64_t members_epoch =
		    epoch != NULL ? strtoull(epoch, NULL, 10) : 0;

		if (snapshot != NULL && registry->config->revision == 0)
			snapshot_apply(registry, snapshot);
		head_check(
		    registry, head != NULL ? strtoull(head, NULL, 10) : 0);
		if (members_epoch != registry->store_epoch || !registry->joined)
			registry_members_read(registry);
	}
	registry_freshness_publish(registry);
}

void
registry_head_read(registry_t *registry)
{
	json_t *keys;

	if (registry->head_pending)
		return;
	keys = json_pack("[s,s]", "head", "epoch");
	if (registry->config->revision == 0)
		json_array_append_new(keys, json_string("snapshot"));
	registry->head_requested_at = clock_boottime(registry->process.clock);
	registry->head_pending =
	    store_get(registry->store, keys, head_read, registry);
}

static void
head_timer_run(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	registry_head_read(arg);
	registry_freshness_publish(arg);
}

static void
heartbeat_timer_run(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	registry_heartbeat(arg);
}

static void
message_handle(void *state, task_msg_t *msg)
{
	registry_t *registry = state;

	switch ((enum registry_message)msg->kind) {
	case REGISTRY_ADMIN:
		registry_admin_handle(registry, msg->body);
		msg->body = NULL;
		break;
	case REGISTRY_LEAVE:
		registry_leave_start(registry);
		break;
	case REGISTRY_HEARTBEAT_QUERY:
		registry_heartbeat_query(registry, msg->body);
		break;
	case REGISTRY_HEARTBEAT_RESPONSE:
		registry_heartbeat_response(registry, msg->body);
		break;
	case REGISTRY_REVISIONS_QUERY:
		registry_revisions_query(registry, msg->body);
		break;
	case REGISTRY_REVISIONS_RESPONSE:
		registry_revisions_response(registry, msg->body);
		break;
	}
}

static struct event *
timer_new(registry_t *registry, event_callback_fn callback, int64_t ms)
{
	struct timeval interval = {
	    ms / MS_PER_SEC, ms % MS_PER_SEC * US_PER_MS};
	struct event *event = event_new(
	    registry->process.base, -1, EV_PERSIST, callback, registry);

	if (event != NULL)
		event_add(event, &interval);
	return event;
}

void
admin_command_free(void *body)
{
	admin_command_t *command = body;

	json_decref(command->intent);
	free(command);
}

void
admin_response_free(void *body)
{
	admin_response_t *response = body;

	json_decref(response->body);
	free(response);
}

void
registry_admin_submit(registry_t *registry, admin_command_t *command)
{
	task_post(&registry->task, REGISTRY_ADMIN, command, admin_command_free);
}

void
registry_leave(registry_t *registry)
{
	task_post(&registry->task, REGISTRY_LEAVE, NULL, NULL);
}

static void
query_handlers_set(registry_t *registry)
{
	peers_handler_set(registry->peers, WIRE__ENVELOPE__BODY_STANDING,
	    &registry->task, REGISTRY_HEARTBEAT_QUERY);
	peers_handler_set(registry->peers, WIRE__ENVELOPE__BODY_REVISIONS_ASK,
	    &registry->task, REGISTRY_REVISIONS_QUERY);
}

registry_t *
registry_new(const process_context_t *process, const options_t *options,
    store_t *store, peers_t *peers, const registry_subscribers_t *ports,
    err_t *err)
{
	registry_t *registry = calloc(1, sizeof(*registry));
	json_t *document = config_document_new();

	if (registry == NULL) {
		json_decref(document);
		err_set(err, ERR_MEMORY, "out of memory");
		return NULL;
	}
	registry->process = *process;
	registry->options = options;
	registry->store = store;
	registry->peers = peers;
	registry->subscribers = *ports;
	registry->config = config_compile(document, 0, err);
	json_decref(document);
	registry->members = members_new();
	freshness_init(
	    &registry->freshness, options->fresh_ms, options->outage_ms);
	task_init(&registry->task, process->base, message_handle, registry);
	query_handlers_set(registry);
	registry->head_timer =
	    timer_new(registry, head_timer_run, options->head_ms);
	registry->heartbeat_timer =
	    timer_new(registry, heartbeat_timer_run, options->heartbeat_ms);
	registry_head_read(registry);
	return registry;
}

void
registry_free(registry_t *registry)
{
	event_free(registry->head_timer);
	event_free(registry->heartbeat_timer);
	task_finish(&registry->task);
	freshness_finish(&registry->freshness);
	members_release(registry->members);
	config_release(registry->config);
	for (int i = 0; i < REVISION_ROWS_MAX; i++)
		free(registry->revision_rows[i].text);
	free(registry);
}
