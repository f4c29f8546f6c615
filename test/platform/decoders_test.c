/**
 * @file
 * Decoding of the platform's rows, settings and headers: valid ones give the
 * expected values, and invalid ones are refused with an error that names the
 * field.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../platform/row_fields.h"
#include "platform/dialects.h"
#include "platform/node_file.h"
#include "platform/rows.h"
#include "platform/store_rows.h"

static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"a.example\","
    "\"prefix\":\"/x/\",\"type\":\"streaming\",\"timeout_ms\":20000,"
    "\"slo_ms\":1500,\"priority\":0,\"sizes\":[\"m0\",\"m1\"],"
    "\"service\":\"s1\",\"max_attempts\":3,\"resumable\":true,"
    "\"target_itl_ms\":1200},{\"name\":\"r2\",\"host\":\"a.example\","
    "\"prefix\":\"/x/y/\",\"type\":\"unsafe\",\"max_attempts\":1,"
    "\"backends\":[{\"service\":\"s1\",\"weight\":90},"
    "{\"service\":\"s2\",\"weight\":10}],\"anonymous\":true}],"
    "\"services\":[{\"name\":\"s1\",\"max_conns\":370,\"engine\":"
    "{\"stride\":4,\"models\":[{\"name\":\"m1\",\"cost\":0.18}]}},"
    "{\"name\":\"s2\"}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"],"
    "\"priority\":1}]}";

static void
a_configuration_is_decoded(void **state)
{
	err_t err;
	relay_config_t *decoded =
	    config_row_decode(config, sizeof(config) - 1, NULL, &err);
	const relay_route_t *route;

	(void)state;
	assert_non_null(decoded);
	assert_int_equal(decoded->version, 7);
	route =
	    relay_config_find_route(decoded, "a.example:80", "/x/y/z?q=/x/");
	assert_string_equal(route->name, "r2");
	assert_int_equal(route->pools_len, 2);
	assert_true(route->anonymous);
	route = relay_config_find_route(decoded, "a.example", "/x/z");
	assert_string_equal(route->name, "r1");
	assert_int_equal(route->kind, ROUTE_STREAM);
	assert_int_equal(route->models_len, 2);
	assert_true(route->models[1].cost > 0.17);
	assert_null(relay_config_find_route(decoded, "a.example", "/x"));
	assert_null(relay_config_find_route(decoded, "b.example", "/x/"));
	assert_string_equal(
	    relay_config_find_organisation(decoded, "k2")->name, "t1");
	assert_null(relay_config_find_organisation(decoded, "k3"));
	assert_int_equal(
	    relay_config_find_service(decoded, "s1")->connections_max, 370);
	assert_int_equal(
	    relay_config_find_service(decoded, "s1")->event_tokens, 4);
	assert_int_equal(
	    relay_config_find_service(decoded, "s2")->event_tokens, 0);
	assert_int_equal(decoded->idle_timeout_ms, 15000);
	relay_config_release(decoded);
}

static char *
config_edit(const char *from, const char *to)
{
	char *text = malloc(2048);
	const char *at = strstr(config, from);

	assert_non_null(text);
	assert_non_null(at);
	snprintf(text, 2048, "%.*s%s%s", (int)(at - config), config, to,
	    at + strlen(from));
	return text;
}

static relay_config_t *
config_decode_edited(
    const relay_config_t *before, const char *from, const char *to)
{
	char *text = config_edit(from, to);
	relay_config_t *decoded =
	    config_row_decode(text, strlen(text), before, NULL);

	free(text);
	assert_non_null(decoded);
	return decoded;
}

/* The stride is the engine's setting: an odd one must not keep a configuration
 * from coming into force. */
static void
odd_stride_counts_as_unknown(void **state)
{
	const char *const odd[] = {"\"stride\":0", "\"stride\":-4",
	    "\"stride\":\"4\"", "\"stride\":4.5", "\"stride\":null",
	    "\"stride\":999999999999"};

	(void)state;
	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		char *text = config_edit("\"stride\":4", odd[i]);
		err_t err;
		relay_config_t *decoded =
		    config_row_decode(text, strlen(text), NULL, &err);

		assert_non_null(decoded);
		assert_int_equal(
		    relay_config_find_service(decoded, "s1")->event_tokens, 0);
		relay_config_release(decoded);
		free(text);
	}
}

static void
unchanged_routes_are_shared(void **state)
{
	relay_config_t *before =
	    config_row_decode(config, sizeof(config) - 1, NULL, NULL);
	relay_config_t *after = config_decode_edited(
	    before, "\"max_attempts\":1", "\"max_attempts\":2");
	const relay_route_t *route;

	(void)state;
	assert_non_null(before);
	route = relay_config_find_route(before, "a.example", "/x/");
	assert_ptr_equal(
	    relay_config_find_route(after, "a.example", "/x/"), route);
	relay_config_release(before);
	assert_string_equal(route->name, "r1");
	assert_true(route->models[1].cost > 0.17);
	route = relay_config_find_route(after, "a.example", "/x/y/");
	assert_int_equal(route->attempts_max, 2);
	relay_config_release(after);
}

