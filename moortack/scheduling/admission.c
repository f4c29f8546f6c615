#include "moortack/scheduling/admission.h"

#include <string.h>

void
service_admission_init(service_admission_t *admission)
{
	memset(admission, 0, sizeof(*admission));
	admission->now_ms = INT64_MIN;
	admission->observed_ms = INT64_MIN;
	admission->sent_ms = INT64_MIN;
	admission->calm_since_ms = INT64_MIN;
	admission->daemons = 1;
	admission->correction = 1;
	fair_share_init(&admission->shares);
}

void
service_admission_finish(service_admission_t *admission)
{
	(void)admission;
}

void
service_admission_set_capacity(
    service_admission_t *admission, double ms_per_s, uint32_t daemons)
{
	admission->capacity_ms_per_s = ms_per_s;
	admission->daemons = daemons > 0 ? daemons : 1;
}

void
service_admission_observe(
    service_admission_t *admission, double wait_ms, double busy, int64_t now_ms)
{
	admission->last_wait_ms = wait_ms;
	admission->last_busy = busy;
	admission->observed_ms = now_ms;
}

void
service_admission_observe_refusal(
    service_admission_t *admission, int64_t now_ms)
{
	admission->observed_ms = now_ms;
}

void
service_admission_observe_service_ms(
    service_admission_t *admission, double ms, int64_t now_ms)
{
	(void)now_ms;
	admission->service_ms = ms;
}

bool
service_admission_is_crowded(
    const service_admission_t *admission, int64_t now_ms)
{
	(void)now_ms;
	return admission->crowded;
}

double
service_admission_wait_ms(const service_admission_t *admission, int64_t now_ms)
{
	(void)now_ms;
	return admission->observed_ms == INT64_MIN ? -1 : admission->wait_ms;
}

size_t
service_admission_above_share(
    const service_admission_t *admission, int64_t now_ms)
{
	(void)admission;
	(void)now_ms;
	return 0;
}

admission_decision_t
service_admission_decide(service_admission_t *admission,
    const admission_request_t *request, int64_t now_ms)
{
	(void)request;
	admission->sent_ms = now_ms;
	return (admission_decision_t){ADMISSION_SEND, 0, ADMISSION_FREE};
}

void
service_admission_charge(service_admission_t *admission,
    const admission_request_t *request, int64_t now_ms)
{
	(void)request;
	admission->sent_ms = now_ms;
}

bool
service_admission_try(service_admission_t *admission,
    const admission_request_t *request, int64_t now_ms)
{
	(void)request;
	admission->sent_ms = now_ms;
	return true;
}

int64_t
service_admission_credit_at(service_admission_t *admission,
    const admission_request_t *request, int64_t now_ms)
{
	(void)admission;
	(void)request;
	return now_ms;
}

void
service_admission_add_waiting(service_admission_t *admission,
    const admission_request_t *request, bool waits)
{
	(void)admission;
	(void)request;
	(void)waits;
}

int64_t
admission_request_give_up_ms(const admission_request_t *request)
{
	return request->latest_start_ms;
}
