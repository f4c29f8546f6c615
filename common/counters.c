#include "common/counters.h"

#include <inttypes.h>

typedef struct counter_info {
	const char *name;
	const char *help;
} counter_info_t;

/* Indexed by counter_t. The names and help texts are exported. */
static const counter_info_t infos[COUNTER_COUNT] = {
    {"requests", "Requests received from callers."},
    {"answers", "Whole answers delivered."},
    {"attempts", "Requests sent to endpoints."},
    {"retries", "Attempts after the first."},
    {"resumes", "Cut streams resumed at their offset."},
    {"streams_cut", "Streams ended with an error event."},
    {"callers_gone", "Callers that left before their answer ended."},
    {"tokens", "Tokens delivered."},
    {"late_replies", "Answers of peers that came too late, dropped."},
    {"bills_recorded", "Billing records made here."},
    {"bills_alone", "Answers given while no peer held their bill."},
    {"bills_held", "Billing records held for peers."},
    {"bills_flushed", "Billing records confirmed by the store."},
    {"tickets_go", "Tickets this witness let go."},
    {"tickets_killed", "Tickets this witness killed unused."},
    {"peer_sent", "Messages sent to peers."},
    {"peer_received", "Messages received from peers."},
    {"peer_bytes_sent", "Bytes of messages sent to peers."},
    {"store_calls", "Calls to the platform's store."},
    {"store_failures", "Calls to the store that failed."},
    {"revisions_taken", "Configuration revisions taken over."},
    {"stale_pauses", "Times that new work was stopped as stale."},
    {"store_behind", "Reads of a head behind the revision held."},
    {"guard_stops", "Versions stopped by the guard."},
    {"ejections", "Endpoints ejected as outliers."},
    {"cascade_ups", "Answers passed on to a better model."},
    {"deferred_accepted", "Requests accepted to be answered later."},
    {"deferred_done", "Deferred requests answered here."},
    {"deferred_lost", "Runs whose claim another daemon had taken over."},
};

void
counter_add(counters_t *counters, counter_t counter, uint64_t by)
{
	counters->values[counter] += by;
}

void
counter_add_failure(counters_t *counters, err_code_t code)
{
	counters->failures[code]++;
}

void
counters_write(const counters_t *counters, struct evbuffer *out)
{
	for (int i = 0; i < COUNTER_COUNT; i++) {
		evbuffer_add_printf(out,
		    "# HELP moortack_%s_total %s\n"
		    "# TYPE moortack_%s_total counter\n"
		    "moortack_%s_total %" PRIu64 "\n",
		    infos[i].name, infos[i].help, infos[i].name, infos[i].name,
		    counters->values[i]);
	}
	evbuffer_add_printf(out,
	    "# HELP moortack_failures_total Failures told, by type.\n"
	    "# TYPE moortack_failures_total counter\n");
	for (int i = 1; i < ERR_CODE_COUNT; i++) {
		evbuffer_add_printf(out,
		    "moortack_failures_total{type=\"%s\"} %" PRIu64 "\n",
		    err_info((err_code_t)i)->name, counters->failures[i]);
	}
}
