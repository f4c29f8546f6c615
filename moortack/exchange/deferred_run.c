/**
 * @file
 * Running what was deferred: claims with leases, and the one transaction that
 * ends a job.
 */
#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../front/front_priv.h"
#include "common/log.h"
#include "moortack/exchange/deferred.h"

#define KEY_SIZE 64
#define LOOK_MS 500
#define LOOK_MAX_MS 2000
#define JOBS_MAX 8
#define TRIES_MAX 50
/* Runs that broke off, over all tries: a job that crashes its engines does not
 * go round until none is left. */
#define BROKEN_MAX 3
#define BACK_OFF_MS 500
#define END_RETRY_MS 300

/** A job that this daemon holds. */
struct deferred_job {
	front_t *front;
	char id[40];
	char *claim;	       /**< the row as this daemon wrote it */
	json_t *row;	       /**< the same, parsed */
	json_t *end_puts;      /**< the transaction that ends it */
	struct timespec until; /**< of the lease, by the elapsed clock */
};

static void job_end_write(deferred_job_t *);

static void
job_free(deferred_job_t *job)
{
	job->front->jobs--;
	json_decref(job->row);
	json_decref(job->end_puts);
	free(job->claim);
	free(job);
}

static void
job_end_again(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	job_end_write(arg);
}

static void
job_ended(void *arg, store_result_t result, const json_t *reply)
{
	static const struct timeval wait = {0, END_RETRY_MS * 1000};
	deferred_job_t *job = arg;
	front_t *front = job->front;
	struct timespec now = clock_boottime(front->process.clock);

	(void)reply;
	if (result == STORE_OK || result == STORE_CONFLICT) {
		/* A conflict: the lease lapsed and another took it over, or
		 * this very write took effect and its reply was lost. */
		counter_add(front->process.counters,
		    result == STORE_OK ? COUNTER_DEFERRED_DONE
				       : COUNTER_DEFERRED_CLAIMS_LOST,
		    1);
		job_free(job);
		return;
	}
	if (timespec_ms_between(job->until, now) >= 0) {
		job_free(job);
		return;
	}
	event_base_once(
	    front->process.base, -1, EV_TIMEOUT, job_end_again, job, &wait);
}

static void
job_end_write(deferred_job_t *job)
{
	char key[KEY_SIZE];

	snprintf(key, sizeof(key), "defer/%s", job->id);
	if (!store_txn(job->front->store,
		json_pack("[o]", store_row(key, job->claim)),
		json_incref(job->end_puts), job_ended, job))
		job_free(job);
}

static char *
json_text(json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	json_decref(value);
	return text;
}

/* Out of the queue, the result in its place, and the bill with it. */
static void
job_finish(deferred_job_t *job, json_t *result, json_t *bill)
{
	char queue_key[KEY_SIZE], done_key[KEY_SIZE], bill_key[KEY_SIZE];
	char *text;

	snprintf(queue_key, sizeof(queue_key), "defer/%s", job->id);
	snprintf(done_key, sizeof(done_key), "deferred/%s", job->id);
	snprintf(bill_key, sizeof(bill_key), "bill/deferred/%s", job->id);
	json_object_set(
	    result, "organisation", json_object_get(job->row, "organisation"));
	text = json_text(result);
	job->end_puts = json_pack("[o,o]", store_row(queue_key, NULL),
	    store_row(done_key, text != NULL ? text : "{}"));
	free(text);
	if (bill != NULL) {
		text = json_text(bill);
		json_array_append_new(job->end_puts, store_row(bill_key, text));
		free(text);
	}
	job_end_write(job);
}

void
deferred_done(exchange_t *exchange, const bill_t *bill)
{
	deferred_job_t *job = exchange->job;
	json_t *answer =
	    json_loadb((const char *)evbuffer_pullup(exchange->answer, -1),
		evbuffer_get_length(exchange->answer), 0, NULL);
	bill_t named = *bill;

	exchange->job = NULL;
	snprintf(named.request, sizeof(named.request), "%s", job->id);
	job_finish(job,
	    json_pack(
		"{s:o,s:s}", "answer", answer, "version", exchange->version),
	    json_pack("[o]", bill_json(&named)));
}

/* Back into the queue, for any daemon, after a while. */
static void
job_put_back(deferred_job_t *job)
{
	char key[KEY_SIZE];
	json_t *row = json_copy(job->row);
	char *text;

	snprintf(key, sizeof(key), "defer/%s", job->id);
	json_object_set_new(row, "by", json_string(""));
	json_object_set_new(row, "until_ms",
	    json_integer(timespec_to_ms(clock_wall(job->front->process.clock)) +
		BACK_OFF_MS));
	text = json_text(row);
	job->end_puts = json_pack("[o]", store_row(key, text));
	free(text);
	job_end_write(job);
}

