/**
 * @file
 * The platform's messages: what is taken, and what is refused by name.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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
    "{\"models\":[{\"name\":\"m1\",\"cost\":0.18}]}},{\"name\":\"s2\"}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"],"
    "\"priority\":1}]}";

static void
a_configuration_is_taken(void **state)
{
	err_t err;
	relay_config_t *taken =
	    config_row_decode(config, sizeof(config) - 1, NULL, &err);
	const relay_route_t *route;

	(void)state;
	assert_non_null(taken);
	assert_int_equal(taken->version, 7);
	route = relay_config_find_route(taken, "a.example:80", "/x/y/z?q=/x/");
	assert_string_equal(route->name, "r2");
	assert_int_equal(route->pools_len, 2);
	assert_true(route->anonymous);
	route = relay_config_find_route(taken, "a.example", "/x/z");
	assert_string_equal(route->name, "r1");
	assert_int_equal(route->kind, ROUTE_STREAM);
	assert_int_equal(route->models_len, 2);
	assert_true(route->models[1].cost > 0.17);
	assert_null(relay_config_find_route(taken, "a.example", "/x"));
	assert_null(relay_config_find_route(taken, "b.example", "/x/"));
	assert_string_equal(
	    relay_config_find_organisation(taken, "k2")->name, "t1");
	assert_null(relay_config_find_organisation(taken, "k3"));
	assert_int_equal(
	    relay_config_find_service(taken, "s1")->connections_max, 370);
	assert_int_equal(taken->idle_timeout_ms, 15000);
	relay_config_release(taken);
}

static char *
replaced(const char *from, const char *to)
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
taken_after(const relay_config_t *before, const char *from, const char *to)
{
	char *text = replaced(from, to);
	relay_config_t *taken =
	    config_row_decode(text, strlen(text), before, NULL);

	free(text);
	assert_non_null(taken);
	return taken;
}

static void
routes_that_stay_are_shared_with_the_configuration_before(void **state)
{
	relay_config_t *before =
	    config_row_decode(config, sizeof(config) - 1, NULL, NULL);
	relay_config_t *after =
	    taken_after(before, "\"max_attempts\":1", "\"max_attempts\":2");
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

/* A model's price stands with the service. */
static void
other_prices_make_other_routes(void **state)
{
	relay_config_t *before =
	    config_row_decode(config, sizeof(config) - 1, NULL, NULL);
	relay_config_t *after = taken_after(before, "0.18", "0.36");
	const relay_route_t *one, *two;

	(void)state;
	one = relay_config_find_route(before, "a.example", "/x/");
	two = relay_config_find_route(after, "a.example", "/x/");
	assert_ptr_not_equal(one, two);
	assert_true(one->models[1].cost < 0.19);
	assert_true(two->models[1].cost > 0.35);
	relay_config_release(before);
	relay_config_release(after);
}

static void
routes_are_taken_however_they_are_spelt(void **state)
{
	static const char *const spelt[] = {"\"\\u0072outes\":[",
	    "\"routes\" : [ ", "\"routes\":[],\"routes\":["};

	(void)state;
	for (size_t i = 0; i < sizeof(spelt) / sizeof(spelt[0]); i++) {
		relay_config_t *taken =
		    taken_after(NULL, "\"routes\":[", spelt[i]);

		assert_int_equal(HASH_COUNT(taken->routes), 2);
		relay_config_release(taken);
	}
}

/* The configuration with one text replaced by another. */
static void
refused_with(const char *from, const char *to, const char *names)
{
	char *text = replaced(from, to);
	err_t err = {0};

	assert_null(config_row_decode(text, strlen(text), NULL, &err));
	free(text);
	if (strstr(err.detail, names) == NULL)
		fail_msg("\"%s\" does not name %s", err.detail, names);
}

