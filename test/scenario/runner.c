/**
 * @file
 * Runs one scenario: a Lua script that uses the functions in the table "run"
 * for processes, signals, HTTP requests and sockets.
 *
 *   runner BUILD_DIR SCRIPT [ARGUMENT]...
 *
 * Every runner derives its own loopback addresses from its process id, so that
 * scenarios can run in parallel. On exit it kills the processes it started.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <jansson.h>
#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/clock_source.h"
#include "common/http_call.h"

#define PROCESSES_MAX 256
#define CALLS_MAX 4096
#define ARGS_MAX 64
#define CALL_TIMEOUT_MS 30000
#define READ_MAX 65536

/** An HTTP request; received parts of the body are appended as they arrive. */
typedef struct call {
	bool used;
	bool done;
	int status;
	struct evbuffer *body;
	char *headers; /**< JSON object of the response's headers */
	struct evhttp_request *req;
	struct evhttp_connection *conn;
	struct timespec started_at;
	struct timespec completed_at;
} call_t;

static struct event_base *base;
static pid_t processes[PROCESSES_MAX];
static int process_count;
static call_t calls[CALLS_MAX];
static const char *build_dir;

/* --- JSON and Lua ------------------------------------------------------ */

static void
lua_push_json(lua_State *lua, const json_t *value)
{
	const char *key;
	json_t *item;
	size_t i;

	switch (json_typeof(value)) {
	case JSON_OBJECT:
		lua_newtable(lua);
		json_object_foreach((json_t *)value, key, item)
		{
			lua_push_json(lua, item);
			lua_setfield(lua, -2, key);
		}
		return;
	case JSON_ARRAY:
		lua_newtable(lua);
		json_array_foreach(value, i, item)
		{
			lua_push_json(lua, item);
			lua_rawseti(lua, -2, (lua_Integer)i + 1);
		}
		return;
	case JSON_STRING:
		lua_pushstring(lua, json_string_value(value));
		return;
	case JSON_INTEGER:
		lua_pushinteger(lua, json_integer_value(value));
		return;
	case JSON_REAL:
		lua_pushnumber(lua, json_real_value(value));
		return;
	case JSON_NULL:
		lua_pushnil(lua);
		return;
	default:
		lua_pushboolean(lua, json_is_true(value));
	}
}

static json_t *lua_to_json(lua_State *, int);

static json_t *
lua_table_json(lua_State *lua, int index)
{
	json_t *value;

	if (lua_rawlen(lua, index) > 0) {
		value = json_array();
		for (lua_Integer i = 1;
		     i <= (lua_Integer)lua_rawlen(lua, index); i++) {
			lua_rawgeti(lua, index, i);
			json_array_append_new(
			    value, lua_to_json(lua, lua_gettop(lua)));
			lua_pop(lua, 1);
		}
		return value;
	}
	value = json_object();
	lua_pushnil(lua);
	while (lua_next(lua, index) != 0) {
		lua_pushvalue(lua, -2);
		json_object_set_new(value, lua_tostring(lua, -1),
		    lua_to_json(lua, lua_gettop(lua) - 1));
		lua_pop(lua, 2);
	}
	return value;
}

static json_t *
lua_to_json(lua_State *lua, int index)
{
	switch (lua_type(lua, index)) {
	case LUA_TTABLE:
		return lua_table_json(lua, index);
	case LUA_TBOOLEAN:
		return json_boolean(lua_toboolean(lua, index));
	case LUA_TNUMBER:
		return lua_isinteger(lua, index)
		    ? json_integer(lua_tointeger(lua, index))
		    : json_real(lua_tonumber(lua, index));
	case LUA_TSTRING:
		return json_string(lua_tostring(lua, index));
	default:
		return json_null();
	}
}

/* encode(value): JSON text; an empty table is an object. */
static int
run_encode(lua_State *lua)
{
	json_t *value = lua_to_json(lua, 1);
	char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);

	lua_pushstring(lua, text);
	free(text);
	json_decref(value);
	return 1;
}