/* Guards against keeping old prices in a shared route: the price of a model is
 * in the service, not in the route's text. */
static void
routes_with_changed_prices_are_not_shared(void **state)
{
	relay_config_t *before =
	    config_row_decode(config, sizeof(config) - 1, NULL, NULL);
	relay_config_t *after = config_decode_edited(before, "0.18", "0.36");
	const relay_route_t *first, *second;

	(void)state;
	first = relay_config_find_route(before, "a.example", "/x/");
	second = relay_config_find_route(after, "a.example", "/x/");
	assert_ptr_not_equal(first, second);
	assert_true(first->models[1].cost < 0.19);
	assert_true(second->models[1].cost > 0.35);
	relay_config_release(before);
	relay_config_release(after);
}

static void
any_spelling_of_routes_is_decoded(void **state)
{
	static const char *const spellings[] = {"\"\\u0072outes\":[",
	    "\"routes\" : [ ", "\"routes\":[],\"routes\":["};

	(void)state;
	for (size_t i = 0; i < sizeof(spellings) / sizeof(spellings[0]); i++) {
		relay_config_t *decoded =
		    config_decode_edited(NULL, "\"routes\":[", spellings[i]);

		assert_int_equal(HASH_COUNT(decoded->routes), 2);
		relay_config_release(decoded);
	}
}

/* Checks that the configuration with @p from replaced by @p to is refused, with
 * @p names in the error. */
static void
config_refused(const char *from, const char *to, const char *names)
{
	char *text = config_edit(from, to);
	err_t err = {0};

	assert_null(config_row_decode(text, strlen(text), NULL, &err));
	free(text);
	if (strstr(err.detail, names) == NULL)
		fail_msg("\"%s\" does not name %s", err.detail, names);
}

/* Checks that with @p from replaced by @p to one part of the configuration is
 * refused, with @p names in the error, and all else is in force.
 * @return the configuration */
static relay_config_t *
config_part_refused(const char *from, const char *to, const char *names)
{
	relay_config_t *decoded = config_decode_edited(NULL, from, to);

	assert_int_equal(decoded->version, 7);
	assert_int_equal(decoded->parts_refused, 1);
	if (strstr(decoded->refused_why.detail, names) == NULL)
		fail_msg("\"%s\" does not name %s", decoded->refused_why.detail,
		    names);
	assert_true(decoded->keys_required);
	assert_string_equal(
	    relay_config_find_organisation(decoded, "k1")->name, "t1");
	assert_null(relay_config_find_organisation(decoded, "k3"));
	assert_non_null(relay_config_find_service(decoded, "s1"));
	assert_non_null(relay_config_find_service(decoded, "s2"));
	return decoded;
}

/* A route that can't be read takes the requests of its prefix all the same. */
static void
route_refused(const char *path, const char *other_path, const char *from,
    const char *to, const char *names)
{
	relay_config_t *decoded = config_part_refused(from, to, names);

	assert_true(
	    relay_config_find_route(decoded, "a.example", path)->unreadable);
	assert_false(relay_config_find_route(decoded, "a.example", other_path)
			 ->unreadable);
	relay_config_release(decoded);
}

static void
unnamed_route_refused(
    const char *other_path, const char *from, const char *to, const char *names)
{
	relay_config_t *decoded = config_part_refused(from, to, names);

	assert_int_equal(HASH_COUNT(decoded->routes), 1);
	assert_false(relay_config_find_route(decoded, "a.example", other_path)
			 ->unreadable);
	relay_config_release(decoded);
}

/* Guards against a configuration that is dropped with the keys that it takes
 * away, because one of its routes, services or keys can't be read. */
