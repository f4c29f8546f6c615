/**
 * @file
 * State of a TCP connection, as the kernel has it.
 */
#ifndef COMMON_SOCKET_STATE_H
#define COMMON_SOCKET_STATE_H

#include <event2/util.h>
#include <stdbool.h>
#include <stddef.h>

/** Written bytes that the peer has not acknowledged; 0 if it is not known. */
size_t socket_unacknowledged_bytes(evutil_socket_t);

/** Whether a connection that was established has ended otherwise than by both
 * sides closing it: its next read may look like an orderly end. */
bool socket_was_reset(evutil_socket_t);

#endif
