#ifndef EB_SUBSET_H
#define EB_SUBSET_H

#include <stdint.h>

/*
 * Chooses the upstreams of a service that a daemon connects to, when there are
 * too many to connect to all: the near ones first, and some in other failure
 * domains and regions, for when the near ones are lost or full. Each daemon
 * ranks the upstreams by a hash of its own name and theirs, so that all get
 * about equally many daemons, and a change of the list moves few connections.
 * Pure: no socket, no clock.
 */

struct eb_subset_candidate {
	uint64_t key;	   /* hash of the upstream's name */
	uint32_t index;	   /* of the caller's list */
	uint8_t distance;  /* enum eb_distance */
	uint8_t chosen;	   /* set by eb_subset_choose() */
	uint64_t priority; /* used by eb_subset_choose() */
};

uint64_t eb_subset_key(const char *name);
void eb_subset_choose(uint64_t self, struct eb_subset_candidate *cs,
		      uint32_t count, uint32_t max);

#endif
