#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "moortack/config/plan.h"
#include "registry_priv.h"

#define CONFIRM_TRIES_MAX 6
#define CONFIRM_RETRY_MS 300
#define IN_FORCE_CHECK_MS 50
#define IN_FORCE_CHECKS_MAX 60

/** An operator's command in progress. */
typedef struct admin_job {
	registry_t *registry;
	admin_command_t *command;
	json_t *plan;	 /**< ADMIN_PLAN: computed; ADMIN_CONFIRM: as stored */
	char *text;	 /**< ADMIN_CONFIRM: the row of the revision */
	uint64_t number; /**< of the revision that the plan becomes */
	int tries;	 /**< attempts that failed to read or write the store */
	int checks;	 /**< of how many members hold the revision */
} admin_job_t;

static void confirm_read(admin_job_t *);

static void
job_respond(admin_job_t *job, const err_t *err, json_t *body)
{
	admin_response_t *response = calloc(1, sizeof(*response));

	if (response != NULL) {
		response->tag = job->command->tag;
		response->body = body;
		if (err != NULL)
			response->err = *err;
		task_post(job->registry->subscribers.front_task,
		    job->registry->subscribers.admin_kind, response,
		    admin_response_free);
	} else {
		json_decref(body);
	}
	admin_command_free(job->command);
	json_decref(job->plan);
	free(job->text);
	free(job);
}

static void
job_fail(admin_job_t *job, err_code_t code, const char *detail)
{
	err_t err;

	err_set(&err, code, "%s", detail);
	job_respond(job, &err, NULL);
}

static void
job_schedule(admin_job_t *job, int64_t ms, event_callback_fn callback)
{
	struct timeval delay = {ms / 1000, ms % 1000 * 1000};

	event_base_once(
	    job->registry->process.base, -1, EV_TIMEOUT, callback, job, &delay);
}

/* --- plan ------------------------------------------------------------- */

static void
plan_stored(void *arg, store_result_t result, const json_t *response)
{
	admin_job_t *job = arg;

	(void)response;
	/* A missing response does no harm: the confirmation reads the plan from
	 * the store. */
	if (result != STORE_OK) {
		job_fail(job, ERR_STORE,
		    "the plan was not stored; request it again");
		return;
	}
	timeline_add(job->registry->process.timeline, EVENT_PLAN_MADE,
	    json_string_value(json_object_get(job->plan, "id")),
	    "base %" PRIu64 " by %.20s", job->registry->config->revision,
	    job->command->operator_name);
	job_respond(job, NULL, json_incref(job->plan));
}

static void
plan_start(admin_job_t *job)
{
	char key[KEY_SIZE];
	char *text;
	err_t err;

	job->plan = plan_compute(job->registry->config, job->command->intent,
	    job->command->operator_name, &err);
	if (job->plan == NULL) {
		job_respond(job, &err, NULL);
		return;
	}
	snprintf(key, sizeof(key), "plan/%s",
	    json_string_value(json_object_get(job->plan, "id")));
	text = json_dumps(job->plan, JSON_COMPACT);
	if (text == NULL ||
	    !store_txn(job->registry->store, json_array(),
		json_pack("[o]", store_row_new(key, text)), plan_stored, job))
		job_fail(job, ERR_MEMORY, "out of memory");
	free(text);
}

/* --- confirm ---------------------------------------------------------- */

static uint32_t
in_force_count(const registry_t *registry, uint64_t number)
{
	uint32_t count = registry->config->revision >= number ? 1 : 0;

	for (handle_t h = 0; h < registry->members->rows.len; h++)
		count += members_at(registry->members, h)->revision >= number;
	return count;
}

