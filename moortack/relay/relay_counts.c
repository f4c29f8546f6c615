#include <stdlib.h>
#include <string.h>

#include "relay_request.h"

/* Routes whose callers are told apart: those of some configurations. */
#define ROUTES_KNOWN_MAX 4096
/* Part of the retry budget that is kept for failures. With 0.25 a daemon that
 * takes a few streams a second had no room for one larger model in forty, and
 * the worth of three of the users' sheets was 0.003 to 0.005 less (15, 15 and
 * 10 days, each within the noise). */
#define REPEATS_KEPT 0.05

relay_budget_t *
relay_counts(relay_t *relay, const char *service)
{
	relay_budget_t *budget;

	HASH_FIND_STR(relay->budgets, service, budget);
	if (budget == NULL && strlen(service) < ENDPOINT_NAME_SIZE) {
		budget = calloc(1, sizeof(*budget));
		if (budget == NULL)
			return NULL;
		strcpy(budget->service, service);
		HASH_ADD_STR(relay->budgets, service, budget);
	}
	return budget;
}

static retry_share_t *
budget_of(relay_t *relay, const char *service)
{
	relay_budget_t *budget = relay_counts(relay, service);

	return budget != NULL ? &budget->share : NULL;
}

bool
relay_repeat_allowed(relay_t *relay, const char *service)
{
	retry_share_t *share = budget_of(relay, service);

	return share != NULL &&
	    retry_share_spend(share, &relay->bounds.retries,
		relay->daemons_most, clock_boottime(relay->clock));
}

bool
relay_repeat_plenty(relay_t *relay, const char *service)
{
	retry_share_t *share = budget_of(relay, service);

	return share != NULL &&
	    retry_share_left(share, &relay->bounds.retries, relay->daemons_most,
		clock_boottime(relay->clock)) > REPEATS_KEPT;
}

void
relay_count_request(relay_t *relay, const char *service, struct timespec now)
{
	retry_share_t *share = budget_of(relay, service);

	if (share != NULL)
		retry_share_request(share, &relay->bounds.retries, now);
}

double
relay_tried_before_ms(
    relay_t *relay, const relay_route_t *route, int64_t deadline_ms)
{
	relay_callers_t *callers;

	HASH_FIND_STR(relay->callers_known, route->name, callers);
	if (callers == NULL) {
		if (HASH_COUNT(relay->callers_known) >= ROUTES_KNOWN_MAX)
			return 0;
		callers = calloc(1, sizeof(*callers));
		if (callers == NULL)
			return 0;
		callers->route = strdup(route->name);
		if (callers->route == NULL) {
			free(callers);
			return 0;
		}
		HASH_ADD_KEYPTR(hh, relay->callers_known, callers->route,
		    strlen(callers->route), callers);
	}
	return first_try_take(&callers->tries, deadline_ms);
}

void
relay_counts_finish(relay_t *relay)
{
	relay_callers_t *callers, *callers_next;
	relay_budget_t *budget, *budget_next;

	HASH_ITER(hh, relay->budgets, budget, budget_next)
	{
		HASH_DEL(relay->budgets, budget);
		free(budget);
	}
	HASH_ITER(hh, relay->callers_known, callers, callers_next)
	{
		HASH_DEL(relay->callers_known, callers);
		free(callers->route);
		free(callers);
	}
}
