#ifndef EB_ATTEMPT_H
#define EB_ATTEMPT_H

#include <stdint.h>

#include "eb_adapter.h"
#include "eb_frame.h"
#include "eb_log.h"
#include "eb_nodes.h"

/*
 * An attempt of a call: a request that its origin has sent to one gate. A call
 * may have two of them in flight, the second of which is a copy.
 */
struct eb_attempt {
	uint64_t number;   /* unique at this origin; 0: none, or it has ended */
	uint32_t node;	   /* that it was sent to, or EB_NONE */
	uint8_t in_flight; /* the router counts it */
	uint8_t copy;	   /* of a request that is also at another gate */
	uint8_t span[8];
	int64_t sent_us;
	char instance[EB_NAME_SPACE_BYTES]; /* that must run it, or "" */
};

/*
 * What a copy carries as the time left until its goal: none, so that a gate
 * runs it at once in a free slot or refuses it, but never lets it wait.
 */
#define EB_ATTEMPT_COPY_GOAL_US (-1)

struct eb_frame *eb_attempt_unshare_head(struct eb_frame **head);
struct eb_frame *eb_attempt_cancel(const struct eb_attempt *at,
				   uint64_t sender);
int eb_attempt_says_leaving(const struct eb_attempt *at,
			    const struct eb_node *n,
			    const struct eb_dialect *dl,
			    const struct eb_frame *f);
void eb_attempt_report(const struct eb_attempt *at, struct eb_nodes *nd,
		       struct eb_log *log, struct eb_service_state *sv,
		       const struct eb_route_result *rs, int64_t now_us);

#endif