/* decode(text): a value, or nil. */
static int
run_decode(lua_State *lua)
{
	size_t len;
	const char *text = luaL_checklstring(lua, 1, &len);
	json_t *value = json_loadb(text, len, JSON_DECODE_ANY, NULL);

	if (value == NULL)
		lua_pushnil(lua);
	else
		lua_push_json(lua, value);
	json_decref(value);
	return 1;
}

/* --- processes --------------------------------------------------------- */

static int
strings_read(lua_State *lua, int index, char **out)
{
	int n = 0;

	for (; n < ARGS_MAX - 1; n++) {
		lua_rawgeti(lua, index, n + 1);
		if (lua_isnil(lua, -1)) {
			lua_pop(lua, 1);
			break;
		}
		out[n] = strdup(lua_tostring(lua, -1));
		lua_pop(lua, 1);
	}
	out[n] = NULL;
	return n;
}

/* A child must neither run the runner's signal handlers nor inherit the signals
 * that the runner or its parent ignores. */
static void
child_signals_reset(const sigset_t *old_mask)
{
	signal(SIGHUP, SIG_DFL);
	signal(SIGINT, SIG_DFL);
	signal(SIGTERM, SIG_DFL);
	signal(SIGPIPE, SIG_DFL);
	sigprocmask(SIG_SETMASK, old_mask, NULL);
}

static void
child_run(char **args, char **variables, const char *log)
{
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	/* The child must not keep the runner's sockets open: their connections
	 * close when the runner closes them. */
	close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
	for (; *variables != NULL; variables++)
		putenv(*variables);
	execv(args[0], args);
	fprintf(stderr, "%s: %s\n", args[0], strerror(errno));
	_exit(127);
}

/* Start a process and wait until it has called exec: a signal that is sent to
 * it after that reaches the program, not the forked copy of the runner. */
static pid_t
process_start(char **args, char **variables, const char *log)
{
	int exec_pipe[2]; /* exec closes the write end */
	sigset_t all, old_mask;
	char byte;
	pid_t pid;

	if (pipe2(exec_pipe, O_CLOEXEC) != 0)
		return -1;
	sigfillset(&all);
	sigprocmask(SIG_SETMASK, &all, &old_mask);
	pid = fork();
	if (pid == 0) {
		child_signals_reset(&old_mask);
		child_run(args, variables, log);
	}
	sigprocmask(SIG_SETMASK, &old_mask, NULL);
	close(exec_pipe[1]);
	while (pid > 0 && read(exec_pipe[0], &byte, 1) < 0 && errno == EINTR)
		continue;
	close(exec_pipe[0]);
	return pid;
}

/* spawn({program, flag...}, {"NAME=VALUE"...}, log): returns the process id. */
static int
run_spawn(lua_State *lua)
{
	char *args[ARGS_MAX];
	char *variables[ARGS_MAX];
	const char *log = luaL_checkstring(lua, 3);
	int arg_count = strings_read(lua, 1, args);
	int variable_count = strings_read(lua, 2, variables);
	pid_t pid;

	if (process_count == PROCESSES_MAX)
		return luaL_error(lua, "too many processes");
	pid = process_start(args, variables, log);
	if (pid < 0)
		return luaL_error(lua, "cannot start %s", args[0]);
	processes[process_count++] = pid;
	for (int i = 0; i < arg_count; i++)
		free(args[i]);
	for (int i = 0; i < variable_count; i++)
		free(variables[i]);
	lua_pushinteger(lua, pid);
	return 1;
}

static bool
process_owned(pid_t pid)
{
	for (int i = 0; i < process_count; i++) {
		if (processes[i] == pid)
			return true;
	}
	return false;
}

static void
process_remove(pid_t pid)
{
	for (int i = 0; i < process_count; i++) {
		if (processes[i] == pid)
			processes[i] = processes[--process_count];
	}
}

