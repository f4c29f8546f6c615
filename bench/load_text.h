/**
 * @file
 * Reading a streamed answer as a caller would.
 */
#ifndef BENCH_LOAD_TEXT_H
#define BENCH_LOAD_TEXT_H

#include <stdbool.h>

/**
 * The text of a stream.
 * @param body is taken apart @param out room for as much
 * @param failure set when the stream holds an error
 * @return false without an end mark
 */
bool stream_text_extract(char *body, char *out, const char **failure);

#endif
