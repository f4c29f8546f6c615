/**
 * @file
 * Compiles a document into a configuration: checks every entry, and that the
 * entries it refers to exist.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_key.h"

#define REQUESTS_PER_S_MAX 1000000
#define COST_MAX 1000000000

static const char *const state_names[VERSION_STATE_COUNT] = {
    "staged", "rolling", "live", "draining", "withdrawn"};
static const char *const class_names[CLASS_COUNT] = {
    "critical", "high", "medium", "sheddable"};

/** An entry of the document being compiled. */
typedef struct entry {
	const char *kind;
	const char *name;
	const json_t *value;
	err_t *err;
} entry_t;

static bool
entry_error(const entry_t *entry, const char *field, const char *allowed)
{
	return err_set(entry->err, ERR_BAD_REQUEST, "%s '%.48s': %s must be %s",
	    entry->kind, entry->name, field, allowed);
}

static bool
name_parse(const entry_t *entry, char *out)
{
	size_t len = strlen(entry->name);

	if (len == 0 || len >= CONFIG_NAME_SIZE ||
	    strspn(entry->name,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"0123456789._-@") != len)
		return entry_error(entry, "the name",
		    "1 to 47 letters, digits, '.', '_', '-'");
	memcpy(out, entry->name, len + 1);
	return true;
}

static bool
fields_check(const entry_t *entry, const char *const *known)
{
	const char *field;
	json_t *value;

	if (!json_is_object(entry->value))
		return entry_error(entry, "the value", "an object");
	json_object_foreach((json_t *)entry->value, field, value)
	{
		const char *const *k = known;

		while (*k != NULL && strcmp(*k, field) != 0)
			k++;
		if (*k == NULL) {
			return err_set(entry->err, ERR_BAD_REQUEST,
			    "%s '%.48s': unknown field '%.48s'", entry->kind,
			    entry->name, field);
		}
	}
	return true;
}

static bool
number_parse(const entry_t *entry, const char *field, uint32_t max,
    uint32_t default_value, uint32_t *out)
{
	const json_t *value = json_object_get(entry->value, field);

	*out = default_value;
	if (value == NULL)
		return true;
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) > max) {
		char allowed[64];

		snprintf(allowed, sizeof(allowed),
		    "a whole number from 0 to %u", max);
		return entry_error(entry, field, allowed);
	}
	*out = (uint32_t)json_integer_value(value);
	return true;
}

static bool
flag_parse(const entry_t *entry, const char *field, bool *out)
{
	const json_t *value = json_object_get(entry->value, field);

	*out = json_is_true(value);
	if (value != NULL && !json_is_boolean(value))
		return entry_error(entry, field, "true or false");
	return true;
}

static bool
enum_parse(const entry_t *entry, const char *field, const char *const *names,
    int count, int default_value, int *out)
{
	const json_t *value = json_object_get(entry->value, field);
	const char *text = json_string_value(value);

	*out = default_value;
	if (value == NULL && default_value >= 0)
		return true;
	for (int i = 0; text != NULL && i < count; i++) {
		if (strcmp(names[i], text) == 0) {
			*out = i;
			return true;
		}
	}
	return entry_error(entry, field, "one of the values in docs/API.md");
}

static bool
place_compile(config_t *config, const entry_t *entry)
{
	static const char *const known[] = {"region", NULL};
	place_t *place = table_add(&config->places);
	const char *region =
	    json_string_value(json_object_get(entry->value, "region"));

	if (place == NULL)
		return err_set(entry->err, ERR_MEMORY, "out of memory");
	if (config->places.len > CONFIG_PLACES_MAX)
		return entry_error(entry, "the number of places", "at most 64");
	snprintf(place->region, sizeof(place->region), "%s",
	    region != NULL ? region : "");
	return fields_check(entry, known) && name_parse(entry, place->name);
}

static bool
model_compile(config_t *config, const entry_t *entry)
{
	static const char *const known[] = {
	    "kind", "cost", "quality", "idempotent", NULL};
	static const char *const kinds[] = {"engine", "service"};
	model_t *model = table_add(&config->models);
	int kind;

	if (model == NULL)
		return err_set(entry->err, ERR_MEMORY, "out of memory");
	if (!fields_check(entry, known) || !name_parse(entry, model->name) ||
	    !enum_parse(entry, "kind", kinds, 2, -1, &kind) ||
	    !number_parse(entry, "cost", COST_MAX, 1, &model->cost) ||
	    !number_parse(entry, "quality", CONFIG_QUALITY_MAX,
		CONFIG_QUALITY_MAX, &model->quality) ||
	    !flag_parse(entry, "idempotent", &model->idempotent))
		return false;
	if (strchr(model->name, '@') != NULL)
		return entry_error(entry, "the name", "without '@'");
	model->kind = (model_kind_t)kind;
	return true;
}

