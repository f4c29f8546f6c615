/**
 * @file
 * VMs compete for the lease of a duty and send orders under it, while calls to
 * the store are slow, lose their responses or take effect late, VMs stand still
 * or restart, and the store is restored from an older copy.
 *
 * The oracle sees the orders in the sequence in which they arrive. It checks
 * that no order has a lower fencing token than one before, that two VMs never
 * use the same token, and that two VMs do not alternate within the lease time.
 */
#include <stdio.h>
#include <string.h>

#include "../support/manual_clock.h"
#include "input.h"
#include "moortack/duty/duty_lease.h"

#define VMS 4
#define STEP_MS 50
#define STEPS_MAX 1200
#define LEASE_MS 3000
/* An order arrives within this time, or its connection is reset. */
#define ORDER_MAX_MS 900
#define CALL_TIMEOUT_MS 900
#define LATE_MAX_MS 4000
#define STILL_MAX_MS 9000
#define RESTART_MAX_MS 2000
#define CALLS_MAX 16
#define ORDERS_MAX 64
#define HISTORY_MAX 64
#define ERAS_MAX 3
#define NEVER INT64_MAX

typedef struct stored {
	bool present;
	duty_lease_row_t row;
	uint64_t version;
} stored_t;

/** A call to the store. */
typedef struct call {
	bool active;
	size_t vm;
	uint64_t process; /**< of the caller */
	bool is_write;
	uint64_t era;	   /**< of the expected version */
	uint64_t expected; /**< version */
	duty_lease_row_t row;
	int64_t sent_ms;
	int64_t at_store_ms; /**< when it takes effect */
	bool done;
	bool conflict;
	stored_t seen;
	uint64_t seen_era;
	int64_t store_now_ms;
	int64_t response_ms; /**< NEVER: it is lost */
} call_t;

typedef struct vm {
	char name[DUTY_VM_NAME_SIZE];
	int64_t clock_offset_ms;
	duty_lease_t lease;
	bool running;
	int64_t start_ms;
	int64_t still_until_ms;
	int64_t call_sent_ms; /**< of the call in flight; NEVER: none */
	bool releasing;
} vm_t;

typedef struct order {
	bool active;
	size_t vm;
	uint64_t token;
	int64_t arrives_ms;
} order_t;

static struct world {
	int64_t now_ms;
	uint64_t last_process;
	vm_t vms[VMS];
	stored_t stored;
	stored_t history[HISTORY_MAX];
	size_t history_len;
	uint64_t version;
	uint64_t era;
	call_t calls[CALLS_MAX];
	order_t orders[ORDERS_MAX];
	uint64_t token_seen;
	size_t token_vm;
	/* The last time at which each VM's order arrived, and the latest
	 * arrival of another VM's before which it came. */
	int64_t last_ms[VMS];
	bool other_since[VMS];
} world;

static struct timespec
vm_clock(const vm_t *vm)
{
	return timespec_from_ms(world.now_ms + vm->clock_offset_ms);
}

static void
vm_start(vm_t *vm)
{
	vm->running = true;
	vm->releasing = false;
	vm->still_until_ms = 0;
	vm->call_sent_ms = NEVER;
	duty_lease_init(&vm->lease, vm->name, ++world.last_process, LEASE_MS);
}

static void
world_init(input_t *input)
{
	memset(&world, 0, sizeof(world));
	world.now_ms = 100000;
	for (size_t i = 0; i < VMS; i++) {
		vm_t *vm = &world.vms[i];

		snprintf(vm->name, sizeof(vm->name), "vm-%zu", i);
		vm->clock_offset_ms = (int64_t)input_below(input, 200) * 1000;
		world.last_ms[i] = -NEVER / 2;
		vm_start(vm);
	}
}

