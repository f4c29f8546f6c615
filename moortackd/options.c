#include "options.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Time within which a change must be in force, as the users require. */
#define CHANGE_IN_FORCE_MS 12000
#define DAY_MS 86400000
#define OPTION(field) offsetof(options_t, field)

static const setting_t settings[] = {
    {"listen", SETTING_ADDRESS, OPTION(listen), 1, 64, NULL, "",
	"Address for callers and operators"},
    {"peer-listen", SETTING_ADDRESS, OPTION(peer_listen), 1, 64, NULL, "",
	"Address for the other daemons"},
    {"peer-advertise", SETTING_ADDRESS, OPTION(peer_advertise), 0, 64, "", "",
	"Address that the other daemons connect to; empty: peer-listen"},
    {"place", SETTING_TEXT, OPTION(place), 1, 47, NULL, "",
	"Place of this VM, as the configuration names it"},
    {"store", SETTING_ADDRESS, OPTION(store), 1, 64, NULL, "",
	"The platform's table"},
    {"vm-list", SETTING_ADDRESS, OPTION(vm_list), 1, 64, NULL, "",
	"The platform's list of VMs"},
    {"rating", SETTING_ADDRESS, OPTION(rating), 0, 64, "", "",
	"The rating service; empty: none"},
    {"tls-cert", SETTING_TEXT, OPTION(tls_cert), 0, 1000, "", "",
	"File with the certificate chain for callers and operators, PEM; "
	"empty: no TLS"},
    {"tls-key", SETTING_TEXT, OPTION(tls_key), 0, 1000, "", "",
	"File with its key, PEM"},
    {"operators", SETTING_SECRET, OPTION(operators), 1, 1000, NULL, "",
	"Operators: NAME:KEYHASH:KINDS joined by ','; KINDS is '*' or kinds "
	"joined by '+'"},
    {"token-keys", SETTING_SECRET, OPTION(token_keys), 1, 400, NULL, "",
	"Keys of tokens: ID:HEX joined by ','; the first seals, all open"},
    {"peer-key", SETTING_SECRET, OPTION(peer_key), 40, 40, NULL, "",
	"The fleet's CURVE secret key, Z85"},
    {"log-level", SETTING_INT, OPTION(log_level), 0, 3, "2", "",
	"0 errors, 1 warnings, 2 information, 3 debugging"},
    {"head-ms", SETTING_INT, OPTION(head_ms), 50, 10000, "2000", "ms",
	"Time between reads of the table's head"},
    {"heartbeat-ms", SETTING_INT, OPTION(heartbeat_ms), 50, 10000, "1000", "ms",
	"Time between heartbeats to a peer"},
    {"fresh-ms", SETTING_INT, OPTION(fresh_ms), 200, 11000, "8000", "ms",
	"How long a read of the head, or a response of a peer, proves that the "
	"configuration is in force"},
    {"outage-ms", SETTING_INT, OPTION(outage_ms), 1000, DAY_MS, "14400000",
	"ms",
	"How long peers may confirm the configuration while none can read "
	"the table"},
    {"dead-ms", SETTING_INT, OPTION(dead_ms), 500, 600000, "15000", "ms",
	"Time without a message after which a peer is removed from the "
	"membership"},
    {"store-timeout-ms", SETTING_INT, OPTION(store_timeout_ms), 50, 10000,
	"1000", "ms", "Timeout of a call to the platform"},
    {"load-ms", SETTING_INT, OPTION(load_ms), 20, 10000, "400", "ms",
	"Time between rounds of reading load reports"},
    {"load-reads", SETTING_INT, OPTION(load_reads), 1, 1000, "1", "",
	"Load reports read in a round, from the endpoints in turn"},
    {"list-ms", SETTING_INT, OPTION(list_ms), 50, 60000, "2000", "ms",
	"Time between reads of the VM list"},
    {"rating-ms", SETTING_INT, OPTION(rating_ms), 50, 60000, "2000", "ms",
	"Time between reads of ratings"},
    {"rate-percent", SETTING_INT, OPTION(rate_percent), 0, 100, "10",
	"per cent",
	"Share of the responses that are sent to the rating service"},
    {"slow-first-ms", SETTING_INT, OPTION(slow_first_ms), 1, 600000, "1000",
	"ms",
	"Time to the first token above which the guard counts a response "
	"as bad"},
    {"flush-ms", SETTING_INT, OPTION(flush_ms), 20, 60000, "1000", "ms",
	"Time between flushes of bills"},
    {"held-ms", SETTING_INT, OPTION(held_ms), 100, 600000, "15000", "ms",
	"How long a peer's bill is held before this daemon flushes it"},
    {"bills-max", SETTING_INT, OPTION(bills_max), 10, 1000000, "40000", "",
	"Bills that may wait for the store"},
    {"tickets-max", SETTING_INT, OPTION(tickets_max), 10, 1000000, "50000", "",
	"Tickets that are recorded, each for its lifetime"},
    {"ticket-ttl-ms", SETTING_INT, OPTION(ticket_ttl_ms), 1000, DAY_MS,
	"120000", "ms", "Lifetime of a ticket"},
    {"session-ttl-ms", SETTING_INT, OPTION(session_ttl_ms), 1000, DAY_MS,
	"3600000", "ms", "Idle time after which a session expires"},
    {"entries-ttl-ms", SETTING_INT, OPTION(entries_ttl_ms), 100, 600000, "5000",
	"ms", "How long callers may cache the list of entries"},
    {"exchanges-max", SETTING_INT, OPTION(exchanges_max), 1, 100000, "2000", "",
	"Requests in flight"},
    {"waiting-max", SETTING_INT, OPTION(waiting_max), 1, 100000, "512", "",
	"Requests that wait for an endpoint"},
    {"cutoff-ms", SETTING_INT, OPTION(cutoff_ms), 10, 60000, "2000", "ms",
	"Time in the queue after which a request of class critical is refused; "
	"half as long for each class below"},
    {"deadline-ms", SETTING_INT, OPTION(deadline_ms), 100, 3600000, "60000",
	"ms", "Deadline of a request that sets none"},
    {"upstream-idle-ms", SETTING_INT, OPTION(upstream_idle_ms), 100, 600000,
	"10000", "ms",
	"Time without data after which an endpoint's response is abandoned"},
    {"drain-ms", SETTING_INT, OPTION(drain_ms), 100, 3600000, "60000", "ms",
	"Time to finish what is in progress after SIGTERM"},
    {"orders-lease-ms", SETTING_INT, OPTION(orders_lease_ms), 500, 600000,
	"15000", "ms",
	"Lease of the daemon that sends orders to engines; another one takes "
	"over once it has expired"},
    {"lease-ms", SETTING_INT, OPTION(lease_ms), 500, 3600000, "60000", "ms",
	"Lease on a deferred request; another daemon takes the request over "
	"once it has expired"},
    {"body-max", SETTING_INT, OPTION(body_max), 1024, 67108864, "1048576",
	"bytes", "Largest body of a request"},
    {"memory-mb", SETTING_INT, OPTION(memory_mb), 16, 1000000, "128", "MB",
	"Memory of the VM; callers' connections and requests take less than "
	"half of it"},
    {"retry-percent", SETTING_INT, OPTION(retry_percent), 0, 100, "10",
	"per cent", "Retries as a share of requests"},
    {"guard-limit", SETTING_INT, OPTION(guard_limit), 2, 30, "14", "",
	"Evidence that the guard needs to stop a version; a lower limit stops "
	"bad versions sooner and good ones more often (docs/MEASUREMENTS.md, "
	"weights)"},
    {"guard", SETTING_INT, OPTION(guard), 0, 1, "1", "",
	"1: the guard may stop a version that turns bad"},
};