static void
in_force_check(evutil_socket_t fd, short what, void *arg)
{
	admin_job_t *job = arg;
	registry_t *registry = job->registry;
	uint32_t members = registry->members->rows.len + 1;
	uint32_t in_force = in_force_count(registry, job->number);

	(void)fd;
	(void)what;
	if (in_force < members && ++job->checks < IN_FORCE_CHECKS_MAX) {
		job_schedule(job, IN_FORCE_CHECK_MS, in_force_check);
		return;
	}
	job_respond(job, NULL,
	    json_pack("{s:s,s:I,s:i,s:i}", "plan", job->command->plan_id,
		"revision", (json_int_t)job->number, "in_force", (int)in_force,
		"members", (int)members));
}

static void
confirm_complete(admin_job_t *job, uint64_t number)
{
	registry_t *registry = job->registry;

	job->number = number;
	timeline_add(registry->process.timeline, EVENT_PLAN_CONFIRMED,
	    job->command->plan_id, "revision %" PRIu64, number);
	/* Peers learn of the revision from the heartbeat and query its row. */
	registry_heartbeat(registry);
	registry_head_read(registry);
	in_force_check(-1, 0, job);
}

static void
confirm_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	confirm_read(arg);
}

static void
confirm_retry_schedule(admin_job_t *job)
{
	if (++job->tries >= CONFIRM_TRIES_MAX) {
		job_fail(job, ERR_STORE,
		    "the store is unavailable: it is unknown whether the plan "
		    "is in force; it is safe to confirm it again");
		return;
	}
	job_schedule(job, CONFIRM_RETRY_MS, confirm_retry);
}

static json_t *
revision_json(admin_job_t *job)
{
	return json_pack("{s:s,s:s,s:s,s:I,s:O}", "plan", job->command->plan_id,
	    "operator", job->command->operator_name, "planned_by",
	    json_string_value(json_object_get(job->plan, "operator")), "at_ms",
	    (json_int_t)timespec_to_ms(
		clock_wall(job->registry->process.clock)),
	    "intent", json_object_get(job->plan, "intent"));
}

static void
confirm_written(void *arg, store_result_t result, const json_t *response)
{
	admin_job_t *job = arg;

	(void)response;
	if (result != STORE_OK) {
		/* No response, or another write came first: reads the table
		 * to find out. */
		confirm_retry_schedule(job);
		return;
	}
	registry_revision_apply(job->registry, job->number, job->text);
	if (job->number % SNAPSHOT_INTERVAL == 0)
		registry_snapshot_write(job->registry);
	confirm_complete(job, job->number);
}

static void
confirm_write(admin_job_t *job, uint64_t head)
{
	char base[NUMBER_SIZE];
	char next[NUMBER_SIZE];
	char row_key[KEY_SIZE];
	char done_key[KEY_SIZE];
	json_t *row = revision_json(job);

	free(job->text);
	job->text = json_dumps(row, JSON_COMPACT);
	json_decref(row);
	job->number = head + 1;
	snprintf(base, sizeof(base), "%" PRIu64, head);
	snprintf(next, sizeof(next), "%" PRIu64, job->number);
	snprintf(row_key, sizeof(row_key), REVISION_KEY_FORMAT, job->number);
	snprintf(
	    done_key, sizeof(done_key), "done/%.40s", job->command->plan_id);
	if (job->text == NULL ||
	    !store_txn(job->registry->store,
		json_pack("[o,o]",
		    store_row_new("head", head > 0 ? base : NULL),
		    store_row_new(done_key, NULL)),
		json_pack("[o,o,o]", store_row_new("head", next),
		    store_row_new(row_key, job->text),
		    store_row_new(done_key, next)),
		confirm_written, job))
		job_fail(job, ERR_MEMORY, "out of memory");
}

static void
conflict_read(void *arg, store_result_t result, const json_t *response)
{
	admin_job_t *job = arg;
	err_t err;

	timeline_add(job->registry->process.timeline, EVENT_PLAN_REFUSED,
	    job->command->plan_id, "conflict");
	err_set(&err, ERR_CONFLICT,
	    "the configuration has changed since this plan was made; "
	    "see \"changed\" and make a new plan");
	job_respond(job, &err,
	    result == STORE_OK ? json_pack("{s:O}", "changed",
				     json_object_get(response, "rows"))
			       : NULL);
}

