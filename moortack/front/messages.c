/**
 * @file
 * Handles the messages that other tasks and peers send to the front.
 */
#include <string.h>

#include "common/http_call.h"
#include "common/log.h"
#include "front_priv.h"

#define RATING_GOOD_MIN 0.5

static void
config_apply(front_t *front, config_t *config)
{
	feedback_config_changed(&front->learn, front->config, config);
	config_release(front->config);
	front->config = config_acquire(config);
	endpoint_table_resolve(&front->fleet, config);
	front_dispatch(front);
}

static void
guard_stop_send(front_t *front, uint64_t to, const char *version,
    const char *organisation, uint64_t revision)
{
	Wire__GuardStop stop = WIRE__GUARD_STOP__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	stop.version = (char *)version;
	stop.organisation = (char *)organisation;
	stop.revision = revision;
	envelope.body_case = WIRE__ENVELOPE__BODY_GUARD_STOP;
	envelope.guard_stop = &stop;
	peers_send_message(front->peers, to, &envelope);
}

void
front_guard_broadcast(
    front_t *front, const char *version, const char *organisation)
{
	counter_add(front->process.counters, COUNTER_GUARD_STOPS, 1);
	timeline_add(front->process.timeline, EVENT_GUARD_STOPPED, version,
	    "%s",
	    *organisation != '\0' ? organisation : "for all organisations");
	log_line(LOG_WARN, LOG_ROUTE, "The guard stopped %s%s%s.", version,
	    *organisation != '\0' ? " for " : "", organisation);
	for (handle_t h = 0; h < front->members->rows.len; h++)
		guard_stop_send(front,
		    members_at(front->members, h)->incarnation, version,
		    organisation, front->config->revision);
}

static void
guard_stop_receive(front_t *front, const peer_query_t *message)
{
	const Wire__GuardStop *stop = message->envelope->guard_stop;

	if (!front->options->guard ||
	    !guard_stop(&front->learn.guard, stop->version, stop->organisation,
		stop->revision))
		return;
	timeline_add(front->process.timeline, EVENT_GUARD_STOPPED,
	    stop->version, "%s", "reported by a peer");
}

/* A daemon that is new or was unreachable has missed the guard's stops. They
 * are sent once it responds: before that its link isn't up. */
static void
guard_stops_resend(front_t *front, const members_t *members)
{
	for (handle_t h = 0; h < members->rows.len; h++) {
		const member_t *member = members_at(members, h);
		uint64_t to = member->incarnation;
		const member_t *old = members_find(front->members, to);

		if (!member->responsive || (old != NULL && old->responsive))
			continue;
		for (handle_t r = 0; r < front->learn.guard.versions.len; r++) {
			const guard_version_t *row =
			    table_at(&front->learn.guard.versions, r);

			if (row->stopped)
				guard_stop_send(front, to, row->version,
				    row->organisation, row->stopped_revision);
		}
	}
}

static void
rating_apply(front_t *front, const json_t *rating)
{
	const char *request =
	    json_string_value(json_object_get(rating, "request"));
	const char *version =
	    json_string_value(json_object_get(rating, "version"));
	const char *organisation =
	    json_string_value(json_object_get(rating, "organisation"));
	bool good = json_number_value(json_object_get(rating, "score")) >=
	    RATING_GOOD_MIN;
	const recent_response_t *recent;

	if (request == NULL || version == NULL || organisation == NULL)
		return;
	recent = feedback_find_response(&front->learn, request);
	if (recent != NULL)
		feedback_add_rating(&front->learn, recent, good);
	exchange_guard_observe(
	    front, organisation, version, GUARD_RATING, !good);
}

static void
ratings_apply(front_t *front, const json_t *ratings)
{
	json_t *rating;
	size_t i;

	json_array_foreach(ratings, i, rating)
	{
		rating_apply(front, rating);
	}
}

static void
members_apply(front_t *front, members_t *members)
{
	guard_stops_resend(front, members);
	members_release(front->members);
	front->members = members_acquire(members);
}

