#include "eb_regions.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct eb_regions {
	char *names[EB_REGIONS_MAX];
	uint32_t count;
};

/* Creates an empty numbering. Returns NULL without memory. */
struct eb_regions *eb_regions_new(void)
{
	return calloc(1, sizeof(struct eb_regions));
}

/* Frees the numbering; NULL is allowed. */
void eb_regions_free(struct eb_regions *rg)
{
	uint32_t i;

	if (!rg)
		return;
	for (i = 0; i < rg->count; i++)
		free(rg->names[i]);
	free(rg);
}

/* Returns the bit of a region, or 0 when it has none. */
uint64_t eb_regions_find(const struct eb_regions *rg, const char *name)
{
	uint32_t i;

	for (i = 0; i < rg->count; i++)
		if (!strcmp(rg->names[i], name))
			return UINT64_C(1) << i;
	return 0;
}

/*
 * Writes the names in a set, separated by commas, as far as they fit: "any"
 * for the empty set, which restricts nothing, and "none" without a name.
 */
void eb_regions_print(const struct eb_regions *rg, uint64_t set, char *out,
		      size_t bytes)
{
	size_t used = 0;
	uint32_t i;

	snprintf(out, bytes, "%s", set ? "none" : "any");
	for (i = 0; i < rg->count; i++) {
		if (!(set & (UINT64_C(1) << i)) ||
		    used + strlen(rg->names[i]) + 2 > bytes)
			continue;
		used += (size_t)snprintf(out + used, bytes - used, "%s%s",
					 used ? "," : "", rg->names[i]);
	}
}

/*
 * Returns the bit of a region, which keeps it. Returns 0 for the last of
 * EB_REGIONS_MAX regions and beyond, or without memory: it is in no set.
 */
uint64_t eb_regions_bit(struct eb_regions *rg, const char *name)
{
	uint64_t bit = eb_regions_find(rg, name);

	if (bit)
		return bit;
	if (rg->count == EB_REGIONS_MAX - 1)
		return 0;
	rg->names[rg->count] = strdup(name);
	if (!rg->names[rg->count])
		return 0;
	return UINT64_C(1) << rg->count++;
}