static void
conflict_respond(admin_job_t *job, uint64_t base)
{
	char after[KEY_SIZE];

	snprintf(after, sizeof(after), REVISION_KEY_FORMAT, base);
	if (!store_scan(
		job->registry->store, "rev/", after, conflict_read, job))
		job_fail(job, ERR_MEMORY, "out of memory");
}

static void
confirm_decide(admin_job_t *job, const json_t *response)
{
	char key[KEY_SIZE];
	const char *head_text = store_response_value(response, "head");
	uint64_t head = head_text != NULL ? strtoull(head_text, NULL, 10) : 0;
	uint64_t base;
	const char *done;
	const char *plan;

	snprintf(key, sizeof(key), "done/%.40s", job->command->plan_id);
	done = store_response_value(response, key);
	if (done != NULL) {
		registry_revisions_read(job->registry);
		confirm_complete(job, strtoull(done, NULL, 10));
		return;
	}
	snprintf(key, sizeof(key), "plan/%.40s", job->command->plan_id);
	plan = store_response_value(response, key);
	json_decref(job->plan);
	job->plan = plan != NULL ? json_loads(plan, 0, NULL) : NULL;
	if (job->plan == NULL) {
		job_fail(job, ERR_NOT_FOUND, "there is no plan with this id");
		return;
	}
	base = (uint64_t)json_integer_value(json_object_get(job->plan, "base"));
	if (base != head)
		conflict_respond(job, base);
	else
		confirm_write(job, head);
}

static void
confirm_read_done(void *arg, store_result_t result, const json_t *response)
{
	admin_job_t *job = arg;

	if (result != STORE_OK)
		confirm_retry_schedule(job);
	else
		confirm_decide(job, response);
}

static void
confirm_read(admin_job_t *job)
{
	char plan_key[KEY_SIZE];
	char done_key[KEY_SIZE];
	json_t *keys;

	snprintf(
	    plan_key, sizeof(plan_key), "plan/%.40s", job->command->plan_id);
	snprintf(
	    done_key, sizeof(done_key), "done/%.40s", job->command->plan_id);
	keys = json_pack("[s,s,s]", "head", plan_key, done_key);
	if (!store_get(job->registry->store, keys, confirm_read_done, job))
		job_fail(job, ERR_MEMORY, "out of memory");
}

static void
confirm_start(admin_job_t *job)
{
	registry_t *registry = job->registry;

	/* See freshness.h: unless half of the members respond, the change might
	 * not come into force in time. */
	if (!freshness_half_responded(&registry->freshness,
		clock_boottime(registry->process.clock))) {
		job_fail(job, ERR_PEERS_UNAVAILABLE,
		    "fewer than half of the members respond to this daemon; "
		    "confirm through another entry");
		return;
	}
	confirm_read(job);
}

/* --- show, status, history -------------------------------------------- */

static void
plan_read(void *arg, store_result_t result, const json_t *response)
{
	admin_job_t *job = arg;
	char key[KEY_SIZE];
	const char *text;
	json_t *plan;

	snprintf(key, sizeof(key), "plan/%.40s", job->command->plan_id);
	text = store_response_value(response, key);
	plan = text != NULL ? json_loads(text, 0, NULL) : NULL;
	if (result != STORE_OK)
		job_fail(job, ERR_STORE, "the store is unavailable");
	else if (plan == NULL)
		job_fail(job, ERR_NOT_FOUND, "there is no plan with this id");
	else
		job_respond(job, NULL, plan);
}

