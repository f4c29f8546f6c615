/**
 * @file
 * A store that was restored from an older copy assigns its version numbers
 * again, in a new era. Guards against comparing versions of different eras by
 * number, continuing a read across eras, and meeting a condition with a version
 * of an earlier era.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <stdio.h>
#include <string.h>

#include "moortack/replication/era_version.h"
#include "platform/store.h"

#define SEQUENCE 7
#define TIMEOUT_MS 2000

/** A fake store, with its last request and the client's last result. */
static struct world {
	struct event_base *base;
	struct evhttp *server;
	platform_store_t store;
	int era; /**< 0: not sent */
	int sequence;
	char body[512];
	row_result_t result;
	uint64_t version;
	uint64_t row_version;
} world;

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	struct evbuffer *out = evbuffer_new();
	size_t len = evbuffer_get_length(in);
	char era[16];

	(void)arg;
	len = len < sizeof(world.body) ? len : sizeof(world.body) - 1;
	evbuffer_copyout(in, world.body, len);
	world.body[len] = '\0';
	snprintf(era, sizeof(era), "%d", world.era);
	if (world.era > 0)
		evhttp_add_header(
		    evhttp_request_get_output_headers(req), "Store-Era", era);
	evbuffer_add_printf(out,
	    "{\"row_version\":%d,\"now_ms\":1,\"rows\":[{\"key\":\"k\","
	    "\"value\":\"\",\"row_version\":%d}]}",
	    world.sequence, world.sequence);
	evhttp_send_reply(req, 200, "OK", out);
	evbuffer_free(out);
}

static int
setup(void **state)
{
	struct evhttp_bound_socket *socket;
	struct sockaddr_in at;
	socklen_t len = sizeof(at);
	http_address_t address = {.host = "127.0.0.1"};

	(void)state;
	memset(&world, 0, sizeof(world));
	world.base = event_base_new();
	world.server = evhttp_new(world.base);
	evhttp_set_gencb(world.server, on_request, NULL);
	socket = evhttp_bind_socket_with_handle(world.server, "127.0.0.1", 0);
	getsockname(
	    evhttp_bound_socket_get_fd(socket), (struct sockaddr *)&at, &len);
	address.port = ntohs(at.sin_port);
	platform_store_init(&world.store, world.base, &address);
	world.sequence = SEQUENCE;
	return 0;
}

static int
teardown(void **state)
{
	(void)state;
	http_calls_cancel(world.base);
	evhttp_free(world.server);
	event_base_free(world.base);
	return 0;
}

static void
on_done(void *arg, const row_store_response_t *response)
{
	(void)arg;
	world.result = response->result;
	world.version = response->version;
	world.row_version =
	    response->rows_len > 0 ? response->rows[0].version : 0;
	event_base_loopbreak(world.base);
}

static row_result_t
feed(uint64_t after)
{
	assert_true(row_store_poll(&world.store.store, ROW_PURPOSE_POLL, "t",
	    after, 0, TIMEOUT_MS, on_done, NULL));
	event_base_dispatch(world.base);
	return world.result;
}

static row_result_t
read_page(const char *page)
{
	assert_true(row_store_read(&world.store.store, ROW_PURPOSE_FIRST_READ,
	    "t", page, TIMEOUT_MS, on_done, NULL));
	event_base_dispatch(world.base);
	return world.result;
}

static void
write_expecting(uint64_t version)
{
	const row_change_t expected = {
	    .table = "t", .key = "k", .expected = version};
	const row_change_t change = {.table = "t", .key = "k", .value = "v"};

	assert_true(
	    row_store_write(&world.store.store, ROW_PURPOSE_ROLLOUT_STATE,
		&expected, 1, &change, 1, TIMEOUT_MS, on_done, NULL));
	event_base_dispatch(world.base);
}

static void
versions_of_a_later_era_are_newer(void **state)
{
	(void)state;
	assert_int_equal(read_page(NULL), ROW_OK);
	assert_int_equal(world.version, SEQUENCE);
	world.era = 1;
	world.sequence = SEQUENCE - 2;
	assert_int_equal(read_page(NULL), ROW_OK);
	assert_true(world.version > SEQUENCE);
	assert_int_equal(world.row_version, era_version_make(1, SEQUENCE - 2));
	assert_int_equal(world.store.store.era, 1);
}

static void
changes_of_another_era_are_no_continuation(void **state)
{
	(void)state;
	assert_int_equal(feed(SEQUENCE), ROW_OK);
	/* The same number, assigned again in another era. */
	world.era = 1;
	assert_int_equal(feed(SEQUENCE), ROW_COMPACTED);
	assert_int_equal(feed(era_version_make(1, SEQUENCE)), ROW_OK);
	world.era = 2;
	assert_int_equal(read_page("k"), ROW_COMPACTED);
}

static void
late_responses_of_an_earlier_era_are_ignored(void **state)
{
	(void)state;
	world.era = 2;
	assert_int_equal(read_page(NULL), ROW_OK);
	world.era = 1;
	world.sequence = SEQUENCE + 100;
	assert_int_equal(read_page(NULL), ROW_NO_RESPONSE);
	assert_int_equal(feed(era_version_make(2, SEQUENCE)), ROW_NO_RESPONSE);
	assert_int_equal(world.store.store.era, 2);
}

static void
conditions_of_an_earlier_era_always_fail(void **state)
{
	char text[64];

	(void)state;
	world.era = 1;
	assert_int_equal(read_page(NULL), ROW_OK);
	write_expecting(SEQUENCE);
	snprintf(text, sizeof(text), "\"row_version\":%d}", SEQUENCE);
	assert_null(strstr(world.body, text));
	write_expecting(era_version_make(1, SEQUENCE));
	assert_non_null(strstr(world.body, text));
	write_expecting(0);
	assert_non_null(strstr(world.body, "\"row_version\":0}"));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		versions_of_a_later_era_are_newer, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		changes_of_another_era_are_no_continuation, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		late_responses_of_an_earlier_era_are_ignored, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		conditions_of_an_earlier_era_always_fail, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
