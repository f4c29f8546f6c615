#include "moortack/route/learn.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
feedback_init(feedback_t *learn)
{
	guard_init(&learn->guard);
	table_init(&learn->cascades, sizeof(organisation_cascade_t));
	learn->response_count = 0;
}

void
feedback_finish(feedback_t *learn)
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
		    count == CASCADE_MODELS_MAX)
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

static organisation_cascade_t *
cascade_find(feedback_t *learn, const char *organisation)
{
	for (handle_t h = 0; h < learn->cascades.len; h++) {
		organisation_cascade_t *row = table_at(&learn->cascades, h);

		if (strcmp(row->organisation, organisation) == 0)
			return row;
	}
	return NULL;
}

static bool
models_same(const organisation_cascade_t *row, const config_t *config,
    const handle_t *models, int count)
{
	if (row->cascade.model_count != count)
		return false;
	for (int m = 0; m < count; m++) {
		if (strcmp(row->model_names[m],
			config_model_at(config, models[m])->name) != 0)
			return false;
	}
	return true;
}

static void
cascade_make(organisation_cascade_t *row, const config_t *config,
    const organisation_t *organisation, const handle_t *models, int count)
{
	double priors[CASCADE_MODELS_MAX];

	for (int m = 0; m < count; m++) {
		const model_t *model = config_model_at(config, models[m]);

		priors[m] = (double)model->quality / CONFIG_QUALITY_FULL;
		memcpy(row->model_names[m], model->name,
		    sizeof(row->model_names[m]));
	}
	memcpy(
	    row->organisation, organisation->name, sizeof(row->organisation));
	cascade_init(&row->cascade, count, priors,
	    (double)organisation->quality / CONFIG_QUALITY_FULL);
}

organisation_cascade_t *
feedback_get_cascade(feedback_t *learn, const config_t *config, handle_t handle)
{
	const organisation_t *organisation =
	    config_organisation_at(config, handle);
	organisation_cascade_t *row = cascade_find(learn, organisation->name);
	handle_t models[CASCADE_MODELS_MAX];
	int count;

	if (row != NULL && row->models_revision == config->revision)
		return row->cascade.model_count > 0 ? row : NULL;
	count = models_list(config, organisation, models);
	if (row == NULL)
		row = table_add(&learn->cascades);
	if (row == NULL)
		return NULL;
	row->models_revision = config->revision;
	if (!models_same(row, config, models, count) ||
	    row->cascade.target !=
		(double)organisation->quality / CONFIG_QUALITY_FULL)
		cascade_make(row, config, organisation, models, count);
	return count > 0 ? row : NULL;
}

void
feedback_add_response(feedback_t *learn, const recent_response_t *answer)
{
	learn->responses[learn->response_count++ % FEEDBACK_RESPONSES_MAX] =
	    *answer;
}

const recent_response_t *
feedback_find_response(const feedback_t *learn, const char *request)
{
	uint64_t kept = learn->response_count < FEEDBACK_RESPONSES_MAX
	    ? learn->response_count
	    : FEEDBACK_RESPONSES_MAX;

	for (uint64_t i = 0; i < kept; i++) {
		if (strcmp(learn->responses[i].request_id, request) == 0)
			return &learn->responses[i];
	}
	return NULL;
}

void
feedback_add_rating(
    feedback_t *learn, const recent_response_t *answer, bool good)
{
	organisation_cascade_t *row = cascade_find(learn, answer->organisation);

	if (row != NULL && answer->model_index >= 0 &&
	    answer->model_index < row->cascade.model_count)
		cascade_add_rating(&row->cascade, answer->model_index,
		    answer->confidence, good);
}

void
feedback_config_changed(
    feedback_t *learn, const config_t *before, const config_t *after)
{
	for (handle_t v = 0; v < after->versions.len; v++) {
		const version_t *new = config_version_at(after, v);
		const version_t *old = config_version_at(
		    before, config_version(before, new->name));

		if (old == NULL || old->state != new->state ||
		    old->percent != new->percent)
			guard_reset_version(
			    &learn->guard, new->name, after->revision);
	}
}
