#include "moortack/relay/relay_stats.h"

#include <inttypes.h>
#include <string.h>

typedef struct counter_info {
	const char *name;
	const char *help;
} counter_info_t;

/* In the order of relay_counter_t. */
static const counter_info_t counter_infos[RELAY_COUNTERS] = {
    {"requests", "Whole requests taken from callers."},
    {"answered", "Whole answers of endpoints passed on."},
    {"refused", "Requests refused that have not run."},
    {"failed", "Requests that failed and may have run."},
    {"callers_gone", "Callers that left before their answer was whole."},
    {"attempts", "Requests sent to endpoints."},
    {"repeats", "Attempts after the first of a request."},
    {"repeats_denied", "Repeats that the budget did not allow."},
    {"not_run", "Answers of endpoints that say not run."},
    {"wrong_endpoint", "Answers of another incarnation at an address."},
    {"stray_answers", "Answers that belong to another request."},
    {"connections", "Connections opened to endpoints."},
    {"connects_failed", "Connections that could not be opened."},
    {"broken", "Answers that broke off, or never came."},
    {"resumed", "Streams taken up at another endpoint."},
    {"streams_cut", "Streams broken off towards their caller."},
    {"events", "Events of streams passed on."},
    {"bad_messages", "Messages of callers that are no proper request."},
    {"escalated", "Answers dropped and asked of a larger model."},
    {"suspects_stopped", "Requests not sent again since endpoints crashed."},
    {"crash_probes", "Looks whether an endpoint that broke off listens."},
    {"cold_sends", "Requests sent to cold endpoints."},
    {"cold_passed_over", "Attempts for which cold endpoints were left out."},
    {"rate_limited_sends", "Requests sent to endpoints with a rate limit."},
    {"rate_limited_passed_over",
	"Attempts for which endpoints with a rate limit were left out."},
    {"backoff_passed_over",
	"Attempts for which endpoints that want nothing were left out."},
    {"unreadable_notices",
	"Responses whose rate limit, drain notice or back-off is malformed."},
    {"brittle_refusals", "Requests that brittle endpoints refused."},
    {"brittle_passed_over",
	"Attempts for which brittle endpoints were left out."},
    {"report_waits", "Requests that waited for reports on lost links."},
    {"forwards", "Requests sent on through other daemons."},
    {"forwards_served", "Of these, with a complete response."},
    {"forwards_failed", "Attempts through other daemons that failed."},
    {"forwards_accepted", "Requests that other daemons sent on to this one."},
    {"contents_calls", "Calls to endpoints for what they keep."},
    {"contents_lists", "Lists of what an endpoint keeps."},
    {"contents_events", "Events on parts that endpoints added or dropped."},
    {"contents_gaps", "Times at which events were missing."},
    {"contents_failed", "Calls for contents that failed or were refused."},
    {"contents_invalid", "Responses to such calls that are invalid."},
    {"contents_answers",
	"Queries that were answered by what the endpoint reports."},
    {"waited", "Requests that had to wait for a place at an endpoint."},
    {"admitted_after_wait", "Of these, sent after the wait."},
    {"refused_above_share",
	"Requests refused as their organisation is above its share."},
    {"refused_rank", "Requests refused as others of a higher rank are sent."},
    {"refused_late", "Requests refused as no place is free in time."},
    {"refused_queue_full",
	"Requests refused as too many wait, or the daemon leaves."},
    {"escalations_withheld",
	"Larger models not asked as the service is crowded."},
};

/* Upper bounds in milliseconds, around the users' objectives of 100 to 3,000.
 */
static const double bucket_bounds[STATS_BUCKETS] = {
    1, 2, 5, 10, 25, 50, 100, 150, 250, 500, 1000, 1500, 3000, 10000};

void
stats_add(relay_stats_t *stats, relay_counter_t counter, uint64_t by)
{
	stats->counters[counter] += by;
}

void
stats_count_defect(relay_stats_t *stats, http_defect_t defect)
{
	stats->bad_responses[defect]++;
}

static stats_outcome_t *
outcome_get(relay_stats_t *stats, const char *outcome, const char *why)
{
	stats_outcome_t *entry;

	for (size_t i = 0; i < stats->outcomes_len; i++) {
		entry = &stats->outcomes[i];
		if (strcmp(entry->outcome, outcome) == 0 &&
		    strcmp(entry->why, why) == 0)
			return entry;
	}
	if (stats->outcomes_len == STATS_OUTCOMES_MAX)
		return NULL;
	entry = &stats->outcomes[stats->outcomes_len++];
	*entry = (stats_outcome_t){.outcome = outcome, .why = why};
	return entry;
}