#define SETTINGS_COUNT (sizeof(settings) / sizeof(*settings))

static bool
consistency_check(const options_t *options, err_t *err)
{
	if ((*options->tls_cert == '\0') != (*options->tls_key == '\0'))
		return err_set(err, ERR_SETTING,
		    "tls-cert and tls-key: give both or neither");
	if (options->head_ms * 2 > options->fresh_ms)
		return err_set(err, ERR_SETTING,
		    "head-ms is %" PRId64 " and fresh-ms is %" PRId64
		    "; allowed: fresh-ms at least twice head-ms",
		    options->head_ms, options->fresh_ms);
	if (options->heartbeat_ms * 2 > options->fresh_ms)
		return err_set(err, ERR_SETTING,
		    "heartbeat-ms is %" PRId64 " and fresh-ms is %" PRId64
		    "; allowed: fresh-ms at least twice heartbeat-ms",
		    options->heartbeat_ms, options->fresh_ms);
	if (options->fresh_ms + options->heartbeat_ms * 2 > CHANGE_IN_FORCE_MS)
		return err_set(err, ERR_SETTING,
		    "fresh-ms is %" PRId64
		    "; with two heartbeats it is over the %d ms in which a "
		    "change must be in force",
		    options->fresh_ms, CHANGE_IN_FORCE_MS);
	if (options->dead_ms < options->heartbeat_ms * 3)
		return err_set(err, ERR_SETTING,
		    "dead-ms is %" PRId64
		    "; allowed: at least three times heartbeat-ms",
		    options->dead_ms);
	return true;
}

settings_result_t
options_load(options_t *options, int argc, const char **argv, err_t *err)
{
	settings_result_t result = settings_load(
	    settings, SETTINGS_COUNT, OPTIONS_PREFIX, argc, argv, options, err);

	if (result != SETTINGS_OK)
		return result;
	if (*options->peer_advertise == '\0')
		memcpy(options->peer_advertise, options->peer_listen,
		    sizeof(options->peer_advertise));
	return consistency_check(options, err) ? SETTINGS_OK : SETTINGS_INVALID;
}

void
options_help(void)
{
	printf("Usage: moortackd [FLAG]...\n\n"
	       "The entry daemon of moortack. Each setting is a flag or an "
	       "environment variable;\nthe flag wins. Secrets are taken from "
	       "the environment only.\n\n");
	settings_print_help(settings, SETTINGS_COUNT, OPTIONS_PREFIX, stdout);
}
