/**
 * @file
 * moortack-load: a load generator. Sends requests at a given rate without
 * waiting for responses, checks that each response is complete and belongs to
 * its request, and writes one JSON line per request and a summary.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock_source.h"
#include "common/http_call.h"
#include "common/log.h"
#include "common/settings.h"
#include "load_text.h"

#define ENTRIES_MAX 64
#define PROMPT_SIZE 64
#define REQUEST_TIMEOUT_S 60
#define HEADER_SIZE 1400
#define ATTEMPTS_MAX 4
#define PERCENT 100.0

typedef struct load_options {
	char entries[SETTING_TEXT_SIZE];
	char key[SETTING_TEXT_SIZE];
	char model[SETTING_TEXT_SIZE];
	char service[SETTING_TEXT_SIZE];
	char out[SETTING_TEXT_SIZE];
	char engine[SETTING_TEXT_SIZE];
	int64_t rate;
	int64_t seconds;
	int64_t tokens;
	int64_t stream;
	int64_t tickets;
	int64_t follow;
	int64_t seed;
	int64_t deadline_ms;
} load_options_t;

#define OPTION(field) offsetof(load_options_t, field)

static const setting_t settings[] = {
    {"entries", SETTING_TEXT, OPTION(entries), 1, 1000, NULL, "",
	"Entries, IP:PORT joined by ','"},
    {"key", SETTING_TEXT, OPTION(key), 0, 200, "", "", "API key of the caller"},
    {"model", SETTING_TEXT, OPTION(model), 0, 47, "linen-lm", "",
	"Model to request"},
    {"service", SETTING_TEXT, OPTION(service), 0, 100, "", "",
	"Call this plain service instead of a model"},
    {"engine", SETTING_TEXT, OPTION(engine), 0, 47, "", "",
	"The entries are engines: request this version directly"},
    {"out", SETTING_TEXT, OPTION(out), 0, 1000, "", "",
	"File for one JSON line per request"},
    {"rate", SETTING_INT, OPTION(rate), 1, 100000, "50", "1/s",
	"Mean requests a second, at random times"},
    {"seconds", SETTING_INT, OPTION(seconds), 1, 3600, "5", "s", "Duration"},
    {"tokens", SETTING_INT, OPTION(tokens), 1, 10000, "8", "",
	"Tokens to request"},
    {"stream", SETTING_INT, OPTION(stream), 0, 1, "1", "",
	"1: stream the response as events"},
    {"tickets", SETTING_INT, OPTION(tickets), 0, 1, "0", "",
	"1: fetch a ticket for each request first"},
    {"follow", SETTING_INT, OPTION(follow), 0, 1, "0", "",
	"1: update the entries from /v1/entries every half second"},
    {"seed", SETTING_INT, OPTION(seed), 0, 1000000, "1", "",
	"Seed of the random times"},
    {"deadline-ms", SETTING_INT, OPTION(deadline_ms), 1, 600000, "30000", "ms",
	"Deadline sent with each request"},
};

#define SETTINGS_COUNT (sizeof(settings) / sizeof(*settings))

typedef struct request {
	int64_t number;
	struct timespec started_at;
	int64_t first_us; /**< time to the first byte; -1: none yet */
	char ticket[HEADER_SIZE];
	struct evbuffer *body;
	struct evhttp_connection *conn;
	int entry;
	int attempts_failed;
} request_t;

static struct {
	load_options_t options;
	struct event_base *base;
	clock_source_t clock;
	gsl_rng *random;
	http_address_t entries[ENTRIES_MAX];
	int entry_count;
	struct event *next_request;
	struct event *follow;
	FILE *out;
	struct timespec start;
	double next_due_s; /**< after the start, when the next request is due */
	int64_t sent;
	int64_t in_flight;
	int64_t complete;
	int64_t refused;
	int64_t bad; /**< truncated without an error, or another text than
			expected */
	int64_t failed;
	int64_t unreached;
	double *total_us;
	double *first_us;
	size_t sample_count;
	size_t sample_capacity;
	bool finished;
} load;

static void request_send(request_t *);
static void ticket_fetch(request_t *);

