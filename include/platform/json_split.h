/**
 * @file
 * Finds parts of a JSON text without parsing it: a member of the outermost
 * object, and the elements of an array. The parts are not validated; a caller
 * that parses them, and the text without them, has validated all of it.
 */
#ifndef PLATFORM_JSON_SPLIT_H
#define PLATFORM_JSON_SPLIT_H

#include <stdbool.h>
#include <stddef.h>

/** A part of a text; points into it. */
typedef struct json_span {
	const char *start;
	size_t len;
} json_span_t;

/** Find the value of a member.
 * @return false: the text is not an object, or does not have the member exactly
 * once */
bool json_split_find_member(
    const char *text, size_t len, const char *name, json_span_t *value);

/** Whether a value is an array. If so, sets @p rest to its elements, for
 * json_split_next_element(). */
bool json_split_open_array(const json_span_t *value, json_span_t *rest);

/** Get the next element of an array.
 * @param rest advanced past it; its @c start is NULL if the array is malformed
 * @return false: there are no more elements */
bool json_split_next_element(json_span_t *rest, json_span_t *element);

#endif
