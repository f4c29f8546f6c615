#include "moortack/front/front.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "common/http_call.h"
#include "common/http_request.h"
#include "common/log.h"
#include "front_priv.h"
#include "moortack/exchange/deferred.h"

#define TICK_US 10000
#define HEADERS_MAX 16384
#define CALLER_IDLE_TIMEOUT_MS 60000
/* The part of the memory that callers' connections and requests may take. */
#define INBOUND_MEMORY_DIVISOR 2
#define INBOUND_MEMORY_LESS_MB 4
#define MB 1048576
/* Descriptors that are not sockets. */
#define FILES 200
#define DESCRIPTORS_DEFAULT 4100
#define CALLERS_MIN 8
#define LISTEN_MARGIN_MS \
	200 /* time for draining to reach the other daemons' lists */

typedef struct front_path {
	const char *path;
	const char *method;
	void (*serve)(front_t *, http_request_t *);
} front_path_t;

static void
healthz_respond(front_t *front, http_request_t *req)
{
	err_t err;

	if (!front_is_ready(front, &err)) {
		failure_respond(front, req, &err, NULL, NULL);
		return;
	}
	http_respond_json(req, 200, json_pack("{s:b}", "ready", 1));
}

/* Sorted by path. */
static const front_path_t paths[] = {
    {"/healthz", "GET", healthz_respond},
    {"/metrics", "GET", metrics_respond},
    {"/v1/chat/completions", "POST", exchange_chat_start},
    {"/v1/entries", "GET", entries_respond},
    {"/v1/tickets", "POST", tickets_respond},
};

static void
request_handle(void *arg, http_request_t *req)
{
	static const char admin[] = "/admin/";
	static const char services[] = "/v1/services/";
	static const char deferred[] = "/v1/deferred/";
	front_t *front = arg;
	const char *path = http_request_path(req);
	err_t err;

	for (size_t i = 0; i < sizeof(paths) / sizeof(*paths); i++) {
		if (http_request_has_method(req, paths[i].method) &&
		    strcmp(paths[i].path, path) == 0) {
			paths[i].serve(front, req);
			return;
		}
	}
	if (strncmp(path, admin, sizeof(admin) - 1) == 0) {
		admin_request(front, req, path + sizeof(admin) - 1);
	} else if (strncmp(path, services, sizeof(services) - 1) == 0 &&
	    http_request_has_method(req, "POST")) {
		exchange_service_start(front, req, path + sizeof(services) - 1);
	} else if (strncmp(path, deferred, sizeof(deferred) - 1) == 0 &&
	    http_request_has_method(req, "GET")) {
		deferred_collect(front, req, path + sizeof(deferred) - 1);
	} else {
		err_set(&err, ERR_NOT_FOUND, "no such path");
		failure_respond(front, req, &err, NULL, NULL);
	}
}

bool
front_is_ready(const front_t *front, err_t *err)
{
	struct timespec now = clock_boottime(front->process.clock);

	if (!front->freshness.has_revision || !front->freshness.listed)
		return err_set(err, ERR_NOT_READY,
		    "this entry holds no confirmed configuration yet");
	if (timespec_ms_between(now, front->freshness.expires_at) <= 0)
		return err_set(err, ERR_CONFIG_STALE,
		    "this entry cannot confirm that its configuration is still "
		    "in force");
	return true;
}

/* --- exchanges -------------------------------------------------------- */

exchange_t *
front_exchange_new(front_t *front)
{
	exchange_t *exchange;
	exchange_slot_t *slot;
	handle_t handle = 0;

	if (front->exchange_count >= front->options->exchanges_max)
		return NULL;
	while (handle < front->exchange_slots.len &&
	    ((exchange_slot_t *)table_at(&front->exchange_slots, handle))
		    ->exchange != NULL)
		handle++;
	if (handle == front->exchange_slots.len &&
	    table_add(&front->exchange_slots) == NULL)
		return NULL;
	exchange = calloc(1, sizeof(*exchange));
	if (exchange == NULL)
		return NULL;
	slot = table_at(&front->exchange_slots, handle);
	slot->exchange = exchange;
	slot->generation++;
	exchange->front = front;
	exchange->endpoint = HANDLE_NONE;
	exchange->first_byte_ms = -1;
	/* One bit is left free for peer_tag() in witness_task.c. */
	exchange->tag =
	    (uint64_t)(slot->generation & 0x7fffffff) << 32 | (handle + 1);
	front->exchange_count++;
	return exchange;
}

exchange_t *
front_exchange_find(const front_t *front, uint64_t tag)
{
	const exchange_slot_t *slot =
	    table_at(&front->exchange_slots, (handle_t)(tag & UINT32_MAX) - 1);

	if (slot == NULL || slot->exchange == NULL ||
	    slot->exchange->tag != tag)
		return NULL;
	return slot->exchange;
}

