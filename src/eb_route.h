#ifndef EB_ROUTE_H
#define EB_ROUTE_H

#include <stdint.h>

#include "eb_frame.h"

/*
 * Picks the upstream of each request at its origin, from the requests that the
 * origin itself has sent and the load reports that answers carry. Pure: no
 * socket, clock or lock; the caller passes the monotonic time.
 */
struct eb_route;

/* How near an upstream is to this daemon. */
enum eb_distance {
	EB_DISTANCE_SELF = 0, /* beside this daemon */
	EB_DISTANCE_DOMAIN,   /* in the same failure domain */
	EB_DISTANCE_REGION,   /* in the same region */
	EB_DISTANCE_FAR,      /* in another region */
};

const char *eb_distance_name(unsigned distance);

/* An upstream as the router needs it; `id` is stable while it is known. */
struct eb_route_upstream {
	uint32_t id;
	uint16_t slots;
	uint8_t distance;   /* enum eb_distance */
	uint8_t leaving;    /* gets no new requests */
	uint8_t suspected;  /* unresponsive: picked only as a last resort */
	uint8_t cold;	    /* warming up: it takes few requests */
	uint64_t region;    /* its bit in `regions` of a query */
	uint32_t link_mbps; /* bandwidth of its VM's link; 0: unknown */
};

/* The constants of the policy; the bench varies them. */
struct eb_route_tuning {
	uint32_t choices;
	int64_t report_age_times; /* 0: load reports are not used */
	int64_t outlier_times;	  /* 0: own latencies are not used */
	int64_t overdue_times;	  /* 0: the age of calls is not used */
	uint32_t full_permille;
	int64_t leave_us; /* least time that leaving the domain must save */
	uint32_t eject_permille; /* over 1000: no ejection */
	int64_t ramp_us;	 /* 0: no slow start */
};

extern const struct eb_route_tuning eb_route_tuning_default;

/* Counters of the decisions, for the metrics. */
struct eb_route_stats {
	uint64_t picks;
	uint64_t picks_far; /* in another region */
	uint64_t ejections;
	uint32_t out; /* upstreams ejected at present */
};

struct eb_route_query {
	uint64_t caller;
	int64_t remaining_us;
	uint8_t idempotent;
	uint8_t refused;	/* the last attempt was refused for load */
	uint8_t last;		/* last attempt: the gate may queue it */
	uint8_t suspects;	/* suspected upstreams may be picked */
	uint8_t held;		/* upstreams at their rate limit, too */
	uint8_t keep_in_region; /* large body: see eb_route_pick() */
	uint8_t urgent;		/* most others are less urgent */
	uint64_t regions;	/* in which it may run; 0: in any */
	uint32_t answer_bytes;	/* expected; 0: unknown */
	uint32_t link_mbps;	/* of this daemon's VM; 0: unknown */
	const uint32_t *tried;	/* upstreams that it was sent to before */
	uint32_t tried_count;
};

/* How an attempt ended, as the origin saw it. */
struct eb_route_result {
	uint8_t outcome; /* enum eb_outcome */
	uint8_t reason;	 /* enum eb_reason */
	uint16_t status; /* HTTP status, or 0 without an answer */
	int64_t elapsed_us;
	uint32_t rate_wait_ms; /* until its rate limit allows the next one */
	uint8_t superseded;    /* another attempt of the call has answered */
};

/* One router for each service. */
struct eb_route *eb_route_new(uint64_t seed);
void eb_route_free(struct eb_route *rt);
void eb_route_tune(struct eb_route *rt, const struct eb_route_tuning *tn);
enum eb_status eb_route_set_upstreams(struct eb_route *rt,
				      const struct eb_route_upstream *ups,
				      uint32_t count, int64_t now_us);
enum eb_status eb_route_pick(struct eb_route *rt,
			     const struct eb_route_query *q, int64_t now_us,
			     uint32_t *id);
enum eb_status eb_route_pick_spare(const struct eb_route *rt,
				   const struct eb_route_query *q,
				   int64_t now_us, uint32_t *id);
int eb_route_has_other(const struct eb_route *rt,
		       const struct eb_route_query *q, int64_t now_us);
void eb_route_sent(struct eb_route *rt, uint32_t id, int64_t now_us);
void eb_route_done(struct eb_route *rt, uint32_t id,
		   const struct eb_route_result *rs, int64_t now_us);
void eb_route_load(struct eb_route *rt, uint32_t id, const struct eb_load *ld,
		   int64_t now_us);
void eb_route_heard(struct eb_route *rt, uint32_t id, const struct eb_load *ld,
		    int64_t now_us);
void eb_route_restarted(struct eb_route *rt, uint32_t id, int64_t now_us);
uint16_t eb_route_baseline_pace(const struct eb_route *rt);
uint32_t eb_route_extra_backoff_ms(const struct eb_route *rt);
void eb_route_read_stats(const struct eb_route *rt, struct eb_route_stats *out);

#endif
