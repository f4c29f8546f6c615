/**
 * @file
 * The calls for the contents of KV caches. A body that is decoded to something
 * else than it says sends prompts to the wrong endpoints; an odd one must not
 * take memory without a bound.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "moortack/kv_cache/part_hash.h"
#include "platform/kv_calls.h"

static contents_report_t report;

static bool
list_decoded(const char *body)
{
	err_t err;

	free(report.changes);
	return platform_contents_dialect.decode_list(
	    body, strlen(body), &report, &err);
}

static bool
events_decoded(const char *body)
{
	err_t err;

	free(report.changes);
	return platform_contents_dialect.decode_events(
	    body, strlen(body), &report, &err);
}

static void
list_is_decoded(void **state)
{
	(void)state;
	assert_true(list_decoded("{\"epoch\":7,\"next\":12,\"held\":["
				 "[\"\",\"1f\",500,\"m\"],"
				 "[\"t1\",\"20\",500,\"m\"],"
				 "[\"\",\"11112222333344445\",500,\"m\"],"
				 "[\"\",\"21\",0,\"m\"]]}"));
	assert_int_equal(report.epoch, 7);
	assert_int_equal(report.next, 12);
	assert_int_equal(report.len, 4);
	assert_int_equal(
	    report.changes[0].part, part_hash(0x1f, model_hash("m")));
	assert_true(report.changes[0].kept && !report.changes[0].ignored);
	assert_true(report.changes[1].ignored);
	assert_true(report.changes[2].ignored);
	assert_false(report.changes[3].kept);
	assert_true(list_decoded("{\"epoch\":0,\"next\":0,\"held\":[]}"));
	assert_int_equal(report.len, 0);
}

static void
events_are_decoded(void **state)
{
	uint64_t epoch;

	(void)state;
	assert_true(
	    events_decoded("{\"epoch\":\"a-1\",\"next\":9,\"lost\":false,"
			   "\"events\":[[7,\"+\",\"\",\"1f\",500,\"m\"],"
			   "[8,\"-\",\"\",\"1f\",500,\"m\"]]}"));
	epoch = report.epoch;
	assert_int_equal(report.len, 2);
	assert_int_equal(report.changes[1].number, 8);
	assert_true(report.changes[0].kept);
	assert_false(report.changes[1].kept);
	assert_int_equal(report.changes[0].part, report.changes[1].part);
	assert_false(report.lost);
	assert_true(events_decoded(
	    "{\"epoch\":\"a-2\",\"next\":9,\"lost\":3,\"events\":[]}"));
	assert_true(report.lost);
	assert_int_not_equal(report.epoch, epoch);
}

static void
odd_bodies_are_refused(void **state)
{
	static const char *const lists[] = {"", "[]", "{", "null",
	    "{\"epoch\":1,\"next\":1}", "{\"next\":1,\"held\":[]}",
	    "{\"epoch\":1,\"next\":-1,\"held\":[]}",
	    "{\"epoch\":1,\"next\":1.5,\"held\":[]}",
	    "{\"epoch\":\"\",\"next\":1,\"held\":[]}",
	    "{\"epoch\":1,\"epoch\":2,\"next\":1,\"held\":[]}",
	    "{\"epoch\":1,\"next\":1,\"held\":{}}",
	    "{\"epoch\":1,\"next\":1,\"held\":[7]}",
	    "{\"epoch\":1,\"next\":1,\"held\":[[\"\",\"1f\",5]]}",
	    "{\"epoch\":1,\"next\":1,\"held\":[[\"\",\"\",5,\"m\"]]}",
	    "{\"epoch\":1,\"next\":1,\"held\":[[\"\",\"0x1\",5,\"m\"]]}",
	    "{\"epoch\":1,\"next\":1,\"held\":[[\"\",\"-1\",5,\"m\"]]}",
	    "{\"epoch\":1,\"next\":1,\"held\":[[\"\",\"1\",-5,\"m\"]]}",
	    "{\"epoch\":1,\"next\":1,\"held\":[[null,\"1\",5,\"m\"]]}",
	    "{\"epoch\":1,\"next\":1,\"lost\":\"x\",\"held\":[]}"};
	static const char *const events[] = {
	    "[\"1\",\"+\",\"\",\"1f\",5,\"m\"]",
	    "[1,\"*\",\"\",\"1f\",5,\"m\"]", "[1,null,\"\",\"1f\",5,\"m\"]",
	    "[-1,\"+\",\"\",\"1f\",5,\"m\"]", "[\"\",\"1f\",5,\"m\"]"};
	char body[128];

	(void)state;
	for (size_t i = 0; i < sizeof(lists) / sizeof(lists[0]); i++)
		assert_false(list_decoded(lists[i]));
	for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++) {
		snprintf(body, sizeof(body),
		    "{\"epoch\":1,\"next\":1,\"events\":[%s]}", events[i]);
		assert_false(events_decoded(body));
	}
}

static void
large_bodies_are_refused(void **state)
{
	static const char *const entry = "[\"\",\"1\",5,\"m\"]";
	static char body[2 * CONTENTS_BODY_MAX];
	char model[100];

	(void)state;
	for (size_t extra = 0; extra < 2; extra++) {
		size_t len = (size_t)snprintf(body, sizeof(body),
		    "{\"epoch\":1,\"next\":1,\"held\":[%s", entry);

		for (size_t i = 1; i < CONTENTS_ENTRIES_MAX + extra; i++)
			len += (size_t)snprintf(
			    body + len, sizeof(body) - len, ",%s", entry);
		snprintf(body + len, sizeof(body) - len, "]}");
		assert_int_equal(list_decoded(body), extra == 0);
	}
	assert_true(list_decoded("{\"epoch\":1,\"next\":1,\"held\":[]}"));
	memset(body, ' ', CONTENTS_BODY_MAX + 1);
	strcpy(body + CONTENTS_BODY_MAX - 1,
	    "{\"epoch\":1,\"next\":1,\"held\":[]}");
	assert_false(list_decoded(body));
	memset(model, 'm', sizeof(model));
	model[96] = '\0';
	snprintf(body, sizeof(body),
	    "{\"epoch\":1,\"next\":1,\"held\":[[\"\",\"1\",5,\"%s\"]]}", model);
	assert_false(list_decoded(body));
}

static void
calls_name_the_endpoint(void **state)
{
	const endpoint_info_t endpoint = {
	    .id = "i-1", .address = {"10.0.0.1", 80}};
	struct evbuffer *out = evbuffer_new();

	(void)state;
	platform_contents_dialect.write_events(&endpoint, 12, 1000, out);
	platform_contents_dialect.write_list(&endpoint, out);
	evbuffer_add(out, "", 1);
	assert_string_equal((const char *)evbuffer_pullup(out, -1),
	    "GET /-/kv-events?since=12 HTTP/1.1\r\nWait-Ms: 1000\r\n"
	    "Host: 10.0.0.1:80\r\nMoortack-Expect-Replica: i-1\r\n\r\n"
	    "GET /-/kv-list HTTP/1.1\r\n"
	    "Host: 10.0.0.1:80\r\nMoortack-Expect-Replica: i-1\r\n\r\n");
	evbuffer_free(out);
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(list_is_decoded),
	    cmocka_unit_test(events_are_decoded),
	    cmocka_unit_test(odd_bodies_are_refused),
	    cmocka_unit_test(large_bodies_are_refused),
	    cmocka_unit_test(calls_name_the_endpoint),
	};
	int failed = cmocka_run_group_tests(tests, NULL, NULL);

	free(report.changes);
	return failed;
}