void
front_exchange_free(front_t *front, exchange_t *exchange)
{
	exchange_slot_t *slot = table_at(
	    &front->exchange_slots, (handle_t)(exchange->tag & UINT32_MAX) - 1);

	slot->exchange = NULL;
	front->exchange_count--;
	free(exchange);
}

void
front_dispatch(front_t *front)
{
	waiter_t *waiter = admission_next(&front->admission, NULL);

	while (waiter != NULL) {
		waiter_t *next = admission_next(&front->admission, waiter);

		exchange_dispatch((exchange_t *)waiter);
		waiter = next;
	}
}

static void
overdue_fail(front_t *front, struct timespec now)
{
	waiter_t *waiter;

	while ((waiter = admission_overdue(&front->admission, now)) != NULL) {
		bool expired = timespec_ms_between(waiter->deadline, now) >= 0;

		exchange_fail((exchange_t *)waiter,
		    expired ? ERR_DEADLINE : ERR_OVERLOAD,
		    expired ? "the deadline passed while the request was queued"
			    : "the request was queued longer than its class "
			      "allows");
	}
}

static void
deadlines_enforce(front_t *front, struct timespec now)
{
	for (handle_t h = 0; h < front->exchange_slots.len; h++) {
		exchange_slot_t *slot = table_at(&front->exchange_slots, h);
		exchange_t *exchange = slot->exchange;

		if (exchange == NULL || exchange->phase == PHASE_BILLING ||
		    timespec_ms_between(exchange->waiter.deadline, now) < 0)
			continue;
		exchange_fail(exchange,
		    exchange->may_have_run ? ERR_UNKNOWN_OUTCOME : ERR_DEADLINE,
		    "the deadline passed");
	}
}

/* Stop accepting connections. Callers hold the list of entries until its TTL
 * has passed, and are served until then. */
static void
listener_close_when_due(front_t *front, struct timespec now)
{
	if (!front->accepting ||
	    timespec_ms_between(front->listen_until, now) < 0)
		return;
	http_inbound_stop_accepting(front->server.inbound);
	front->accepting = false;
	billing_drain(front->billing);
}

static void
drained_check(front_t *front, struct timespec now)
{
	if (!front->draining || front->drained_notified)
		return;
	listener_close_when_due(front, now);
	if (front->accepting || front->exchange_count > 0 ||
	    !front->billing_status.drained)
		return;
	front->drained_notified = true;
	front->on_drained(front->on_drained_arg);
}

static void
tick(evutil_socket_t fd, short what, void *arg)
{
	front_t *front = arg;
	struct timespec now = clock_boottime(front->process.clock);

	(void)fd;
	(void)what;
	deferred_tick(front);
	orders_tick(front);
	overdue_fail(front, now);
	deadlines_enforce(front, now);
	front_dispatch(front);
	drained_check(front, now);
}

/* --- start and stop --------------------------------------------------- */

static void
message_refuse(void *arg, http_request_t *req, const err_t *err)
{
	/* Its head is gone, and with it a ticket under which it may have run
	 * before. */
	failure_respond(arg, req, err, "unknown", NULL);
}

/* Half of the descriptors that are no files are left for endpoints. */
static uint32_t
callers_max(void)
{
	struct rlimit limit;
	rlim_t descriptors = DESCRIPTORS_DEFAULT;

	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
	    limit.rlim_cur != RLIM_INFINITY)
		descriptors = limit.rlim_cur;
	return descriptors > FILES + 2 * CALLERS_MIN
	    ? (uint32_t)(descriptors - FILES) / 2
	    : CALLERS_MIN;
}

static bool
http_listen(front_t *front, err_t *err)
{
	const options_t *options = front->options;
	const http_inbound_limits_t limits = {.head_max = HEADERS_MAX,
	    .body_max = (size_t)options->body_max,
	    .read_timeout_ms = CALLER_IDLE_TIMEOUT_MS,
	    .idle_timeout_ms = CALLER_IDLE_TIMEOUT_MS,
	    .write_timeout_ms = CALLER_IDLE_TIMEOUT_MS,
	    .connections_max = callers_max()};
	http_address_t address;

	if (*options->tls_cert != '\0') {
		front->tls =
		    tls_server_new(options->tls_cert, options->tls_key, err);
		if (front->tls == NULL)
			return false;
	}
	http_address_parse(options->listen, &address);
	inbound_budget_init(&front->inbound_budget,
	    (size_t)(options->memory_mb / INBOUND_MEMORY_DIVISOR -
		INBOUND_MEMORY_LESS_MB) *
		MB);
	front->server = (http_request_server_t){.on_request = request_handle,
	    .on_refused = message_refuse,
	    .arg = front};
	front->accepting =
	    http_request_listen(&front->server, front->process.base,
		&front->inbound_budget, &address, front->tls, &limits, err);
	return front->accepting;
}