static void
stop_if_finished(void)
{
	if (load.finished && load.in_flight == 0)
		event_base_loopbreak(load.base);
}

static void
sample_add(int64_t first_us, int64_t total_us)
{
	if (load.sample_count == load.sample_capacity) {
		load.sample_capacity = load.sample_capacity * 2 + 1024;
		load.total_us = realloc(
		    load.total_us, load.sample_capacity * sizeof(double));
		load.first_us = realloc(
		    load.first_us, load.sample_capacity * sizeof(double));
	}
	load.first_us[load.sample_count] = (double)first_us;
	load.total_us[load.sample_count++] = (double)total_us;
}

/* The prompt identifies the request, and the response repeats it, so that a
 * response to another request is detected. */
static void
prompt_format(const request_t *request, char out[PROMPT_SIZE])
{
	snprintf(out, PROMPT_SIZE, "s%" PRId64 "n%" PRId64, load.options.seed,
	    request->number);
}

static char *
expected_text(const request_t *request)
{
	char *text = malloc(PROMPT_SIZE + (size_t)load.options.tokens * 16);
	char prompt[PROMPT_SIZE];
	int len;

	prompt_format(request, prompt);
	len = sprintf(text, "%s", prompt);
	for (int64_t i = 1; i < load.options.tokens; i++)
		len += sprintf(text + len, " w%" PRId64, i);
	return text;
}

static bool
response_is_complete(
    const request_t *request, const json_t *document, const char *expected)
{
	const char *text;
	char prompt[PROMPT_SIZE];

	if (*load.options.service != '\0') {
		prompt_format(request, prompt);
		text = json_string_value(json_object_get(
		    json_object_get(document, "body"), "prompt"));
		return text != NULL && strcmp(text, prompt) == 0;
	}
	text = json_string_value(json_object_get(
	    json_object_get(
		json_array_get(json_object_get(document, "choices"), 0),
		"message"),
	    "content"));
	return text != NULL && strcmp(text, expected) == 0;
}

/* The verdict on a response with status 200: "whole", "cut" (truncated),
 * "wrong" (unexpected text) or the type of an error in the stream. */
static const char *
response_verdict(const request_t *request, char *body)
{
	char *expected = expected_text(request);
	char *text = malloc(strlen(body) + 1);
	const char *verdict = "wrong";
	const char *failure = NULL;
	json_t *document;

	if (load.options.stream && *load.options.service == '\0') {
		bool done = stream_text_extract(body, text, &failure);

		if (failure != NULL)
			verdict = done ? "wrong" : failure;
		else if (done && strcmp(text, expected) == 0)
			verdict = "whole";
		else if (!done)
			verdict = "cut";
	} else {
		document = json_loads(body, 0, NULL);
		if (document == NULL)
			verdict = "cut";
		else if (response_is_complete(request, document, expected))
			verdict = "whole";
		json_decref(document);
	}
	free(expected);
	free(text);
	return verdict;
}

static void
verdict_record(const char *verdict, int status)
{
	if (strcmp(verdict, "whole") == 0)
		load.complete++;
	else if (strcmp(verdict, "wrong") == 0 || strcmp(verdict, "cut") == 0)
		load.bad++;
	else if (status == 0)
		load.unreached++;
	else if (status == 200 || status >= 500)
		load.failed++;
	else
		load.refused++;
}

static void
result_write(const request_t *request, int status, const char *verdict,
    const char *ran, const char *id, const char *version, int64_t us)
{
	char prompt[PROMPT_SIZE];

	if (load.out == NULL)
		return;
	prompt_format(request, prompt);
	fprintf(load.out,
	    "{\"n\":%" PRId64 ",\"prompt\":\"%s\",\"status\":%d,\"verdict\":"
	    "\"%s\",\"ran\":\"%s\",\"request\":\"%s\",\"version\":\"%s\","
	    "\"at_ms\":%" PRId64 ",\"us\":%" PRId64 ",\"entry\":\"%s\"}\n",
	    request->number, prompt, status, verdict, ran, id, version,
	    timespec_ms_between(load.start, request->started_at), us,
	    load.entries[request->entry].host);
	fflush(load.out);
}

