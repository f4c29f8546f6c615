#include "moortack/config/intent.h"

#include <string.h>

#define CHANGES_MAX 1000

static const struct {
	const char *kind;
	const char *section;
} sections[] = {
    {"model", "models"},
    {"organisation", "organisations"},
    {"place", "places"},
    {"version", "versions"},
};

const char *
intent_section(const char *kind)
{
	for (size_t i = 0; i < sizeof(sections) / sizeof(*sections); i++) {
		if (kind != NULL && strcmp(sections[i].kind, kind) == 0)
			return sections[i].section;
	}
	return NULL;
}

json_t *
config_document_new(void)
{
	return json_pack("{s:{},s:{},s:{},s:{}}", "models", "organisations",
	    "places", "versions");
}

static void
entry_merge(json_t *entry, const json_t *value)
{
	const char *field;
	json_t *item;

	json_object_foreach((json_t *)value, field, item)
	{
		if (json_is_null(item))
			json_object_del(entry, field);
		else
			json_object_set(entry, field, item);
	}
}

static bool
set_apply(json_t *entries, const char *name, const json_t *value, err_t *err)
{
	json_t *entry = json_object_get(entries, name);

	if (!json_is_object(value))
		return err_set(err, ERR_BAD_REQUEST,
		    "the change of '%.48s' needs a \"value\" object", name);
	if (entry == NULL) {
		entry = json_object();
		json_object_set_new(entries, name, entry);
	}
	entry_merge(entry, value);
	return true;
}

static bool
change_apply(json_t *document, const json_t *change, err_t *err)
{
	const char *set = json_string_value(json_object_get(change, "set"));
	const char *remove =
	    json_string_value(json_object_get(change, "remove"));
	const char *name = json_string_value(json_object_get(change, "name"));
	const char *section = intent_section(set != NULL ? set : remove);
	json_t *entries;

	if ((set == NULL) == (remove == NULL) || section == NULL ||
	    name == NULL)
		return err_set(err, ERR_BAD_REQUEST,
		    "a change needs \"set\" or \"remove\" (place, model, "
		    "version, organisation) and \"name\"");
	entries = json_object_get(document, section);
	if (set != NULL)
		return set_apply(
		    entries, name, json_object_get(change, "value"), err);
	if (json_object_del(entries, name) != 0)
		return err_set(
		    err, ERR_NOT_FOUND, "there is no %s '%.48s'", remove, name);
	return true;
}

json_t *
intent_apply(const json_t *document, const json_t *intent, err_t *err)
{
	const json_t *changes = json_object_get(intent, "changes");
	json_t *next = json_deep_copy(document);
	json_t *change;
	size_t i;

	if (json_array_size(changes) == 0 ||
	    json_array_size(changes) > CHANGES_MAX) {
		json_decref(next);
		err_set(err, ERR_BAD_REQUEST,
		    "an intent needs 1 to %d \"changes\"", CHANGES_MAX);
		return NULL;
	}
	json_array_foreach(changes, i, change)
	{
		if (!change_apply(next, change, err)) {
			json_decref(next);
			return NULL;
		}
	}
	return next;
}
