#include "admission_model.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define FULL_RETRIES 1

typedef struct job {
	wait_entry_t entry; /**< first: a waiting entry is its job */
	struct job *prev;
	struct job *next;
	int organisation;
	int daemon;
	int born_ms;
	int tries;
	int sends; /**< that an endpoint refused */
	int ends_ms;
} job_t;

typedef struct daemon {
	service_admission_t admission;
	wait_queue_t queue;
	int load[MODEL_ENDPOINTS_MAX]; /**< last reported */
	bool dead;
} daemon_t;

typedef struct endpoint {
	job_t *running;
	job_t *waiting;
	int running_count;
	int waiting_count;
} endpoint_t;

static struct world {
	model_t *model;
	int now_ms;
	uint64_t random;
	daemon_t daemons[MODEL_DAEMONS_MAX];
	endpoint_t endpoints[MODEL_ENDPOINTS_MAX];
	double next_ms[MODEL_ORGANISATIONS];
	job_t *retrying;
} world;

static double
random_next(void)
{
	uint64_t x = world.random += UINT64_C(0x9e3779b97f4a7c15);

	x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
	return (double)((x ^ (x >> 31)) >> 11) / (double)(UINT64_C(1) << 53);
}

static int
random_below(int limit)
{
	return (int)(random_next() * limit);
}

static bool
is_measured(const job_t *job)
{
	return job->born_ms >= world.model->measure_from_ms &&
	    job->born_ms < world.model->measure_to_ms;
}

/* Load figures of an endpoint reach the daemon of a job that ends there. */
static void
report(const job_t *job, int number)
{
	const endpoint_t *endpoint = &world.endpoints[number];
	daemon_t *daemon = &world.daemons[job->daemon];

	daemon->load[number] =
	    endpoint->running_count + endpoint->waiting_count;
	service_admission_observe(&daemon->admission,
	    (double)endpoint->waiting_count * MODEL_WORK_MS / MODEL_SLOTS,
	    (double)endpoint->running_count / MODEL_SLOTS, world.now_ms);
}

static void
job_send(job_t *job)
{
	daemon_t *daemon = &world.daemons[job->daemon];
	int a = random_below(world.model->endpoints);
	int b = random_below(world.model->endpoints);
	int number = daemon->load[a] <= daemon->load[b] ? a : b;
	endpoint_t *endpoint = &world.endpoints[number];

	daemon->load[number]++;
	if (endpoint->running_count < MODEL_SLOTS) {
		job->ends_ms = world.now_ms + MODEL_WORK_MS;
		endpoint->running_count++;
		DL_APPEND(endpoint->running, job);
	} else if (endpoint->waiting_count < MODEL_QUEUE_MAX) {
		endpoint->waiting_count++;
		DL_APPEND(endpoint->waiting, job);
	} else {
		daemon->load[number] = MODEL_SLOTS + MODEL_QUEUE_MAX;
		world.model->full[world.now_ms / 100]++;
		service_admission_observe_refusal(
		    &daemon->admission, world.now_ms);
		/* The relay retries what has not run; this is decided again. */
		if (job->sends++ < FULL_RETRIES) {
			DL_APPEND(world.retrying, job);
			return;
		}
		if (is_measured(job))
			world.model->counts[job->organisation].full++;
		free(job);
	}
}

static void
job_refuse(job_t *job)
{
	model_t *model = world.model;
	model_counts_t *counts = &model->counts[job->organisation];
	int busy = 0;

	for (int i = 0; i < model->endpoints; i++)
		busy += world.endpoints[i].running_count;
	model->refused_while_free += 2 * busy < model->endpoints * MODEL_SLOTS;
	model->refusals[world.now_ms / 100]++;
	if (is_measured(job)) {
		counts->refused++;
		counts->refused_slow += world.now_ms - job->entry.added_ms >
		    MODEL_OBJECTIVE_MS / 10;
	}
	if (job->organisation == 0 && job->tries++ < model->retries) {
		job->daemon = random_below(model->daemons);
		job->sends = 0;
		DL_APPEND(world.retrying, job);
		return;
	}
	free(job);
}

static void
job_arrive(job_t *job)
{
	daemon_t *daemon = &world.daemons[job->daemon];
	admission_decision_t decision;

	job->entry = (wait_entry_t){.added_ms = world.now_ms,
	    .request = {.organisation = 1000 + (uint64_t)job->organisation,
		.rank = world.model->rank[job->organisation],
		.cost_ms = MODEL_WORK_MS,
		.objective_ms = MODEL_OBJECTIVE_MS,
		.latest_start_ms =
		    job->born_ms + MODEL_OBJECTIVE_MS - MODEL_WORK_MS}};
	decision = service_admission_decide(
	    &daemon->admission, &job->entry.request, world.now_ms);
	if (is_measured(job))
		world.model->counts[job->organisation]
		    .reasons[decision.reason]++;
	world.model->held += decision.verdict != ADMISSION_SEND;
	if (decision.verdict == ADMISSION_SEND)
		job_send(job);
	else if (decision.verdict == ADMISSION_REFUSE ||
	    !wait_queue_add(&daemon->queue, &job->entry, world.now_ms))
		job_refuse(job);
}

