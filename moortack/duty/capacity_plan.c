#include "moortack/duty/capacity_plan.h"

#include <math.h>

/* Part of a zone's endpoints that stay regular. */
#define REGULAR_PART 0.2
/* With fewer endpoints than this part of the provision, regular ones are
 * ordered: preemptible ones may not be available for long. */
#define SHORT_PART 0.5

static uint32_t
smaller(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

static uint32_t
larger(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

/* a - b, but not below 0. */
static uint32_t
excess(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

static bool
has_preemptible(const capacity_limits_t *limits)
{
	return limits->preemptible_price > 0 && limits->preemptible_price < 1;
}

/* Regular endpoints that a zone keeps in any case. */
static uint32_t
regular_base(const capacity_limits_t *limits, const capacity_zone_t *zone)
{
	uint32_t base = (uint32_t)ceil(zone->provision * REGULAR_PART);

	if (!has_preemptible(limits))
		base = zone->provision;
	return smaller(larger(base, limits->min), limits->max);
}

/* Each warm preemptible endpoint replaces a regular one. Preemptible ones that
 * are taken back are not replaced by regular ones, which would take as long to
 * start as new preemptible ones. */
static uint32_t
regular_ceiling(const capacity_limits_t *limits, const capacity_zone_t *zone)
{
	uint32_t left = larger(regular_base(limits, zone),
	    excess(zone->provision, zone->preemptible_warm));

	return smaller(
	    left, larger(zone->regular_ceiling, regular_base(limits, zone)));
}

/* Regular endpoints that are to be replaced take up room until they are gone.
 */
static uint32_t
preemptible_target(const capacity_limits_t *limits, const capacity_zone_t *zone,
    uint32_t regular)
{
	uint32_t room = excess(limits->max, larger(regular, zone->regular));
	uint32_t wanted = excess(zone->provision, regular_base(limits, zone));

	if (!zone->usable)
		wanted = smaller(wanted, zone->preemptible);
	return smaller(wanted, room);
}

/* Orders regular endpoints in usable zones in turn. */
static void
regular_add(const capacity_limits_t *limits, const capacity_zone_t *zones,
    size_t len, uint32_t missing, capacity_target_t *out)
{
	bool added = true;

	while (missing > 0 && added) {
		added = false;
		for (size_t i = 0; i < len && missing > 0; i++) {
			if (!zones[i].usable ||
			    out[i].regular + out[i].preemptible >= limits->max)
				continue;
			out[i].regular++;
			missing--;
			added = true;
		}
	}
}

void
capacity_plan(const capacity_limits_t *limits, const capacity_zone_t *zones,
    size_t len, capacity_target_t *out)
{
	uint32_t provision = 0, present = 0;

	for (size_t i = 0; i < len; i++) {
		uint32_t ceiling = regular_ceiling(limits, &zones[i]);

		out[i] = (capacity_target_t){.regular = ceiling,
		    .regular_ceiling = ceiling,
		    .preemptible =
			preemptible_target(limits, &zones[i], ceiling)};
		provision += zones[i].provision;
		present += zones[i].regular + zones[i].preemptible;
	}
	regular_add(limits, zones, len,
	    excess((uint32_t)(provision * SHORT_PART), present), out);
}
