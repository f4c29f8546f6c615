/**
 * @file
 * The endpoints that are known, by service: what they said of themselves, what
 * this daemon has under way there, and the connections it keeps to them.
 */
#ifndef MOORTACK_RELAY_ENDPOINT_SET_H
#define MOORTACK_RELAY_ENDPOINT_SET_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "common/clock_source.h"
#include "common/http_outbound.h"
#include "moortack/relay/canary_analysis.h"
#include "moortack/relay/prefill_queue.h"
#include "moortack/relay/zone_table.h"

#define ENDPOINT_NAME_SIZE 96
#define ENDPOINT_SUSPECTED_MAX 8

/** What an endpoint says of itself; filled by an endpoint source. */
typedef struct endpoint_facts {
	char id[ENDPOINT_NAME_SIZE]; /**< of this incarnation */
	char service[ENDPOINT_NAME_SIZE];
	char zone[ENDPOINT_NAME_SIZE];
	char version[ENDPOINT_NAME_SIZE]; /**< of its software */
	http_address_t address;
	uint32_t slots; /**< requests that it works on together */
	bool leaving;
	int64_t warm_in_ms; /**< how long it is still slow after its start */
	int64_t born_ms;    /**< Unix time of this incarnation's start; 0: not
			       said. An endpoint may start again under its id */
} endpoint_facts_t;

/** How an entry relates to the incarnation that is known under its id. */
typedef enum entry_order {
	ENTRY_FIRST,   /**< none is known */
	ENTRY_SAME,    /**< it is of the known one */
	ENTRY_LATER,   /**< of one that started after it */
	ENTRY_EARLIER, /**< of one that started before it, or says nothing of
			  its start while the known one did */
} entry_order_t;

/** A load report that came with an answer. */
typedef struct endpoint_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
} endpoint_load_t;

/** An answer that broke off, and may be the endpoint's death or its version's
 * fault. */
typedef struct suspected_failure {
	canary_observation_t answer;
	struct timespec at;
} suspected_failure_t;

typedef struct endpoint endpoint_t;
typedef struct endpoint_group endpoint_group_t;
typedef struct endpoint_link endpoint_link_t;
typedef struct endpoint_set endpoint_set_t;

/** A kept connection. */
struct endpoint_link {
	endpoint_t *endpoint;
	http_outbound_t *conn;
	struct timespec idle_since;
	int64_t idle_max_ms; /**< the endpoint closes it about then */
	endpoint_link_t *next;
};

struct endpoint {
	endpoint_facts_t facts;
	endpoint_set_t *set;
	endpoint_group_t *group;    /**< NULL: not in the set */
	zone_t *zone;		    /**< where it runs; owned by the set */
	uint32_t shared;	    /**< the set and each request hold one */
	bool present;		    /**< in the set */
	bool lapsed;		    /**< its entry is gone since an outage */
	endpoint_facts_t *earlier;  /**< an entry of an earlier start, which is
				       not believed yet; NULL: none */
	struct timespec earlier_at; /**< since when */
	uint32_t in_flight;	    /**< requests of this daemon */
	uint32_t connections;	    /**< of this daemon, busy and idle */
	endpoint_link_t *idle;
	struct timespec link_ended_at; /**< when it last closed an idle one */
	endpoint_load_t load;
	struct timespec load_at;
	uint32_t load_own; /**< in_flight when the load was told */
	bool load_known;
	prefill_queue_t unread; /**< prompts that it has not read yet */
	uint32_t failures;	/**< in a row */
	struct timespec ejected_until;
	suspected_failure_t suspected[ENDPOINT_SUSPECTED_MAX];
	size_t suspected_len;
	struct timespec cold_until; /**< from the warm-up that it reports, and
				       from failed connections to it */
	int64_t warmup_slot;	    /**< slot of warmup_share_left */
	uint32_t warmup_share_left; /**< requests that this daemon may still
				       send to it in the slot */
	uint64_t hash;		    /**< of the id and the start */
	uint32_t short_hash;	    /**< the same, as other daemons tell it */
	UT_hash_handle hh;	    /**< by id */
	UT_hash_handle hh_short;    /**< by short_hash */
};

/** The endpoints of a service. */
struct endpoint_group {
	char service[ENDPOINT_NAME_SIZE];
	endpoint_t **ring; /**< by hash: all daemons have the same order */
	size_t len;
	size_t cap;
	uint32_t in_flight;    /**< requests of this daemon at all of them */
	double in_flight_mean; /**< the same over the last seconds */
	char base_version[ENDPOINT_NAME_SIZE]; /**< "": not known yet */
	UT_hash_handle hh;
};

