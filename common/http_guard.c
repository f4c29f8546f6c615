#include "common/http_guard.h"

#include <event2/bufferevent.h>

static void
bytes_check(http_guard_t *guard, const char *bytes, size_t len)
{
	http_syntax_t *syntax = &guard->syntax;

	while (len > 0 && syntax->defect == HTTP_DEFECT_NONE) {
		size_t valid = http_syntax_check(syntax, bytes, len);

		bytes += valid;
		len -= valid;
	}
}

/* Called before libevent parses what was added. */
static void
on_input(struct evbuffer *input, const struct evbuffer_cb_info *info, void *arg)
{
	http_guard_t *guard = arg;
	struct evbuffer_ptr at;
	struct evbuffer_iovec part;
	size_t len = info->n_added;

	if (len == 0 || http_guard_has_defect(guard) ||
	    evbuffer_ptr_set(input, &at, info->orig_size, EVBUFFER_PTR_SET) !=
		0)
		return;
	while (len > 0 &&
	    evbuffer_peek(input, (ev_ssize_t)len, &at, &part, 1) > 0) {
		size_t taken = part.iov_len < len ? part.iov_len : len;

		bytes_check(guard, part.iov_base, taken);
		len -= taken;
		if (evbuffer_ptr_set(input, &at, taken, EVBUFFER_PTR_ADD) != 0)
			break;
	}
	if (http_guard_has_defect(guard) && guard->on_defect != NULL)
		guard->on_defect(guard->arg);
}

bool
http_guard_attach(http_guard_t *guard, struct evhttp_connection *conn,
    void (*on_defect)(void *arg), void *arg)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);

	guard->on_defect = on_defect;
	guard->arg = arg;
	http_guard_begin(guard);
	return evbuffer_add_cb(bufferevent_get_input(bev), on_input, guard) !=
	    NULL;
}

void
http_guard_detach(http_guard_t *guard, struct evhttp_connection *conn)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);

	evbuffer_remove_cb(bufferevent_get_input(bev), on_input, guard);
}

void
http_guard_begin(http_guard_t *guard)
{
	http_syntax_init(&guard->syntax, true);
}

bool
http_guard_has_defect(const http_guard_t *guard)
{
	return guard->syntax.defect != HTTP_DEFECT_NONE;
}
