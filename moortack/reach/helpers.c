#include "moortack/reach/helpers.h"

#include "common/clock_source.h"

bool
helper_address_equal(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	    a->sin_port == b->sin_port;
}

helper_t *
helpers_find(helpers_t *self, const struct sockaddr_in *address)
{
	for (size_t i = 0; i < self->len; i++) {
		if (helper_address_equal(&self->list[i].address, address))
			return &self->list[i];
	}
	return NULL;
}

void
helpers_apply(helpers_t *self, const struct sockaddr_in *address,
    const helper_report_t *report, struct timespec now)
{
	helper_t *helper = helpers_find(self, address);

	if (!report->reaches) {
		helpers_remove(self, address);
		return;
	}
	if (helper == NULL) {
		if (self->len == HELPERS_MAX)
			return;
		helper = &self->list[self->len++];
		*helper = (helper_t){.address = *address};
	}
	helper->reported_at = now;
	helper->load = report->load;
}

void
helpers_remove(helpers_t *self, const struct sockaddr_in *address)
{
	helper_t *helper = helpers_find(self, address);

	if (helper != NULL)
		*helper = self->list[--self->len];
}

bool
helpers_take_silent(
    helpers_t *self, struct timespec now, struct sockaddr_in *out)
{
	for (size_t i = 0; i < self->len; i++) {
		if (timespec_ms_between(self->list[i].reported_at, now) <=
		    HELPER_SILENCE_MS)
			continue;
		*out = self->list[i].address;
		self->list[i] = self->list[--self->len];
		return true;
	}
	return false;
}

static bool
was_tried(const helper_t *helper, const struct sockaddr_in *tried, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (helper_address_equal(&helper->address, &tried[i]))
			return true;
	}
	return false;
}

helper_t *
helpers_choose(helpers_t *self, const struct sockaddr_in *tried,
    size_t tried_len, uint32_t random)
{
	helper_t *candidates[HELPERS_MAX];
	helper_t *first, *second;
	size_t len = 0;

	for (size_t i = 0; i < self->len; i++) {
		if (!was_tried(&self->list[i], tried, tried_len))
			candidates[len++] = &self->list[i];
	}
	if (len == 0)
		return NULL;
	first = candidates[random % len];
	second = candidates[random / len % len];
	return second->load + second->in_flight < first->load + first->in_flight
	    ? second
	    : first;
}