static void
a_bad_configuration_is_refused_by_the_field(void **state)
{
	char longer[400];

	(void)state;
	memset(longer, 'x', sizeof(longer));
	memcpy(longer, "\"name\":\"", 8);
	memcpy(longer + sizeof(longer) - 2, "\"", 2);
	refused_with("\"version\":7", "\"version\":\"7\"", "version");
	refused_with("\"version\":7,", "", "version");
	refused_with("\"routes\":[", "\"routes\":[,", "routes");
	refused_with("},{\"name\":\"r2\"", "}{\"name\":\"r2\"", "routes");
	refused_with("\"anonymous\":true}]", "\"anonymous\":true},]", "routes");
	refused_with("\"routes\":[", "\"routes\":[5,", "routes");
	refused_with("\"type\":\"unsafe\"", "\"type\":\"odd\"", "type");
	refused_with("\"name\":\"r2\"", longer, "name");
	refused_with("\"host\":\"a.example\"", "\"host\":1", "host");
	refused_with("\"prefix\":\"/x/\"", "\"prefix\":\"\"", "prefix");
	refused_with("\"timeout_ms\":20000", "\"timeout_ms\":-1", "timeout_ms");
	refused_with("\"weight\":90", "\"weight\":\"x\"", "weight");
	refused_with("\"resumable\":true", "\"resumable\":1", "resumable");
	refused_with("\"max_conns\":370", "\"max_conns\":0", "max_conns");
	refused_with("[\"k1\",\"k2\"]", "[\"k1\",2]", "api_keys");
	refused_with("[\"k1\",\"k2\"]", "[\"k1\",\"k1\"]", "share a key");
	refused_with("\"routes\":[", "\"other\":[", "routes");
	refused_with("\"prefix\":\"/x/y/\"", "\"prefix\":\"/x/\"", "prefix");
	refused_with("\"idle_timeout_ms\":15000", "\"idle_timeout_ms\":{}",
	    "idle_timeout_ms");
	refused_with("{\"version\"", "[{\"version\"", "object");
}

static const char entry[] =
    "{\"service\":\"s1\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\","
    "\"version\":\"v1\",\"batch_slots\":64,\"state\":\"ready\","
    "\"warmup_left_ms\":0,\"sequence\":4}";

static void
an_endpoint_is_taken(void **state)
{
	static const char later[] =
	    "{\"service\":\"s1\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\","
	    "\"version\":\"v1\",\"batch_slots\":64,\"state\":\"ready\","
	    "\"warmup_left_ms\":0,\"sequence\":9}";
	static const char leaving[] =
	    "{\"service\":\"s1\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\","
	    "\"version\":\"v1\",\"batch_slots\":64,\"state\":\"draining\"}";
	endpoint_info_t facts;
	err_t err;

	(void)state;
	assert_true(
	    endpoint_row_decode("i-1", entry, strlen(entry), &facts, &err));
	assert_string_equal(facts.id, "i-1");
	assert_int_equal(facts.address.port, 8080);
	assert_int_equal(facts.slots, 64);
	assert_false(facts.leaving);
	assert_true(
	    endpoint_row_decode("i-1", leaving, strlen(leaving), &facts, &err));
	assert_true(facts.leaving);
	assert_true(
	    endpoint_row_same(entry, strlen(entry), later, strlen(later)));
	assert_false(
	    endpoint_row_same(entry, strlen(entry), leaving, strlen(leaving)));
}

static bool
warmup_same(int before_ms, int now_ms)
{
	char before[200], now[200];
	int prefix_len = (int)(strstr(entry, "\"warmup_left_ms\"") - entry);

	snprintf(before, sizeof(before), "%.*s\"warmup_left_ms\":%d}",
	    prefix_len, entry, before_ms);
	snprintf(now, sizeof(now), "%.*s\"warmup_left_ms\":%d}", prefix_len,
	    entry, now_ms);
	return endpoint_row_same(before, strlen(before), now, strlen(now));
}

/* Guards against dropping an entry of an endpoint that became cold or warm
 * without a restart. */
static void
becoming_cold_or_warm_is_a_change(void **state)
{
	(void)state;
	assert_true(warmup_same(3000, 1800));
	assert_false(warmup_same(0, 3000));
	assert_false(warmup_same(600, 3000));
	assert_false(warmup_same(600, 0));
}

static bool
born_taken(const char *born, int64_t *born_ms)
{
	endpoint_info_t facts;
	char text[400];
	err_t err;
	bool taken;

	snprintf(text, sizeof(text), "%.*s,\"born\":%s}",
	    (int)strlen(entry) - 1, entry, born);
	taken = endpoint_row_decode("i-1", text, strlen(text), &facts, &err);
	if (!taken && strstr(err.detail, "born") == NULL)
		fail_msg("\"%s\" does not name born", err.detail);
	*born_ms = facts.started_ms;
	return taken;
}

static void
an_endpoint_says_when_it_started(void **state)
{
	static const char *const bad[] = {"\"1700000000000\"", "1.5", "-1",
	    "9007199254740993", "1e300", "null", "true", "[1]", "{}"};
	int64_t born_ms;

	(void)state;
	assert_true(born_taken("1700000000123", &born_ms));
	assert_int_equal(born_ms, 1700000000123);
	assert_true(born_taken("0", &born_ms));
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_false(born_taken(bad[i], &born_ms));
}