static void
request_finish(request_t *request, struct evhttp_request *http_req, int status)
{
	struct evkeyvalq *headers = http_req != NULL
	    ? evhttp_request_get_input_headers(http_req)
	    : NULL;
	const char *id = http_req != NULL
	    ? evhttp_find_header(headers, "Moortack-Request")
	    : NULL;
	const char *version = http_req != NULL
	    ? evhttp_find_header(headers, "Moortack-Version")
	    : NULL;
	int64_t us = timespec_us_between(
	    request->started_at, clock_boottime(&load.clock));
	const char *verdict = "unreached";
	const char *ran = "";
	json_t *document = NULL;
	char *body;

	evbuffer_add(request->body, "", 1);
	body = (char *)evbuffer_pullup(request->body, -1);
	if (status == 200) {
		verdict = response_verdict(request, body);
	} else if (status != 0) {
		document = json_loads(body, 0, NULL);
		verdict = json_string_value(json_object_get(
		    json_object_get(document, "error"), "type"));
		ran = json_string_value(
		    json_object_get(json_object_get(document, "error"), "ran"));
		verdict = verdict != NULL ? verdict : "no type";
		ran = ran != NULL ? ran : "";
	}
	verdict_record(verdict, status);
	if (strcmp(verdict, "whole") == 0)
		sample_add(request->first_us, us);
	result_write(request, status, verdict, ran, id != NULL ? id : "",
	    version != NULL ? version : "", us);
	json_decref(document);
	evbuffer_free(request->body);
	free(request);
	load.in_flight--;
	stop_if_finished();
}

static void
request_on_data(struct evhttp_request *http_req, void *arg)
{
	request_t *request = arg;

	if (request->first_us < 0)
		request->first_us = timespec_us_between(
		    request->started_at, clock_boottime(&load.clock));
	evbuffer_add_buffer(
	    request->body, evhttp_request_get_input_buffer(http_req));
}

static void
conn_free(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	evhttp_connection_free(arg);
}

static void
request_on_response(struct evhttp_request *http_req, void *arg)
{
	static const struct timeval now = {0, 0};
	request_t *request = arg;
	int status =
	    http_req != NULL ? evhttp_request_get_response_code(http_req) : 0;

	event_base_once(
	    load.base, -1, EV_TIMEOUT, conn_free, request->conn, &now);
	/* Not connected, so nothing was sent: try another entry. */
	if (http_req != NULL && status == 0 &&
	    ++request->attempts_failed < ATTEMPTS_MAX) {
		request->entry = (request->entry + 1) % load.entry_count;
		request_send(request);
		return;
	}
	if (http_req == NULL && evbuffer_get_length(request->body) > 0) {
		/* The connection was lost during the response. */
		request_finish(request, NULL, 200);
		return;
	}
	request_finish(request, http_req, status);
}