static void
tables_init(front_t *front)
{
	table_init(&front->operators, sizeof(operator_row_t));
	table_init(&front->exchange_slots, sizeof(exchange_slot_t));
	table_init(&front->admin_slots, sizeof(admin_slot_t));
	endpoint_table_init(&front->fleet);
	feedback_init(&front->learn);
	front->learn.guard.threshold = (double)front->options->guard_limit;
	retry_budget_init(&front->retry_budget, front->options->retry_percent);
	admission_init(&front->admission, (uint32_t)front->options->waiting_max,
	    front->options->cutoff_ms);
	front->members = members_new();
	front->billing_status.unflushed_max =
	    (uint32_t)front->options->bills_max;
	lease_init(&front->orders_lease, &front->process, front->store,
	    "orders", front->options->orders_lease_ms);
}

front_t *
front_new(const process_context_t *process, const options_t *options,
    store_t *store, peers_t *peers, void (*drained)(void *), void *arg,
    err_t *err)
{
	static const struct timeval interval = {0, TICK_US};
	front_t *front = calloc(1, sizeof(*front));
	json_t *empty = json_object();

	if (front == NULL) {
		json_decref(empty);
		err_set(err, ERR_MEMORY, "no memory");
		return NULL;
	}
	front->process = *process;
	front->options = options;
	front->store = store;
	front->peers = peers;
	front->on_drained = drained;
	front->on_drained_arg = arg;
	tables_init(front);
	task_init(&front->task, process->base, front_handle, front);
	front->config = config_compile(empty, 0, err);
	json_decref(empty);
	if (front->config == NULL ||
	    !keyring_parse(&front->keyring, options->token_keys, err) ||
	    !operators_parse(&front->operators, options->operators, err) ||
	    !http_listen(front, err)) {
		front_free(front);
		return NULL;
	}
	peers_handler_set(peers, WIRE__ENVELOPE__BODY_ENDPOINT_LEFT,
	    &front->task, FRONT_ENDPOINT_LEFT);
	peers_handler_set(peers, WIRE__ENVELOPE__BODY_GUARD_STOP, &front->task,
	    FRONT_GUARD_STOP);
	front->tick_event =
	    event_new(process->base, -1, EV_PERSIST, tick, front);
	event_add(front->tick_event, &interval);
	return front;
}

void
front_set_tasks(front_t *front, registry_t *registry,
    witness_task_t *witness_task, billing_t *billing)
{
	front->registry = registry;
	front->witness_task = witness_task;
	front->billing = billing;
}

task_t *
front_task(front_t *front)
{
	return &front->task;
}

uint32_t
front_exchange_count(const front_t *front)
{
	return front->exchange_count;
}

void
front_drain(front_t *front)
{
	front->draining = true;
	http_inbound_drain(front->server.inbound);
	front->listen_until =
	    timespec_add_ms(clock_boottime(front->process.clock),
		front->options->entries_ttl_ms + LISTEN_MARGIN_MS);
	timeline_add(front->process.timeline, EVENT_DRAINING,
	    front->options->listen, "%u in progress", front->exchange_count);
}

uint32_t
front_exchanges_abort(front_t *front)
{
	uint32_t aborted = 0;

	for (handle_t h = 0; h < front->exchange_slots.len; h++) {
		exchange_slot_t *slot = table_at(&front->exchange_slots, h);

		if (slot->exchange == NULL)
			continue;
		aborted++;
		exchange_fail(slot->exchange,
		    slot->exchange->may_have_run ? ERR_UNKNOWN_OUTCOME
						 : ERR_DRAINING,
		    "this entry is shutting down");
	}
	return aborted;
}

void
front_free(front_t *front)
{
	front->stopping = true;
	if (front->tick_event != NULL)
		event_free(front->tick_event);
	for (handle_t h = 0; h < front->exchange_slots.len; h++) {
		exchange_slot_t *slot = table_at(&front->exchange_slots, h);

		if (slot->exchange != NULL)
			exchange_free(slot->exchange);
	}
	upstreams_free(front);
	http_request_server_finish(&front->server);
	tls_free(front->tls);
	task_finish(&front->task);
	table_finish(&front->exchange_slots);
	table_finish(&front->admin_slots);
	table_finish(&front->operators);
	endpoint_table_finish(&front->fleet);
	feedback_finish(&front->learn);
	members_release(front->members);
	config_release(front->config);
	free(front);
}
