#include "moortack/ledger/redeem.h"

void
redeem_init(redeem_t *redeem)
{
	*redeem = (redeem_t){0};
}

void
redeem_record_response(redeem_t *redeem, int which, witness_state_t state)
{
	if (redeem->resolved[which])
		return;
	redeem->resolved[which] = true;
	redeem->states[which] = state;
}

void
redeem_record_no_response(redeem_t *redeem, int which)
{
	if (redeem->resolved[which])
		return;
	redeem->resolved[which] = true;
	redeem->no_response[which] = true;
}

static bool
granted(const redeem_t *redeem, int which)
{
	return redeem->resolved[which] && !redeem->no_response[which] &&
	    redeem->states[which] == WITNESS_GRANTED_TO_SENDER;
}

bool
redeem_may_be_granted(const redeem_t *redeem, int which)
{
	return !redeem->resolved[which] || redeem->no_response[which] ||
	    redeem->states[which] == WITNESS_GRANTED_TO_SENDER;
}

static bool
any_state(const redeem_t *redeem, witness_state_t state)
{
	for (int i = 0; i < REDEEM_WITNESSES; i++) {
		if (redeem->resolved[i] && !redeem->no_response[i] &&
		    redeem->states[i] == state)
			return true;
	}
	return false;
}

redeem_result_t
redeem_result(const redeem_t *redeem)
{
	if (any_state(redeem, WITNESS_COMPLETED))
		return REDEEM_COMPLETED;
	if (any_state(redeem, WITNESS_REVOKED))
		return REDEEM_NOT_RUN;
	for (int i = 0; i < REDEEM_WITNESSES; i++) {
		if (!redeem->resolved[i])
			return REDEEM_PENDING;
	}
	if (granted(redeem, 0) && granted(redeem, 1))
		return REDEEM_GRANTED;
	/*
	 * One witness let this attempt go: it had let no other go before, and
	 * won't any more. This one isn't sent, so none ever is.
	 */
	if (any_state(redeem, WITNESS_GRANTED_TO_SENDER))
		return REDEEM_NOT_RUN;
	if (any_state(redeem, WITNESS_FULL) &&
	    !any_state(redeem, WITNESS_GRANTED) &&
	    !any_state(redeem, WITNESS_EXPIRED))
		return REDEEM_WITNESS_FULL;
	return REDEEM_UNKNOWN;
}
