#include "moortack/route/learn.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
learn_init(learn_t *learn)
{
	guard_init(&learn->guard);
	table_init(&learn->cascades, sizeof(learn_cascade_t));
	learn->recent_count = 0;
}

void
learn_finish(learn_t *learn)
{
	guard_finish(&learn->guard);
	table_finish(&learn->cascades);
}

static bool
model_usable(
    const config_t *config, const organisation_t *organisation, handle_t model)
{
	if (config_model_at(config, model)->kind != MODEL_ENGINE)
		return false;
	for (handle_t v = 0; v < config->versions.len; v++) {
		const version_t *version = config_version_at(config, v);

		if (version->model == model &&
		    organisation_allows_version(organisation, v) &&
		    (version->state == VERSION_LIVE ||
			version->state == VERSION_ROLLING))
			return true;
	}
	return false;
}

/* The usable models, from the cheapest on. */
static int
models_list(
    const config_t *config, const organisation_t *organisation, handle_t *out)
{
	int count = 0;

	for (handle_t m = 0; m < config->models.len; m++) {
		int at = count;

		if (!model_usable(config, organisation, m) ||
		    count == CASCADE_MODELS)
			continue;
		while (at > 0 &&
		    config_model_at(config, out[at - 1])->cost >
			config_model_at(config, m)->cost) {
			out[at] = out[at - 1];
			at--;
		}
		out[at] = m;
		count++;
	}
	return count;
}

static learn_cascade_t *
cascade_find(learn_t *learn, const char *organisation)
{
	for (handle_t h = 0; h < learn->cascades.len; h++) {
		learn_cascade_t *row = table_at(&learn->cascades, h);

		if (strcmp(row->organisation, organisation) == 0)
			return row;
	}
	return NULL;
}

static bool
models_same(const learn_cascade_t *row, const config_t *config,
    const handle_t *models, int count)
{
	if (row->cascade.models != count)
		return false;
	for (int m = 0; m < count; m++) {
		if (strcmp(row->models[m],
			config_model_at(config, models[m])->name) != 0)
			return false;
	}
	return true;
}

static void
cascade_make(learn_cascade_t *row, const config_t *config,
    const organisation_t *organisation, const handle_t *models, int count)
{
	double priors[CASCADE_MODELS];

	for (int m = 0; m < count; m++) {
		const model_t *model = config_model_at(config, models[m]);

		priors[m] = (double)model->quality / CONFIG_QUALITY_MAX;
		memcpy(row->models[m], model->name, sizeof(row->models[m]));
	}
	memcpy(
	    row->organisation, organisation->name, sizeof(row->organisation));
	cascade_init(&row->cascade, count, priors,
	    (double)organisation->quality_target / CONFIG_QUALITY_MAX);
}

learn_cascade_t *
learn_cascade(learn_t *learn, const config_t *config, handle_t handle)
{
	const organisation_t *organisation =
	    config_organisation_at(config, handle);
	learn_cascade_t *row = cascade_find(learn, organisation->name);
	handle_t models[CASCADE_MODELS];
	int count;

	if (row != NULL && row->revision == config->revision)
		return row->cascade.models > 0 ? row : NULL;
	count = models_list(config, organisation, models);
	if (row == NULL)
		row = table_add(&learn->cascades);
	if (row == NULL)
		return NULL;
	row->revision = config->revision;
	if (!models_same(row, config, models, count) ||
	    row->cascade.target !=
		(double)organisation->quality_target / CONFIG_QUALITY_MAX)
		cascade_make(row, config, organisation, models, count);
	return count > 0 ? row : NULL;
}

void
learn_answer(learn_t *learn, const learn_recent_t *answer)
{
	learn->recent[learn->recent_count++ % LEARN_RECENT] = *answer;
}

const learn_recent_t *
learn_recent(const learn_t *learn, const char *request)
{
	uint64_t kept = learn->recent_count < LEARN_RECENT ? learn->recent_count
							   : LEARN_RECENT;

	for (uint64_t i = 0; i < kept; i++) {
		if (strcmp(learn->recent[i].request, request) == 0)
			return &learn->recent[i];
	}
	return NULL;
}

void
learn_rating(learn_t *learn, const learn_recent_t *answer, bool good)
{
	learn_cascade_t *row = cascade_find(learn, answer->organisation);

	if (row != NULL && answer->model >= 0 &&
	    answer->model < row->cascade.models)
		cascade_rate(
		    &row->cascade, answer->model, answer->confidence, good);
}

void
learn_config(learn_t *learn, const config_t *before, const config_t *after)
{
	for (handle_t v = 0; v < after->versions.len; v++) {
		const version_t *new = config_version_at(after, v);
		const version_t *old = config_version_at(
		    before, config_version_find(before, new->name));

		if (old == NULL || old->state != new->state ||
		    old->percent != new->percent)
			guard_forget(&learn->guard, new->name, after->revision);
	}
}
