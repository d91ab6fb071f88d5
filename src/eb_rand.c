#include "eb_rand.h"

#include <assert.h>

/* Seeds the generator; equal seeds give equal sequences. */
void eb_rand_seed(struct eb_rand *rn, uint64_t seed)
{
	rn->state = seed;
}

/* Returns the next 64 bits (SplitMix64). */
uint64_t eb_rand_next(struct eb_rand *rn)
{
	uint64_t z = rn->state += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/* Returns a number below `bound`, which is positive. */
uint32_t eb_rand_below(struct eb_rand *rn, uint32_t bound)
{
	assert(bound);
	return (uint32_t)(((eb_rand_next(rn) >> 32) * bound) >> 32);
}

/* Returns a number from 0 up to, not including, 1. */
double eb_rand_unit(struct eb_rand *rn)
{
	return (double)(eb_rand_next(rn) >> 11) * 0x1p-53;
}
