/**
 * @file
 * Connects to an endpoint to find out whether it can be reached. A connection
 * that is reset at once does not count: something on the way may accept it.
 */
#ifndef MOORTACK_RELAY_REACH_PROBE_H
#define MOORTACK_RELAY_REACH_PROBE_H

#include "moortack/relay/relay.h"

/** Probe an endpoint. The result is recorded by relay_reach_probed().
 * @return false: it is being probed already, or too many are */
bool reach_probe_begin(relay_t *, endpoint_t *);
/** Cancel all probes. */
void reach_probes_finish(relay_t *);

/** A probe has ended.
 * @param reached the connection stayed open */
void relay_reach_probed(relay_t *, endpoint_t *, bool reached);

#endif
