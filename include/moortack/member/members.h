/**
 * @file
 * The membership: the daemons listed in the platform's table.
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
#define INCARNATION_TEXT_SIZE 17 /**< hexadecimal, with the terminating NUL */

/** A daemon: its row in the table and the state from its heartbeats. */
typedef struct member {
	uint64_t incarnation; /**< chosen at random at each start */
	char peer_address[MEMBER_ADDRESS_SIZE];
	char http_address[MEMBER_ADDRESS_SIZE];
	char place[CONFIG_NAME_SIZE];
	bool partner; /**< see members_partners_select() */
	bool draining;
	bool responsive; /**< responded in time to the last heartbeat */
	uint64_t revision;
	struct timespec last_response_at; /**< or when it was first listed */
} member_t;

/** All members but this daemon; reference-counted, like a config_t. */
typedef struct members {
	uint64_t epoch;
	table_t rows; /**< member_t */
	uint32_t references;
} members_t;

members_t *members_new(void);
members_t *members_acquire(members_t *);
void members_release(members_t *);

/** A copy with one reference; NULL: out of memory. */
members_t *members_copy(const members_t *);

member_t *members_at(const members_t *, handle_t);
member_t *members_find(const members_t *, uint64_t incarnation);

/** The largest number of partners of a daemon. */
#define MEMBERS_PARTNERS_MAX 24

/**
 * Marks the partners: the members with the lowest hashes, seeded with this
 * daemon's incarnation, so that a change of the membership changes few of them.
 * Receivers of heartbeats, holders of copies of billing records and second
 * witnesses are chosen among the partners, which bounds the number of open
 * connections. What the other members know arrives through the partners.
 */
void members_partners_select(members_t *, uint64_t self);

/** The partner number @p n modulo the number of partners; NULL if there are
 * none. */
member_t *members_partner_at(const members_t *, uint32_t n);

/** The incarnations of all members in ascending order, including @p self.
 * @param out has room for one more than there are rows @return how many */
uint32_t members_incarnations(const members_t *, uint64_t self, uint64_t *out);

/** The row of a member as it is stored in the table; a new reference. */
json_t *member_to_json(const member_t *);
bool member_parse(const char *text, member_t *out);

void incarnation_format(uint64_t, char out[INCARNATION_TEXT_SIZE]);

#endif