void
stats_count_outcome(
    relay_stats_t *stats, const char *outcome, const char *why, bool late)
{
	stats_outcome_t *entry = outcome_get(stats, outcome, why);

	if (entry == NULL)
		return;
	entry->count++;
	entry->late += late;
}

static void
outcomes_write(const relay_stats_t *stats, struct evbuffer *out)
{
	evbuffer_add_printf(out,
	    "# HELP moortack_relay_ended_total Requests by outcome and "
	    "cause.\n"
	    "# TYPE moortack_relay_ended_total counter\n"
	    "# HELP moortack_relay_late_total Of these, begun after the "
	    "route's objective.\n"
	    "# TYPE moortack_relay_late_total counter\n");
	for (size_t i = 0; i < stats->outcomes_len; i++) {
		const stats_outcome_t *entry = &stats->outcomes[i];

		evbuffer_add_printf(out,
		    "moortack_relay_ended_total{outcome=\"%s\",why=\"%s\"} "
		    "%" PRIu64 "\n"
		    "moortack_relay_late_total{outcome=\"%s\",why=\"%s\"} "
		    "%" PRIu64 "\n",
		    entry->outcome, entry->why, entry->count, entry->outcome,
		    entry->why, entry->late);
	}
}

static void
defects_write(const relay_stats_t *stats, struct evbuffer *out)
{
	evbuffer_add_printf(out,
	    "# HELP moortack_relay_bad_responses_total Responses of endpoints "
	    "and daemons that are not valid HTTP, or were cut.\n"
	    "# TYPE moortack_relay_bad_responses_total counter\n");
	for (int i = HTTP_DEFECT_NONE + 1; i < HTTP_DEFECTS; i++) {
		evbuffer_add_printf(out,
		    "moortack_relay_bad_responses_total{defect=\"%s\"} "
		    "%" PRIu64 "\n",
		    http_defect_name((http_defect_t)i),
		    stats->bad_responses[i]);
	}
}

void
stats_observe(stats_histogram_t *histogram, double ms)
{
	size_t i = 0;

	while (i < STATS_BUCKETS && ms > bucket_bounds[i])
		i++;
	histogram->counts[i]++;
	histogram->sum_ms += ms;
}

static void
histogram_write(
    const stats_histogram_t *histogram, const char *name, struct evbuffer *out)
{
	uint64_t total = 0;

	evbuffer_add_printf(
	    out, "# TYPE moortack_relay_%s_ms histogram\n", name);
	for (size_t i = 0; i < STATS_BUCKETS; i++) {
		total += histogram->counts[i];
		evbuffer_add_printf(out,
		    "moortack_relay_%s_ms_bucket{le=\"%g\"} %" PRIu64 "\n",
		    name, bucket_bounds[i], total);
	}
	total += histogram->counts[STATS_BUCKETS];
	evbuffer_add_printf(out,
	    "moortack_relay_%s_ms_bucket{le=\"+Inf\"} %" PRIu64 "\n"
	    "moortack_relay_%s_ms_sum %.1f\n"
	    "moortack_relay_%s_ms_count %" PRIu64 "\n",
	    name, total, name, histogram->sum_ms, name, total);
}

void
stats_write(const relay_stats_t *stats, struct evbuffer *out)
{
	for (int i = 0; i < RELAY_COUNTERS; i++) {
		evbuffer_add_printf(out,
		    "# HELP moortack_relay_%s_total %s\n"
		    "# TYPE moortack_relay_%s_total counter\n"
		    "moortack_relay_%s_total %" PRIu64 "\n",
		    counter_infos[i].name, counter_infos[i].help,
		    counter_infos[i].name, counter_infos[i].name,
		    stats->counters[i]);
	}
	evbuffer_add_printf(
	    out, "# TYPE moortack_relay_failures_total counter\n");
	for (int i = 1; i < ERR_CODE_COUNT; i++) {
		if (stats->failures[i] > 0)
			evbuffer_add_printf(out,
			    "moortack_relay_failures_total{type=\"%s\"} "
			    "%" PRIu64 "\n",
			    err_info((err_code_t)i)->name, stats->failures[i]);
	}
	defects_write(stats, out);
	outcomes_write(stats, out);
	histogram_write(&stats->first_byte_ms, "first", out);
	histogram_write(&stats->complete_ms, "whole", out);
	histogram_write(&stats->added_ms, "added", out);
	histogram_write(&stats->waited_ms, "waited", out);
}