static bool
version_compile(config_t *config, const entry_t *entry)
{
	static const char *const known[] = {"state", "percent", NULL};
	version_t *version = table_add(&config->versions);
	char model[CONFIG_NAME_SIZE];
	char *separator;
	int state;

	if (version == NULL)
		return err_set(entry->err, ERR_MEMORY, "out of memory");
	if (config->versions.len > CONFIG_VERSIONS_MAX)
		return entry_error(
		    entry, "the number of versions", "at most 256");
	if (!fields_check(entry, known) || !name_parse(entry, version->name) ||
	    !enum_parse(
		entry, "state", state_names, VERSION_STATE_COUNT, -1, &state) ||
	    !number_parse(
		entry, "percent", CONFIG_PERCENT_MAX, 0, &version->percent))
		return false;
	version->state = (version_state_t)state;
	memcpy(model, version->name, sizeof(model));
	separator = strchr(model, '@');
	if (separator == NULL || separator[1] == '\0')
		return entry_error(entry, "the name", "MODEL@VERSION");
	*separator = '\0';
	version->model = config_model_find(config, model);
	if (version->model == HANDLE_NONE)
		return entry_error(entry, "the model", "declared");
	return true;
}

static bool
allow_pattern_apply(config_t *config, const entry_t *entry, const char *pattern,
    organisation_t *organisation)
{
	size_t len = strlen(pattern);
	bool all_versions = len > 2 && strcmp(pattern + len - 2, "@*") == 0;
	char model[CONFIG_NAME_SIZE];
	handle_t handle;

	if (!all_versions) {
		handle = config_version_find(config, pattern);
		if (handle == HANDLE_NONE)
			return entry_error(entry, "allow",
			    "a list of declared MODEL@VERSION or MODEL@*");
		version_set_add(&organisation->allowed_versions, handle);
		return true;
	}
	snprintf(model, sizeof(model), "%.*s", (int)(len - 2), pattern);
	handle = config_model_find(config, model);
	if (handle == HANDLE_NONE)
		return entry_error(
		    entry, "allow", "a list of versions of declared models");
	for (handle_t v = 0; v < config->versions.len; v++) {
		if (config_version_at(config, v)->model == handle)
			version_set_add(&organisation->allowed_versions, v);
	}
	return true;
}

static bool
organisation_lists_parse(
    config_t *config, const entry_t *entry, organisation_t *organisation)
{
	const json_t *keys = json_object_get(entry->value, "keys");
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(entry->value, "places"), i, item)
	{
		const char *name = json_string_value(item);
		handle_t place = name != NULL ? config_place_find(config, name)
					      : HANDLE_NONE;

		if (place == HANDLE_NONE)
			return entry_error(
			    entry, "places", "a list of declared places");
		organisation->allowed_places |= UINT64_C(1) << place;
	}
	json_array_foreach(json_object_get(entry->value, "allow"), i, item)
	{
		const char *pattern = json_string_value(item);

		if (pattern == NULL ||
		    !allow_pattern_apply(config, entry, pattern, organisation))
			return pattern != NULL
			    ? false
			    : entry_error(entry, "allow", "a list of names");
	}
	if (json_array_size(keys) > CONFIG_KEYS_MAX)
		return entry_error(entry, "keys", "a list of at most 4 hashes");
	json_array_foreach(keys, i, item)
	{
		const char *hash = json_string_value(item);

		if (hash == NULL || strlen(hash) != CONFIG_KEY_HASH_SIZE - 1)
			return entry_error(entry, "keys",
			    "a list of hashes made by 'moortackctl key'");
		memcpy(organisation->key_hashes[organisation->key_count++],
		    hash, CONFIG_KEY_HASH_SIZE);
	}
	return true;
}

