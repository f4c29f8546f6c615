#include "moortack/config/plan.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "moortack/config/intent.h"

#define PLAN_ID_BYTES 16

static const char *const kinds[] = {
    "place", "model", "version", "organisation", NULL};

static bool
organisation_affected(const config_t *config,
    const organisation_t *organisation, const char *kind, const char *name)
{
	if (strcmp(kind, "organisation") == 0)
		return strcmp(organisation->name, name) == 0;
	if (strcmp(kind, "place") == 0)
		return organisation_allows_place(
		    organisation, config_place_find(config, name));
	if (strcmp(kind, "version") == 0)
		return organisation_allows_version(
		    organisation, config_version_find(config, name));
	for (handle_t v = 0; v < config->versions.len; v++) {
		const version_t *version = config_version_at(config, v);

		if (organisation_allows_version(organisation, v) &&
		    strcmp(config_model_at(config, version->model)->name,
			name) == 0)
			return true;
	}
	return false;
}

static void
string_add_unique(json_t *list, const char *text)
{
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		if (strcmp(json_string_value(item), text) == 0)
			return;
	}
	json_array_append_new(list, json_string(text));
}

static void
affected_add(const config_t *config, const char *kind, const char *name,
    json_t *organisations, json_t *places)
{
	for (handle_t o = 0; o < config->organisations.len; o++) {
		const organisation_t *organisation =
		    config_organisation_at(config, o);

		if (!organisation_affected(config, organisation, kind, name))
			continue;
		string_add_unique(organisations, organisation->name);
		for (handle_t p = 0; p < config->places.len; p++) {
			if (organisation_allows_place(organisation, p))
				string_add_unique(
				    places, config_place_at(config, p)->name);
		}
	}
}

static json_t *
effect_new(const config_t *before, const config_t *after, const char *kind,
    const char *name, json_t *from, json_t *to)
{
	json_t *organisations = json_array();
	json_t *places = json_array();

	affected_add(before, kind, name, organisations, places);
	affected_add(after, kind, name, organisations, places);
	return json_pack("{s:s,s:s,s:O?,s:O?,s:o,s:o}", "kind", kind, "name",
	    name, "before", from, "after", to, "organisations", organisations,
	    "places", places);
}

static void
effects_add(const config_t *before, const config_t *after, const char *kind,
    json_t *effects)
{
	const char *section = intent_section(kind);
	json_t *old = json_object_get(before->document, section);
	json_t *new = json_object_get(after->document, section);
	const char *name;
	json_t *value;

	json_object_foreach(new, name, value)
	{
		json_t *old_value = json_object_get(old, name);

		if (old_value == NULL || !json_equal(old_value, value))
			json_array_append_new(effects,
			    effect_new(
				before, after, kind, name, old_value, value));
	}
	json_object_foreach(old, name, value)
	{
		if (json_object_get(new, name) == NULL)
			json_array_append_new(effects,
			    effect_new(before, after, kind, name, value, NULL));
	}
}

/* Whether a version of the model accepts new sessions of the organisation; also
 * true if the organisation may not use the model at all. */
static bool
organisation_model_available(
    const config_t *config, const organisation_t *organisation, handle_t model)
{
	bool allowed = false;

	for (handle_t v = 0; v < config->versions.len; v++) {
		const version_t *version = config_version_at(config, v);

		if (version->model != model ||
		    !organisation_allows_version(organisation, v))
			continue;
		allowed = true;
		if (version->state == VERSION_LIVE ||
		    version->state == VERSION_ROLLING)
			return true;
	}
	return !allowed;
}

static json_t *
warnings_new(const config_t *after)
{
	json_t *warnings = json_array();

	for (handle_t o = 0; o < after->organisations.len; o++) {
		const organisation_t *organisation =
		    config_organisation_at(after, o);

		for (handle_t m = 0; m < after->models.len; m++) {
			if (organisation_model_available(
				after, organisation, m))
				continue;
			json_array_append_new(warnings,
			    json_sprintf("%s would have no version of %s that "
					 "accepts new sessions",
				organisation->name,
				config_model_at(after, m)->name));
		}
	}
	return warnings;
}

json_t *
plan_compute(const config_t *base, const json_t *intent,
    const char *operator_name, err_t *err)
{
	unsigned char id[PLAN_ID_BYTES];
	char text[PLAN_ID_SIZE];
	json_t *document = intent_apply(base->document, intent, err);
	json_t *effects;
	config_t *after;
	json_t *plan;

	if (document == NULL)
		return NULL;
	after = config_compile(document, base->revision + 1, err);
	json_decref(document);
	if (after == NULL)
		return NULL;
	effects = json_array();
	for (const char *const *kind = kinds; *kind != NULL; kind++)
		effects_add(base, after, *kind, effects);
	randombytes_buf(id, sizeof(id));
	sodium_bin2hex(text, sizeof(text), id, sizeof(id));
	plan = json_pack("{s:s,s:I,s:s,s:O,s:o,s:o}", "id", text, "base",
	    (json_int_t)base->revision, "operator", operator_name, "intent",
	    intent, "effects", effects, "warnings", warnings_new(after));
	config_release(after);
	return plan;
}
