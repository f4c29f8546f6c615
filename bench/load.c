/**
 * @file
 * moortack-load: callers. Sends requests at a rate, open loop, checks that each
 * answer is whole and its own, and writes one JSON line a request and a
 * summary.
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
#define TRIES_MAX 4
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
    {"key", SETTING_TEXT, OPTION(key), 0, 200, "", "", "The caller's key"},
    {"model", SETTING_TEXT, OPTION(model), 0, 47, "linen-lm", "",
	"Model to ask"},
    {"service", SETTING_TEXT, OPTION(service), 0, 100, "", "",
	"Call this plain service in place of a model"},
    {"engine", SETTING_TEXT, OPTION(engine), 0, 47, "", "",
	"The entries are engines: ask for this version directly"},
    {"out", SETTING_TEXT, OPTION(out), 0, 1000, "", "",
	"File for one JSON line a request"},
    {"rate", SETTING_INT, OPTION(rate), 1, 100000, "50", "1/s",
	"Requests a second, at random times"},
    {"seconds", SETTING_INT, OPTION(seconds), 1, 3600, "5", "s", "Duration"},
    {"tokens", SETTING_INT, OPTION(tokens), 1, 10000, "8", "",
	"Tokens to ask for"},
    {"stream", SETTING_INT, OPTION(stream), 0, 1, "1", "", "1: events"},
    {"tickets", SETTING_INT, OPTION(tickets), 0, 1, "0", "",
	"1: fetch a ticket for each request first"},
    {"follow", SETTING_INT, OPTION(follow), 0, 1, "0", "",
	"1: ask the entries which to use, every half second"},
    {"seed", SETTING_INT, OPTION(seed), 0, 1000000, "1", "", "Of the times"},
    {"deadline-ms", SETTING_INT, OPTION(deadline_ms), 1, 600000, "30000", "ms",
	"Deadline sent with each request"},
};

#define SETTINGS_COUNT (sizeof(settings) / sizeof(*settings))

typedef struct shot {
	int64_t number;
	struct timespec begun;
	int64_t first_us; /**< -1: none yet */
	char ticket[HEADER_SIZE];
	struct evbuffer *body;
	struct evhttp_connection *conn;
	int entry;
	int tries;
} shot_t;

static struct {
	load_options_t options;
	struct event_base *base;
	clock_source_t clock;
	gsl_rng *random;
	http_address_t entries[ENTRIES_MAX];
	int entry_count;
	struct event *next;
	struct event *follow;
	FILE *out;
	struct timespec start;
	double due; /**< seconds after the start */
	int64_t sent;
	int64_t open;
	int64_t good;
	int64_t refused;
	int64_t bad; /**< cut without an error, mixed, or not its own */
	int64_t failed;
	int64_t unreached;
	double *total_us;
	double *first_us;
	size_t samples;
	size_t samples_max;
	bool over;
} load;

static void shot_send(shot_t *);
static void ticket_take(shot_t *);

static void
end_check(void)
{
	if (load.over && load.open == 0)
		event_base_loopbreak(load.base);
}

static void
sample_add(int64_t first_us, int64_t total_us)
{
	if (load.samples == load.samples_max) {
		load.samples_max = load.samples_max * 2 + 1024;
		load.total_us =
		    realloc(load.total_us, load.samples_max * sizeof(double));
		load.first_us =
		    realloc(load.first_us, load.samples_max * sizeof(double));
	}
	load.first_us[load.samples] = (double)first_us;
	load.total_us[load.samples++] = (double)total_us;
}

/* The prompt names the request, so that another's answer shows. */
static void
prompt_of(const shot_t *shot, char out[PROMPT_SIZE])
{
	snprintf(out, PROMPT_SIZE, "s%" PRId64 "n%" PRId64, load.options.seed,
	    shot->number);
}

static char *
text_wanted(const shot_t *shot)
{
	char *text = malloc(PROMPT_SIZE + (size_t)load.options.tokens * 16);
	char prompt[PROMPT_SIZE];
	int len;

	prompt_of(shot, prompt);
	len = sprintf(text, "%s", prompt);
	for (int64_t i = 1; i < load.options.tokens; i++)
		len += sprintf(text + len, " w%" PRId64, i);
	return text;
}

