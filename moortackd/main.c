/**
 * @file
 * moortackd: the entry daemon, which has every role.
 */
#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/http_call.h"
#include "common/log.h"
#include "moortack/config/registry.h"
#include "moortack/front/front.h"
#include "moortack/ledger/billing.h"
#include "moortack/ledger/witness_task.h"
#include "moortack/route/watch.h"
#include "moortack/store/store_http.h"
#include "options.h"

#define EXIT_SETTINGS 2

typedef struct daemon {
	options_t options;
	clock_source_t clock;
	counters_t counters;
	timeline_t timeline;
	rng_t rng;
	process_context_t process;
	store_http_t store;
	peers_t *peers;
	registry_t *registry;
	front_t *front;
	billing_t *billing;
	witness_task_t *witnesses;
	endpoint_poller_t *watch;
	struct event *sigterm;
	struct event *sigint;
	struct event *drain_timer;
	bool draining;
	int exit_status;
} daemon_t;

static void
drain_done(void *arg)
{
	daemon_t *daemon = arg;

	timeline_add(&daemon->timeline, EVENT_STOPPED, daemon->options.listen,
	    "%s", "drained");
	log_line(LOG_INFO, LOG_MAIN, "Drained; no request was aborted.");
	event_base_loopbreak(daemon->process.base);
}

static void
requests_abort(daemon_t *daemon)
{
	uint32_t aborted = front_exchanges_abort(daemon->front);

	log_line(LOG_WARN, LOG_MAIN, "Stopping now; %u requests were aborted.",
	    aborted);
	daemon->exit_status = aborted > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
	event_base_loopexit(daemon->process.base, NULL);
}

static void
drain_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	requests_abort(arg);
}

/* The first SIGTERM or SIGINT starts draining; a second one stops at once. */
static void
signal_handle(evutil_socket_t fd, short what, void *arg)
{
	daemon_t *daemon = arg;
	struct timeval timeout = {daemon->options.drain_ms / 1000,
	    daemon->options.drain_ms % 1000 * 1000};

	(void)fd;
	(void)what;
	if (daemon->draining) {
		requests_abort(daemon);
		return;
	}
	daemon->draining = true;
	log_line(LOG_INFO, LOG_MAIN, "Draining: %u requests are in flight.",
	    front_exchange_count(daemon->front));
	registry_leave(daemon->registry);
	front_drain(daemon->front);
	event_add(daemon->drain_timer, &timeout);
}

static void
process_init(daemon_t *daemon)
{
	clock_system_init(&daemon->clock);
	timeline_init(&daemon->timeline, &daemon->clock);
	rng_system_init(&daemon->rng);
	daemon->process = (process_context_t){.base = event_base_new(),
	    .clock = &daemon->clock,
	    .counters = &daemon->counters,
	    .timeline = &daemon->timeline,
	    .rng = &daemon->rng,
	    .incarnation = rng_u64(&daemon->rng) | 1};
}

static bool
tasks_start(daemon_t *daemon, err_t *err)
{
	const process_context_t *process = &daemon->process;
	const options_t *options = &daemon->options;
	store_t *store = &daemon->store.store;
	http_address_t address;

	http_address_parse(options->store, &address);
	store_http_init(&daemon->store, process->base, &address,
	    (int)options->store_timeout_ms, &daemon->counters);
	daemon->peers =
	    peers_new(process, options->peer_listen, options->peer_key, err);
	if (daemon->peers == NULL)
		return false;
	daemon->front = front_new(
	    process, options, store, daemon->peers, drain_done, daemon, err);
	if (daemon->front == NULL)
		return false;
	daemon->billing = billing_new(process, options, store, daemon->peers,
	    &(billing_listener_t){front_task(daemon->front),
		FRONT_BILLING_RESULT, FRONT_BILLING_STATUS});
	daemon->witnesses = witness_task_new(process, daemon->peers,
	    (uint32_t)options->tickets_max, front_task(daemon->front),
	    FRONT_WITNESS_RESULT);
	daemon->registry = registry_new(process, options, store, daemon->peers,
	    &(registry_subscribers_t){front_task(daemon->front), FRONT_CONFIG,
		FRONT_FRESHNESS, FRONT_MEMBERS, FRONT_ADMIN_RESPONSE,
		billing_task(daemon->billing), billing_members_kind()},
	    err);
	daemon->watch = endpoint_poller_new(process, options,
	    &(endpoint_poller_sink_t){front_task(daemon->front), FRONT_VMS,
		FRONT_LOAD, FRONT_RATINGS},
	    err);
	if (daemon->registry == NULL || daemon->watch == NULL)
		return false;
	front_set_tasks(daemon->front, daemon->registry, daemon->witnesses,
	    daemon->billing);
	return true;
}

static void
signals_init(daemon_t *daemon)
{
	struct event_base *base = daemon->process.base;

	signal(SIGPIPE, SIG_IGN);
	daemon->sigterm = evsignal_new(base, SIGTERM, signal_handle, daemon);
	daemon->sigint = evsignal_new(base, SIGINT, signal_handle, daemon);
	daemon->drain_timer = event_new(base, -1, 0, drain_timeout, daemon);
	event_add(daemon->sigterm, NULL);
	event_add(daemon->sigint, NULL);
}

static void
daemon_stop(daemon_t *daemon)
{
	event_free(daemon->sigterm);
	event_free(daemon->sigint);
	event_free(daemon->drain_timer);
	http_calls_cancel(daemon->process.base);
	endpoint_poller_free(daemon->watch);
	registry_free(daemon->registry);
	witness_task_free(daemon->witnesses);
	billing_free(daemon->billing);
	front_free(daemon->front);
	peers_free(daemon->peers);
	event_base_free(daemon->process.base);
}

int
main(int argc, const char **argv)
{
	static daemon_t daemon;
	char incarnation[INCARNATION_TEXT_SIZE];
	err_t err;

	switch (options_load(&daemon.options, argc, argv, &err)) {
	case SETTINGS_HELP:
		options_help();
		return EXIT_SUCCESS;
	case SETTINGS_INVALID:
		fprintf(stderr, "moortackd: %s\n", err.detail);
		return EXIT_SETTINGS;
	case SETTINGS_OK:
		break;
	}
	log_init("moortackd", (log_level_t)daemon.options.log_level);
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	process_init(&daemon);
	if (!tasks_start(&daemon, &err)) {
		fprintf(stderr, "moortackd: %s\n", err.detail);
		return EXIT_SETTINGS;
	}
	signals_init(&daemon);
	incarnation_format(daemon.process.incarnation, incarnation);
	timeline_add(&daemon.timeline, EVENT_STARTED, daemon.options.listen,
	    "%s %.24s", incarnation, daemon.options.place);
	log_line(LOG_INFO, LOG_MAIN, "Listening on %s as %s.",
	    daemon.options.listen, incarnation);
	event_base_dispatch(daemon.process.base);
	daemon_stop(&daemon);
	return daemon.exit_status;
}
