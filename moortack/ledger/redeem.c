#include "moortack/ledger/redeem.h"

void
redeem_init(redeem_t *redeem)
{
	*redeem = (redeem_t){0};
}

void
redeem_record_response(redeem_t *redeem, int witness, witness_state_t state)
{
	if (redeem->resolved[witness])
		return;
	redeem->resolved[witness] = true;
	redeem->states[witness] = state;
}

void
redeem_record_no_response(redeem_t *redeem, int witness)
{
	if (redeem->resolved[witness])
		return;
	redeem->resolved[witness] = true;
	redeem->no_response[witness] = true;
}

static bool
granted(const redeem_t *redeem, int witness)
{
	return redeem->resolved[witness] && !redeem->no_response[witness] &&
	    redeem->states[witness] == WITNESS_GRANTED_TO_SENDER;
}

bool
redeem_may_be_granted(const redeem_t *redeem, int witness)
{
	return !redeem->resolved[witness] || redeem->no_response[witness] ||
	    redeem->states[witness] == WITNESS_GRANTED_TO_SENDER;
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
	 * One witness granted this attempt: it granted no other before, and
	 * won't grant one later. This attempt isn't sent, so none ever runs.
	 */
	if (any_state(redeem, WITNESS_GRANTED_TO_SENDER))
		return REDEEM_NOT_RUN;
	if (any_state(redeem, WITNESS_FULL) &&
	    !any_state(redeem, WITNESS_GRANTED) &&
	    !any_state(redeem, WITNESS_EXPIRED))
		return REDEEM_WITNESS_FULL;
	return REDEEM_UNKNOWN;
}