static bool
plain_whole(const shot_t *shot, const json_t *answer, const char *wanted)
{
	const char *text;
	char prompt[PROMPT_SIZE];

	if (*load.options.service != '\0') {
		prompt_of(shot, prompt);
		text = json_string_value(
		    json_object_get(json_object_get(answer, "body"), "prompt"));
		return text != NULL && strcmp(text, prompt) == 0;
	}
	text = json_string_value(json_object_get(
	    json_object_get(
		json_array_get(json_object_get(answer, "choices"), 0),
		"message"),
	    "content"));
	return text != NULL && strcmp(text, wanted) == 0;
}

/* What came of a 200: "whole", an error's type, or what is wrong. */
static const char *
answer_judge(const shot_t *shot, char *body)
{
	char *wanted = text_wanted(shot);
	char *text = malloc(strlen(body) + 1);
	const char *verdict = "wrong";
	const char *failure = NULL;
	json_t *answer;

	if (load.options.stream && *load.options.service == '\0') {
		bool done = stream_text_extract(body, text, &failure);

		if (failure != NULL)
			verdict = done ? "wrong" : failure;
		else if (done && strcmp(text, wanted) == 0)
			verdict = "whole";
		else if (!done)
			verdict = "cut";
	} else {
		answer = json_loads(body, 0, NULL);
		if (answer == NULL)
			verdict = "cut";
		else if (plain_whole(shot, answer, wanted))
			verdict = "whole";
		json_decref(answer);
	}
	free(wanted);
	free(text);
	return verdict;
}