static void
a_part_that_is_invalid_takes_no_other_with_it(void **state)
{
	relay_config_t *decoded;

	(void)state;
	route_refused(
	    "/x/y/", "/x/", "\"type\":\"unsafe\"", "\"type\":\"odd\"", "type");
	route_refused("/x/", "/x/y/", "\"timeout_ms\":20000",
	    "\"timeout_ms\":-1", "timeout_ms");
	route_refused(
	    "/x/y/", "/x/", "\"weight\":90", "\"weight\":\"x\"", "weight");
	route_refused("/x/", "/x/y/", "\"resumable\":true", "\"resumable\":1",
	    "resumable");
	route_refused("/x/", "/x/y/", "\"name\":\"r1\"", "\"name\":1", "name");
	route_refused("/x/", "/x/y/", "[\"m0\",\"m1\"]", "[\"m0\",2]", "sizes");
	unnamed_route_refused(
	    "/x/y/", "\"host\":\"a.example\"", "\"host\":1", "host");
	unnamed_route_refused(
	    "/x/y/", "\"prefix\":\"/x/\"", "\"prefix\":\"\"", "prefix");
	unnamed_route_refused(
	    "/x/y/", "\"prefix\":\"/x/y/\"", "\"prefix\":\"/x/\"", "prefix");
	decoded = config_part_refused("\"routes\":[", "\"routes\":[5,", "host");
	assert_int_equal(HASH_COUNT(decoded->routes), 2);
	relay_config_release(decoded);
	decoded = config_part_refused(
	    "\"max_conns\":370", "\"max_conns\":0", "max_conns");
	assert_int_equal(
	    relay_config_find_service(decoded, "s1")->connections_max, 100);
	relay_config_release(decoded);
	decoded =
	    config_part_refused("[\"k1\",\"k2\"]", "[\"k1\",2]", "api_keys");
	assert_null(relay_config_find_organisation(decoded, "k2"));
	relay_config_release(decoded);
	decoded = config_part_refused("\"priority\":1}]",
	    "\"priority\":1},{\"name\":\"t2\",\"api_keys\":[\"k1\",\"k4\"]}]",
	    "share a key");
	assert_string_equal(
	    relay_config_find_organisation(decoded, "k4")->name, "t2");
	relay_config_release(decoded);
	decoded = config_part_refused(
	    "\"priority\":1}]", "\"priority\":{}}]", "priority");
	assert_true(relay_config_find_organisation(decoded, "k1")->unreadable);
	relay_config_release(decoded);
	decoded = config_part_refused("\"idle_timeout_ms\":15000",
	    "\"idle_timeout_ms\":{}", "idle_timeout_ms");
	assert_int_equal(decoded->read_timeout_ms, 3000);
	relay_config_release(decoded);
}

/* Guards against headers that a line break in a name adds to the requests for
 * endpoints. */
static void
names_with_line_breaks_are_not_sent_in_headers(void **state)
{
	relay_config_t *decoded;

	(void)state;
	decoded = config_part_refused("\"priority\":1}]",
	    "\"priority\":1},{\"name\":\"t\\r\\nX: 1\","
	    "\"api_keys\":[\"k4\"]}]",
	    "control character");
	assert_true(relay_config_find_organisation(decoded, "k4")->unreadable);
	relay_config_release(decoded);
	route_refused("/x/", "/x/y/", "[\"m0\",\"m1\"]",
	    "[\"m0\",\"m1\\r\\nX: 1\"]", "control character");
}

/* Text of a configuration that is built piece by piece. */
typedef struct addition {
	char *text;
	size_t len;
	size_t cap;
} addition_t;

static void
addition_put(addition_t *added, const char *text)
{
	size_t len = strlen(text);

	while (added->len + len + 1 > added->cap) {
		added->cap = 2 * (added->cap + len + 1);
		added->text = realloc(added->text, added->cap);
	}
	memcpy(added->text + added->len, text, len + 1);
	added->len += len;
}

static void
addition_fill(addition_t *added, char byte, size_t count)
{
	char text[2] = {byte, '\0'};

	for (size_t i = 0; i < count; i++)
		addition_put(added, text);
}

#define LONG_PATH 30000

/* Guards against limits of this decoder that the operator's configurations do
 * not have: each of them refused the configuration as a whole. */
static void
texts_and_lists_may_be_as_long_as_the_row(void **state)
{
	static char path[LONG_PATH + 3];
	addition_t added = {NULL, 0, 0};
	const relay_organisation_t *organisation;
	const relay_route_t *route;
	relay_config_t *decoded;
	err_t err;

	(void)state;
	memset(path, '/', sizeof(path) - 1);
	addition_put(&added, "{\"version\":7,\"services\":[{\"name\":\"");
	addition_fill(&added, 's', 300);
	addition_put(&added, "\"}],\"routes\":[{\"name\":\"");
	addition_fill(&added, 'n', 300);
	addition_put(&added, "\",\"host\":\"");
	addition_fill(&added, 'h', 253);
	addition_put(&added, "\",\"prefix\":\"");
	addition_fill(&added, '/', LONG_PATH);
	addition_put(&added, "\",\"type\":\"safe\",\"sizes\":[\"m\"");
	for (int i = 0; i < 40; i++)
		addition_put(&added, ",\"n\"");
	addition_put(&added, ",\"largest\"],\"regions_allowed\":[\"r\"");
	for (int i = 0; i < 40; i++)
		addition_put(&added, ",\"q\"");
	addition_put(&added, ",\"");
	addition_fill(&added, 't', 200);
	addition_put(
	    &added, "\"],\"backends\":[{\"service\":\"a\",\"weight\":1}");
	for (int i = 0; i < 40; i++)
		addition_put(&added, ",{\"service\":\"b\",\"weight\":0}");
	addition_put(&added, ",{\"service\":\"");
	addition_fill(&added, 's', 300);
	addition_put(&added,
	    "\",\"weight\":3}]}],"
	    "\"tenants\":[{\"name\":\"");
	addition_fill(&added, 'o', 300);
	addition_put(&added, "\",\"api_keys\":[\"k1\",\"k1\",\"");
	addition_fill(&added, 'k', 4000);
	addition_put(&added, "\"]}]}");
	decoded = config_row_decode(added.text, added.len, NULL, &err);
	free(added.text);
	assert_non_null(decoded);
	assert_int_equal(decoded->parts_refused, 0);
	organisation = relay_config_find_organisation(decoded, "k1");
	assert_int_equal(strlen(organisation->name), 300);
	route = decoded->routes->route;
	assert_ptr_equal(
	    relay_config_find_route(decoded, route->host, path), route);
	path[LONG_PATH - 1] = 'x';
	assert_null(relay_config_find_route(decoded, route->host, path));
	assert_int_equal(route->pools_len, 42);
	assert_int_equal(route->models_len, MODELS_MAX);
	assert_string_equal(
	    route->models[route->models_len - 1].name, "largest");
	assert_int_equal(route->regions.len, 42);
	relay_config_release(decoded);
}

