/**
 * @file
 * Account of the memory and the connections that a process gives to its
 * callers, over all its listeners, and the order in which connections give way
 * when there is no more. No I/O and no clock: the owner of a connection closes
 * it.
 */
#ifndef COMMON_INBOUND_BUDGET_H
#define COMMON_INBOUND_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/** From this size on, in bytes, a request is large, beside its connection: it
 * has no part in the reserve for small ones, and gives way before idle
 * connections do. */
#define BUDGET_LARGE_BYTES 65536
/** Size classes of large requests: each of twice the size of the one before. */
#define BUDGET_SIZE_CLASSES 24

/** What a connection does, in the order in which connections give way. */
typedef enum budget_phase {
	BUDGET_CLOSING,	   /**< waits only for its caller to close it */
	BUDGET_IDLE,	   /**< no byte of a request was received */
	BUDGET_INCOMPLETE, /**< its request is being received */
	BUDGET_BUSY,	   /**< its request is handled, or a response unsent; it
			      does not give way */
} budget_phase_t;

#define BUDGET_PHASES (BUDGET_BUSY + 1)

typedef struct inbound_budget inbound_budget_t;
typedef struct inbound_share inbound_share_t;

/** A connection in the account; a member of its owner. */
typedef struct budget_entry {
	inbound_share_t *share;
	void *owner;
	budget_phase_t phase;
	size_t bytes;
	uint64_t since; /**< order of entering the phase */
	TAILQ_ENTRY(budget_entry) by_phase;
	TAILQ_ENTRY(budget_entry) by_size; /**< while incomplete and large */
} budget_entry_t;

typedef TAILQ_HEAD(budget_list, budget_entry) budget_list_t;

/** The connections of one listener. */
struct inbound_share {
	inbound_budget_t *budget;
	uint32_t connections_max;
	size_t connection_bytes; /**< that each takes beside its request */
	uint32_t connections;
	budget_list_t phases[BUDGET_PHASES]; /**< oldest first */
	TAILQ_ENTRY(inbound_share) next;
};

struct inbound_budget {
	size_t bytes_max;
	size_t bytes_reserved; /**< of bytes_max, for small requests only */
	size_t bytes;
	size_t busy_bytes; /**< of bytes, of connections that do not give way */
	uint32_t connections;
	TAILQ_HEAD(inbound_shares, inbound_share) shares;
	budget_list_t sizes[BUDGET_SIZE_CLASSES]; /**< oldest first */
	uint64_t next_since;
	uint64_t closed[BUDGET_PHASES]; /**< connections that gave way */
	uint64_t refused;		/**< requests that found no room */
	uint64_t turned_away; /**< new connections that found no room */
};

/** @param bytes_max for all connections together */
void inbound_budget_init(inbound_budget_t *, size_t bytes_max);
/** Change the limit. What is held beyond it stays until room is made. */
void inbound_budget_set_max(inbound_budget_t *, size_t bytes_max);

/** Add a listener, without a limit of connections, which take nothing beside
 * their requests. */
void inbound_share_init(inbound_share_t *, inbound_budget_t *);
/** Remove a listener without connections. */
void inbound_share_finish(inbound_share_t *);

/** Add an idle connection. */
void budget_entry_add(
    budget_entry_t *, inbound_share_t *, void *owner, size_t bytes);
/** Set what a connection does and holds now. */
void budget_entry_set(budget_entry_t *, budget_phase_t, size_t bytes);
void budget_entry_remove(budget_entry_t *);
/** Whether the connection has a large request. */
bool budget_entry_is_large(const budget_entry_t *);

/** Whether there is room for further bytes of a request.
 * @param large the request has no part in the reserve */
bool
inbound_budget_has_room(const inbound_budget_t *, size_t bytes, bool large);
/** Whether a request of this size finds room if all connections that may give
 * way do. */
bool inbound_share_may_fit(const inbound_share_t *, size_t bytes);
/** Whether more than half of the bytes are in use. */
bool inbound_budget_is_crowded(const inbound_budget_t *);
/** The largest request that finds room when nothing else is held, in bytes. */
size_t inbound_budget_request_max(const inbound_budget_t *);

/** The connection that gives way for bytes: of the largest requests that are
 * being received the oldest, then closing and idle ones, then, for a small
 * request, the oldest one that is being received. NULL: none */
budget_entry_t *inbound_budget_victim(const inbound_budget_t *, bool large);
/** The connection that gives way for another one of its listener. NULL: none */
budget_entry_t *inbound_share_victim(const inbound_share_t *);

#endif
