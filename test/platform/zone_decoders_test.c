/**
 * @file
 * Decoding of regions, warm-up parameters and evacuations in the platform's
 * rows and settings: an absent value has its default, and an invalid or
 * oversized one is refused with an error that names the field.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/node_file.h"
#include "platform/rows.h"

#define TEXT_MAX 32768

/* Decode a configuration with these members added to a route, the service and
 * the tenant. */
static relay_config_t *
config_decode(
    const char *route, const char *service, const char *tenant, err_t *err)
{
	static char text[TEXT_MAX];
	int len = snprintf(text, sizeof(text),
	    "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"a."
	    "example\","
	    "\"prefix\":\"/x/\",\"type\":\"safe\",\"service\":\"s1\"%s},"
	    "{\"name\":\"r2\",\"host\":\"a.example\",\"prefix\":\"/y/\","
	    "\"type\":\"safe\",\"service\":\"s1\","
	    "\"regions_allowed\":[\"q\",\"r\"]}],"
	    "\"services\":[{\"name\":\"s1\"%s}],"
	    "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"]%s}]}",
	    route, service, tenant);

	return config_row_decode(text, (size_t)len, NULL, err);
}

/* Checks that the route or the organisation with such regions is refused by
 * itself, and the other route is not. */
static void
regions_refused(const char *route, const char *tenant)
{
	relay_config_t *config;
	const relay_route_t *found;
	err_t err;

	config = config_decode(route, "", tenant, &err);
	assert_non_null(config);
	assert_int_equal(config->parts_refused, 1);
	if (strstr(config->refused_why.detail, "regions_allowed") == NULL)
		fail_msg("\"%s\" does not name regions_allowed",
		    config->refused_why.detail);
	found = relay_config_find_route(config, "a.example", "/x/");
	assert_int_equal(found->unreadable, route[0] != '\0');
	found = relay_config_find_route(config, "a.example", "/y/");
	assert_false(found->unreadable);
	assert_int_equal(
	    relay_config_find_organisation(config, "k1")->unreadable,
	    tenant[0] != '\0');
	relay_config_release(config);
}

static void
regions_are_decoded(void **state)
{
	region_list_t all = {.len = 0};
	const relay_route_t *route;
	relay_config_t *config;
	err_t err;

	(void)state;
	config = config_decode(",\"regions_allowed\":[\"r\"]", "",
	    ",\"regions_allowed\":[\"q\"]", &err);
	assert_non_null(config);
	route = relay_config_find_route(config, "a.example", "/x/");
	assert_true(region_list_allows(&route->regions, "r"));
	assert_false(region_list_allows(&route->regions, "q"));
	assert_false(region_list_allows(&route->regions, ""));
	assert_true(region_list_allows(
	    &relay_config_find_organisation(config, "k1")->regions, "q"));
	assert_true(
	    relay_config_collect_host_regions(config, "a.example", &all));
	assert_int_equal(all.len, 2);
	region_list_finish(&all);
	relay_config_release(config);
	/* An empty list and null do not restrict anything. */
	config = config_decode(
	    ",\"regions_allowed\":[]", "", ",\"regions_allowed\":null", &err);
	assert_non_null(config);
	route = relay_config_find_route(config, "a.example", "/x/");
	assert_true(region_list_allows(&route->regions, ""));
	assert_false(
	    relay_config_collect_host_regions(config, "a.example", &all));
	assert_int_equal(all.len, 0);
	relay_config_release(config);
}

static void
invalid_regions_are_refused(void **state)
{
	static const char *const invalid[] = {
	    "\"r\"", "{}", "7", "[7]", "[\"\"]", "[null]", "[[\"r\"]]"};
	char text[TEXT_MAX / 2];

	(void)state;
	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		snprintf(
		    text, sizeof(text), ",\"regions_allowed\":%s", invalid[i]);
		regions_refused(text, "");
		regions_refused("", text);
	}
}

static void
warm_up_parameters_are_decoded(void **state)
{
	const relay_service_t *service;
	relay_config_t *config;
	err_t err;

	(void)state;
	config = config_decode(
	    "", ",\"warmup_s\":2.5,\"warmup_per_s\":8.8", "", &err);
	assert_non_null(config);
	service = relay_config_find_service(config, "s1");
	assert_int_equal(service->warmup_ms, 2500);
	assert_true(service->warmup_per_s > 8.7);
	relay_config_release(config);
	config = config_decode("", "", "", &err);
	service = relay_config_find_service(config, "s1");
	assert_int_equal(service->warmup_ms, 0);
	assert_true(service->warmup_per_s == 0);
	relay_config_release(config);
}

/* Engines without the calls, and figures that are none, are not called. */
static void
calls_for_contents_are_decoded(void **state)
{
	static const struct {
		const char *service;
		uint32_t calls;
	} cases[] = {{"", 0}, {",\"engine\":{\"most\":4}", 4},
	    {",\"engine\":{\"most\":0}", 0}, {",\"engine\":{}", 0},
	    {",\"engine\":null", 0}, {",\"engine\":{\"most\":-1}", 0},
	    {",\"engine\":{\"most\":\"4\"}", 0}};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		err_t err;
		relay_config_t *config =
		    config_decode("", cases[i].service, "", &err);

		assert_non_null(config);
		assert_int_equal(
		    relay_config_find_service(config, "s1")->contents_calls_max,
		    cases[i].calls);
		relay_config_release(config);
	}
}

