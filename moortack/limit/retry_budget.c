#include "moortack/limit/retry_budget.h"

#define ALL_PERCENT 100.0
/* So that a daemon with little traffic can retry at all. */
#define BALANCE_START 10.0
#define BALANCE_MAX 50.0

void
retry_budget_init(retry_budget_t *budget, int64_t percent)
{
	budget->retries_per_request = (double)percent / ALL_PERCENT;
	budget->balance = percent > 0 ? BALANCE_START : 0;
}

void
retry_budget_add_request(retry_budget_t *budget)
{
	budget->balance += budget->retries_per_request;
	if (budget->balance > BALANCE_MAX)
		budget->balance = BALANCE_MAX;
}

bool
retry_budget_acquire(retry_budget_t *budget)
{
	if (budget->balance < 1)
		return false;
	budget->balance -= 1;
	return true;
}
