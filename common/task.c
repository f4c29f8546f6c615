#include "common/task.h"

#include <stdlib.h>

static void
msg_free(task_msg_t *msg)
{
	if (msg->body != NULL)
		msg->release(msg->body);
	free(msg);
}

static void
task_deliver(evutil_socket_t fd, short what, void *arg)
{
	task_t *task = arg;
	task_msg_t *msg = task->queue_head;

	(void)fd;
	(void)what;
	task->queue_head = NULL;
	task->queue_tail = &task->queue_head;
	task->queued = 0;
	while (msg != NULL) {
		task_msg_t *next = msg->next;

		task->handler(task->state, msg);
		msg_free(msg);
		msg = next;
	}
}

bool
task_init(
    task_t *task, struct event_base *base, task_handler_t handler, void *state)
{
	*task = (task_t){.handler = handler, .state = state};
	task->queue_tail = &task->queue_head;
	task->wake_event = event_new(base, -1, 0, task_deliver, task);
	return task->wake_event != NULL;
}

void
task_finish(task_t *task)
{
	while (task->queue_head != NULL) {
		task_msg_t *msg = task->queue_head;

		task->queue_head = msg->next;
		msg_free(msg);
	}
	if (task->wake_event != NULL)
		event_free(task->wake_event);
	*task = (task_t){0};
}

bool
task_post(task_t *task, int kind, void *body, void (*release)(void *))
{
	task_msg_t *msg = malloc(sizeof(*msg));

	if (release == NULL)
		release = free;
	if (msg == NULL) {
		if (body != NULL)
			release(body);
		return false;
	}
	*msg = (task_msg_t){.kind = kind, .body = body, .release = release};
	*task->queue_tail = msg;
	task->queue_tail = &msg->next;
	task->queued++;
	event_active(task->wake_event, EV_TIMEOUT, 0);
	return true;
}
