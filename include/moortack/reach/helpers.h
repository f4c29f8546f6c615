/**
 * @file
 * Other daemons that reach the endpoints of a service while this one does not:
 * its requests are sent on through one of them. Only a few are remembered,
 * found by asking random daemons, so that neither memory nor messages grow with
 * the fleet, and daemons that lose their links together choose different ones.
 * No I/O, no clock.
 */
#ifndef MOORTACK_REACH_HELPERS_H
#define MOORTACK_REACH_HELPERS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/** Helpers of a service that are remembered. */
#define HELPERS_MAX 4
/** A helper without a report for this long is dropped, and what was sent on
 * through it fails: it may be down, frozen, or cut off itself. */
#define HELPER_SILENCE_MS 1400

/** A report of another daemon on its links to the endpoints of a service. */
typedef struct helper_report {
	bool reaches;		/**< it had contact with an endpoint lately */
	int64_t contact_age_ms; /**< since then */
	uint32_t load;		/**< its requests in flight for each core */
} helper_report_t;

typedef struct helper {
	struct sockaddr_in address; /**< of its messages to other daemons */
	struct timespec reported_at;
	uint32_t load;	    /**< as reported */
	uint32_t in_flight; /**< requests that this daemon has sent on through
			       it */
} helper_t;

typedef struct helpers {
	helper_t list[HELPERS_MAX];
	size_t len;
} helpers_t;

/** Whether two addresses are of the same daemon. */
bool
helper_address_equal(const struct sockaddr_in *, const struct sockaddr_in *);
/** NULL: it is none. */
helper_t *helpers_find(helpers_t *, const struct sockaddr_in *);
/** Apply a report: adds or updates the helper, or removes one that does not
 * reach the endpoints any more. */
void helpers_apply(helpers_t *, const struct sockaddr_in *,
    const helper_report_t *, struct timespec now);
void helpers_remove(helpers_t *, const struct sockaddr_in *);
/** Remove one that has been silent for too long.
 * @param out its address
 * @return false: there is none */
bool
helpers_take_silent(helpers_t *, struct timespec now, struct sockaddr_in *out);
/** Choose the less loaded of two random helpers.
 * @param tried those that the request was sent to before
 * @param random chooses the two
 * @return NULL: there is none */
helper_t *helpers_choose(helpers_t *, const struct sockaddr_in *tried,
    size_t tried_len, uint32_t random);

#endif