static call_t *
call_new(size_t vm, input_t *input)
{
	for (size_t i = 0; i < CALLS_MAX; i++) {
		call_t *call = &world.calls[i];
		uint32_t kind = input_below(input, 16);

		if (call->active)
			continue;
		*call = (call_t){.active = true,
		    .vm = vm,
		    .process = world.vms[vm].lease.process,
		    .sent_ms = world.now_ms,
		    .at_store_ms = world.now_ms + STEP_MS,
		    .response_ms = 0};
		if (kind == 1)
			call->at_store_ms += input_below(input, 20) * STEP_MS;
		if (kind == 2)
			call->at_store_ms +=
			    input_below(input, LATE_MAX_MS / STEP_MS) * STEP_MS;
		call->response_ms = call->at_store_ms + STEP_MS;
		if (kind == 3)
			call->response_ms += input_below(input, 20) * STEP_MS;
		if (kind == 4)
			call->response_ms = NEVER;
		world.vms[vm].call_sent_ms = world.now_ms;
		return call;
	}
	return NULL;
}

static void
write_start(size_t index, const duty_lease_row_t *row, input_t *input)
{
	const duty_lease_t *lease = &world.vms[index].lease;
	call_t *call = call_new(index, input);

	if (call == NULL) {
		duty_lease_apply_unknown(&world.vms[index].lease);
		return;
	}
	call->is_write = true;
	call->expected = lease->version;
	call->era = lease->era;
	call->row = *row;
}

/* Sends an order, whose arrival the fuzzer delays. */
static void
order_send(size_t index, input_t *input)
{
	const vm_t *vm = &world.vms[index];

	for (size_t i = 0; i < ORDERS_MAX; i++) {
		if (world.orders[i].active)
			continue;
		world.orders[i] = (order_t){.active = true,
		    .vm = index,
		    .token = vm->lease.row.token,
		    .arrives_ms = world.now_ms +
			input_below(input, ORDER_MAX_MS / STEP_MS) * STEP_MS};
		return;
	}
}

/* A daemon gives the lease back only once its orders were responded to or
 * their connections reset. */
static bool
order_in_flight(size_t vm)
{
	for (size_t i = 0; i < ORDERS_MAX; i++) {
		if (world.orders[i].active && world.orders[i].vm == vm)
			return true;
	}
	return false;
}

static void
vm_step(size_t index, input_t *input)
{
	vm_t *vm = &world.vms[index];
	struct timespec now = vm_clock(vm);

	if (!vm->running || world.now_ms < vm->still_until_ms)
		return;
	if (duty_lease_covers(&vm->lease, now, ORDER_MAX_MS) &&
	    input_below(input, 3) == 0)
		order_send(index, input);
	if (vm->call_sent_ms != NEVER) {
		if (world.now_ms - vm->call_sent_ms < CALL_TIMEOUT_MS)
			return;
		vm->call_sent_ms = NEVER;
		duty_lease_apply_unknown(&vm->lease);
	}
	if (!vm->lease.known) {
		call_new(index, input);
		return;
	}
	if (input_below(input, 24) == 1 && !order_in_flight(index)) {
		const duty_lease_row_t *row =
		    duty_lease_propose_release(&vm->lease, now);

		if (row != NULL)
			write_start(index, row, input);
	} else if (duty_lease_wait_ms(&vm->lease, now) == 0 &&
	    input_below(input, 4) == 0) {
		write_start(
		    index, duty_lease_propose(&vm->lease, now, 0), input);
	}
}

static void
history_add(void)
{
	if (world.history_len == HISTORY_MAX) {
		memmove(&world.history[0], &world.history[1],
		    sizeof(stored_t) * (HISTORY_MAX - 1));
		world.history_len--;
	}
	world.history[world.history_len++] = world.stored;
}

static void
call_take_effect(call_t *call)
{
	uint64_t version = world.stored.present ? world.stored.version : 0;

	call->done = true;
	if (call->is_write) {
		/* As the adapter does: no version of an earlier era holds. */
		call->conflict = call->expected != version ||
		    (call->expected != 0 && call->era != world.era);
		if (!call->conflict) {
			history_add();
			world.stored.present = true;
			world.stored.row = call->row;
			world.stored.version = ++world.version;
		}
	}
	call->seen = world.stored;
	call->seen_era = world.era;
	call->store_now_ms = world.now_ms;
}

