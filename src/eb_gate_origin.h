#ifndef EB_GATE_ORIGIN_H
#define EB_GATE_ORIGIN_H

#include <apr_hash.h>
#include <stdint.h>

#include "eb_arrivals.h"
#include "eb_frame.h"
#include "eb_mesh.h"

/* Earlier connections of an origin whose late frames are recognized. */
#define EB_GATE_ORIGIN_WAYS 4

/* An origin from which frames came to a gate; kept to detect its failure. */
struct eb_gate_origin {
	uint64_t incarnation;
	int64_t received_us; /* time of its last frame */
	uint32_t calls;
	uint8_t local;
	struct eb_routing_id back; /* of its newest connection */
	struct eb_routing_id before[EB_GATE_ORIGIN_WAYS]; /* a ring */
	uint32_t ways; /* connections before the newest one */
	struct eb_arrivals arrivals;
};

/* A table of origins has the incarnation as key and owns its entries. */
struct eb_gate_origin *eb_gate_origin_find(apr_hash_t *all,
					   const struct eb_frame *f,
					   const struct eb_routing_id *back,
					   int64_t now_us, int *replaced);
void eb_gate_origin_expire(apr_hash_t *all, int64_t now_us);

#endif
