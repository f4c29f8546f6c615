#include "moortack/ledger/redeem.h"

void
redeem_init(redeem_t *redeem)
{
	*redeem = (redeem_t){0};
}

void
redeem_answer(redeem_t *redeem, int which, witness_state_t state)
{
	if (redeem->answered[which])
		return;
	redeem->answered[which] = true;
	redeem->states[which] = state;
}

void
redeem_lost(redeem_t *redeem, int which)
{
	if (redeem->answered[which])
		return;
	redeem->answered[which] = true;
	redeem->lost[which] = true;
}

static bool
granted(const redeem_t *redeem, int which)
{
	return redeem->answered[which] && !redeem->lost[which] &&
	    redeem->states[which] == WITNESS_YOURS;
}

bool
redeem_may_hold(const redeem_t *redeem, int which)
{
	return !redeem->answered[which] || redeem->lost[which] ||
	    redeem->states[which] == WITNESS_YOURS;
}

static bool
any_state(const redeem_t *redeem, witness_state_t state)
{
	for (int i = 0; i < REDEEM_WITNESSES; i++) {
		if (redeem->answered[i] && !redeem->lost[i] &&
		    redeem->states[i] == state)
			return true;
	}
	return false;
}

redeem_result_t
redeem_result(const redeem_t *redeem)
{
	if (any_state(redeem, WITNESS_DONE))
		return REDEEM_DONE;
	if (any_state(redeem, WITNESS_DEAD))
		return REDEEM_NOT_RUN;
	for (int i = 0; i < REDEEM_WITNESSES; i++) {
		if (!redeem->answered[i])
			return REDEEM_WAIT;
	}
	if (granted(redeem, 0) && granted(redeem, 1))
		return REDEEM_GO;
	/*
	 * One witness let this attempt go: it had let no other go before, and
	 * won't any more. This one isn't sent, so none ever is.
	 */
	if (any_state(redeem, WITNESS_YOURS))
		return REDEEM_NOT_RUN;
	if (any_state(redeem, WITNESS_REFUSED) &&
	    !any_state(redeem, WITNESS_WENT) &&
	    !any_state(redeem, WITNESS_EXPIRED))
		return REDEEM_BUSY;
	return REDEEM_UNKNOWN;
}
