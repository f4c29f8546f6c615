/**
 * @file
 * Many connections that all send the same bytes and stay open: a prefix, a unit
 * as often as wanted, a suffix. Reads its JSON description from the file that
 * is its argument: "to" (IP:PORT), "count", "prefix", "unit", "units",
 * "suffix", "byte_ms" (one byte after the prefix in this time; 0: as fast as
 * possible) and "reads" (false: never read a response).
 *
 * Prints "sent=BYTES open=N closed=N settled=0|1" ten times a second. Settled:
 * everything was sent and acknowledged, or nothing sent for some seconds; a
 * connection that is dropped from a full queue is tried again after one and
 * after three. Ends with SIGTERM.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <linux/sockios.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "common/http_call.h"

#define REPORT_MS 100
#define SETTLED_MS 4000
#define BATCH_BYTES 65536
#define TURN_MS 10
#define DESCRIPTORS 8192

typedef struct text {
	const char *bytes;
	size_t len;
} text_t;

typedef struct member {
	int fd; /**< -1: closed */
	bool connected;
	size_t sent; /**< bytes of the whole stream */
} member_t;

typedef struct crowd {
	struct sockaddr_in to;
	text_t prefix, suffix;
	text_t units; /**< as many whole units as fit a batch */
	size_t units_len;
	size_t total;
	int64_t byte_ms;
	bool reads;
	member_t *members;
	struct pollfd *polls;
	size_t count;
	size_t sent;
	size_t connected;
} crowd_t;

static volatile sig_atomic_t stopped;

static void
on_signal(int number)
{
	(void)number;
	stopped = 1;
}

static int64_t
now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static text_t
text_get(const json_t *object, const char *name)
{
	const json_t *value = json_object_get(object, name);

	return (text_t){json_is_string(value) ? json_string_value(value) : "",
	    json_string_length(value)};
}

/* Repeats the unit, so that one write can send many. */
static text_t
units_repeat(text_t unit)
{
	size_t times = unit.len > 0 ? BATCH_BYTES / unit.len + 1 : 0;
	char *bytes = malloc(times * unit.len + 1);

	for (size_t i = 0; i < times; i++)
		memcpy(bytes + i * unit.len, unit.bytes, unit.len);
	return (text_t){bytes, times * unit.len};
}

static bool
crowd_read(crowd_t *crowd, const json_t *spec)
{
	http_address_t to;
	text_t unit = text_get(spec, "unit");

	if (!http_address_parse(
		json_string_value(json_object_get(spec, "to")), &to))
		return false;
	crowd->to = (struct sockaddr_in){
	    .sin_family = AF_INET, .sin_port = htons(to.port)};
	inet_pton(AF_INET, to.host, &crowd->to.sin_addr);
	crowd->prefix = text_get(spec, "prefix");
	crowd->suffix = text_get(spec, "suffix");
	crowd->units = units_repeat(unit);
	crowd->units_len = unit.len *
	    (size_t)json_integer_value(json_object_get(spec, "units"));
	crowd->total = crowd->prefix.len + crowd->units_len + crowd->suffix.len;
	crowd->byte_ms = json_integer_value(json_object_get(spec, "byte_ms"));
	crowd->reads = !json_is_false(json_object_get(spec, "reads"));
	crowd->count =
	    (size_t)json_integer_value(json_object_get(spec, "count"));
	crowd->members = calloc(crowd->count + 1, sizeof(member_t));
	crowd->polls = calloc(crowd->count + 1, sizeof(struct pollfd));
	return crowd->members != NULL && crowd->polls != NULL;
}

/* The next bytes of the stream from an offset on. */
static text_t
bytes_at(const crowd_t *crowd, size_t at)
{
	size_t left, in_units;

	if (at < crowd->prefix.len)
		return (text_t){
		    crowd->prefix.bytes + at, crowd->prefix.len - at};
	at -= crowd->prefix.len;
	if (at < crowd->units_len) {
		in_units = at % crowd->units.len;
		left = crowd->units_len - at;
		if (left > crowd->units.len - in_units)
			left = crowd->units.len - in_units;
		return (text_t){crowd->units.bytes + in_units, left};
	}
	at -= crowd->units_len;
	return (text_t){crowd->suffix.bytes + at, crowd->suffix.len - at};
}

static void
member_close(member_t *member)
{
	close(member->fd);
	member->fd = -1;
}