static void
job_give_up(deferred_job_t *job, const err_t *err)
{
	job_finish(job,
	    json_pack("{s:{s:s,s:s}}", "failure", "type",
		err_info(err->code)->name, "message", err->detail),
	    NULL);
}

uint32_t
deferred_broken(const deferred_job_t *job)
{
	return (uint32_t)json_integer_value(
	    json_object_get(job->row, "broken"));
}

static bool
final_failure(const deferred_job_t *job, err_code_t code)
{
	switch (code) {
	case ERR_BAD_REQUEST:
	case ERR_NOT_ALLOWED:
	case ERR_VERSION_WITHDRAWN:
		return true;
	default:
		return json_integer_value(json_object_get(job->row, "tries")) >=
		    TRIES_MAX ||
		    deferred_broken(job) >= BROKEN_MAX;
	}
}

static void
job_failed(deferred_job_t *job, const err_t *err)
{
	if (final_failure(job, err->code))
		job_give_up(job, err);
	else
		job_put_back(job);
}

void
deferred_failed(exchange_t *exchange, const err_t *err)
{
	deferred_job_t *job = exchange->job;

	exchange->job = NULL;
	json_object_set_new(job->row, "broken", json_integer(exchange->broken));
	job_failed(job, err);
}

/* The rest of the lease is for ending the job. */
static int64_t
run_ms(const front_t *front)
{
	return front->options->lease_ms * 2 / 3;
}

static void
job_claimed(void *arg, store_result_t result, const json_t *reply)
{
	deferred_job_t *job = arg;
	err_t err;

	(void)reply;
	/* A lost reply may have claimed it: its lease lapses by itself. */
	if (result != STORE_OK) {
		job_free(job);
		return;
	}
	if (!exchange_job_begin(job->front, job,
		json_string_value(json_object_get(job->row, "organisation")),
		json_object_get(job->row, "body"), run_ms(job->front), &err))
		job_failed(job, &err);
}

static void
job_claim(front_t *front, const char *id, const char *text, json_t *row)
{
	char incarnation[INCARNATION_TEXT_SIZE];
	char key[KEY_SIZE];
	int64_t wall_ms = timespec_to_ms(clock_wall(front->process.clock));
	deferred_job_t *job = calloc(1, sizeof(*job));

	if (job == NULL)
		return;
	front->jobs++;
	incarnation_text(front->process.incarnation, incarnation);
	json_object_set_new(row, "by", json_string(incarnation));
	json_object_set_new(
	    row, "until_ms", json_integer(wall_ms + front->options->lease_ms));
	json_object_set_new(row, "tries",
	    json_integer(
		json_integer_value(json_object_get(row, "tries")) + 1));
	job->front = front;
	job->row = json_incref(row);
	job->claim = json_dumps(row, JSON_COMPACT);
	job->until = timespec_add_ms(
	    clock_boottime(front->process.clock), front->options->lease_ms);
	snprintf(job->id, sizeof(job->id), "%.39s", id);
	snprintf(key, sizeof(key), "defer/%s", job->id);
	if (job->claim == NULL ||
	    !store_txn(front->store, json_pack("[o]", store_row(key, text)),
		json_pack("[o]", store_row(key, job->claim)), job_claimed, job))
		job_free(job);
}

static void
row_look(front_t *front, const char *text)
{
	json_t *row = json_loads(text, 0, NULL);
	int64_t wall_ms = timespec_to_ms(clock_wall(front->process.clock));
	const char *id = json_string_value(json_object_get(row, "id"));

	if (id != NULL &&
	    json_integer_value(json_object_get(row, "until_ms")) <= wall_ms)
		job_claim(front, id, text, row);
	json_decref(row);
}

static void
looked(void *arg, store_result_t result, const json_t *reply)
{
	front_t *front = arg;
	const json_t *rows = json_object_get(reply, "rows");
	size_t count = json_array_size(rows);
	/* Daemons begin at different rows, so that they seldom meet. */
	size_t first =
	    count > 0 ? rng_below(front->process.rng, (uint32_t)count) : 0;

	front->jobs_looking = false;
	if (result != STORE_OK)
		return;
	for (size_t i = 0; i < count && front->jobs < JOBS_MAX; i++) {
		const json_t *row = json_array_get(rows, (first + i) % count);

		row_look(front, json_string_value(json_array_get(row, 1)));
	}
}

void
deferred_tick(front_t *front)
{
	struct timespec now = clock_boottime(front->process.clock);
	err_t err;

	if (front->jobs_looking || front->draining || front->jobs >= JOBS_MAX ||
	    timespec_ms_between(front->jobs_looked_at, now) < 0 ||
	    !front_may_work(front, &err))
		return;
	front->jobs_looked_at = timespec_add_ms(now,
	    LOOK_MS + rng_below(front->process.rng, LOOK_MAX_MS - LOOK_MS));
	front->jobs_looking =
	    store_scan(front->store, "defer/", "", looked, front);
}
