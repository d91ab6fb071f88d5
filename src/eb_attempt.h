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
	void *owner;			    /* its call */
	char instance[EB_NAME_SPACE_BYTES]; /* that must run it, or "" */
};

/*
 * What a copy carries as the time left until its goal: none, so that a gate
 * runs it at once in a free slot or refuses it, but never lets it wait.
 */
#define EB_ATTEMPT_COPY_GOAL_US (-1)

struct eb_frame *eb_attempt_cancel(uint64_t number, uint64_t sender);
void eb_attempt_note_leaving(const struct eb_attempt *at, struct eb_nodes *nd,
			     const struct eb_dialect *dl, struct eb_log *log,
			     const char *id, const struct eb_frame *f,
			     int64_t now_us);
void eb_attempt_report(const struct eb_attempt *at, struct eb_nodes *nd,
		       struct eb_log *log, struct eb_service_state *sv,
		       const struct eb_route_result *rs, int64_t now_us);

/* The attempts of an origin that have a number. */
struct eb_attempts;

struct eb_attempts *eb_attempts_new(void);
void eb_attempts_free(struct eb_attempts *as);
void eb_attempts_add(struct eb_attempts *as, struct eb_attempt *at);
void eb_attempts_remove(struct eb_attempts *as, struct eb_attempt *at);
struct eb_attempt *eb_attempts_find(const struct eb_attempts *as,
				    uint64_t number);
void eb_attempts_list_overdue(const struct eb_attempts *as, uint32_t node,
			      struct eb_frame *f, int64_t now_us);

#endif