/* Decodes a configuration with a part replaced, which must be taken whole. */
static relay_config_t *
config_taken(const char *from, const char *to)
{
	relay_config_t *decoded = config_decode_edited(NULL, from, to);

	assert_int_equal(decoded->parts_refused, 0);
	return decoded;
}

/* Guards against the same for numbers: what is larger than this daemon can use
 * counts as the largest that it can. */
static void
numbers_may_be_of_any_size(void **state)
{
	static const char *const large[][2] = {
	    {"\"timeout_ms\":20000", "\"timeout_ms\":1e15"},
	    {"\"slo_ms\":1500", "\"slo_ms\":100000000"},
	    {"\"priority\":0", "\"priority\":2000"},
	    {"\"max_attempts\":3", "\"max_attempts\":123456789012345678901"},
	    {"\"target_itl_ms\":1200", "\"target_itl_ms\":99999999999"},
	    {"\"max_conns\":370", "\"max_conns\":5000000000"},
	    {"\"max_body_bytes\":4194304", "\"max_body_bytes\":1099511627776"},
	    {"\"idle_timeout_ms\":15000", "\"idle_timeout_ms\":1e12"},
	};
	relay_config_t *decoded;
	const relay_route_t *route;

	(void)state;
	for (size_t i = 0; i < sizeof(large) / sizeof(large[0]); i++)
		relay_config_release(config_taken(large[i][0], large[i][1]));
	decoded = config_taken("\"weight\":90", "\"weight\":9000000");
	route = relay_config_find_route(decoded, "a.example", "/x/y/");
	assert_int_equal(route->pools[0].weight, 9000000);
	relay_config_release(decoded);
	decoded = config_taken("\"weight\":90", "\"weight\":2.5");
	route = relay_config_find_route(decoded, "a.example", "/x/y/");
	assert_int_equal(route->pools[1].weight, 4 * route->pools[0].weight);
	relay_config_release(decoded);
	/* The factor to a usual weight is beyond the range of a double. */
	decoded =
	    config_taken("\"weight\":90},{\"service\":\"s2\",\"weight\":10}",
		"\"weight\":1e-300},{\"service\":\"s2\",\"weight\":0}");
	route = relay_config_find_route(decoded, "a.example", "/x/y/");
	assert_int_equal(route->pools[0].weight, 1000000000);
	assert_int_equal(route->pools[1].weight, 0);
	relay_config_release(decoded);
}

static void
invalid_configurations_are_refused_by_field(void **state)
{
	(void)state;
	config_refused("\"version\":7", "\"version\":\"7\"", "version");
	config_refused("\"version\":7,", "", "version");
	config_refused("\"routes\":[", "\"routes\":[,", "routes");
	config_refused("},{\"name\":\"r2\"", "}{\"name\":\"r2\"", "routes");
	config_refused(
	    "\"anonymous\":true}]", "\"anonymous\":true},]", "routes");
	config_refused("\"routes\":[", "\"other\":[", "routes");
	config_refused("\"tenants\":[", "\"tenants\":7,\"other\":[", "tenants");
	config_refused("{\"version\"", "[{\"version\"", "object");
}

static const char entry[] =
    "{\"service\":\"s1\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\","
    "\"version\":\"v1\",\"batch_slots\":64,\"state\":\"ready\","
    "\"warmup_left_ms\":0,\"sequence\":4}";

static void
an_endpoint_is_decoded(void **state)
{
	static const char later[] =
	    "{\"service\":\"s1\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\","
	    "\"version\":\"v1\",\"batch_slots\":64,\"state\":\"ready\","
	    "\"warmup_left_ms\":0,\"sequence\":9}";
	static const char leaving[] =
	    "{\"service\":\"s1\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\","
	    "\"version\":\"v1\",\"batch_slots\":64,\"state\":\"draining\"}";
	endpoint_info_t info;
	err_t err;

	(void)state;
	assert_true(
	    endpoint_row_decode("i-1", entry, strlen(entry), &info, &err));
	assert_string_equal(info.id, "i-1");
	assert_int_equal(info.address.port, 8080);
	assert_int_equal(info.slots, 64);
	assert_false(info.leaving);
	assert_true(
	    endpoint_row_decode("i-1", leaving, strlen(leaving), &info, &err));
	assert_true(info.leaving);
	assert_true(
	    endpoint_row_unchanged(entry, strlen(entry), later, strlen(later)));
	assert_false(endpoint_row_unchanged(
	    entry, strlen(entry), leaving, strlen(leaving)));
}

