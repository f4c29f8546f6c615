#include <inttypes.h>

#include "relay_request.h"

#define LOG_INTERVAL_MS 1000

/* Write what the service's budget was used for since the last line. */
static void
usage_log(service_state_t *state, struct timespec now)
{
	relay_t *relay = state->relay;
	retry_balance_t balance;

	if (relay->log == NULL ||
	    timespec_ms_between(state->retries_logged_at, now) <
		LOG_INTERVAL_MS)
		return;
	balance = retry_share_balance(&state->retry_share,
	    &relay->bounds.retries, relay->daemons_max_seen, now);
	event_log_write(relay->log, "retry_budget",
	    "service=%s started_ms=%" PRId64
	    " daemons=%u requests=%u saved=%.1f saved_max=%.1f made=%u "
	    "denied=%u reserved=%u",
	    state->service, timespec_ms_between(relay->started_at, now),
	    relay->daemons_max_seen, balance.requests, balance.saved,
	    balance.saved_max, state->retries_made, state->retries_denied,
	    state->retries_reserved);
	state->retries_logged_at = now;
	state->retries_made = 0;
	state->retries_denied = 0;
	state->retries_reserved = 0;
}

bool
relay_retry_acquire(relay_t *relay, const char *service)
{
	service_state_t *state = relay_service_state(relay, service);
	struct timespec now = clock_boottime(relay->clock);
	bool acquired;

	if (state == NULL)
		return false;
	acquired = retry_share_spend(&state->retry_share,
	    &relay->bounds.retries, relay->daemons_max_seen, now);
	if (acquired)
		state->retries_made++;
	else
		state->retries_denied++;
	usage_log(state, now);
	return acquired;
}

bool
relay_retry_has_spare(relay_t *relay, const char *service)
{
	service_state_t *state = relay_service_state(relay, service);
	struct timespec now = clock_boottime(relay->clock);
	bool spare;

	if (state == NULL)
		return false;
	spare = retry_share_has_spare(&state->retry_share,
	    &relay->bounds.retries, relay->daemons_max_seen, now);
	if (!spare) {
		state->retries_reserved++;
		usage_log(state, now);
	}
	return spare;
}

void
relay_count_request(relay_t *relay, const char *service, struct timespec now)
{
	service_state_t *state = relay_service_state(relay, service);

	if (state != NULL)
		retry_share_add_request(
		    &state->retry_share, &relay->bounds.retries, now);
}
