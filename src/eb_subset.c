#include "eb_subset.h"

#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "eb_route.h"

/* Shares of a subset that are kept for other domains and other regions. */
#define REGION_DIVISOR 4
#define FAR_DIVISOR 4

#define DISTANCES (EB_DISTANCE_FAR + 1)

/* Returns the hash of an upstream's or a daemon's name. */
uint64_t eb_subset_key(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

static int compare(const void *a, const void *b)
{
	const struct eb_subset_candidate *x = a, *y = b;

	if (x->distance != y->distance)
		return x->distance < y->distance ? -1 : 1;
	if (x->priority != y->priority)
		return x->priority > y->priority ? -1 : 1;
	return (x->key > y->key) - (x->key < y->key);
}

static uint32_t smaller(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/*
 * Divides `max` places among the distances, `have` of which there are. The own
 * failure domain gets what the reserves of the others leave, and then the
 * nearest ones what is left.
 */
static void divide(const uint32_t *have, uint32_t max, uint32_t *take)
{
	uint32_t far = smaller(have[EB_DISTANCE_FAR], max / FAR_DIVISOR);
	uint32_t region =
		smaller(have[EB_DISTANCE_REGION], max / REGION_DIVISOR);
	uint32_t left = max, d;

	take[EB_DISTANCE_SELF] = smaller(have[EB_DISTANCE_SELF], left);
	left -= take[EB_DISTANCE_SELF];
	take[EB_DISTANCE_DOMAIN] =
		left > far + region
			? smaller(have[EB_DISTANCE_DOMAIN], left - far - region)
			: 0;
	left -= take[EB_DISTANCE_DOMAIN];
	take[EB_DISTANCE_REGION] =
		left > far ? smaller(have[EB_DISTANCE_REGION], left - far) : 0;
	left -= take[EB_DISTANCE_REGION];
	take[EB_DISTANCE_FAR] = smaller(have[EB_DISTANCE_FAR], left);
	left -= take[EB_DISTANCE_FAR];
	for (d = EB_DISTANCE_DOMAIN; d < DISTANCES && left; d++) {
		far = smaller(have[d] - take[d], left);
		take[d] += far;
		left -= far;
	}
}

/*
 * Sets `chosen` of the candidates that the daemon with the hash `self` connects
 * to, `max` at most. Sorts the candidates.
 */
void eb_subset_choose(uint64_t self, struct eb_subset_candidate *cs,
		      uint32_t count, uint32_t max)
{
	uint32_t have[DISTANCES] = { 0 }, take[DISTANCES], i;

	for (i = 0; i < count; i++) {
		have[cs[i].distance]++;
		cs[i].priority = XXH64(&cs[i].key, sizeof(cs[i].key), self);
	}
	divide(have, max, take);
	qsort(cs, count, sizeof(*cs), compare);
	for (i = 0; i < count; i++) {
		cs[i].chosen = take[cs[i].distance] > 0;
		take[cs[i].distance] -= cs[i].chosen;
	}
}
