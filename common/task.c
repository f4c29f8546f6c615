#include "common/task.h"

#include <stdlib.h>

static void
msg_free(msg_t *msg)
{
	if (msg->body != NULL)
		msg->release(msg->body);
	free(msg);
}

static void
task_run(evutil_socket_t fd, short what, void *arg)
{
	task_t *task = arg;
	msg_t *msg = task->first;

	(void)fd;
	(void)what;
	task->first = NULL;
	task->last = &task->first;
	task->queued = 0;
	while (msg != NULL) {
		msg_t *next = msg->next;

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
	task->last = &task->first;
	task->wake = event_new(base, -1, 0, task_run, task);
	return task->wake != NULL;
}

void
task_finish(task_t *task)
{
	while (task->first != NULL) {
		msg_t *msg = task->first;

		task->first = msg->next;
		msg_free(msg);
	}
	if (task->wake != NULL)
		event_free(task->wake);
	*task = (task_t){0};
}

bool
task_post(task_t *task, int kind, void *body, void (*release)(void *))
{
	msg_t *msg = malloc(sizeof(*msg));

	if (release == NULL)
		release = free;
	if (msg == NULL) {
		if (body != NULL)
			release(body);
		return false;
	}
	*msg = (msg_t){.kind = kind, .body = body, .release = release};
	*task->last = msg;
	task->last = &msg->next;
	task->queued++;
	event_active(task->wake, EV_TIMEOUT, 0);
	return true;
}
