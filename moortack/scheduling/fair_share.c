#include "moortack/scheduling/fair_share.h"

#include <string.h>

void
fair_share_init(fair_share_t *shares)
{
	memset(shares, 0, sizeof(*shares));
}