struct endpoint_set {
	const clock_source_t *clock;
	endpoint_t *endpoints;
	endpoint_t *by_short;
	endpoint_group_t *groups;
	zone_table_t zones;
	size_t earlier_len; /**< endpoints with an entry of an earlier start */
};

void endpoint_set_init(endpoint_set_t *, const clock_source_t *);
void endpoint_set_finish(endpoint_set_t *);

/** How an entry relates to @p known, which may be NULL. */
entry_order_t
endpoint_entry_order(const endpoint_t *known, const endpoint_facts_t *);
/** Take over what an endpoint says. A later incarnation replaces the one that
 * is known, with all that was believed of it. An entry of an earlier one is
 * kept beside, and stops new requests if it says that the endpoint leaves.
 * @return the endpoint under that id, or NULL: out of memory */
endpoint_t *endpoint_set_take(endpoint_set_t *, const endpoint_facts_t *);
/** An entry of an earlier incarnation that nothing has contradicted for long
 * enough: the endpoint's clock was set back before it started again.
 * @return false: there is none */
bool endpoint_set_earlier(const endpoint_set_t *, endpoint_facts_t *out);
/** Whether it may get new requests: it is not leaving, and its zone is not
 * evacuated. */
bool endpoint_accepts_requests(const endpoint_t *);
/** Requests that this daemon has in flight at the endpoints of a zone. */
uint32_t endpoint_set_zone_in_flight(const endpoint_set_t *, const zone_t *);
/** The same for all evacuated zones. */
uint32_t endpoint_set_evacuated_in_flight(const endpoint_set_t *);
/** Treat the endpoint as cold for at least this long from now. */
void endpoint_mark_cold(endpoint_t *, int64_t ms);
/** Its entry went in an outage: it is kept for a while, as it was. */
void endpoint_lapse(endpoint_t *);
/** Take an endpoint out; its requests go on. */
void endpoint_set_remove(endpoint_set_t *, endpoint_t *);
endpoint_t *endpoint_set_find(const endpoint_set_t *, const char *id);
endpoint_t *endpoint_set_find_short(const endpoint_set_t *, uint32_t hash);
endpoint_group_t *
endpoint_set_group(const endpoint_set_t *, const char *service);

/** How many said that they leave. */
uint32_t endpoint_set_leaving(const endpoint_set_t *);

/** @return false: out of memory */
bool endpoint_group_add(endpoint_group_t *, endpoint_t *);
void endpoint_group_remove(endpoint_group_t *, const endpoint_t *);
/** The place in the ring of the first endpoint from this hash on; the ring's
 * length: there is none. */
size_t endpoint_group_from(const endpoint_group_t *, uint64_t hash);
/** Learn, once, which version most endpoints of a service have while none is
 * ordered: others are not used until an order names them. */
void endpoint_group_learn(endpoint_group_t *);
void endpoint_set_learn(endpoint_set_t *);

/** Take the mean of what is under way; called a few times a second. */
void endpoint_set_observe(endpoint_set_t *);

endpoint_t *endpoint_hold(endpoint_t *);
void endpoint_release(endpoint_t *);

/** A kept connection that is idle for less than its bound and @p max_ms, or
 * NULL; it is the caller's. */
http_outbound_t *endpoint_take_link(endpoint_t *, int64_t max_ms);
/** Keep a connection. @param idle_max_ms how long */
void endpoint_keep_link(endpoint_t *, http_outbound_t *, int64_t idle_max_ms);

/** A kept connection was dead: those that idle likely are, too. */
void endpoint_drop_links(endpoint_t *);

/** A request of this daemon was sent there. */
void endpoint_take_up(endpoint_t *);
/** That request has ended there. */
void endpoint_let_go(endpoint_t *);
void endpoint_told_load(endpoint_t *, const endpoint_load_t *);
/** An answer came from it, or none did. */
void endpoint_worked(endpoint_t *);
void endpoint_failed(endpoint_t *);
/** It refused a connection: ejects it without waiting for further failures. */
void endpoint_refused_connection(endpoint_t *);
/** Another incarnation answers at its address: ejects it for longer than its
 * outdated entry remains. */
void endpoint_superseded(endpoint_t *);
bool endpoint_ejected(const endpoint_t *);

/** Requests that it likely holds, of all callers.
 * @param callers daemons that send to it */
double endpoint_load_now(const endpoint_t *, uint32_t callers);

#endif