static char *
request_body(const request_t *request)
{
	char prompt[PROMPT_SIZE];
	json_t *body;
	char *text;

	prompt_format(request, prompt);
	if (*load.options.service != '\0')
		body = json_pack("{s:s}", "prompt", prompt);
	else
		body = json_pack("{s:s,s:b,s:I,s:[{s:s,s:s}]}", "model",
		    *load.options.engine != '\0' ? load.options.engine
						 : load.options.model,
		    "stream", (int)load.options.stream, "max_tokens",
		    (json_int_t)load.options.tokens, "messages", "role", "user",
		    "content", prompt);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

static void
headers_add(const request_t *request, struct evkeyvalq *headers)
{
	char text[SETTING_TEXT_SIZE + 16];

	snprintf(text, sizeof(text), "Bearer %s", load.options.key);
	evhttp_add_header(headers, "Authorization", text);
	evhttp_add_header(headers, "Host", "entry");
	evhttp_add_header(headers, "Connection", "close");
	snprintf(text, sizeof(text), "%" PRId64, load.options.deadline_ms);
	evhttp_add_header(headers, "Moortack-Deadline-Ms", text);
	if (*request->ticket != '\0')
		evhttp_add_header(headers, "Moortack-Ticket", request->ticket);
	if (*load.options.engine != '\0') {
		snprintf(text, sizeof(text), "s%" PRId64 "n%" PRId64,
		    load.options.seed, request->number);
		evhttp_add_header(headers, "X-Request-Id", text);
	}
}

static void
request_send(request_t *request)
{
	const http_address_t *entry = &load.entries[request->entry];
	struct evhttp_connection *conn = evhttp_connection_base_new(
	    load.base, NULL, entry->host, entry->port);
	struct evhttp_request *http_req =
	    evhttp_request_new(request_on_response, request);
	char *body = request_body(request);
	char path[SETTING_TEXT_SIZE + 32];

	evhttp_connection_set_timeout(conn, REQUEST_TIMEOUT_S);
	request->conn = conn;
	evhttp_request_set_chunked_cb(http_req, request_on_data);
	headers_add(request, evhttp_request_get_output_headers(http_req));
	evbuffer_add(
	    evhttp_request_get_output_buffer(http_req), body, strlen(body));
	free(body);
	if (*load.options.service != '\0')
		snprintf(path, sizeof(path), "/v1/services/%s",
		    load.options.service);
	else
		snprintf(path, sizeof(path), "/v1/chat/completions");
	evhttp_make_request(conn, http_req, EVHTTP_REQ_POST, path);
}

static void
ticket_received(void *arg, const http_response_t *response)
{
	request_t *request = arg;
	json_t *document =
	    response->status == 200 ? http_response_json(response) : NULL;
	const char *ticket = json_string_value(
	    json_array_get(json_object_get(document, "tickets"), 0));

	if (ticket == NULL && ++request->attempts_failed < ATTEMPTS_MAX) {
		request->entry = (request->entry + 1) % load.entry_count;
		json_decref(document);
		ticket_fetch(request);
		return;
	}
	if (ticket != NULL)
		snprintf(
		    request->ticket, sizeof(request->ticket), "%s", ticket);
	json_decref(document);
	request->started_at = clock_boottime(&load.clock);
	request_send(request);
}

static void
ticket_fetch(request_t *request)
{
	char authorization[SETTING_TEXT_SIZE + 16];
	const http_header_t headers[] = {
	    {"Authorization", authorization}, {NULL, NULL}};
	const http_call_t call = {.address = &load.entries[request->entry],
	    .method = EVHTTP_REQ_POST,
	    .path = "/v1/tickets",
	    .headers = headers,
	    .body = "{}",
	    .body_len = 2,
	    .timeout_ms = 2000};

	snprintf(authorization, sizeof(authorization), "Bearer %s",
	    load.options.key);
	http_call_start(load.base, &call, ticket_received, request);
}

static void
next_request_schedule(void)
{
	double now = (double)timespec_us_between(
			 load.start, clock_boottime(&load.clock)) /
	    1e6;
	struct timeval tv;
	double wait;

	/* Counted from when the last request was due, so that delays don't
	 * lower the rate. */
	load.next_due_s +=
	    gsl_ran_exponential(load.random, 1.0 / (double)load.options.rate);
	wait = load.next_due_s > now ? load.next_due_s - now : 0;
	tv = (struct timeval){(time_t)wait, (suseconds_t)(fmod(wait, 1) * 1e6)};
	event_add(load.next_request, &tv);
}

static void
request_start(evutil_socket_t fd, short what, void *arg)
{
	struct timespec now = clock_boottime(&load.clock);
	request_t *request;

	(void)fd;
	(void)what;
	(void)arg;
	if (timespec_ms_between(load.start, now) >=
	    load.options.seconds * 1000) {
		load.finished = true;
		stop_if_finished();
		return;
	}
	next_request_schedule();
	request = calloc(1, sizeof(*request));
	request->number = load.sent++;
	request->started_at = now;
	request->first_us = -1;
	request->body = evbuffer_new();
	request->entry = (int)gsl_rng_uniform_int(
	    load.random, (unsigned long)load.entry_count);
	load.in_flight++;
	if (load.options.tickets)
		ticket_fetch(request);
	else
		request_send(request);
}

static bool
entries_parse(const char *text)
{
	load.entry_count = 0;
	while (*text != '\0' && load.entry_count < ENTRIES_MAX) {
		size_t len = strcspn(text, ",");
		char address[80];

		snprintf(address, sizeof(address), "%.*s", (int)len, text);
		if (!http_address_parse(
			address, &load.entries[load.entry_count++]))
			return false;
		text += len + (text[len] == ',');
	}
	return load.entry_count > 0;
}

static void
entries_received(void *arg, const http_response_t *response)
{
	json_t *document =
	    response->status == 200 ? http_response_json(response) : NULL;
	json_t *list = json_object_get(document, "entries");
	json_t *item;
	size_t i;

	(void)arg;
	if (json_array_size(list) > 0) {
		load.entry_count = 0;
		json_array_foreach(list, i, item)
		{
			const char *address =
			    json_string_value(json_object_get(item, "address"));

			if (address != NULL && load.entry_count < ENTRIES_MAX)
				http_address_parse(
				    address, &load.entries[load.entry_count++]);
		}
	}
	json_decref(document);
}

static void
entries_fetch(evutil_socket_t fd, short what, void *arg)
{
	char authorization[SETTING_TEXT_SIZE + 16];
	const http_header_t headers[] = {
	    {"Authorization", authorization}, {NULL, NULL}};
	const http_call_t call = {
	    .address = &load.entries[gsl_rng_uniform_int(
		load.random, (unsigned long)load.entry_count)],
	    .method = EVHTTP_REQ_GET,
	    .path = "/v1/entries",
	    .headers = headers,
	    .timeout_ms = 1000};

	(void)fd;
	(void)what;
	(void)arg;
	snprintf(authorization, sizeof(authorization), "Bearer %s",
	    load.options.key);
	http_call_start(load.base, &call, entries_received, NULL);
}

static double
quantile(double *values, double share)
{
	return gsl_stats_quantile_from_sorted_data(
	    values, 1, load.sample_count, share);
}

static void
summary_print(void)
{
	gsl_sort(load.total_us, 1, load.sample_count);
	gsl_sort(load.first_us, 1, load.sample_count);
	printf("{\"sent\":%" PRId64 ",\"whole\":%" PRId64
	       ",\"refused\":%" PRId64 ",\"failed\":%" PRId64
	       ",\"bad\":%" PRId64 ",\"unreached\":%" PRId64,
	    load.sent, load.complete, load.refused, load.failed, load.bad,
	    load.unreached);
	if (load.sample_count > 0)
		printf(",\"first_us\":{\"p50\":%.0f,\"p95\":%.0f,\"p99\":%.0f},"
		       "\"total_us\":{\"p50\":%.0f,\"p95\":%.0f,\"p99\":%.0f}",
		    quantile(load.first_us, 0.5), quantile(load.first_us, 0.95),
		    quantile(load.first_us, 0.99), quantile(load.total_us, 0.5),
		    quantile(load.total_us, 0.95),
		    quantile(load.total_us, 0.99));
	printf("}\n");
}

int
main(int argc, const char **argv)
{
	static const struct timeval follow_interval = {0, 500000};
	err_t err;

	log_init("moortack-load", LOG_INFO);
	if (settings_load(settings, SETTINGS_COUNT, "MOORTACK_LOAD", argc, argv,
		&load.options, &err) != SETTINGS_OK ||
	    !entries_parse(load.options.entries)) {
		fprintf(stderr, "moortack-load: %s\n", err.detail);
		settings_print_help(
		    settings, SETTINGS_COUNT, "MOORTACK_LOAD", stderr);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	clock_system_init(&load.clock);
	load.base = event_base_new();
	load.random = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(load.random, (unsigned long)load.options.seed);
	if (*load.options.out != '\0')
		load.out = fopen(load.options.out, "w");
	load.start = clock_boottime(&load.clock);
	load.next_request = event_new(load.base, -1, 0, request_start, NULL);
	load.follow = event_new(load.base, -1, EV_PERSIST, entries_fetch, NULL);
	if (load.options.follow)
		event_add(load.follow, &follow_interval);
	next_request_schedule();
	event_base_dispatch(load.base);
	http_calls_cancel(load.base);
	event_base_loop(load.base, EVLOOP_NONBLOCK);
	summary_print();
	if (load.out != NULL)
		fclose(load.out);
	return load.bad > 0 ? 1 : 0;
}