/* signal(pid, number): only for processes that spawn() started. */
static int
run_signal(lua_State *lua)
{
	pid_t pid = (pid_t)luaL_checkinteger(lua, 1);

	if (!process_owned(pid))
		return luaL_error(
		    lua, "process %d was not started by this runner", (int)pid);
	kill(pid, (int)luaL_checkinteger(lua, 2));
	return 0;
}

/* reap(pid): returns the exit status, -signal, or nil while it runs. */
static int
run_reap(lua_State *lua)
{
	pid_t pid = (pid_t)luaL_checkinteger(lua, 1);
	int status;

	if (!process_owned(pid) || waitpid(pid, &status, WNOHANG) != pid) {
		lua_pushnil(lua);
		return 1;
	}
	process_remove(pid);
	lua_pushinteger(
	    lua, WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status));
	return 1;
}

/* --- time --------------------------------------------------------------- */

static int64_t
now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return timespec_to_ms(now);
}

static int
run_now(lua_State *lua)
{
	lua_pushinteger(lua, now_ms());
	return 1;
}

static void
loop_run(int64_t ms)
{
	struct timeval wait = {ms / 1000, ms % 1000 * 1000};

	event_base_loopexit(base, &wait);
	event_base_dispatch(base);
}

/* sleep(ms): HTTP requests in progress continue meanwhile. */
static int
run_sleep(lua_State *lua)
{
	int64_t end = now_ms() + luaL_checkinteger(lua, 1);

	do {
		loop_run(end > now_ms() ? end - now_ms() : 0);
	} while (now_ms() < end);
	return 0;
}

/* --- HTTP --------------------------------------------------------------- */

static void
call_chunk_received(struct evhttp_request *req, void *arg)
{
	call_t *call = arg;

	call->status = evhttp_request_get_response_code(req);
	evbuffer_add_buffer(call->body, evhttp_request_get_input_buffer(req));
}

static char *
headers_json(struct evhttp_request *req)
{
	json_t *headers = json_object();
	struct evkeyval *header;
	char *text;

	for (header = evhttp_request_get_input_headers(req)->tqh_first;
	     header != NULL; header = header->next.tqe_next)
		json_object_set_new(
		    headers, header->key, json_string(header->value));
	text = json_dumps(headers, JSON_COMPACT);
	json_decref(headers);
	return text;
}

static void
call_completed(struct evhttp_request *req, void *arg)
{
	call_t *call = arg;

	call->done = true;
	call->req = NULL;
	clock_gettime(CLOCK_MONOTONIC, &call->completed_at);
	if (req == NULL || evhttp_request_get_response_code(req) == 0) {
		call->status = 0;
		return;
	}
	call->status = evhttp_request_get_response_code(req);
	evbuffer_add_buffer(call->body, evhttp_request_get_input_buffer(req));
	call->headers = headers_json(req);
}

static enum evhttp_cmd_type
method_parse(const char *name)
{
	if (strcmp(name, "POST") == 0)
		return EVHTTP_REQ_POST;
	if (strcmp(name, "PUT") == 0)
		return EVHTTP_REQ_PUT;
	if (strcmp(name, "DELETE") == 0)
		return EVHTTP_REQ_DELETE;
	return EVHTTP_REQ_GET;
}

static void
headers_add(lua_State *lua, int index, struct evkeyvalq *out)
{
	if (!lua_istable(lua, index))
		return;
	lua_pushnil(lua);
	while (lua_next(lua, index) != 0) {
		evhttp_add_header(
		    out, lua_tostring(lua, -2), lua_tostring(lua, -1));
		lua_pop(lua, 1);
	}
}

static int
call_slot_find(void)
{
	for (int i = 0; i < CALLS_MAX; i++) {
		if (!calls[i].used)
			return i;
	}
	return -1;
}

/* begin(method, "ip:port", path, headers, body, timeout_ms): starts an HTTP
 * request and returns its number. */
