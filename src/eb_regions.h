#ifndef EB_REGIONS_H
#define EB_REGIONS_H

#include <stddef.h>
#include <stdint.h>

/* Bits of a set of regions; the last one belongs to no region. */
#define EB_REGIONS_MAX 64

/* Numbers the regions in the order in which they are first named. */
struct eb_regions;

struct eb_regions *eb_regions_new(void);
void eb_regions_free(struct eb_regions *rg);
uint64_t eb_regions_bit(struct eb_regions *rg, const char *name);
uint64_t eb_regions_find(const struct eb_regions *rg, const char *name);
void eb_regions_print(const struct eb_regions *rg, uint64_t set, char *out,
		      size_t bytes);

#endif
