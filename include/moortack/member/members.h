/**
 * @file
 * The members: the daemons listed in the table.
 */
#ifndef MOORTACK_MEMBER_MEMBERS_H
#define MOORTACK_MEMBER_MEMBERS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock_source.h"
#include "common/table.h"
#include "moortack/config/config.h"

#define MEMBER_ADDRESS_SIZE 64
#define INCARNATION_TEXT_SIZE 17 /**< hexadecimal, with its end */

/** One daemon, as listed and as heard. */
typedef struct member {
	uint64_t incarnation; /**< random at each start */
	char peer_address[MEMBER_ADDRESS_SIZE];
	char http_address[MEMBER_ADDRESS_SIZE];
	char place[CONFIG_NAME_SIZE];
	bool partner; /**< one of the few that this daemon talks to by itself */
	bool draining;
	bool responsive; /**< its last heartbeat was answered in time */
	uint64_t revision;
	struct timespec
	    last_response_at; /**< its last answer, or when it was listed */
} member_t;

/** All members but this daemon, counted by references like a config_t. */
typedef struct members {
	uint64_t epoch;
	table_t rows; /**< member_t */
	uint32_t references;
} members_t;

members_t *members_new(void);
members_t *members_acquire(members_t *);
void members_release(members_t *);

/** A copy with one reference; NULL when memory is out. */
members_t *members_copy(const members_t *);

member_t *members_at(const members_t *, handle_t);
member_t *members_find(const members_t *, uint64_t incarnation);

/** How many partners a daemon has at most. */
#define MEMBERS_PARTNERS_MAX 24

/**
 * Mark the partners: the members whose hash with this daemon's incarnation is
 * lowest, so that a change of the membership moves few. Heartbeats, holders of
 * bills and second witnesses are chosen among them, which bounds open links;
 * what the others know comes by way of them.
 */
void members_partners_select(members_t *, uint64_t self);

/** The @p n -th partner, counted round; NULL when there is none. */
member_t *members_partner_at(const members_t *, uint32_t n);

/** The incarnations of all members in order, @p self among them.
 * @param out room for one more than there are rows @return how many */
uint32_t members_incarnations(const members_t *, uint64_t self, uint64_t *out);

/** The row of a member as the table keeps it; a new reference. */
json_t *member_to_json(const member_t *);
bool member_parse(const char *text, member_t *out);

void incarnation_format(uint64_t, char out[INCARNATION_TEXT_SIZE]);

#endif
