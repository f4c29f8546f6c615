#include "moortack/route/learn.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
feedback_init(feedback_t *feedback)
{
	guard_init(&feedback->guard);
	table_init(&feedback->cascades, sizeof(organisation_cascade_t));
	feedback->response_count = 0;
}

void
feedback_finish(feedback_t *feedback)
{
	guard_finish(&feedback->guard);
	table_finish(&feedback->cascades);
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

/* The usable models in order of their cost, cheapest first.
 * @return how many; at most CASCADE_MODELS_MAX */
static int
models_by_cost(
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
cascade_find(feedback_t *feedback, const char *organisation)
{
	for (handle_t h = 0; h < feedback->cascades.len; h++) {
		organisation_cascade_t *row = table_at(&feedback->cascades, h);

		if (strcmp(row->organisation, organisation) == 0)
			return row;
	}
	return NULL;
}

static bool
models_match(const organisation_cascade_t *row, const config_t *config,
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
cascade_rebuild(organisation_cascade_t *row, const config_t *config,
    const organisation_t *organisation, const handle_t *models, int count)
{
	double priors[CASCADE_MODELS_MAX];

	for (int m = 0; m < count; m++) {
		const model_t *model = config_model_at(config, models[m]);

		priors[m] = (double)model->quality / CONFIG_QUALITY_MAX;
		memcpy(row->model_names[m], model->name,
		    sizeof(row->model_names[m]));
	}
	memcpy(
	    row->organisation, organisation->name, sizeof(row->organisation));
	cascade_init(&row->cascade, count, priors,
	    (double)organisation->quality_target / CONFIG_QUALITY_MAX);
}

organisation_cascade_t *
feedback_get_cascade(
    feedback_t *feedback, const config_t *config, handle_t handle)
{
	const organisation_t *organisation =
	    config_organisation_at(config, handle);
	organisation_cascade_t *row =
	    cascade_find(feedback, organisation->name);
	handle_t models[CASCADE_MODELS_MAX];
	int count;

	if (row != NULL && row->models_revision == config->revision)
		return row->cascade.model_count > 0 ? row : NULL;
	count = models_by_cost(config, organisation, models);
	if (row == NULL)
		row = table_add(&feedback->cascades);
	if (row == NULL)
		return NULL;
	row->models_revision = config->revision;
	if (!models_match(row, config, models, count) ||
	    row->cascade.target !=
		(double)organisation->quality_target / CONFIG_QUALITY_MAX)
		cascade_rebuild(row, config, organisation, models, count);
	return count > 0 ? row : NULL;
}

void
feedback_add_response(feedback_t *feedback, const recent_response_t *response)
{
	feedback
	    ->responses[feedback->response_count++ % FEEDBACK_RESPONSES_MAX] =
	    *response;
}

const recent_response_t *
feedback_find_response(const feedback_t *feedback, const char *request_id)
{
	uint64_t count = feedback->response_count < FEEDBACK_RESPONSES_MAX
	    ? feedback->response_count
	    : FEEDBACK_RESPONSES_MAX;

	for (uint64_t i = 0; i < count; i++) {
		if (strcmp(feedback->responses[i].request_id, request_id) == 0)
			return &feedback->responses[i];
	}
	return NULL;
}

void
feedback_add_rating(
    feedback_t *feedback, const recent_response_t *response, bool good)
{
	organisation_cascade_t *row =
	    cascade_find(feedback, response->organisation);

	if (row != NULL && response->model_index >= 0 &&
	    response->model_index < row->cascade.model_count)
		cascade_add_rating(&row->cascade, response->model_index,
		    response->confidence, good);
}

void
feedback_config_changed(
    feedback_t *feedback, const config_t *before, const config_t *after)
{
	for (handle_t v = 0; v < after->versions.len; v++) {
		const version_t *new = config_version_at(after, v);
		const version_t *old = config_version_at(
		    before, config_version_find(before, new->name));

		if (old == NULL || old->state != new->state ||
		    old->percent != new->percent)
			guard_reset_version(
			    &feedback->guard, new->name, after->revision);
	}
}