static int
run_begin(lua_State *lua)
{
	const char *method = luaL_checkstring(lua, 1);
	const char *address = luaL_checkstring(lua, 2);
	const char *path = luaL_checkstring(lua, 3);
	size_t len = 0;
	const char *body =
	    lua_isstring(lua, 5) ? lua_tolstring(lua, 5, &len) : NULL;
	int64_t timeout_ms = luaL_optinteger(lua, 6, CALL_TIMEOUT_MS);
	struct timeval timeout = {timeout_ms / 1000, timeout_ms % 1000 * 1000};
	int slot = call_slot_find();
	struct evkeyvalq *headers;
	http_address_t http;
	call_t *call;

	if (slot < 0 || !http_address_parse(address, &http))
		return luaL_error(lua, "cannot start a request to %s", address);
	call = &calls[slot];
	*call = (call_t){.used = true, .body = evbuffer_new()};
	clock_gettime(CLOCK_MONOTONIC, &call->started_at);
	call->conn =
	    evhttp_connection_base_new(base, NULL, http.host, http.port);
	evhttp_connection_set_timeout_tv(call->conn, &timeout);
	call->req = evhttp_request_new(call_completed, call);
	evhttp_request_set_chunked_cb(call->req, call_chunk_received);
	headers = evhttp_request_get_output_headers(call->req);
	headers_add(lua, 4, headers);
	if (evhttp_find_header(headers, "Host") == NULL)
		evhttp_add_header(headers, "Host", http.host);
	if (body != NULL)
		evbuffer_add(
		    evhttp_request_get_output_buffer(call->req), body, len);
	evhttp_make_request(call->conn, call->req, method_parse(method), path);
	lua_pushinteger(lua, slot);
	return 1;
}

static call_t *
call_get(lua_State *lua)
{
	lua_Integer slot = luaL_checkinteger(lua, 1);

	if (slot < 0 || slot >= CALLS_MAX || !calls[slot].used)
		luaL_error(lua, "there is no such request");
	return &calls[slot];
}

/* peek(call): returns done, status, body so far, headers, and the duration in
 * ms, which is -1 until it is done. */
static int
run_peek(lua_State *lua)
{
	call_t *call = call_get(lua);
	size_t len = evbuffer_get_length(call->body);
	json_t *headers = call->headers != NULL
	    ? json_loads(call->headers, 0, NULL)
	    : json_object();

	lua_pushboolean(lua, call->done);
	lua_pushinteger(lua, call->status);
	lua_pushlstring(lua, (char *)evbuffer_pullup(call->body, -1), len);
	lua_push_json(lua, headers);
	lua_pushinteger(lua,
	    call->done
		? timespec_ms_between(call->started_at, call->completed_at)
		: -1);
	json_decref(headers);
	return 5;
}

/* close(call): cancels the request and closes its connection. */
static int
run_close(lua_State *lua)
{
	call_t *call = call_get(lua);

	if (call->req != NULL)
		evhttp_cancel_request(call->req);
	evhttp_connection_free(call->conn);
	evbuffer_free(call->body);
	free(call->headers);
	*call = (call_t){0};
	return 0;
}

/* --- sockets ------------------------------------------------------------- */

/* connect("ip:port"): returns a socket, for requests that no HTTP client would
 * send. */
static int
run_connect(lua_State *lua)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	http_address_t http;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (!http_address_parse(luaL_checkstring(lua, 1), &http))
		return luaL_error(lua, "bad address");
	address.sin_port = htons(http.port);
	inet_pton(AF_INET, http.host, &address.sin_addr);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0)
		return luaL_error(lua, "cannot connect");
	evutil_make_socket_nonblocking(fd);
	lua_pushinteger(lua, fd);
	return 1;
}

/* write(socket, bytes): returns whether all were sent. */
static int
run_write(lua_State *lua)
{
	size_t len;
	const char *bytes = luaL_checklstring(lua, 2, &len);

	lua_pushboolean(lua,
	    send((int)luaL_checkinteger(lua, 1), bytes, len, MSG_NOSIGNAL) ==
		(ssize_t)len);
	return 1;
}

