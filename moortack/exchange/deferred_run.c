/**
 * @file
 * Runs deferred requests: claims jobs with leases, and ends each one in a
 * single transaction.
 */
#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../front/front_priv.h"
#include "common/log.h"
#include "moortack/exchange/deferred.h"

#define ROW_KEY_SIZE 64
#define POLL_MIN_MS 500
#define POLL_MAX_MS 2000
#define JOBS_MAX 8
#define TRIES_MAX 50
/* Interrupted attempts over all runs of a job: a job that crashes its engines
 * fails before it has crashed all of them. */
#define INTERRUPTED_ATTEMPTS_MAX 3
#define REQUEUE_DELAY_MS 500
#define COMMIT_RETRY_MS 300

/** A job that this daemon has claimed. */
struct deferred_job {
	front_t *front;
	char id[40];
	char *claim; /**< the row as this daemon wrote it; checked at the end */
	json_t *row; /**< the same, parsed */
	json_t *commit_puts; /**< rows that the final transaction writes */
	struct timespec lease_end; /**< by the elapsed clock */
};

static void job_commit(deferred_job_t *);

static void
job_free(deferred_job_t *job)
{
	job->front->jobs_running--;
	json_decref(job->row);
	json_decref(job->commit_puts);
	free(job->claim);
	free(job);
}

static void
job_commit_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	job_commit(arg);
}

static void
job_committed(void *arg, store_result_t result, const json_t *response)
{
	static const struct timeval delay = {0, COMMIT_RETRY_MS * 1000};
	deferred_job_t *job = arg;
	front_t *front = job->front;
	struct timespec now = clock_boottime(front->process.clock);

	(void)response;
	if (result == STORE_OK || result == STORE_CONFLICT) {
		/* A conflict: the lease expired and another daemon claimed the
		 * job, or this write took effect and its response was lost. */
		counter_add(front->process.counters,
		    result == STORE_OK ? COUNTER_DEFERRED_DONE
				       : COUNTER_DEFERRED_CLAIMS_LOST,
		    1);
		job_free(job);
		return;
	}
	if (timespec_ms_between(job->lease_end, now) >= 0) {
		job_free(job);
		return;
	}
	event_base_once(
	    front->process.base, -1, EV_TIMEOUT, job_commit_retry, job, &delay);
}

static void
job_commit(deferred_job_t *job)
{
	char key[ROW_KEY_SIZE];

	snprintf(key, sizeof(key), "defer/%s", job->id);
	if (!store_txn(job->front->store,
		json_pack("[o]", store_row_new(key, job->claim)),
		json_incref(job->commit_puts), job_committed, job))
		job_free(job);
}

static char *
json_dump_release(json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	json_decref(value);
	return text;
}

/* Removes the job from the queue and writes its result and bill, if there is
 * one, in one transaction. */
static void
job_finish(deferred_job_t *job, json_t *result, json_t *bill)
{
	char queue_key[ROW_KEY_SIZE], result_key[ROW_KEY_SIZE],
	    bill_key[ROW_KEY_SIZE];
	char *text;

	snprintf(queue_key, sizeof(queue_key), "defer/%s", job->id);
	snprintf(result_key, sizeof(result_key), "deferred/%s", job->id);
	snprintf(bill_key, sizeof(bill_key), "bill/deferred/%s", job->id);
	json_object_set(
	    result, "organisation", json_object_get(job->row, "organisation"));
	text = json_dump_release(result);
	job->commit_puts = json_pack("[o,o]", store_row_new(queue_key, NULL),
	    store_row_new(result_key, text != NULL ? text : "{}"));
	free(text);
	if (bill != NULL) {
		text = json_dump_release(bill);
		json_array_append_new(
		    job->commit_puts, store_row_new(bill_key, text));
		free(text);
	}
	job_commit(job);
}

void
deferred_completed(exchange_t *exchange, const bill_t *bill)
{
	deferred_job_t *job = exchange->job;
	json_t *response = json_loadb(
	    (const char *)evbuffer_pullup(exchange->response_body, -1),
	    evbuffer_get_length(exchange->response_body), 0, NULL);
	bill_t job_bill = *bill;

	exchange->job = NULL;
	snprintf(job_bill.request, sizeof(job_bill.request), "%s", job->id);
	job_finish(job,
	    json_pack(
		"{s:o,s:s}", "answer", response, "version", exchange->version),
	    json_pack("[o]", bill_json(&job_bill)));
}

/* Returns the job to the queue, where any daemon may claim it after a delay. */
static void
job_requeue(deferred_job_t *job)
{
	char key[ROW_KEY_SIZE];
	json_t *row = json_copy(job->row);
	char *text;

	snprintf(key, sizeof(key), "defer/%s", job->id);
	json_object_set_new(row, "by", json_string(""));
	json_object_set_new(row, "until_ms",
	    json_integer(timespec_to_ms(clock_wall(job->front->process.clock)) +
		REQUEUE_DELAY_MS));
	text = json_dump_release(row);
	job->commit_puts = json_pack("[o]", store_row_new(key, text));
	free(text);
	job_commit(job);
}

