/* Lookups in the fields of a message. */
#include "common/http_msg.h"

#include <string.h>
#include <strings.h>

const char *
http_msg_field(const http_msg_t *msg, const char *name)
{
	for (size_t i = 0; i < msg->fields_len; i++) {
		if (strcasecmp(msg->fields[i].name, name) == 0)
			return msg->fields[i].value;
	}
	return NULL;
}

size_t
http_msg_field_count(const http_msg_t *msg, const char *name)
{
	size_t count = 0;

	for (size_t i = 0; i < msg->fields_len; i++) {
		if (strcasecmp(msg->fields[i].name, name) == 0)
			count++;
	}
	return count;
}

static bool
list_has_token(const char *list, const char *token, size_t token_len)
{
	while (*list != '\0') {
		size_t len;

		list += strspn(list, " \t,");
		len = strcspn(list, " \t,");
		if (len == token_len && strncasecmp(list, token, len) == 0)
			return true;
		list += len;
	}
	return false;
}

bool
http_field_is_hop_by_hop(const http_msg_t *msg, const char *name)
{
	/* Those of RFC 9110, 7.6.1, and those that frame the message. */
	static const char *const hop_by_hop[] = {"Connection", "Content-Length",
	    "Expect", "Host", "Keep-Alive", "Proxy-Authenticate",
	    "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer",
	    "Transfer-Encoding", "Upgrade"};

	for (size_t i = 0; i < sizeof(hop_by_hop) / sizeof(hop_by_hop[0]);
	     i++) {
		if (strcasecmp(name, hop_by_hop[i]) == 0)
			return true;
	}
	for (size_t i = 0; i < msg->options_len; i++) {
		if (list_has_token(msg->options[i], name, strlen(name)))
			return true;
	}
	return false;
}

bool
http_msg_check_target(const http_msg_t *msg, err_t *err)
{
	if (msg->target == NULL || msg->target[0] != '/')
		return err_set(err, ERR_BAD_REQUEST,
		    "the request target is not an absolute path");
	return true;
}

bool
http_msg_check(const http_msg_t *msg, err_t *err)
{
	if (http_msg_field_count(msg, "Host") != 1)
		return err_set(
		    err, ERR_BAD_REQUEST, "expected exactly one Host header");
	return http_msg_check_target(msg, err);
}
