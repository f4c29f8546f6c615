#include "load_text.h"

#include <jansson.h>
#include <string.h>

bool
stream_text_extract(char *body, char *out, const char **failure)
{
	static const char data_prefix[] = "data: ";
	bool done = false;
	char *rest;

	*out = '\0';
	for (char *line = strtok_r(body, "\n", &rest); line != NULL;
	     line = strtok_r(NULL, "\n", &rest)) {
		json_t *event;
		const char *content;

		if (strncmp(line, "event: error", 12) == 0)
			*failure = "stream_cut";
		if (strncmp(line, data_prefix, sizeof(data_prefix) - 1) != 0)
			continue;
		line += sizeof(data_prefix) - 1;
		if (strcmp(line, "[DONE]") == 0) {
			done = true;
			continue;
		}
		event = json_loads(line, 0, NULL);
		content = json_string_value(json_object_get(
		    json_object_get(
			json_array_get(json_object_get(event, "choices"), 0),
			"delta"),
		    "content"));
		if (content != NULL)
			strcat(out, content);
		json_decref(event);
	}
	return done;
}
