#include "moortack/limit/retry_budget.h"

#define ALL_PERCENT 100.0
#define BALANCE_START 10.0 /* so that a quiet daemon can retry at all */
#define BALANCE_MAX 50.0

void
retry_budget_init(retry_budget_t *budget, int64_t percent)
{
	budget->share = (double)percent / ALL_PERCENT;
	budget->balance = percent > 0 ? BALANCE_START : 0;
}

void
retry_budget_earn(retry_budget_t *budget)
{
	budget->balance += budget->share;
	if (budget->balance > BALANCE_MAX)
		budget->balance = BALANCE_MAX;
}

bool
retry_budget_spend(retry_budget_t *budget)
{
	if (budget->balance < 1)
		return false;
	budget->balance -= 1;
	return true;
}
