#ifndef EB_RAND_H
#define EB_RAND_H

#include <stdint.h>

/* A seeded pseudo-random generator. */
struct eb_rand {
	uint64_t state;
};

void eb_rand_seed(struct eb_rand *rn, uint64_t seed);
uint64_t eb_rand_next(struct eb_rand *rn);
uint32_t eb_rand_below(struct eb_rand *rn, uint32_t bound);
double eb_rand_unit(struct eb_rand *rn);

#endif
