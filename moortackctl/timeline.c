#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "client.h"
#include "common/hlc.h"

/* Stamps come from hybrid logical clocks: a cause sorts before its effect. */
static int
event_compare(const void *a, const void *b)
{
	json_int_t x =
	    json_integer_value(json_object_get(*(json_t *const *)a, "stamp"));
	json_int_t y =
	    json_integer_value(json_object_get(*(json_t *const *)b, "stamp"));

	return x < y ? -1 : x > y;
}

static json_t *
events_collect(const command_context_t *context)
{
	json_t *events = json_array();

	for (int i = 0; i < context->entry_count; i++) {
		char path[256] = "/admin/timeline";
		json_t *response;

		if (context->arg_count > 0)
			snprintf(path, sizeof(path),
			    "/admin/timeline?subject=%.64s", context->args[0]);
		client_entry_get(
		    context, &context->entries[i], path, &response);
		json_array_extend(events, json_object_get(response, "events"));
		json_decref(response);
	}
	return events;
}

static void
event_print(const json_t *event)
{
	int64_t ms = hlc_to_ms(
	    (uint64_t)json_integer_value(json_object_get(event, "stamp")));
	time_t seconds = (time_t)(ms / 1000);
	struct tm tm;
	char stamp[32];

	gmtime_r(&seconds, &tm);
	strftime(stamp, sizeof(stamp), "%H:%M:%S", &tm);
	printf("%s.%03d %-21s %-17s %-32s %s\n", stamp, (int)(ms % 1000),
	    json_string_value(json_object_get(event, "entry")),
	    json_string_value(json_object_get(event, "type")),
	    json_string_value(json_object_get(event, "subject")),
	    json_string_value(json_object_get(event, "note")));
}

command_status_t
command_timeline(const command_context_t *context, err_t *err)
{
	json_t *events = events_collect(context);
	size_t count = json_array_size(events);
	json_t **sorted = calloc(count + 1, sizeof(*sorted));

	if (sorted == NULL) {
		json_decref(events);
		err_set(err, ERR_MEMORY, "no memory");
		return COMMAND_FAILED;
	}
	for (size_t i = 0; i < count; i++)
		sorted[i] = json_array_get(events, i);
	qsort(sorted, count, sizeof(*sorted), event_compare);
	for (size_t i = 0; i < count; i++) {
		if (context->json) {
			char *text = json_dumps(sorted[i], JSON_COMPACT);

			printf("%s\n", text != NULL ? text : "");
			free(text);
		} else {
			event_print(sorted[i]);
		}
	}
	free(sorted);
	json_decref(events);
	return COMMAND_OK;
}
