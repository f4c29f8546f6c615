#include "moortack/member/lease.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_SIZE 48
#define MARGIN_DIVISOR 3 /* the last third is the safety margin */

void
lease_init(lease_t *lease, const process_context_t *process, store_t *store,
    const char *name, int64_t ttl_ms)
{
	*lease =
	    (lease_t){.process = process, .store = store, .ttl_ms = ttl_ms};
	snprintf(lease->name, sizeof(lease->name), "%s", name);
}

bool
lease_usable(const lease_t *lease)
{
	struct timespec now = clock_boottime(lease->process->clock);

	return lease->held &&
	    timespec_ms_between(now, lease->expires_at) >
	    lease->ttl_ms / MARGIN_DIVISOR;
}

static void
lease_written(void *arg, store_result_t result, const json_t *response)
{
	lease_t *lease = arg;

	(void)response;
	lease->request_pending = false;
	/* Without a response the lease may be held or not. It is safe not to
	 * use it: the next request finds this daemon's own row. */
	if (result != STORE_OK)
		return;
	lease->held = true;
	lease->fence = lease->requested_fence;
	lease->expires_at = timespec_add_ms(lease->requested_at, lease->ttl_ms);
}

static json_t *
lease_row_new(const lease_t *lease, const char *holder)
{
	int64_t wall_ms = timespec_to_ms(clock_wall(lease->process->clock));

	return json_pack("{s:s,s:I,s:I}", "holder", holder, "fence",
	    (json_int_t)lease->requested_fence, "until_ms",
	    (json_int_t)(wall_ms + lease->ttl_ms));
}

static bool
lease_row_write(lease_t *lease, const char *key, const char *expected)
{
	char holder[INCARNATION_TEXT_SIZE];
	json_t *row;
	char *text;
	bool started;

	incarnation_format(lease->process->incarnation, holder);
	row = lease_row_new(lease, holder);
	text = json_dumps(row, JSON_COMPACT);
	json_decref(row);
	if (text == NULL)
		return false;
	started = store_txn(lease->store,
	    json_pack("[o]", store_row_new(key, expected)),
	    json_pack("[o]", store_row_new(key, text)), lease_written, lease);
	free(text);
	return started;
}

static void
lease_read(void *arg, store_result_t result, const json_t *response)
{
	lease_t *lease = arg;
	char key[KEY_SIZE];
	char self[INCARNATION_TEXT_SIZE];
	const char *text;
	const char *holder;
	json_t *row;
	int64_t fence, until_ms;
	bool own, expired;

	snprintf(key, sizeof(key), "lease/%s", lease->name);
	text = store_response_value(response, key);
	row = text != NULL ? json_loads(text, 0, NULL) : NULL;
	holder = json_string_value(json_object_get(row, "holder"));
	fence = json_integer_value(json_object_get(row, "fence"));
	until_ms = json_integer_value(json_object_get(row, "until_ms"));
	incarnation_format(lease->process->incarnation, self);
	own = holder != NULL && strcmp(holder, self) == 0;
	expired = until_ms <= timespec_to_ms(clock_wall(lease->process->clock));
	if (!own)
		lease->held = false;
	lease->requested_fence = own && !expired ? fence : fence + 1;
	if (result != STORE_OK || (!own && !expired) ||
	    !lease_row_write(lease, key, text))
		lease->request_pending = false;
	json_decref(row);
}

void
lease_request(lease_t *lease)
{
	char key[KEY_SIZE];

	if (lease->request_pending)
		return;
	snprintf(key, sizeof(key), "lease/%s", lease->name);
	lease->requested_at = clock_boottime(lease->process->clock);
	lease->request_pending =
	    store_get(lease->store, json_pack("[s]", key), lease_read, lease);
}