/* An entry whose start alone is another one is news to all. */
static void
another_start_is_a_change(void **state)
{
	char one[400], two[400];

	(void)state;
	snprintf(one, sizeof(one), "%.*s,\"born\":5}", (int)strlen(entry) - 1,
	    entry);
	snprintf(two, sizeof(two), "%.*s,\"born\":6}", (int)strlen(entry) - 1,
	    entry);
	assert_true(endpoint_row_same(one, strlen(one), one, strlen(one)));
	assert_false(endpoint_row_same(one, strlen(one), two, strlen(two)));
	assert_false(endpoint_row_same(entry, strlen(entry), two, strlen(two)));
}

static void
a_bad_endpoint_is_refused_by_the_field(void **state)
{
	static const char *const bad[][2] = {
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
	endpoint_info_t facts;
	err_t err;

	(void)state;
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		assert_false(endpoint_row_decode(
		    "i-1", bad[i][0], strlen(bad[i][0]), &facts, &err));
		if (strstr(err.detail, bad[i][1]) == NULL)
			fail_msg(
			    "\"%s\" does not name %s", err.detail, bad[i][1]);
	}
}

/* The store's answer, decoded; @c next of the list is what is asked for. */
static json_t *
rows_of(const char *rows, bool more, store_rows_t *list)
{
	char text[600];
	json_t *body;

	snprintf(text, sizeof(text), "{\"rows\":[%s],\"has_more\":%s}", rows,
	    more ? "true" : "false");
	body = store_body_read(text, strlen(text));
	assert_non_null(body);
	store_rows_read(body, 0, list);
	return body;
}

static void
rows_that_others_wrote_are_read_as_far_as_they_can_be(void **state)
{
	store_rows_t list;
	json_t *body =
	    rows_of("{\"key\":\"a\",\"row_version\":4,\"value\":\"dGV4dA==\"},"
		    "{\"key\":\"b\",\"row_version\":5,\"value\":\"?\"},"
		    "{\"key\":\"c\",\"row_version\":6,\"value\":7},"
		    "{\"key\":\"d\\u0000x\",\"row_version\":7,\"value\":\"\"},"
		    "{\"key\":5,\"row_version\":8,\"value\":\"\"},"
		    "{\"key\":\"e\",\"row_version\":9,\"deleted\":true}",
		false, &list);

	(void)state;
	assert_int_equal(list.len, 4);
	assert_int_equal(list.unnamed, 2);
	assert_string_equal(list.rows[0].value, "text");
	assert_string_equal(list.rows[1].value, "");
	assert_string_equal(list.rows[2].value, "");
	assert_true(list.rows[3].deleted);
	assert_null(list.next);
	store_rows_free(&list);
	json_decref(body);
}

/* A read goes on behind a page whatever its last key is, also if that is all
 * that the page has. */
static void
a_read_goes_on_behind_any_key(void **state)
{
	store_rows_t list;
	json_t *body;

	(void)state;
	body = rows_of("{\"key\":\"a\",\"row_version\":4,\"value\":\"\"},"
		       "{\"key\":\"b c\\u0000d\",\"row_version\":5,"
		       "\"value\":\"\"}",
	    true, &list);
	assert_string_equal(list.next, "b%20c%00d");
	store_rows_free(&list);
	json_decref(body);
	body = rows_of(
	    "{\"key\":\"huge\",\"row_version\":4,\"value\":\"\"}", true, &list);
	assert_string_equal(list.next, "huge%01");
	store_rows_free(&list);
	json_decref(body);
}

