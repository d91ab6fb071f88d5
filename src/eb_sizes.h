#ifndef EB_SIZES_H
#define EB_SIZES_H

#include <stdint.h>

#include "eb_tunables.h"

/*
 * The usual size of answers by kind of request, learned at the origin. Pure:
 * the caller passes the monotonic time. All zero: nothing is known.
 */
struct eb_sizes_entry {
	uint32_t kind; /* 0: unused */
	uint32_t bytes;
	int64_t at_us; /* of the last answer */
};

struct eb_sizes {
	struct eb_sizes_entry entries[EB_SIZES_KINDS];
};

void eb_sizes_add(struct eb_sizes *sz, uint32_t kind, uint64_t bytes,
		  int64_t now_us);
int eb_sizes_may_wait(const struct eb_sizes *sz, uint32_t kind,
		      int64_t left_us);
uint32_t eb_sizes_expected(const struct eb_sizes *sz, uint32_t kind);

#endif
