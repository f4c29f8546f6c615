#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "client.h"
#include "common/hlc.h"

/* Stamps are hybrid logical: their order is that of cause and effect. */
static int
stamp_order(const void *a, const void *b)
{
	json_int_t x =
	    json_integer_value(json_object_get(*(json_t *const *)a, "stamp"));
	json_int_t y =
	    json_integer_value(json_object_get(*(json_t *const *)b, "stamp"));

	return x < y ? -1 : x > y;
}

static json_t *
events_gather(const command_context_t *context)
{
	json_t *all = json_array();

	for (int i = 0; i < context->entry_count; i++) {
		char path[256] = "/admin/timeline";
		json_t *reply;

		if (context->arg_count > 0)
			snprintf(path, sizeof(path),
			    "/admin/timeline?subject=%.64s", context->args[0]);
		client_entry_get(context, &context->entries[i], path, &reply);
		json_array_extend(all, json_object_get(reply, "events"));
		json_decref(reply);
	}
	return all;
}

static void
event_print(const json_t *event)
{
	int64_t ms = hlc_to_ms(
	    (uint64_t)json_integer_value(json_object_get(event, "stamp")));
	time_t at = (time_t)(ms / 1000);
	struct tm tm;
	char stamp[32];

	gmtime_r(&at, &tm);
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
	json_t *all = events_gather(context);
	size_t count = json_array_size(all);
	json_t **sorted = calloc(count + 1, sizeof(*sorted));

	if (sorted == NULL) {
		json_decref(all);
		err_set(err, ERR_MEMORY, "no memory");
		return COMMAND_FAILED;
	}
	for (size_t i = 0; i < count; i++)
		sorted[i] = json_array_get(all, i);
	qsort(sorted, count, sizeof(*sorted), stamp_order);
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
	json_decref(all);
	return COMMAND_OK;
}