/* read(socket): returns the bytes received, or "" if there are none yet. */
static int
run_read(lua_State *lua)
{
	char bytes[READ_MAX];
	ssize_t len =
	    recv((int)luaL_checkinteger(lua, 1), bytes, sizeof(bytes), 0);

	lua_pushlstring(lua, bytes, len > 0 ? (size_t)len : 0);
	return 1;
}

/* ended(socket): returns whether the peer has closed it and all was read. */
static int
run_ended(lua_State *lua)
{
	char byte;
	ssize_t len =
	    recv((int)luaL_checkinteger(lua, 1), &byte, sizeof(byte), MSG_PEEK);

	lua_pushboolean(
	    lua, len == 0 || (len < 0 && errno != EAGAIN && errno != EINTR));
	return 1;
}

/* hang_up(socket): closes it. */
static int
run_hang_up(lua_State *lua)
{
	close((int)luaL_checkinteger(lua, 1));
	return 0;
}

/* --- main ---------------------------------------------------------------- */

static const luaL_Reg run_functions[] = {
    {"begin", run_begin},
    {"close", run_close},
    {"connect", run_connect},
    {"decode", run_decode},
    {"encode", run_encode},
    {"ended", run_ended},
    {"hang_up", run_hang_up},
    {"now", run_now},
    {"peek", run_peek},
    {"read", run_read},
    {"reap", run_reap},
    {"signal", run_signal},
    {"sleep", run_sleep},
    {"spawn", run_spawn},
    {"write", run_write},
    {NULL, NULL},
};

static void
processes_kill(void)
{
	for (int i = 0; i < process_count; i++) {
		kill(processes[i], SIGCONT);
		kill(processes[i], SIGKILL);
	}
	while (process_count > 0)
		waitpid(processes[--process_count], NULL, 0);
}

static void
signal_exit(int number)
{
	processes_kill();
	_exit(128 + number);
}

static void
globals_set(lua_State *lua, int argc, char **argv)
{
	char prefix[32];
	char library[4096];
	pid_t pid = getpid();

	/* A network of its own for each runner: 127.A.B.0/24. */
	snprintf(prefix, sizeof(prefix), "127.%d.%d.", 1 + (pid >> 8) % 250,
	    pid % 256);
	lua_pushstring(lua, prefix);
	lua_setglobal(lua, "network");
	lua_pushstring(lua, build_dir);
	lua_setglobal(lua, "build");
	lua_newtable(lua);
	for (int i = 3; i < argc; i++) {
		lua_pushstring(lua, argv[i]);
		lua_rawseti(lua, -2, i - 2);
	}
	lua_setglobal(lua, "arguments");
	luaL_newlib(lua, run_functions);
	lua_setglobal(lua, "run");
	snprintf(library, sizeof(library), "%s", argv[2]);
	*(strrchr(library, '/') != NULL ? strrchr(library, '/') : library) =
	    '\0';
	lua_pushstring(lua, library);
	lua_setglobal(lua, "script_dir");
}

int
main(int argc, char **argv)
{
	lua_State *lua;
	int failed;

	if (argc < 3) {
		fprintf(stderr, "usage: runner BUILD_DIR SCRIPT\n");
		return 2;
	}
	build_dir = argv[1];
	base = event_base_new();
	lua = luaL_newstate();
	signal(SIGINT, signal_exit);
	signal(SIGTERM, signal_exit);
	signal(SIGPIPE, SIG_IGN);
	luaL_openlibs(lua);
	globals_set(lua, argc, argv);
	failed = luaL_dofile(lua, argv[2]);
	if (failed)
		fprintf(stderr, "%s\n", lua_tostring(lua, -1));
	processes_kill();
	lua_close(lua);
	return failed ? 1 : 0;
}