static void
orders_and_states_of_rollouts(void **state)
{
	static const char good[] =
	    "{\"service\":\"s1\",\"to\":\"v2\",\"duration_s\":12}";
	static const char bad[] = "{\"service\":\"s1\",\"to\":\"v2\"}";
	char *table = NULL, *key = NULL, *value = NULL;
	rollout_order_t order;
	err_t err;

	(void)state;
	assert_true(order_row_decode(good, strlen(good), 9, &order, &err));
	assert_int_equal(order.duration_ms, 12000);
	assert_int_equal(order.number, 9);
	assert_false(order_row_decode(bad, strlen(bad), 9, &order, &err));
	assert_non_null(strstr(err.detail, "duration_s"));
	assert_false(order_row_decode("[]", 2, 9, &order, &err));
	assert_true(platform_rollout_dialect.encode(
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
	assert_string_equal(file.callers_text, "10.1.0.4:80");
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
typedef struct heads {
	http_field_t fields[16];
	http_msg_t msg;
} heads_t;

static void
head_add(heads_t *heads, const char *name, const char *value)
{
	heads->fields[heads->msg.fields_len++] =
	    (http_field_t){(char *)(uintptr_t)name, (char *)(uintptr_t)value};
	heads->msg.fields = heads->fields;
}

static void
what_a_caller_may_not_say_is_not_passed_on(void **state)
{
	heads_t heads = {.msg = {.method = "POST", .keep_alive = true}};
	endpoint_info_t facts = {.id = "i-1"};
	struct evbuffer *out = evbuffer_new();
	arrival_t arrival;
	attempt_head_t attempt = {.request = &heads.msg,
	    .arrival = &arrival,
	    .endpoint = &facts,
	    .organisation = "t1",
	    .model = "m0",
	    .remaining_ms = 900,
	    .rank = 2,
	    .has_body = true,
	    .body_len = 3};
	const char *text;
	err_t err;

	(void)state;
	heads.msg.target = (char *)(uintptr_t) "/x/?a=b";
	head_add(&heads, "Host", "a.example");
	head_add(&heads, "Moortack-Attempt-Id", "id1");
	head_add(&heads, "Moortack-Credential", "secret");
	head_add(&heads, "Moortack-Tenant-Id", "forged");
	head_add(&heads, "moortack-pin-ms", "5999");
	head_add(&heads, "Moortack-Kv-Backup", "10.255.0.1:1");
	head_add(&heads, "Kv-From", "10.255.0.1:1/x");
	head_add(&heads, "Connection", "X-Hop");
	head_add(&heads, "X-Hop", "1");
	head_add(&heads, "X-Kept", "2");
	head_add(&heads, "Moortack-Model-Id", "*");
	head_add(&heads, "Moortack-Token-Count", "70,90");
	head_add(&heads, "Moortack-Prefix-Hash", "ab:60,cd:10");
	head_add(&heads, "Moortack-Deadline-Ms", "1500");
	assert_true(platform_callers.read(&heads.msg, &arrival, &err));
	assert_true(arrival.any_model);
	assert_int_equal(arrival.parts_len, 2);
	assert_int_equal(arrival.tokens_out_max, 90);
	assert_int_equal(arrival.deadline_ms, 1500);
	platform_endpoints.write(&attempt, out);
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
answers_say_what_they_are(void **state)
{
	heads_t heads = {.msg = {.status = 200, .keep_alive = true}};
	arrival_t arrival = {.id = "id1"};
	endpoint_response_t answer;

	(void)state;
	head_add(&heads, "Moortack-Attempt-Id", "id1");
	head_add(&heads, "Moortack-Response-Signature", "s");
	head_add(&heads, "Moortack-Replica-Load", "3,1,8");
	head_add(&heads, "Keep-Alive", "timeout=4");
	platform_endpoints.read(&heads.msg, &arrival, &answer);
	assert_true(answer.has_signature);
	assert_false(answer.id_mismatch);
	assert_int_equal(answer.load.waiting, 1);
	assert_in_range(answer.idle_max_ms, 3000, 4000);
	strcpy(arrival.id, "id2");
	platform_endpoints.read(&heads.msg, &arrival, &answer);
	assert_true(answer.id_mismatch);
	heads.msg.fields_len = 0;
	platform_endpoints.read(&heads.msg, &arrival, &answer);
	assert_true(answer.id_mismatch);
	heads.msg.status = 503;
	head_add(&heads, "Moortack-Not-Executed", "1");
	platform_endpoints.read(&heads.msg, &arrival, &answer);
	assert_true(answer.not_run);
	assert_false(answer.id_mismatch);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_configuration_is_taken),
	    cmocka_unit_test(a_bad_configuration_is_refused_by_the_field),
	    cmocka_unit_test(
		routes_that_stay_are_shared_with_the_configuration_before),
	    cmocka_unit_test(other_prices_make_other_routes),
	    cmocka_unit_test(routes_are_taken_however_they_are_spelt),
	    cmocka_unit_test(an_endpoint_is_taken),
	    cmocka_unit_test(becoming_cold_or_warm_is_a_change),
	    cmocka_unit_test(an_endpoint_says_when_it_started),
	    cmocka_unit_test(another_start_is_a_change),
	    cmocka_unit_test(a_bad_endpoint_is_refused_by_the_field),
	    cmocka_unit_test(
		rows_that_others_wrote_are_read_as_far_as_they_can_be),
	    cmocka_unit_test(a_read_goes_on_behind_any_key),
	    cmocka_unit_test(orders_and_states_of_rollouts),
	    cmocka_unit_test(a_settings_file_is_checked),
	    cmocka_unit_test(what_a_caller_may_not_say_is_not_passed_on),
	    cmocka_unit_test(answers_say_what_they_are),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
