#include "admission_model.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* The relay sends a request again that an endpoint refused as full. */
#define FULL_RETRIES 1
/* Until the others notice that a daemon has died. */
#define DEATH_NOTICED_MS 3000

typedef struct job {
	wait_entry_t entry; /**< first: a waiting entry is its job */
	struct job *prev;
	struct job *next;
	int organisation;
	int daemon;
	int born_ms;
	int ends_ms;
	int retries; /**< of the caller */
	int resends; /**< of the relay */
} job_t;

static struct world {
	model_t *model;
	int now_ms;
	int busy_ms; /**< last time that half of the slots were busy */
	uint64_t random;
	double next_ms[MODEL_ORGANISATIONS];
	job_t *retrying;
	struct {
		service_admission_t admission;
		wait_queue_t queue;
		int load[MODEL_ENDPOINTS_MAX]; /**< as last reported */
	} daemons[MODEL_DAEMONS_MAX];
	struct {
		job_t *running;
		job_t *waiting;
		int running_count;
		int waiting_count;
	} endpoints[MODEL_ENDPOINTS_MAX];
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
random_from(int first, int end)
{
	return first + (int)(random_next() * (end - first));
}

/* Counts an outcome of a request of the burst. */
static void
count(const job_t *job, int *counter)
{
	if (job->born_ms >= MODEL_BURST_MS && job->born_ms < MODEL_BURST_END_MS)
		(*counter)++;
}

static model_counts_t *
counts_of(const job_t *job)
{
	return &world.model->counts[job->organisation];
}

static int
first_alive(void)
{
	int middle_ms = (MODEL_BURST_MS + MODEL_BURST_END_MS) / 2;

	return world.now_ms < middle_ms ? 0 : world.model->dead_daemons;
}

static void
job_run(job_t *job, int number)
{
	job->ends_ms = world.now_ms + MODEL_WORK_MS;
	DL_APPEND(world.endpoints[number].running, job);
	world.endpoints[number].running_count++;
}

/* Sends to the less loaded of two endpoints, as far as the daemon knows. */
static void
job_send(job_t *job)
{
	int *load = world.daemons[job->daemon].load;
	int a = random_from(0, world.model->endpoints);
	int b = random_from(0, world.model->endpoints);
	int number = load[a] <= load[b] ? a : b;

	load[number]++;
	world.model->admitted[world.now_ms / MODEL_STEP_MS]++;
	if (world.endpoints[number].running_count < MODEL_SLOTS) {
		job_run(job, number);
		return;
	}
	if (world.endpoints[number].waiting_count < MODEL_QUEUE_MAX) {
		DL_APPEND(world.endpoints[number].waiting, job);
		world.endpoints[number].waiting_count++;
		return;
	}
	load[number] = MODEL_SLOTS + MODEL_QUEUE_MAX;
	service_admission_observe_refusal(
	    &world.daemons[job->daemon].admission, world.now_ms);
	if (job->resends++ < FULL_RETRIES) {
		DL_APPEND(world.retrying, job);
		return;
	}
	count(job, &counts_of(job)->full);
	free(job);
}

static void
job_refuse(job_t *job)
{
	model_t *model = world.model;
	bool half_free = world.now_ms - world.busy_ms > 1;

	model->refused_while_free += half_free;
	model->refused_told += half_free &&
	    world.daemons[job->daemon].admission.observed_ms > world.busy_ms;
	model->refusals[world.now_ms / MODEL_STEP_MS]++;
	count(job, &counts_of(job)->refused);
	if (world.now_ms - job->entry.added_ms > MODEL_OBJECTIVE_MS / 10)
		count(job, &counts_of(job)->refused_slow);
	if (job->organisation == 0 && job->retries++ < model->retries) {
		job->daemon = random_from(first_alive(), model->daemons);
		job->resends = 0;
		DL_APPEND(world.retrying, job);
		return;
	}
	free(job);
}

static void
job_arrive(job_t *job)
{
	int64_t now_ms = world.now_ms;
	admission_decision_t decision;

	job->entry = (wait_entry_t){.added_ms = now_ms,
	    .request = {.organisation = 1000 + (uint64_t)job->organisation,
		.rank = world.model->rank[job->organisation],
		.cost_ms = MODEL_WORK_MS,
		.objective_ms = MODEL_OBJECTIVE_MS,
		.latest_start_ms =
		    job->born_ms + MODEL_OBJECTIVE_MS - MODEL_WORK_MS}};
	decision = service_admission_decide(
	    &world.daemons[job->daemon].admission, &job->entry.request, now_ms);
	world.model->held += decision.verdict != ADMISSION_SEND;
	if (decision.verdict == ADMISSION_SEND)
		job_send(job);
	else if (decision.verdict == ADMISSION_REFUSE ||
	    !wait_queue_add(
		&world.daemons[job->daemon].queue, &job->entry, now_ms))
		job_refuse(job);
}

static void
organisation_step(int organisation)
{
	model_t *model = world.model;
	double *next_ms = &world.next_ms[organisation];
	double per_s = model->per_s[organisation];

	if (world.now_ms >= MODEL_BURST_MS && world.now_ms < MODEL_BURST_END_MS)
		per_s *= model->factor[organisation];
	for (; *next_ms <= world.now_ms;
	     *next_ms -= log(1 - random_next()) * 1000 / per_s) {
		job_t *job = calloc(1, sizeof(*job));

		job->organisation = organisation;
		job->born_ms = world.now_ms;
		job->daemon = random_from(first_alive(), model->daemons);
		count(job, &counts_of(job)->sent);
		job_arrive(job);
	}
}

static void
job_complete(job_t *job, int number)
{
	int waiting = world.endpoints[number].waiting_count;
	int running = world.endpoints[number].running_count;

	world.daemons[job->daemon].load[number] = running + waiting;
	service_admission_observe(&world.daemons[job->daemon].admission,
	    (double)waiting * MODEL_WORK_MS / MODEL_SLOTS,
	    (double)running / MODEL_SLOTS, world.now_ms);
	world.model->completed[world.now_ms / MODEL_STEP_MS]++;
	count(job,
	    world.now_ms - job->born_ms <= MODEL_OBJECTIVE_MS
		? &counts_of(job)->in_time
		: &counts_of(job)->late);
	free(job);
}

static int
endpoint_step(int number)
{
	job_t *job;

	while ((job = world.endpoints[number].running) != NULL &&
	    job->ends_ms <= world.now_ms) {
		job_t *next = world.endpoints[number].waiting;

		DL_DELETE(world.endpoints[number].running, job);
		world.endpoints[number].running_count--;
		if (next != NULL) {
			DL_DELETE(world.endpoints[number].waiting, next);
			world.endpoints[number].waiting_count--;
			job_run(next, number);
		}
		job_complete(job, number);
	}
	return world.endpoints[number].running_count;
}

static void
queue_step(wait_queue_t *queue)
{
	wait_entry_t *entry;

	if (queue->count == 0)
		return;
	while ((entry = wait_queue_pop(queue, world.now_ms)) != NULL)
		job_send((job_t *)entry);
	while ((entry = wait_queue_pop_late(queue, world.now_ms)) != NULL)
		job_refuse((job_t *)entry);
}

static void
capacity_set(int daemons)
{
	for (int i = 0; i < world.model->daemons; i++)
		service_admission_set_capacity(&world.daemons[i].admission,
		    world.model->endpoints * MODEL_SLOTS * 1000.0,
		    (uint32_t)daemons);
}

static void
world_step(void)
{
	model_t *model = world.model;
	job_t *retrying = world.retrying;
	int busy = 0;

	world.retrying = NULL;
	while (retrying != NULL) {
		job_t *job = retrying;

		DL_DELETE(retrying, job);
		job_arrive(job);
	}
	for (int i = 0; i < MODEL_ORGANISATIONS; i++)
		organisation_step(i);
	for (int i = 0; i < model->endpoints; i++)
		busy += endpoint_step(i);
	if (2 * busy >= model->endpoints * MODEL_SLOTS)
		world.busy_ms = world.now_ms;
	for (int i = 0; i < model->daemons; i++)
		queue_step(&world.daemons[i].queue);
	if (world.now_ms ==
	    (MODEL_BURST_MS + MODEL_BURST_END_MS) / 2 + DEATH_NOTICED_MS)
		capacity_set(model->daemons - model->dead_daemons);
}

static void
jobs_free(job_t *jobs)
{
	job_t *job, *next;

	DL_FOREACH_SAFE(jobs, job, next)
	free(job);
}

/* Frees the requests that are under way at the end. */
static void
world_finish(void)
{
	wait_entry_t *entry;

	jobs_free(world.retrying);
	for (int i = 0; i < world.model->endpoints; i++) {
		jobs_free(world.endpoints[i].running);
		jobs_free(world.endpoints[i].waiting);
	}
	for (int i = 0; i < world.model->daemons; i++) {
		while ((entry = wait_queue_pop_any(&world.daemons[i].queue)) !=
		    NULL)
			free(entry);
	}
}

void
model_run(model_t *model, uint64_t seed)
{
	memset(&world, 0, sizeof(world));
	world.model = model;
	world.random = seed;
	for (int i = 0; i < model->daemons; i++) {
		service_admission_init(&world.daemons[i].admission);
		wait_queue_init(&world.daemons[i].queue,
		    &world.daemons[i].admission, WAIT_QUEUE_MAX_DEFAULT);
	}
	capacity_set(model->daemons);
	for (; world.now_ms < MODEL_END_MS; world.now_ms++)
		world_step();
	world_finish();
}