/* Checks that the service keeps its default, and all else is in force. */
static void
service_field_refused(const char *service, const char *field)
{
	relay_config_t *config;
	const relay_service_t *found;
	err_t err;

	config = config_decode("", service, "", &err);
	assert_non_null(config);
	assert_int_equal(config->parts_refused, 1);
	if (strstr(config->refused_why.detail, field) == NULL)
		fail_msg("\"%s\" does not name %s", config->refused_why.detail,
		    field);
	found = relay_config_find_service(config, "s1");
	assert_int_equal(found->warmup_ms, 0);
	assert_true(found->warmup_per_s == 0);
	assert_non_null(relay_config_find_organisation(config, "k1"));
	assert_int_equal(HASH_COUNT(config->routes), 2);
	relay_config_release(config);
}

static void
invalid_warm_up_parameters_are_refused(void **state)
{
	static const char *const invalid[] = {"-1", "\"3\"", "[]", "true"};
	relay_config_t *config;
	char text[64];
	err_t err;

	(void)state;
	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		snprintf(text, sizeof(text), ",\"warmup_s\":%s", invalid[i]);
		service_field_refused(text, "warmup_s");
		snprintf(
		    text, sizeof(text), ",\"warmup_per_s\":%s", invalid[i]);
		service_field_refused(text, "warmup_per_s");
	}
	config = config_decode("", ",\"warmup_s\":1e300", "", &err);
	assert_int_equal(config->parts_refused, 0);
	assert_int_equal(
	    relay_config_find_service(config, "s1")->warmup_ms, 86400000);
	relay_config_release(config);
}

static void
the_key_of_an_evacuation_names_a_zone(void **state)
{
	char too_long[300];
	err_t err;

	(void)state;
	memset(too_long, 'z', sizeof(too_long) - 1);
	too_long[sizeof(too_long) - 1] = '\0';
	assert_true(evacuation_zone_check("zone-1", &err));
	assert_true(evacuation_zone_check("zone 1", &err));
	assert_true(evacuation_zone_check("z\xc3\xbcrich", &err));
	assert_true(
	    evacuation_zone_check(too_long + sizeof(too_long) - 1 - 200, &err));
	assert_false(
	    evacuation_zone_check(too_long + sizeof(too_long) - 1 - 201, &err));
	assert_false(evacuation_zone_check("", &err));
	assert_false(evacuation_zone_check("zone\n1", &err));
	assert_false(evacuation_zone_check("zone\x7f", &err));
	assert_false(evacuation_zone_check(too_long, &err));
}

static const char node[] = "zone=a\nlisten.frontend=10.1.0.4:80\n"
			   "listen.readiness=10.1.0.4:81\n"
			   "listen.registry=10.1.0.4:82\n"
			   "platform.address=10.9.0.1:83\n";

static bool
settings_parse(const char *more, node_file_t *file, err_t *err)
{
	char text[TEXT_MAX];

	snprintf(text, sizeof(text), "%s%s", node, more);
	return node_file_parse(text, file, err);
}

static void
settings_refused(const char *more, const char *field)
{
	static node_file_t file;
	err_t err;

	assert_false(settings_parse(more, &file, &err));
	if (strstr(err.detail, field) == NULL)
		fail_msg("\"%s\" does not name %s", err.detail, field);
}

static void
settings_of_zones_and_warm_up_are_parsed(void **state)
{
	static node_file_t file;
	char many[TEXT_MAX / 2];
	size_t len = 0;
	err_t err;

	(void)state;
	assert_true(settings_parse("region=r\nzones.a=r\r\nzones.b=q\n"
				   "bounds.warmup_overshoot=1.5\n"
				   "bounds.warmup_tolerance=5\n",
	    &file, &err));
	assert_string_equal(file.region, "r");
	assert_int_equal(file.zones_len, 2);
	assert_string_equal(file.zones[0].name, "a");
	assert_string_equal(file.zones[0].region, "r");
	assert_string_equal(file.zones[1].region, "q");
	assert_true(file.warmup_overshoot == 1.5);
	assert_true(file.warmup_tolerance == 5);
	assert_true(settings_parse("", &file, &err));
	assert_string_equal(file.region, "");
	assert_int_equal(file.zones_len, 0);
	assert_true(file.warmup_overshoot == 1);
	assert_true(file.warmup_tolerance == 0);
	settings_refused("bounds.warmup_overshoot=much\n", "warmup_overshoot");
	settings_refused("bounds.warmup_overshoot=-1\n", "warmup_overshoot");
	settings_refused("bounds.warmup_tolerance=1e99\n", "warmup_tolerance");
	settings_refused("zones.a\n", "zones.a");
	settings_refused("zones.=r\n", "zones");
	for (int i = 0; i <= NODE_ZONES_MAX; i++)
		len += (size_t)snprintf(
		    many + len, sizeof(many) - len, "zones.z%d=r\n", i);
	settings_refused(many, "zones");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(regions_are_decoded),
	    cmocka_unit_test(invalid_regions_are_refused),
	    cmocka_unit_test(warm_up_parameters_are_decoded),
	    cmocka_unit_test(calls_for_contents_are_decoded),
	    cmocka_unit_test(invalid_warm_up_parameters_are_refused),
	    cmocka_unit_test(the_key_of_an_evacuation_names_a_zone),
	    cmocka_unit_test(settings_of_zones_and_warm_up_are_parsed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