static bool
warmup_unchanged(int before_ms, int now_ms)
{
	char before[200], now[200];
	int prefix_len = (int)(strstr(entry, "\"warmup_left_ms\"") - entry);

	snprintf(before, sizeof(before), "%.*s\"warmup_left_ms\":%d}",
	    prefix_len, entry, before_ms);
	snprintf(now, sizeof(now), "%.*s\"warmup_left_ms\":%d}", prefix_len,
	    entry, now_ms);
	return endpoint_row_unchanged(before, strlen(before), now, strlen(now));
}

/* Guards against dropping an entry of an endpoint that became cold or warm
 * without a restart. */
static void
becoming_cold_or_warm_is_a_change(void **state)
{
	(void)state;
	assert_true(warmup_unchanged(3000, 1800));
	assert_false(warmup_unchanged(0, 3000));
	assert_false(warmup_unchanged(600, 3000));
	assert_false(warmup_unchanged(600, 0));
}

static bool
start_time_decode(const char *start_time, int64_t *started_ms)
{
	endpoint_info_t info;
	char text[400];
	err_t err;
	bool decoded;

	snprintf(text, sizeof(text), "%.*s,\"born\":%s}",
	    (int)strlen(entry) - 1, entry, start_time);
	decoded = endpoint_row_decode("i-1", text, strlen(text), &info, &err);
	if (!decoded && strstr(err.detail, "born") == NULL)
		fail_msg("\"%s\" does not name born", err.detail);
	*started_ms = info.started_ms;
	return decoded;
}

static void
start_times_are_decoded(void **state)
{
	static const char *const invalid[] = {"\"1700000000000\"", "1.5", "-1",
	    "9007199254740993", "1e300", "null", "true", "[1]", "{}"};
	int64_t started_ms;

	(void)state;
	assert_true(start_time_decode("1700000000123", &started_ms));
	assert_int_equal(started_ms, 1700000000123);
	assert_true(start_time_decode("0", &started_ms));
	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++)
		assert_false(start_time_decode(invalid[i], &started_ms));
}

/* Guards against dropping an entry of an endpoint that started again under the
 * same id, if nothing else of it changed. */
static void
another_start_time_is_a_change(void **state)
{
	char first[400], second[400];

	(void)state;
	snprintf(first, sizeof(first), "%.*s,\"born\":5}",
	    (int)strlen(entry) - 1, entry);
	snprintf(second, sizeof(second), "%.*s,\"born\":6}",
	    (int)strlen(entry) - 1, entry);
	assert_true(
	    endpoint_row_unchanged(first, strlen(first), first, strlen(first)));
	assert_false(endpoint_row_unchanged(
	    first, strlen(first), second, strlen(second)));
	assert_false(endpoint_row_unchanged(
	    entry, strlen(entry), second, strlen(second)));
}

/* Encodes what was decoded, and checks that it means the same. */
static void
entry_encode(const char *text, char encoded[ENDPOINT_TEXT_SIZE])
{
	endpoint_info_t info;
	err_t err;
	size_t len;

	assert_true(
	    endpoint_row_decode("i-1", text, strlen(text), &info, &err));
	len = endpoint_row_encode(&info, encoded, ENDPOINT_TEXT_SIZE);
	assert_int_equal(len, strlen(encoded));
	assert_in_range(len, 1, ENDPOINT_TEXT_SIZE - 1);
	assert_true(endpoint_row_unchanged(text, strlen(text), encoded, len));
	assert_true(endpoint_row_unchanged(encoded, len, text, strlen(text)));
}

static void
encoded_entries_mean_the_same(void **state)
{
	char all[ENDPOINT_TEXT_SIZE], later[ENDPOINT_TEXT_SIZE];
	char longest[2000];

	(void)state;
	entry_encode("{\"service\":\"s\\\"\\\\\\n\\u00e4 /\","
		     "\"address\":\"10.0.0.9:8080\",\"zone\":\"z\\u0001\","
		     "\"version\":\"v1\",\"batch_slots\":64,"
		     "\"state\":\"draining\",\"warmup_left_ms\":70,"
		     "\"preemptible\":true,\"born\":1778527889000,"
		     "\"sequence\":8,\"phase\":\"colocated\"}",
	    all);
	snprintf(longest, sizeof(longest), "{\"state\":\"ready\"");
	for (int i = 0; i < 3; i++) {
		static const char *const fields[] = {
		    "service", "zone", "version"};
		size_t len = strlen(longest);

		len += (size_t)snprintf(longest + len, sizeof(longest) - len,
		    ",\"%s\":\"", fields[i]);
		for (size_t j = 0; j < ROW_FIELD_TEXT_MAX; j++) {
			longest[len++] = '\\';
			longest[len++] = '"';
		}
		longest[len++] = '"';
		longest[len] = '\0';
	}
	strcat(longest, ",\"address\":\"255.255.255.255:65535\"}");
	entry_encode(longest, all);
	/* Heartbeats have the same text. */
	entry_encode(entry, all);
	snprintf(longest, sizeof(longest), "%.*s,\"sequence\":77}",
	    (int)strlen(entry) - 1, entry);
	entry_encode(longest, later);
	assert_string_equal(all, later);
}

