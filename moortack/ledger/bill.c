#include "moortack/ledger/bill.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

size_t
bill_size(const bill_t *bill)
{
	return offsetof(bill_t, lines) +
	    bill->line_count * sizeof(bill->lines[0]);
}

static json_t *
line_json(const bill_line_t *line)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "version", line->version,
	    "place", line->place, "tokens_in", (json_int_t)line->tokens_in,
	    "tokens_out", (json_int_t)line->tokens_out, "cost",
	    (json_int_t)line->cost);
}

json_t *
bill_json(const bill_t *bill)
{
	json_t *lines = json_array();
	json_int_t cost = 0;

	for (uint32_t i = 0; i < bill->line_count; i++) {
		json_array_append_new(lines, line_json(&bill->lines[i]));
		cost += (json_int_t)bill->lines[i].cost;
	}
	return json_pack("{s:I,s:s,s:s,s:I,s:I,s:b,s:o}", "sequence",
	    (json_int_t)bill->sequence, "request", bill->request,
	    "organisation", bill->organisation, "cost", cost, "at_ms",
	    (json_int_t)bill->at_ms, "cut", bill->truncated, "lines", lines);
}

static void
line_pack(const bill_line_t *line, Wire__BillLine *out)
{
	wire__bill_line__init(out);
	out->version = (char *)line->version;
	out->place = (char *)line->place;
	out->tokens_in = line->tokens_in;
	out->tokens_out = line->tokens_out;
	out->cost = line->cost;
}

void
bill_pack(const bill_t *bill, bill_packed_t *out)
{
	wire__bill__init(&out->bill);
	out->bill.incarnation = bill->incarnation;
	out->bill.sequence = bill->sequence;
	out->bill.request = (char *)bill->request;
	out->bill.organisation = (char *)bill->organisation;
	out->bill.at_ms = bill->at_ms;
	out->bill.cut = bill->truncated;
	out->bill.n_lines = bill->line_count;
	out->bill.lines = out->pointers;
	for (uint32_t i = 0; i < bill->line_count; i++) {
		line_pack(&bill->lines[i], &out->lines[i]);
		out->pointers[i] = &out->lines[i];
	}
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

static bool
line_unpack(const Wire__BillLine *in, bill_line_t *out)
{
	*out = (bill_line_t){.tokens_in = in->tokens_in,
	    .tokens_out = in->tokens_out,
	    .cost = in->cost};
	return text_copy(out->version, sizeof(out->version), in->version) &&
	    text_copy(out->place, sizeof(out->place), in->place);
}

bool
bill_unpack(const Wire__Bill *in, bill_t *out)
{
	*out = (bill_t){.incarnation = in->incarnation,
	    .sequence = in->sequence,
	    .at_ms = in->at_ms,
	    .truncated = in->cut};
	if (in->n_lines > BILL_LINES_MAX)
		return false;
	for (size_t i = 0; i < in->n_lines; i++) {
		if (!line_unpack(in->lines[i], &out->lines[i]))
			return false;
	}
	out->line_count = (uint32_t)in->n_lines;
	return text_copy(out->request, sizeof(out->request), in->request) &&
	    text_copy(
		out->organisation, sizeof(out->organisation), in->organisation);
}