static void
member_write(crowd_t *crowd, member_t *member, size_t limit)
{
	while (member->sent < crowd->total && member->sent < limit) {
		text_t bytes = bytes_at(crowd, member->sent);
		ssize_t len;

		if (bytes.len > limit - member->sent)
			bytes.len = limit - member->sent;
		len = send(member->fd, bytes.bytes, bytes.len, MSG_NOSIGNAL);
		if (len < 0 &&
		    (errno == EAGAIN || errno == EINTR || errno == ENOTCONN))
			return;
		if (len < 0) {
			member_close(member);
			return;
		}
		member->sent += (size_t)len;
		crowd->sent += (size_t)len;
	}
}

static void
member_read(member_t *member)
{
	char bytes[16384];
	ssize_t len = recv(member->fd, bytes, sizeof(bytes), 0);

	if (len == 0 || (len < 0 && errno != EAGAIN && errno != EINTR))
		member_close(member);
}

static void
connect_all(crowd_t *crowd)
{
	for (size_t i = 0; i < crowd->count; i++) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
		connect(fd, (struct sockaddr *)&crowd->to, sizeof(crowd->to));
		crowd->members[i].fd = fd;
	}
}

static void
turn(crowd_t *crowd, int64_t elapsed_ms)
{
	size_t limit = crowd->byte_ms > 0
	    ? crowd->prefix.len + (size_t)(elapsed_ms / crowd->byte_ms)
	    : crowd->total;

	for (size_t i = 0; i < crowd->count; i++) {
		member_t *member = &crowd->members[i];
		bool writes =
		    member->sent < crowd->total && member->sent < limit;

		crowd->polls[i] = (struct pollfd){.fd = member->fd,
		    .events =
			(short)((writes || !member->connected ? POLLOUT : 0) |
			    (crowd->reads ? POLLIN : 0))};
	}
	poll(crowd->polls, crowd->count, TURN_MS);
	for (size_t i = 0; i < crowd->count; i++) {
		member_t *member = &crowd->members[i];
		short events = crowd->polls[i].revents;

		if (member->fd >= 0 && (events & POLLOUT) != 0) {
			crowd->connected += !member->connected;
			member->connected = true;
			member_write(crowd, member, limit);
		}
		if (member->fd >= 0 && (events & POLLIN) != 0)
			member_read(member);
		else if (member->fd >= 0 && (events & (POLLERR | POLLHUP)) != 0)
			member_close(member);
	}
}

/* Bytes that the peer has not acknowledged. */
static size_t
bytes_queued(const member_t *member)
{
	int queued = 0;

	return ioctl(member->fd, SIOCOUTQ, &queued) == 0 ? (size_t)queued : 0;
}

static void
report(const crowd_t *crowd, bool quiet)
{
	size_t open = 0, unfinished = 0;

	for (size_t i = 0; i < crowd->count; i++) {
		open += crowd->members[i].fd >= 0;
		unfinished += crowd->members[i].fd >= 0 &&
		    (!crowd->members[i].connected ||
			crowd->members[i].sent < crowd->total ||
			bytes_queued(&crowd->members[i]) > 0);
	}
	printf("sent=%zu open=%zu closed=%zu settled=%d\n", crowd->sent, open,
	    crowd->count - open, quiet || unfinished == 0);
	fflush(stdout);
}

int
main(int argc, char **argv)
{
	static crowd_t crowd;
	struct rlimit descriptors = {DESCRIPTORS, DESCRIPTORS};
	json_t *spec = argc == 2 ? json_load_file(argv[1], 0, NULL) : NULL;
	int64_t begin = now_ms(), reported = 0, changed = begin;
	size_t progress = 0;

	if (spec == NULL || !crowd_read(&crowd, spec)) {
		fprintf(stderr, "usage: standin-crowd FILE\n");
		return EXIT_FAILURE;
	}
	signal(SIGTERM, on_signal);
	setrlimit(RLIMIT_NOFILE, &descriptors);
	connect_all(&crowd);
	while (!stopped) {
		int64_t now;

		turn(&crowd, now_ms() - begin);
		now = now_ms();
		if (crowd.sent + crowd.connected != progress)
			changed = now;
		progress = crowd.sent + crowd.connected;
		if (now - reported >= REPORT_MS) {
			report(&crowd, now - changed >= SETTLED_MS);
			reported = now;
		}
	}
	return EXIT_SUCCESS;
}