static void
invalid_endpoints_are_refused_by_field(void **state)
{
	static const char *const invalid[][2] = {
	    {"{\"address\":\"10.0.0.9:80\"}", "service"},
	    {"{\"service\":\"s\",\"address\":\"no\",\"zone\":\"a\","
	     "\"version\":\"v\",\"state\":\"ready\"}",
		"address"},
	    {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"a\","
	     "\"version\":1,\"state\":\"ready\"}",
		"version"},
	    {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"a\","
	     "\"version\":\"v\"}",
		"state"},
	    {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"a\","
	     "\"version\":\"v\",\"state\":\"ready\",\"batch_slots\":-1}",
		"batch_slots"},
	    {"no JSON", "object"},
	};
	endpoint_info_t info;
	err_t err;

	(void)state;
	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		assert_false(endpoint_row_decode(
		    "i-1", invalid[i][0], strlen(invalid[i][0]), &info, &err));
		if (strstr(err.detail, invalid[i][1]) == NULL)
			fail_msg("\"%s\" does not name %s", err.detail,
			    invalid[i][1]);
	}
}

/* Decodes a response of the store with these rows.
 * @param more there is a next page */
static json_t *
rows_decode(const char *rows, bool more, store_rows_t *list)
{
	char text[600];
	json_t *body;

	snprintf(text, sizeof(text), "{\"rows\":[%s],\"has_more\":%s}", rows,
	    more ? "true" : "false");
	body = store_body_parse(text, strlen(text));
	assert_non_null(body);
	store_rows_decode(body, 0, list);
	return body;
}

static void
malformed_rows_do_not_affect_others(void **state)
{
	store_rows_t list;
	json_t *body = rows_decode(
	    "{\"key\":\"a\",\"row_version\":4,\"value\":\"dGV4dA==\"},"
	    "{\"key\":\"b\",\"row_version\":5,\"value\":\"?\"},"
	    "{\"key\":\"c\",\"row_version\":6,\"value\":7},"
	    "{\"key\":\"d\\u0000x\",\"row_version\":7,\"value\":\"\"},"
	    "{\"key\":5,\"row_version\":8,\"value\":\"\"},"
	    "{\"key\":\"e\",\"row_version\":9,\"deleted\":true}",
	    false, &list);

	(void)state;
	assert_int_equal(list.len, 4);
	assert_int_equal(list.rows_bad_key, 2);
	assert_string_equal(list.rows[0].value, "text");
	assert_string_equal(list.rows[1].value, "");
	assert_string_equal(list.rows[2].value, "");
	assert_true(list.rows[3].deleted);
	assert_null(list.next_page);
	store_rows_free(&list);
	json_decref(body);
}

/* Guards against a read that stops at, or never gets past, a page whose last
 * key has a zero byte, or that holds only one row. */
static void
the_next_page_follows_any_key(void **state)
{
	store_rows_t list;
	json_t *body;

	(void)state;
	body = rows_decode("{\"key\":\"a\",\"row_version\":4,\"value\":\"\"},"
			   "{\"key\":\"b c\\u0000d\",\"row_version\":5,"
			   "\"value\":\"\"}",
	    true, &list);
	assert_string_equal(list.next_page, "b%20c%00d");
	store_rows_free(&list);
	json_decref(body);
	body = rows_decode(
	    "{\"key\":\"huge\",\"row_version\":4,\"value\":\"\"}", true, &list);
	assert_string_equal(list.next_page, "huge%01");
	store_rows_free(&list);
	json_decref(body);
}

static void
rollout_orders_and_states(void **state)
{
	static const char valid[] =
	    "{\"service\":\"s1\",\"to\":\"v2\",\"duration_s\":12}";
	static const char invalid[] = "{\"service\":\"s1\",\"to\":\"v2\"}";
	char *table = NULL, *key = NULL, *value = NULL;
	rollout_order_t order;
	err_t err;

	(void)state;
	assert_true(
	    rollout_order_row_decode(valid, strlen(valid), 9, &order, &err));
	assert_int_equal(order.duration_ms, 12000);
	assert_int_equal(order.number, 9);
	assert_false(rollout_order_row_decode(
	    invalid, strlen(invalid), 9, &order, &err));
	assert_non_null(strstr(err.detail, "duration_s"));
	assert_false(rollout_order_row_decode("[]", 2, 9, &order, &err));
	assert_true(platform_rollout_status_encoder.encode(
	    &order, ROLLOUT_REVERTED, &table, &key, &value));
	assert_string_equal(table, "status");
	assert_string_equal(key, "rollout/s1");
	assert_string_equal(value, "{\"state\":\"reverted\",\"to\":\"v2\"}");
	free(table);
	free(key);
	free(value);
}

