#include "moortack/ledger/bill.h"

#include <stdio.h>
#include <string.h>

json_t *
bill_json(const bill_t *bill)
{
	return json_pack("{s:I,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:b}",
	    "sequence", (json_int_t)bill->sequence, "request", bill->request,
	    "organisation", bill->organisation, "version", bill->version,
	    "place", bill->place, "tokens_in", (json_int_t)bill->tokens_in,
	    "tokens_out", (json_int_t)bill->tokens_out, "cost",
	    (json_int_t)bill->cost, "at_ms", (json_int_t)bill->at_ms, "cut",
	    bill->cut);
}

void
bill_pack(const bill_t *bill, Wire__Bill *out)
{
	wire__bill__init(out);
	out->incarnation = bill->incarnation;
	out->sequence = bill->sequence;
	out->request = (char *)bill->request;
	out->organisation = (char *)bill->organisation;
	out->version = (char *)bill->version;
	out->place = (char *)bill->place;
	out->tokens_in = bill->tokens_in;
	out->tokens_out = bill->tokens_out;
	out->cost = bill->cost;
	out->at_ms = bill->at_ms;
	out->cut = bill->cut;
}

static bool
text_copy(char *out, size_t size, const char *text)
{
	size_t len = strlen(text);

	if (len >= size)
		return false;
	memcpy(out, text, len + 1);
	return true;
}

bool
bill_unpack(const Wire__Bill *in, bill_t *out)
{
	*out = (bill_t){.incarnation = in->incarnation,
	    .sequence = in->sequence,
	    .tokens_in = in->tokens_in,
	    .tokens_out = in->tokens_out,
	    .cost = in->cost,
	    .at_ms = in->at_ms,
	    .cut = in->cut};
	return text_copy(out->request, sizeof(out->request), in->request) &&
	    text_copy(out->organisation, sizeof(out->organisation),
		in->organisation) &&
	    text_copy(out->version, sizeof(out->version), in->version) &&
	    text_copy(out->place, sizeof(out->place), in->place);
}
