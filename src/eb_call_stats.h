#ifndef EB_CALL_STATS_H
#define EB_CALL_STATS_H

#include <stdint.h>
#include <stdio.h>

#include "eb_route.h"

/*
 * Statistics of calls by route: outcome, reason, distance to the upstream,
 * duration, and what is left of the budgets of retries and re-routes. One
 * thread counts; any thread prints.
 */
struct eb_call_stats;

/* Routes that are counted apart; further ones share the last entry. */
#define EB_CALL_STATS_ROUTES_MAX 128

/* One call that has ended. */
struct eb_call_stats_call {
	uint8_t outcome;  /* enum eb_outcome */
	uint8_t reason;	  /* enum eb_reason */
	uint8_t distance; /* enum eb_distance, or EB_CALL_STATS_NOT_SENT */
	int64_t us;	  /* from the request to its last answer frame */
	/* Retries and re-routes left to the route's service. */
	int64_t retries_left;
	int64_t reroutes_left;
};

/* The call was not sent anywhere. */
#define EB_CALL_STATS_NOT_SENT (EB_DISTANCE_FAR + 1)

struct eb_call_stats *eb_call_stats_new(void);
void eb_call_stats_free(struct eb_call_stats *tl);
uint32_t eb_call_stats_route(struct eb_call_stats *tl, const char *name);
void eb_call_stats_add(struct eb_call_stats *tl, uint32_t route,
		       const struct eb_call_stats_call *ca);
void eb_call_stats_print(const struct eb_call_stats *tl, FILE *out);

#endif