static void
verdict_count(const char *verdict, int status)
{
	if (strcmp(verdict, "whole") == 0)
		load.good++;
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
line_write(const shot_t *shot, int status, const char *verdict, const char *ran,
    const char *id, const char *version, int64_t us)
{
	char prompt[PROMPT_SIZE];

	if (load.out == NULL)
		return;
	prompt_of(shot, prompt);
	fprintf(load.out,
	    "{\"n\":%" PRId64 ",\"prompt\":\"%s\",\"status\":%d,\"verdict\":"
	    "\"%s\",\"ran\":\"%s\",\"request\":\"%s\",\"version\":\"%s\","
	    "\"at_ms\":%" PRId64 ",\"us\":%" PRId64 ",\"entry\":\"%s\"}\n",
	    shot->number, prompt, status, verdict, ran, id, version,
	    timespec_ms_between(load.start, shot->begun), us,
	    load.entries[shot->entry].host);
	fflush(load.out);
}

static void
shot_end(shot_t *shot, struct evhttp_request *req, int status)
{
	struct evkeyvalq *headers =
	    req != NULL ? evhttp_request_get_input_headers(req) : NULL;
	const char *id = req != NULL
	    ? evhttp_find_header(headers, "Moortack-Request")
	    : NULL;
	const char *version = req != NULL
	    ? evhttp_find_header(headers, "Moortack-Version")
	    : NULL;
	int64_t us =
	    timespec_us_between(shot->begun, clock_boottime(&load.clock));
	const char *verdict = "unreached";
	const char *ran = "";
	json_t *answer = NULL;
	char *body;

	evbuffer_add(shot->body, "", 1);
	body = (char *)evbuffer_pullup(shot->body, -1);
	if (status == 200) {
		verdict = answer_judge(shot, body);
	} else if (status != 0) {
		answer = json_loads(body, 0, NULL);
		verdict = json_string_value(
		    json_object_get(json_object_get(answer, "error"), "type"));
		ran = json_string_value(
		    json_object_get(json_object_get(answer, "error"), "ran"));
		verdict = verdict != NULL ? verdict : "no type";
		ran = ran != NULL ? ran : "";
	}
	verdict_count(verdict, status);
	if (strcmp(verdict, "whole") == 0)
		sample_add(shot->first_us, us);
	line_write(shot, status, verdict, ran, id != NULL ? id : "",
	    version != NULL ? version : "", us);
	json_decref(answer);
	evbuffer_free(shot->body);
	free(shot);
	load.open--;
	end_check();
}

static void
shot_data(struct evhttp_request *req, void *arg)
{
	shot_t *shot = arg;

	if (shot->first_us < 0)
		shot->first_us = timespec_us_between(
		    shot->begun, clock_boottime(&load.clock));
	evbuffer_add_buffer(shot->body, evhttp_request_get_input_buffer(req));
}

static void
conn_free(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	evhttp_connection_free(arg);
}

static void
shot_done(struct evhttp_request *req, void *arg)
{
	static const struct timeval now = {0, 0};
	shot_t *shot = arg;
	int status = req != NULL ? evhttp_request_get_response_code(req) : 0;

	event_base_once(load.base, -1, EV_TIMEOUT, conn_free, shot->conn, &now);
	/* Never connected: nothing was sent, so another entry is tried. */
	if (req != NULL && status == 0 && ++shot->tries < TRIES_MAX) {
		shot->entry = (shot->entry + 1) % load.entry_count;
		shot_send(shot);
		return;
	}
	if (req == NULL && evbuffer_get_length(shot->body) > 0) {
		/* Cut in the middle of an answer. */
		shot_end(shot, NULL, 200);
		return;
	}
	shot_end(shot, req, status);
}

static char *
shot_body(const shot_t *shot)
{
	char prompt[PROMPT_SIZE];
	json_t *body;
	char *text;

	prompt_of(shot, prompt);
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
headers_add(const shot_t *shot, struct evkeyvalq *headers)
{
	char text[SETTING_TEXT_SIZE + 16];

	snprintf(text, sizeof(text), "Bearer %s", load.options.key);
	evhttp_add_header(headers, "Authorization", text);
	evhttp_add_header(headers, "Host", "entry");
	evhttp_add_header(headers, "Connection", "close");
	snprintf(text, sizeof(text), "%" PRId64, load.options.deadline_ms);
	evhttp_add_header(headers, "Moortack-Deadline-Ms", text);
	if (*shot->ticket != '\0')
		evhttp_add_header(headers, "Moortack-Ticket", shot->ticket);
	if (*load.options.engine != '\0') {
		snprintf(text, sizeof(text), "s%" PRId64 "n%" PRId64,
		    load.options.seed, shot->number);
		evhttp_add_header(headers, "X-Request-Id", text);
	}
}

static void
shot_send(shot_t *shot)
{
	const http_address_t *entry = &load.entries[shot->entry];
	struct evhttp_connection *conn = evhttp_connection_base_new(
	    load.base, NULL, entry->host, entry->port);
	struct evhttp_request *req = evhttp_request_new(shot_done, shot);
	char *body = shot_body(shot);
	char path[SETTING_TEXT_SIZE + 32];

	evhttp_connection_set_timeout(conn, REQUEST_TIMEOUT_S);
	shot->conn = conn;
	evhttp_request_set_chunked_cb(req, shot_data);
	headers_add(shot, evhttp_request_get_output_headers(req));
	evbuffer_add(evhttp_request_get_output_buffer(req), body, strlen(body));
	free(body);
	if (*load.options.service != '\0')
		snprintf(path, sizeof(path), "/v1/services/%s",
		    load.options.service);
	else
		snprintf(path, sizeof(path), "/v1/chat/completions");
	evhttp_make_request(conn, req, EVHTTP_REQ_POST, path);
}

static void
ticket_taken(void *arg, const http_response_t *reply)
{
	shot_t *shot = arg;
	json_t *answer =
	    reply->status == 200 ? http_response_json(reply) : NULL;
	const char *ticket = json_string_value(
	    json_array_get(json_object_get(answer, "tickets"), 0));

	if (ticket == NULL && ++shot->tries < TRIES_MAX) {
		shot->entry = (shot->entry + 1) % load.entry_count;
		json_decref(answer);
		ticket_take(shot);
		return;
	}
	if (ticket != NULL)
		snprintf(shot->ticket, sizeof(shot->ticket), "%s", ticket);
	json_decref(answer);
	shot->begun = clock_boottime(&load.clock);
	shot_send(shot);
}

static void
ticket_take(shot_t *shot)
{
	char authorization[SETTING_TEXT_SIZE + 16];
	const http_header_t headers[] = {
	    {"Authorization", authorization}, {NULL, NULL}};
	const http_call_t call = {.address = &load.entries[shot->entry],
	    .method = EVHTTP_REQ_POST,
	    .path = "/v1/tickets",
	    .headers = headers,
	    .body = "{}",
	    .body_len = 2,
	    .timeout_ms = 2000};

	snprintf(authorization, sizeof(authorization), "Bearer %s",
	    load.options.key);
	http_call_start(load.base, &call, ticket_taken, shot);
}

static void
next_plan(void)
{
	double now = (double)timespec_us_between(
			 load.start, clock_boottime(&load.clock)) /
	    1e6;
	struct timeval tv;
	double wait;

	/* From when the last one was due, so that the rate holds. */
	load.due +=
	    gsl_ran_exponential(load.random, 1.0 / (double)load.options.rate);
	wait = load.due > now ? load.due - now : 0;
	tv = (struct timeval){(time_t)wait, (suseconds_t)(fmod(wait, 1) * 1e6)};
	event_add(load.next, &tv);
}

static void
shot_begin(evutil_socket_t fd, short what, void *arg)
{
	struct timespec now = clock_boottime(&load.clock);
	shot_t *shot;

	(void)fd;
	(void)what;
	(void)arg;
	if (timespec_ms_between(load.start, now) >=
	    load.options.seconds * 1000) {
		load.over = true;
		end_check();
		return;
	}
	next_plan();
	shot = calloc(1, sizeof(*shot));
	shot->number = load.sent++;
	shot->begun = now;
	shot->first_us = -1;
	shot->body = evbuffer_new();
	shot->entry = (int)gsl_rng_uniform_int(
	    load.random, (unsigned long)load.entry_count);
	load.open++;
	if (load.options.tickets)
		ticket_take(shot);
	else
		shot_send(shot);
}

static bool
entries_parse(const char *text)
{
	load.entry_count = 0;
	while (*text != '\0' && load.entry_count < ENTRIES_MAX) {
		size_t len = strcspn(text, ",");
		char one[80];

		snprintf(one, sizeof(one), "%.*s", (int)len, text);
		if (!http_address_parse(one, &load.entries[load.entry_count++]))
			return false;
		text += len + (text[len] == ',');
	}
	return load.entry_count > 0;
}

static void
entries_taken(void *arg, const http_response_t *reply)
{
	json_t *answer =
	    reply->status == 200 ? http_response_json(reply) : NULL;
	json_t *list = json_object_get(answer, "entries");
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
	json_decref(answer);
}

static void
entries_ask(evutil_socket_t fd, short what, void *arg)
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
	http_call_start(load.base, &call, entries_taken, NULL);
}

static double
quantile(double *values, double share)
{
	return gsl_stats_quantile_from_sorted_data(
	    values, 1, load.samples, share);
}

static void
summary_print(void)
{
	gsl_sort(load.total_us, 1, load.samples);
	gsl_sort(load.first_us, 1, load.samples);
	printf("{\"sent\":%" PRId64 ",\"whole\":%" PRId64
	       ",\"refused\":%" PRId64 ",\"failed\":%" PRId64
	       ",\"bad\":%" PRId64 ",\"unreached\":%" PRId64,
	    load.sent, load.good, load.refused, load.failed, load.bad,
	    load.unreached);
	if (load.samples > 0)
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
	static const struct timeval follow_every = {0, 500000};
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
	load.next = event_new(load.base, -1, 0, shot_begin, NULL);
	load.follow = event_new(load.base, -1, EV_PERSIST, entries_ask, NULL);
	if (load.options.follow)
		event_add(load.follow, &follow_every);
	next_plan();
	event_base_dispatch(load.base);
	http_calls_cancel(load.base);
	event_base_loop(load.base, EVLOOP_NONBLOCK);
	summary_print();
	if (load.out != NULL)
		fclose(load.out);
	return load.bad > 0 ? 1 : 0;
}
