/**
 * @file
 * A fake rating service. POST /rate submits a response; GET /ratings?after=N
 * returns the ratings after the first N. A response from the version that the
 * fault "bad" names is rated 0, any other 1. The fault "share" is the share of
 * responses that are rated, per cent.
 */
#include <stdlib.h>
#include <string.h>

#include "standin/fake.h"
#include "standin/http_server.h"

#define ALL_PERCENT 100

typedef struct rating {
	fake_t fake;
	json_t *ratings;
	int64_t share;
	int64_t received;
} rating_t;

static int64_t
response_score(const rating_t *rating, const char *version)
{
	const char *bad = json_string_value(
	    json_object_get(rating->fake.faults.latest, "bad"));

	return bad != NULL && version != NULL && strcmp(bad, version) == 0 ? 0
									   : 1;
}

static void
response_rate(rating_t *rating, struct evhttp_request *req)
{
	json_t *body = standin_request_json(req, NULL);
	const char *version =
	    json_string_value(json_object_get(body, "version"));

	if (version != NULL &&
	    rating->received++ * rating->share % ALL_PERCENT < rating->share) {
		json_array_append_new(rating->ratings,
		    json_pack("{s:s,s:O*,s:O*,s:I}", "version", version,
			"request", json_object_get(body, "request"),
			"organisation", json_object_get(body, "organisation"),
			"score", (json_int_t)response_score(rating, version)));
	}
	json_decref(body);
	standin_respond_json(req, 200, json_object());
}

static void
request(fake_t *fake, struct evhttp_request *req)
{
	rating_t *rating = (rating_t *)fake;
	json_t *found;
	char after[32] = "0";

	if (evhttp_request_get_command(req) == EVHTTP_REQ_POST) {
		response_rate(rating, req);
		return;
	}
	standin_request_query_param(req, "after", after, sizeof(after));
	found = json_array();
	for (size_t i = strtoul(after, NULL, 10);
	     i < json_array_size(rating->ratings); i++)
		json_array_append(found, json_array_get(rating->ratings, i));
	standin_respond_json(req, 200, json_pack("{s:o}", "ratings", found));
}

static void
fault(fake_t *fake, const json_t *body)
{
	rating_t *rating = (rating_t *)fake;

	rating->share = fake_json_int(body, "share", rating->share);
}

int
main(int argc, const char **argv)
{
	rating_t rating = {.fake = {.handle_request = request,
			       .handle_fault = fault,
			       .name = "rating"},
	    .share = ALL_PERCENT};

	rating.ratings = json_array();
	return fake_main(&rating.fake, argc, argv);
}