static void
vm_apply(front_t *front, const json_t *vm)
{
	const char *address = json_string_value(json_object_get(vm, "address"));
	const char *place = json_string_value(json_object_get(vm, "place"));
	const char *state = json_string_value(json_object_get(vm, "state"));
	bool leaving = state != NULL && strcmp(state, "leaving") == 0;
	http_address_t checked;
	handle_t handle;
	json_t *version;
	size_t i;

	if (address == NULL || place == NULL ||
	    !http_address_parse(address, &checked))
		return;
	if (endpoint_table_find(&front->fleet, address) == HANDLE_NONE)
		timeline_add(front->process.timeline, EVENT_ENDPOINT_SEEN,
		    address, "%s", place);
	handle = endpoint_table_update_entry(&front->fleet, address, place,
	    leaving, clock_boottime(front->process.clock));
	if (handle == HANDLE_NONE)
		return;
	json_array_foreach(json_object_get(vm, "versions"), i, version)
	{
		if (json_is_string(version))
			endpoint_add_version(
			    endpoint_table_at(&front->fleet, handle),
			    json_string_value(version));
	}
}

static void
vms_apply(front_t *front, const json_t *vms)
{
	json_t *vm;
	size_t i;

	endpoint_table_update_begin(&front->fleet);
	json_array_foreach(vms, i, vm)
	{
		vm_apply(front, vm);
	}
	endpoint_table_update_end(&front->fleet);
	endpoint_table_resolve(&front->fleet, front->config);
}

/* The VM list lags behind, so a daemon that learns from a load report that an
 * endpoint is leaving sends it to all. */
static void
endpoint_left_broadcast(front_t *front, const char *address)
{
	Wire__EndpointLeft left = WIRE__ENDPOINT_LEFT__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	timeline_add(front->process.timeline, EVENT_ENDPOINT_LEAVING, address,
	    "%s", "reported by the endpoint");
	left.address = (char *)address;
	envelope.body_case = WIRE__ENVELOPE__BODY_ENDPOINT_LEFT;
	envelope.endpoint_left = &left;
	for (handle_t h = 0; h < front->members->rows.len; h++)
		peers_send_message(front->peers,
		    members_at(front->members, h)->incarnation, &envelope);
}

static void
endpoint_left_receive(front_t *front, const peer_query_t *message)
{
	const char *address = message->envelope->endpoint_left->address;
	endpoint_t *endpoint = endpoint_table_at(
	    &front->fleet, endpoint_table_find(&front->fleet, address));

	if (endpoint == NULL || endpoint->state != ENDPOINT_LIVE)
		return;
	endpoint_mark_leaving(endpoint);
	timeline_add(front->process.timeline, EVENT_ENDPOINT_LEAVING, address,
	    "%s", "reported by a peer");
}

static void
load_apply(front_t *front, const load_report_t *report)
{
	if (endpoint_table_apply_report(&front->fleet, report, front->config))
		endpoint_left_broadcast(front, report->address);
	if (front->admission.waiting_count > 0)
		front_dispatch(front);
}

static void
witness_result_apply(front_t *front, const witness_result_t *result)
{
	exchange_t *exchange = front_exchange_find(front, result->tag);

	if (exchange != NULL)
		exchange_witness_responded(exchange, result->witness_index,
		    result->no_response, result->state, result->status,
		    result->body);
}

static void
billing_result_apply(front_t *front, const billing_result_t *result)
{
	exchange_t *exchange = front_exchange_find(front, result->tag);

	if (exchange != NULL && exchange->phase == PHASE_BILLING)
		exchange_bill_recorded(exchange);
}

void
front_handle(void *state, task_msg_t *msg)
{
	front_t *front = state;

	switch ((enum front_message)msg->kind) {
	case FRONT_CONFIG:
		config_apply(front, msg->body);
		break;
	case FRONT_FRESHNESS:
		front->freshness = *(freshness_update_t *)msg->body;
		break;
	case FRONT_MEMBERS:
		members_apply(front, msg->body);
		break;
	case FRONT_ADMIN_RESPONSE:
		admin_respond(front, msg->body);
		break;
	case FRONT_WITNESS_RESULT:
		witness_result_apply(front, msg->body);
		break;
	case FRONT_BILLING_RESULT:
		billing_result_apply(front, msg->body);
		break;
	case FRONT_BILLING_STATUS:
		front->billing_status = *(billing_status_t *)msg->body;
		break;
	case FRONT_VMS:
		vms_apply(front, msg->body);
		break;
	case FRONT_LOAD:
		load_apply(front, msg->body);
		break;
	case FRONT_ENDPOINT_LEFT:
		endpoint_left_receive(front, msg->body);
		break;
	case FRONT_GUARD_STOP:
		guard_stop_receive(front, msg->body);
		break;
	case FRONT_RATINGS:
		ratings_apply(front, msg->body);
		break;
	}
}