static void
show_start(admin_job_t *job)
{
	char key[KEY_SIZE];

	if (*job->command->plan_id == '\0') {
		job_respond(job, NULL,
		    json_pack("{s:I,s:O}", "revision",
			(json_int_t)job->registry->config->revision, "document",
			job->registry->config->document));
		return;
	}
	snprintf(key, sizeof(key), "plan/%.40s", job->command->plan_id);
	if (!store_get(
		job->registry->store, json_pack("[s]", key), plan_read, job))
		job_fail(job, ERR_MEMORY, "out of memory");
}

static json_t *
member_status(const registry_t *registry, const member_t *member)
{
	struct timespec now = clock_boottime(registry->process.clock);

	return json_pack("{s:s,s:s,s:I,s:b,s:b,s:I}", "entry",
	    member->http_address, "place", member->place, "revision",
	    (json_int_t)member->revision, "answers", member->responsive,
	    "draining", member->draining, "heard_ms_ago",
	    (json_int_t)timespec_ms_between(member->last_response_at, now));
}

static void
status_start(admin_job_t *job)
{
	registry_t *registry = job->registry;
	struct timespec now = clock_boottime(registry->process.clock);
	json_t *entries = json_array();

	for (handle_t h = 0; h < registry->members->rows.len; h++)
		json_array_append_new(entries,
		    member_status(registry, members_at(registry->members, h)));
	json_array_append_new(entries,
	    json_pack("{s:s,s:s,s:I,s:b,s:b,s:I}", "entry",
		registry->options->listen, "place", registry->options->place,
		"revision", (json_int_t)registry->config->revision, "answers",
		1, "draining", registry->leaving, "heard_ms_ago",
		(json_int_t)0));
	job_respond(job, NULL,
	    json_pack("{s:I,s:I,s:i,s:i,s:b,s:I,s:b,s:o}", "accepted",
		(json_int_t)registry->head, "held",
		(json_int_t)registry->config->revision, "in_force",
		(int)in_force_count(registry, registry->head), "members",
		(int)registry->members->rows.len + 1, "fresh",
		timespec_ms_between(
		    now, freshness_expires_at(&registry->freshness)) > 0,
		"fresh_ms",
		(json_int_t)timespec_ms_between(
		    now, freshness_expires_at(&registry->freshness)),
		"store_lost", registry->store_unavailable, "entries", entries));
}

static void
history_read(void *arg, store_result_t result, const json_t *response)
{
	admin_job_t *job = arg;
	json_t *list;
	json_t *row;
	size_t i;

	if (result != STORE_OK) {
		job_fail(job, ERR_STORE, "the store is unavailable");
		return;
	}
	list = json_array();
	json_array_foreach(json_object_get(response, "rows"), i, row)
	{
		uint64_t number = 0;
		json_t *revision = json_loads(
		    json_string_value(json_array_get(row, 1)), 0, NULL);

		sscanf(json_string_value(json_array_get(row, 0)),
		    "rev/%" SCNu64, &number);
		json_object_set_new(
		    revision, "revision", json_integer((json_int_t)number));
		json_array_append_new(list, revision);
	}
	job_respond(job, NULL, json_pack("{s:o}", "revisions", list));
}

static void
history_start(admin_job_t *job)
{
	char after[KEY_SIZE];

	snprintf(after, sizeof(after), REVISION_KEY_FORMAT,
	    job->command->after_revision);
	if (!store_scan(job->registry->store, "rev/", after, history_read, job))
		job_fail(job, ERR_MEMORY, "out of memory");
}

void
registry_admin_handle(registry_t *registry, admin_command_t *command)
{
	admin_job_t *job = calloc(1, sizeof(*job));

	if (job == NULL) {
		admin_command_free(command);
		return;
	}
	job->registry = registry;
	job->command = command;
	switch (command->action) {
	case ADMIN_PLAN:
		plan_start(job);
		break;
	case ADMIN_SHOW:
		show_start(job);
		break;
	case ADMIN_CONFIRM:
		confirm_start(job);
		break;
	case ADMIN_STATUS:
		status_start(job);
		break;
	case ADMIN_HISTORY:
		history_start(job);
		break;
	}
}