static void
call_respond(call_t *call)
{
	vm_t *vm = &world.vms[call->vm];
	duty_store_times_t times = {
	    .sent_at = timespec_from_ms(call->sent_ms + vm->clock_offset_ms),
	    .received_at = vm_clock(vm),
	    .store_now_ms = call->store_now_ms,
	    .era = call->seen_era};

	call->active = false;
	if (!vm->running || vm->lease.process != call->process ||
	    vm->call_sent_ms != call->sent_ms)
		return;
	vm->call_sent_ms = NEVER;
	if (call->seen_era < vm->lease.era)
		duty_lease_apply_unknown(&vm->lease);
	else if (call->is_write && !call->conflict)
		duty_lease_apply_written(
		    &vm->lease, call->seen.version, &times);
	else
		duty_lease_apply_read(&vm->lease,
		    call->seen.present ? &call->seen.row : NULL,
		    call->seen.present ? call->seen.version : 0, &times);
}

static void
calls_step(void)
{
	for (size_t i = 0; i < CALLS_MAX; i++) {
		call_t *call = &world.calls[i];

		if (!call->active)
			continue;
		if (!call->done && world.now_ms >= call->at_store_ms)
			call_take_effect(call);
		if (!call->done)
			continue;
		if (call->response_ms == NEVER)
			call->active = false;
		else if (world.now_ms >= call->response_ms &&
		    world.now_ms >= world.vms[call->vm].still_until_ms)
			call_respond(call);
	}
}

static void
order_check(const order_t *order)
{
	size_t vm = order->vm;

	FUZZ_CHECK(order->token >= world.token_seen);
	FUZZ_CHECK(order->token != world.token_seen || vm == world.token_vm);
	FUZZ_CHECK(!world.other_since[vm] ||
	    world.now_ms - world.last_ms[vm] > LEASE_MS);
	world.token_seen = order->token;
	world.token_vm = vm;
	world.last_ms[vm] = world.now_ms;
	world.other_since[vm] = false;
	for (size_t i = 0; i < VMS; i++)
		world.other_since[i] |= i != vm;
}

static void
orders_step(void)
{
	for (size_t i = 0; i < ORDERS_MAX; i++) {
		order_t *order = &world.orders[i];

		if (!order->active || world.now_ms < order->arrives_ms)
			continue;
		order->active = false;
		order_check(order);
	}
}

static void
vm_kill(vm_t *vm, input_t *input)
{
	vm->running = false;
	vm->start_ms = world.now_ms +
	    input_below(input, RESTART_MAX_MS / STEP_MS) * STEP_MS;
}

/* The store loses what it acknowledged lately, and begins a new era. */
static void
store_restore(input_t *input)
{
	size_t back = 1 + input_below(input, 8);

	if (world.era == ERAS_MAX || world.history_len == 0)
		return;
	if (back > world.history_len)
		back = world.history_len;
	world.history_len -= back;
	world.stored = world.history[world.history_len];
	world.version = world.stored.version;
	world.era++;
}

static void
trouble_step(input_t *input)
{
	vm_t *vm = &world.vms[input_below(input, VMS)];

	switch (input_below(input, 40)) {
	case 1:
		if (vm->running)
			vm_kill(vm, input);
		break;
	case 2:
		vm->still_until_ms = world.now_ms +
		    input_below(input, STILL_MAX_MS / STEP_MS) * STEP_MS;
		break;
	case 3:
		if (input_below(input, 8) == 0)
			store_restore(input);
		break;
	default:
		break;
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	input_t input = {.bytes = bytes, .len = len};

	world_init(&input);
	for (int step = 0; step < STEPS_MAX && !input_at_end(&input); step++) {
		world.now_ms += STEP_MS;
		for (size_t i = 0; i < VMS; i++) {
			if (!world.vms[i].running &&
			    world.now_ms >= world.vms[i].start_ms)
				vm_start(&world.vms[i]);
		}
		trouble_step(&input);
		for (size_t i = 0; i < VMS; i++)
			vm_step(i, &input);
		calls_step();
		orders_step();
	}
	return 0;
}
