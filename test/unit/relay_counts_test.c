/**
 * @file
 * The model of a retry, and the part of the retry budget that is available for
 * escalations to larger models, under a simulated load. A daemon of a large
 * fleet receives a few streams a second, so that its own share is used
 * unevenly, and when the rate falls, its earlier retries are counted against
 * fewer requests. Escalations were denied then, although a larger model would
 * have given a better response: 131 of 828 in two seconds of a day on which a
 * roll-out ended.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "../../moortack/relay/relay_request.h"
#include "../support/manual_clock.h"

#define DAEMONS 91
#define STREAMS_PER_S 3.3
/* Rate after the peak, as a share of STREAMS_PER_S. */
#define LATER_RATE_SHARE 0.75
#define PEAK_S 20
#define DURATION_S 40
#define LARGER_MODEL_SHARE 0.5
#define SEEDS 20
/* Of the streams that want a larger model. */
#define DENIED_SHARE_MAX 0.01
#define SERVICE "lm"
#define DRAW_RANGE 4294967296.0

/* Uniform from 0 to 1. */
static double
draw(uint64_t *state)
{
	uint64_t hash = XXH3_64bits(state, sizeof(*state));

	++*state;
	return ((double)(uint32_t)hash + 0.5) / DRAW_RANGE;
}

typedef struct simulation {
	double wanted;
	double denied;
} simulation_t;

static void
load_simulate(uint64_t seed, simulation_t *total)
{
	manual_clock_t clock = {{&manual_clock_ops}, {1000, 0}};
	relay_t relay = {.clock = &clock.source,
	    .daemons_max_seen = DAEMONS,
	    .bounds = {.retries = {0.9, 10000, 222}}};
	uint64_t state = seed << 32;
	double now_s = 0;

	while (now_s < DURATION_S) {
		double per_s =
		    STREAMS_PER_S * (now_s < PEAK_S ? 1 : LATER_RATE_SHARE);

		now_s += -log(draw(&state)) / per_s;
		clock.now = timespec_from_ms(1000000 + (int64_t)(1000 * now_s));
		relay_count_request(&relay, SERVICE, clock.now);
		if (draw(&state) >= LARGER_MODEL_SHARE)
			continue;
		total->wanted++;
		if (!relay_retry_has_spare(&relay, SERVICE) ||
		    !relay_retry_acquire(&relay, SERVICE))
			total->denied++;
	}
	relay_service_states_finish(&relay);
}

static void
larger_models_are_rarely_denied(void **state)
{
	simulation_t total = {0};

	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		load_simulate(seed, &total);
	print_message("%.0f wanted, %.0f denied\n", total.wanted, total.denied);
	assert_true(total.denied <= DENIED_SHARE_MAX * total.wanted);
}

/* Retries are left for failures when no more escalations are allowed. */
static void
budget_is_reserved_for_failures(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {1000, 0}};
	relay_t relay = {.clock = &clock.source,
	    .daemons_max_seen = 1,
	    .bounds = {.retries = {0.9, 10000, 20}}};

	(void)state;
	for (int i = 0; i < 100; i++)
		relay_count_request(&relay, SERVICE, clock.now);
	while (relay_retry_has_spare(&relay, SERVICE))
		assert_true(relay_retry_acquire(&relay, SERVICE));
	for (int i = 0; i < 4; i++)
		assert_true(relay_retry_acquire(&relay, SERVICE));
	relay_service_states_finish(&relay);
}

/* An endpoint fails after a larger model was asked: what is left of the time is
 * enough for a smaller one only. */
static void
retry_takes_a_model_that_can_complete(void **state)
{
	manual_clock_t clock = {{&manual_clock_ops}, {1000, 0}};
	relay_t relay = {.clock = &clock.source};
	route_model_t models[] = {{"small", 0.1}, {"large", 1}};
	const relay_route_t route = {.models = models, .models_len = 2};
	relay_request_t req = {.relay = &relay,
	    .route = &route,
	    .service = SERVICE,
	    .received_at = clock.now,
	    .time_limit_ms = 10000,
	    .arrival = {.any_model = true, .tokens_out_estimate = 100},
	    .model_chosen = true,
	    .model_index = 1};

	(void)state;
	relay_model_reconsider(&req);
	assert_int_equal(req.model_index, 1);
	for (int i = 0; i < 10; i++)
		decode_rate_observe(
		    &relay_model_find(&req, "large")->decode_rate, 16, 640);
	relay_model_reconsider(&req);
	assert_int_equal(req.model_index, 1);
	/* 4 s of output, 2 s left. */
	clock.now.tv_sec += 8;
	relay_model_reconsider(&req);
	assert_int_equal(req.model_index, 0);
	relay_model_reconsider(&req);
	assert_int_equal(req.model_index, 0);
	relay_service_states_finish(&relay);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(larger_models_are_rarely_denied),
	    cmocka_unit_test(budget_is_reserved_for_failures),
	    cmocka_unit_test(retry_takes_a_model_that_can_complete),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
