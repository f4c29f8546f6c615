/**
 * @file
 * Applies arbitrary bytes as an intent: it either fails with an error code or
 * results in a consistent configuration, and never changes the document that it
 * is applied to.
 */
#include <string.h>

#include "input.h"
#include "moortack/config/intent.h"
#include "moortack/config/plan.h"

static const char base_text[] =
    "{\"places\":{\"halle-nord\":{}},\"models\":{\"ofenrat\":{\"kind\":"
    "\"engine\"}},\"versions\":{\"ofenrat@1\":{\"state\":\"live\"}},"
    "\"organisations\":{\"fachschule\":{\"places\":[\"halle-nord\"],"
    "\"allow\":[\"ofenrat@*\"]}}}";

static void
config_check(const config_t *config)
{
	for (handle_t v = 0; v < config->versions.len; v++) {
		const version_t *version = config_version_at(config, v);

		FUZZ_CHECK(config_model_at(config, version->model) != NULL);
		FUZZ_CHECK(version->state < VERSION_STATE_COUNT);
		FUZZ_CHECK(version->percent <= CONFIG_PERCENT_MAX);
	}
	for (handle_t o = 0; o < config->organisations.len; o++) {
		const organisation_t *row = config_organisation_at(config, o);

		FUZZ_CHECK(row->class < CLASS_COUNT);
		for (handle_t v = config->versions.len; v < CONFIG_VERSIONS_MAX;
		     v++)
			FUZZ_CHECK(!organisation_allows_version(row, v));
		for (handle_t p = config->places.len; p < CONFIG_PLACES_MAX;
		     p++)
			FUZZ_CHECK(!organisation_allows_place(row, p));
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	json_t *document = json_loads(base_text, 0, NULL);
	json_t *copy = json_deep_copy(document);
	json_t *intent = json_loadb((const char *)bytes, len, 0, NULL);
	err_t err = {0};
	config_t *base = config_compile(document, 1, &err);
	json_t *next;

	FUZZ_CHECK(base != NULL);
	next = intent_apply(document, intent, &err);
	FUZZ_CHECK(next != NULL || err.code != ERR_NONE);
	if (next != NULL) {
		config_t *config = config_compile(next, 2, &err);
		json_t *plan = plan_compute(base, intent, "fuzz", &err);

		FUZZ_CHECK((config != NULL) == (plan != NULL));
		if (config != NULL)
			config_check(config);
		config_release(config);
		json_decref(plan);
		json_decref(next);
	}
	FUZZ_CHECK(json_equal(document, copy));
	config_release(base);
	json_decref(document);
	json_decref(copy);
	json_decref(intent);
	return 0;
}