static bool
organisation_compile(config_t *config, const entry_t *entry)
{
	static const char *const known[] = {"class", "places", "allow", "keys",
	    "limit", "quality", "fallback", NULL};
	organisation_t *organisation = table_add(&config->organisations);
	int class;

	if (organisation == NULL)
		return err_set(entry->err, ERR_MEMORY, "out of memory");
	if (!fields_check(entry, known) ||
	    !name_parse(entry, organisation->name) ||
	    !enum_parse(entry, "class", class_names, CLASS_COUNT, CLASS_MEDIUM,
		&class) ||
	    !number_parse(entry, "limit", REQUESTS_PER_S_MAX, 0,
		&organisation->requests_per_s) ||
	    !number_parse(entry, "quality", CONFIG_QUALITY_MAX, 0,
		&organisation->quality_target) ||
	    !flag_parse(entry, "fallback", &organisation->fallback))
		return false;
	organisation->class = (class_t) class;
	return organisation_lists_parse(config, entry, organisation);
}

static bool
rolling_percent_check(const config_t *config, err_t *err)
{
	for (handle_t m = 0; m < config->models.len; m++) {
		uint32_t percent = 0;

		for (handle_t v = 0; v < config->versions.len; v++) {
			const version_t *version = config_version_at(config, v);

			if (version->model == m &&
			    version->state == VERSION_ROLLING)
				percent += version->percent;
		}
		if (percent > CONFIG_PERCENT_MAX) {
			return err_set(err, ERR_BAD_REQUEST,
			    "model '%s': its rolling versions add up to %u "
			    "per cent; at most 100 is allowed",
			    config_model_at(config, m)->name, percent);
		}
	}
	return true;
}

typedef bool (*entry_compile_t)(config_t *, const entry_t *);

static bool
section_compile(config_t *config, const char *section, const char *kind,
    entry_compile_t compile, err_t *err)
{
	json_t *entries = json_object_get(config->document, section);
	entry_t entry = {.kind = kind, .err = err};
	json_t *value;

	json_object_foreach(entries, entry.name, value)
	{
		entry.value = value;
		if (!compile(config, &entry))
			return false;
	}
	return true;
}

/* Every request looks up a key, so keys are indexed instead of scanned. */
static bool
key_index_build(config_t *config, err_t *err)
{
	for (handle_t h = 0; h < config->organisations.len; h++) {
		const organisation_t *row = config_organisation_at(config, h);

		for (uint32_t k = 0; k < row->key_count; k++) {
			struct config_key *key;

			HASH_FIND_STR(config->keys, row->key_hashes[k], key);
			if (key != NULL && key->organisation != h)
				return err_set(err, ERR_BAD_REQUEST,
				    "organisations '%s' and '%s' have the same "
				    "key",
				    row->name,
				    config_organisation_at(
					config, key->organisation)
					->name);
			if (key != NULL)
				continue;
			key = calloc(1, sizeof(*key));
			if (key == NULL)
				return err_set(
				    err, ERR_MEMORY, "out of memory");
			memcpy(
			    key->hash, row->key_hashes[k], sizeof(key->hash));
			key->organisation = h;
			HASH_ADD_STR(config->keys, hash, key);
		}
	}
	return true;
}

static void
key_index_free(config_t *config)
{
	struct config_key *key, *next;

	HASH_ITER(hh, config->keys, key, next)
	{
		HASH_DEL(config->keys, key);
		free(key);
	}
}

config_t *
config_compile(json_t *document, uint64_t revision, err_t *err)
{
	config_t *config = calloc(1, sizeof(*config));

	if (config == NULL) {
		err_set(err, ERR_MEMORY, "out of memory");
		return NULL;
	}
	config->revision = revision;
	config->references = 1;
	config->document = json_incref(document);
	table_init(&config->places, sizeof(place_t));
	table_init(&config->models, sizeof(model_t));
	table_init(&config->versions, sizeof(version_t));
	table_init(&config->organisations, sizeof(organisation_t));
	if (section_compile(config, "places", "place", place_compile, err) &&
	    section_compile(config, "models", "model", model_compile, err) &&
	    section_compile(
		config, "versions", "version", version_compile, err) &&
	    section_compile(config, "organisations", "organisation",
		organisation_compile, err) &&
	    rolling_percent_check(config, err) && key_index_build(config, err))
		return config;
	config_release(config);
	return NULL;
}

config_t *
config_acquire(config_t *config)
{
	config->references++;
	return config;
}

void
config_release(config_t *config)
{
	if (config == NULL || --config->references > 0)
		return;
	key_index_free(config);
	table_finish(&config->places);
	table_finish(&config->models);
	table_finish(&config->versions);
	table_finish(&config->organisations);
	json_decref(config->document);
	free(config);
}

const char *
version_state_name(version_state_t state)
{
	return state < VERSION_STATE_COUNT ? state_names[state] : "?";
}

const char *
class_name(class_t class)
{
	return class < CLASS_COUNT ? class_names[class] : "?";
}
