/**
 * @file
 * Tasks on one event loop. A task owns its sockets and its state; others reach
 * it only by posting a message, which is delivered from the loop, never from
 * inside the sender's call.
 */
#ifndef COMMON_TASK_H
#define COMMON_TASK_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct task task_t;
typedef struct task_msg task_msg_t;

/** A message: its kind (the receiver's enumeration) and a body that the message
 * owns; @p release frees what the body points to. */
struct task_msg {
	int kind;
	void *body;
	void (*release)(void *body);
	task_msg_t *next;
};

/** Handles one message; the task frees it afterwards. */
typedef void (*task_handler_t)(void *state, task_msg_t *msg);

struct task {
	struct event *wake_event;
	task_handler_t handler;
	void *state;
	task_msg_t *queue_head;
	task_msg_t **queue_tail;
	uint32_t queued; /**< messages waiting */
};

bool task_init(task_t *, struct event_base *, task_handler_t, void *state);
void task_finish(task_t *);

/**
 * Queue a message. Takes over @p body, also on failure.
 * @param release how to free @p body; NULL: free()
 * @return false when memory is out
 */
bool task_post(task_t *, int kind, void *body, void (*release)(void *));

#endif
