/**
 * @file
 * Tasks on one event loop. A task owns its sockets and state; other tasks
 * communicate with it only by posting messages, which are delivered from the
 * event loop, never from within the sender's call.
 */
#ifndef COMMON_TASK_H
#define COMMON_TASK_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct task task_t;
typedef struct task_msg task_msg_t;

/** A message: its kind, from an enumeration of the receiver, and a body that it
 * owns. */
struct task_msg {
	int kind;
	void *body;
	void (*release)(void *body); /**< frees the body */
	task_msg_t *next;
};

/** Handles a message, which the task frees afterwards. */
typedef void (*task_handler_t)(void *state, task_msg_t *msg);

struct task {
	struct event *wake_event;
	task_handler_t handler;
	void *state;
	task_msg_t *queue_head;
	task_msg_t **queue_tail;
	uint32_t queued; /**< messages not yet delivered */
};

/** @return false when out of memory */
bool task_init(task_t *, struct event_base *, task_handler_t, void *state);
/** Free the messages that were not delivered. */
void task_finish(task_t *);

/**
 * Queue a message. Takes ownership of @p body, also on failure.
 * @param release frees @p body; NULL: free()
 * @return false when out of memory
 */
bool task_post(task_t *, int kind, void *body, void (*release)(void *));

#endif