static const char node[] = "zone=a\nregion=r\nlisten.frontend=10.1.0.4:80\n"
			   "listen.readiness=10.1.0.4:81\n"
			   "listen.registry=10.1.0.4:82\n"
			   "platform.address=10.2.0.1:90\n"
			   "port_range=7340,7355\nnew.field=1\n"
			   "bounds.grace_s=8\nbounds.retry_budget_ratio=0.9\n";

static void
a_settings_file_is_checked(void **state)
{
	char text[1024];
	node_file_t file;
	err_t err;

	(void)state;
	assert_true(node_file_parse(node, &file, &err));
	assert_int_equal(file.grace_ms, 8000);
	assert_int_equal(file.metrics.port, 7340);
	assert_int_equal(file.peers.port, 7341);
	assert_string_equal(file.frontend_text, "10.1.0.4:80");
	snprintf(text, sizeof(text), "%sbounds.drain_ms=soon\n", node);
	assert_false(node_file_parse(text, &file, &err));
	assert_non_null(strstr(err.detail, "bounds.drain_ms"));
	snprintf(text, sizeof(text), "%sbounds.revoke_ms=1\n", node);
	assert_false(node_file_parse(text, &file, &err));
	assert_non_null(strstr(err.detail, "bounds.revoke_ms"));
	assert_false(node_file_parse("zone=a\n", &file, &err));
	assert_non_null(strstr(err.detail, "listen.frontend"));
}

/** A request with some headers. */
typedef struct headers {
	http_field_t fields[16];
	http_msg_t msg;
} headers_t;

static void
header_add(headers_t *headers, const char *name, const char *value)
{
	headers->fields[headers->msg.fields_len++] =
	    (http_field_t){(char *)(uintptr_t)name, (char *)(uintptr_t)value};
	headers->msg.fields = headers->fields;
	if (strcmp(name, "Connection") == 0)
		assert_true(http_msg_add_options(&headers->msg, value));
}

static void
router_headers_from_callers_are_dropped(void **state)
{
	headers_t headers = {.msg = {.method = "POST", .keep_alive = true}};
	endpoint_info_t info = {.id = "i-1"};
	struct evbuffer *out = evbuffer_new();
	arrival_t arrival;
	attempt_head_t attempt = {.request = &headers.msg,
	    .arrival = &arrival,
	    .endpoint = &info,
	    .organisation = "t1",
	    .model = "m0",
	    .remaining_ms = 900,
	    .rank = 2,
	    .has_body = true,
	    .body_len = 3};
	const char *text;
	err_t err;

	(void)state;
	headers.msg.target = (char *)(uintptr_t) "/x/?a=b";
	header_add(&headers, "Host", "a.example");
	header_add(&headers, "Moortack-Attempt-Id", "id1");
	header_add(&headers, "Moortack-Credential", "secret");
	header_add(&headers, "Moortack-Tenant-Id", "forged");
	header_add(&headers, "moortack-pin-ms", "5999");
	header_add(&headers, "Moortack-Kv-Backup", "10.255.0.1:1");
	header_add(&headers, "Kv-From", "10.255.0.1:1/x");
	header_add(&headers, "Connection", "X-Hop");
	header_add(&headers, "X-Hop", "1");
	header_add(&headers, "X-Kept", "2");
	header_add(&headers, "Moortack-Model-Id", "*");
	header_add(&headers, "Moortack-Token-Count", "70,90");
	header_add(&headers, "Moortack-Prefix-Hash", "ab:60,cd:10");
	header_add(&headers, "Moortack-Deadline-Ms", "1500");
	assert_true(platform_caller_dialect.read(&headers.msg, &arrival, &err));
	assert_true(arrival.any_model);
	assert_int_equal(arrival.parts_len, 2);
	assert_int_equal(arrival.tokens_out_max, 90);
	assert_int_equal(arrival.deadline_ms, 1500);
	platform_endpoint_dialect.write(&attempt, out);
	evbuffer_add(out, "", 1);
	text = (const char *)evbuffer_pullup(out, -1);
	assert_non_null(strstr(text, "POST /x/?a=b HTTP/1.1\r\n"));
	assert_non_null(strstr(text, "Moortack-Tenant-Id: t1\r\n"));
	assert_non_null(strstr(text, "Moortack-Expect-Replica: i-1\r\n"));
	assert_non_null(strstr(text, "Moortack-Deadline-Ms: 900\r\n"));
	assert_non_null(strstr(text, "Moortack-Model-Id: m0\r\n"));
	assert_non_null(strstr(text, "X-Kept: 2\r\n"));
	assert_non_null(strstr(text, "Content-Length: 3\r\n"));
	assert_null(strstr(text, "secret"));
	assert_null(strstr(text, "forged"));
	assert_null(strstr(text, "5999"));
	assert_null(strstr(text, "10.255.0.1"));
	assert_null(strstr(text, "X-Hop"));
	assert_null(strstr(text, "1500"));
	evbuffer_free(out);
}