static void
organisation_step(int organisation)
{
	model_t *model = world.model;
	bool burst = world.now_ms >= model->burst_from_ms &&
	    world.now_ms < model->burst_to_ms;
	double per_s = model->per_s[organisation] *
	    (burst ? model->factor[organisation] : 1);
	double *next_ms = &world.next_ms[organisation];

	if (per_s <= 0)
		return;
	for (; *next_ms <= world.now_ms;
	     *next_ms -= log(1 - random_next()) * 1000 / per_s) {
		job_t *job = calloc(1, sizeof(*job));

		job->organisation = organisation;
		job->born_ms = world.now_ms;
		do {
			job->daemon = random_below(model->daemons);
		} while (world.daemons[job->daemon].dead);
		if (is_measured(job))
			model->counts[organisation].sent++;
		job_arrive(job);
	}
}

static void
endpoint_step(int number)
{
	endpoint_t *endpoint = &world.endpoints[number];
	model_t *model = world.model;

	while (endpoint->running != NULL &&
	    endpoint->running->ends_ms <= world.now_ms) {
		job_t *job = endpoint->running;
		job_t *next = endpoint->waiting;
		model_counts_t *counts = &model->counts[job->organisation];

		DL_DELETE(endpoint->running, job);
		endpoint->running_count--;
		if (next != NULL) {
			DL_DELETE(endpoint->waiting, next);
			endpoint->waiting_count--;
			next->ends_ms = world.now_ms + MODEL_WORK_MS;
			DL_APPEND(endpoint->running, next);
			endpoint->running_count++;
		}
		report(job, number);
		model->completed[world.now_ms / 100]++;
		if (is_measured(job)) {
			if (world.now_ms - job->born_ms <= MODEL_OBJECTIVE_MS)
				counts->in_time++;
			else
				counts->late++;
		}
		free(job);
	}
}

static void
daemon_step(daemon_t *daemon)
{
	wait_entry_t *entry;

	if (daemon->queue.count == 0)
		return;
	while ((entry = wait_queue_pop(&daemon->queue, world.now_ms)) != NULL)
		job_send((job_t *)entry);
	while (
	    (entry = wait_queue_pop_late(&daemon->queue, world.now_ms)) != NULL)
		job_refuse((job_t *)entry);
}

static void
daemons_die(void)
{
	model_t *model = world.model;
	int middle_ms = (model->burst_from_ms + model->burst_to_ms) / 2;
	bool known = world.now_ms == middle_ms + 3000;

	if (model->dead_daemons == 0)
		return;
	for (int i = 0; i < model->daemons; i++) {
		if (world.now_ms == middle_ms && i < model->dead_daemons)
			world.daemons[i].dead = true;
		if (known)
			service_admission_set_capacity(
			    &world.daemons[i].admission,
			    model->endpoints * MODEL_SLOTS * 1000.0,
			    (uint32_t)(model->daemons - model->dead_daemons));
	}
}

static void
rates_sample(void)
{
	model_t *model = world.model;

	for (int i = 0; i < model->daemons; i++) {
		const service_admission_t *admission =
		    &world.daemons[i].admission;

		if (service_admission_is_crowded(admission, world.now_ms))
			model->rates[world.now_ms / 100] +=
			    admission->rate_ms_per_s /
			    (model->endpoints * MODEL_SLOTS * 1000.0);
	}
}

void
model_run(model_t *model, uint64_t seed)
{
	memset(&world, 0, sizeof(world));
	world.model = model;
	world.random = seed;
	for (int i = 0; i < model->daemons; i++) {
		daemon_t *daemon = &world.daemons[i];

		service_admission_init(&daemon->admission);
		service_admission_set_capacity(&daemon->admission,
		    model->endpoints * MODEL_SLOTS * 1000.0,
		    (uint32_t)model->daemons);
		service_admission_observe_service_ms(
		    &daemon->admission, MODEL_WORK_MS, 0);
		wait_queue_init(
		    &daemon->queue, &daemon->admission, WAIT_QUEUE_MAX_DEFAULT);
	}
	for (; world.now_ms < model->end_ms; world.now_ms++) {
		job_t *retrying = world.retrying;

		world.retrying = NULL;
		while (retrying != NULL) {
			job_t *job = retrying;

			DL_DELETE(retrying, job);
			job_arrive(job);
		}
		for (int i = 0; i < MODEL_ORGANISATIONS; i++)
			organisation_step(i);
		for (int i = 0; i < model->endpoints; i++)
			endpoint_step(i);
		for (int i = 0; i < model->daemons; i++)
			daemon_step(&world.daemons[i]);
		daemons_die();
		if (world.now_ms % 100 == 0)
			rates_sample();
	}
}