static void
job_abandon(deferred_job_t *job, const err_t *err)
{
	job_finish(job,
	    json_pack("{s:{s:s,s:s}}", "failure", "type",
		err_info(err->code)->name, "message", err->detail),
	    NULL);
}

uint32_t
deferred_interrupted_attempts(const deferred_job_t *job)
{
	return (uint32_t)json_integer_value(
	    json_object_get(job->row, "broken"));
}

static bool
failure_is_final(const deferred_job_t *job, err_code_t code)
{
	switch (code) {
	case ERR_BAD_REQUEST:
	case ERR_NOT_ALLOWED:
	case ERR_VERSION_WITHDRAWN:
		return true;
	default:
		return json_integer_value(json_object_get(job->row, "tries")) >=
		    TRIES_MAX ||
		    deferred_interrupted_attempts(job) >=
		    INTERRUPTED_ATTEMPTS_MAX;
	}
}

static void
job_failed(deferred_job_t *job, const err_t *err)
{
	if (failure_is_final(job, err->code))
		job_abandon(job, err);
	else
		job_requeue(job);
}

void
deferred_failed(exchange_t *exchange, const err_t *err)
{
	deferred_job_t *job = exchange->job;

	exchange->job = NULL;
	json_object_set_new(
	    job->row, "broken", json_integer(exchange->interrupted_attempts));
	job_failed(job, err);
}

/* The last third of the lease is left for the transaction that ends the job. */
static int64_t
run_limit_ms(const front_t *front)
{
	return front->options->lease_ms * 2 / 3;
}

static void
job_claimed(void *arg, store_result_t result, const json_t *response)
{
	deferred_job_t *job = arg;
	err_t err;

	(void)response;
	/* If the claim took effect and only the response was lost, its lease
	 * expires. */
	if (result != STORE_OK) {
		job_free(job);
		return;
	}
	if (!exchange_job_start(job->front, job,
		json_string_value(json_object_get(job->row, "organisation")),
		json_object_get(job->row, "body"), run_limit_ms(job->front),
		&err))
		job_failed(job, &err);
}

static void
job_claim(front_t *front, const char *id, const char *text, json_t *row)
{
	char incarnation[INCARNATION_TEXT_SIZE];
	char key[ROW_KEY_SIZE];
	int64_t wall_ms = timespec_to_ms(clock_wall(front->process.clock));
	deferred_job_t *job = calloc(1, sizeof(*job));

	if (job == NULL)
		return;
	front->jobs_running++;
	incarnation_format(front->process.incarnation, incarnation);
	json_object_set_new(row, "by", json_string(incarnation));
	json_object_set_new(
	    row, "until_ms", json_integer(wall_ms + front->options->lease_ms));
	json_object_set_new(row, "tries",
	    json_integer(
		json_integer_value(json_object_get(row, "tries")) + 1));
	job->front = front;
	job->row = json_incref(row);
	job->claim = json_dumps(row, JSON_COMPACT);
	job->lease_end = timespec_add_ms(
	    clock_boottime(front->process.clock), front->options->lease_ms);
	snprintf(job->id, sizeof(job->id), "%.39s", id);
	snprintf(key, sizeof(key), "defer/%s", job->id);
	if (job->claim == NULL ||
	    !store_txn(front->store, json_pack("[o]", store_row_new(key, text)),
		json_pack("[o]", store_row_new(key, job->claim)), job_claimed,
		job))
		job_free(job);
}

static void
row_claim_if_due(front_t *front, const char *text)
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
scan_completed(void *arg, store_result_t result, const json_t *response)
{
	front_t *front = arg;
	const json_t *rows = json_object_get(response, "rows");
	size_t count = json_array_size(rows);
	/* Daemons start at random rows, so that they seldom claim the same job.
	 */
	size_t first =
	    count > 0 ? rng_below(front->process.rng, (uint32_t)count) : 0;

	front->jobs_poll_pending = false;
	if (result != STORE_OK)
		return;
	for (size_t i = 0; i < count && front->jobs_running < JOBS_MAX; i++) {
		const json_t *row = json_array_get(rows, (first + i) % count);

		row_claim_if_due(
		    front, json_string_value(json_array_get(row, 1)));
	}
}

void
deferred_tick(front_t *front)
{
	struct timespec now = clock_boottime(front->process.clock);
	err_t err;

	if (front->jobs_poll_pending || front->draining ||
	    front->jobs_running >= JOBS_MAX ||
	    timespec_ms_between(front->next_jobs_poll_at, now) < 0 ||
	    !front_is_ready(front, &err))
		return;
	front->next_jobs_poll_at = timespec_add_ms(now,
	    POLL_MIN_MS +
		rng_below(front->process.rng, POLL_MAX_MS - POLL_MIN_MS));
	front->jobs_poll_pending =
	    store_scan(front->store, "defer/", "", scan_completed, front);
}