static void
response_heads_are_decoded(void **state)
{
	headers_t headers = {.msg = {.status = 200, .keep_alive = true}};
	arrival_t arrival = {.id = "id1"};
	endpoint_response_t response;

	(void)state;
	header_add(&headers, "Moortack-Attempt-Id", "id1");
	header_add(&headers, "Moortack-Response-Signature", "s");
	header_add(&headers, "Moortack-Replica-Load", "3,1,8");
	header_add(&headers, "Keep-Alive", "timeout=4");
	platform_endpoint_dialect.read(&headers.msg, &arrival, &response);
	assert_true(response.has_signature);
	assert_false(response.id_mismatch);
	assert_int_equal(response.load.waiting, 1);
	assert_in_range(response.idle_max_ms, 3000, 4000);
	strcpy(arrival.id, "id2");
	platform_endpoint_dialect.read(&headers.msg, &arrival, &response);
	assert_true(response.id_mismatch);
	headers.msg.fields_len = 0;
	platform_endpoint_dialect.read(&headers.msg, &arrival, &response);
	assert_true(response.id_mismatch);
	headers.msg.status = 503;
	header_add(&headers, "Moortack-Not-Executed", "1");
	platform_endpoint_dialect.read(&headers.msg, &arrival, &response);
	assert_true(response.not_run);
	assert_false(response.id_mismatch);
}

static void
shared_parts_are_all_but_the_last_one(void **state)
{
	headers_t headers = {0}, single = {0}, odd = {0}, long_list = {0};
	char text[40 * 8] = "";
	uint64_t ids[64];

	(void)state;
	header_add(&headers, "Moortack-Prefix-Hash", "ab:60, cd:10,ef:1");
	assert_int_equal(
	    platform_caller_dialect.shared_parts(&headers.msg, ids, 64), 2);
	assert_int_equal(ids[0], 0xab);
	assert_int_equal(ids[1], 0xcd);
	assert_int_equal(
	    platform_caller_dialect.shared_parts(&headers.msg, ids, 1), 1);
	header_add(&single, "Moortack-Prefix-Hash", "ab:60");
	assert_int_equal(
	    platform_caller_dialect.shared_parts(&single.msg, ids, 64), 0);
	header_add(&odd, "Moortack-Prefix-Hash", "ab:60,cd");
	assert_int_equal(
	    platform_caller_dialect.shared_parts(&odd.msg, ids, 64), 0);
	/* More than are kept for placing. */
	for (int i = 0; i < 40; i++)
		snprintf(text + strlen(text), sizeof(text) - strlen(text),
		    "%s%x:1", i > 0 ? "," : "", i + 1);
	header_add(&long_list, "Moortack-Prefix-Hash", text);
	assert_int_equal(
	    platform_caller_dialect.shared_parts(&long_list.msg, ids, 64), 39);
	assert_int_equal(ids[38], 39);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_configuration_is_decoded),
	    cmocka_unit_test(odd_stride_counts_as_unknown),
	    cmocka_unit_test(invalid_configurations_are_refused_by_field),
	    cmocka_unit_test(a_part_that_is_invalid_takes_no_other_with_it),
	    cmocka_unit_test(names_with_line_breaks_are_not_sent_in_headers),
	    cmocka_unit_test(texts_and_lists_may_be_as_long_as_the_row),
	    cmocka_unit_test(numbers_may_be_of_any_size),
	    cmocka_unit_test(unchanged_routes_are_shared),
	    cmocka_unit_test(routes_with_changed_prices_are_not_shared),
	    cmocka_unit_test(any_spelling_of_routes_is_decoded),
	    cmocka_unit_test(an_endpoint_is_decoded),
	    cmocka_unit_test(becoming_cold_or_warm_is_a_change),
	    cmocka_unit_test(start_times_are_decoded),
	    cmocka_unit_test(another_start_time_is_a_change),
	    cmocka_unit_test(encoded_entries_mean_the_same),
	    cmocka_unit_test(invalid_endpoints_are_refused_by_field),
	    cmocka_unit_test(malformed_rows_do_not_affect_others),
	    cmocka_unit_test(the_next_page_follows_any_key),
	    cmocka_unit_test(rollout_orders_and_states),
	    cmocka_unit_test(a_settings_file_is_checked),
	    cmocka_unit_test(router_headers_from_callers_are_dropped),
	    cmocka_unit_test(response_heads_are_decoded),
	    cmocka_unit_test(shared_parts_are_all_but_the_last_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
