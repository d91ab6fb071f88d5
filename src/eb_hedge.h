#ifndef EB_HEDGE_H
#define EB_HEDGE_H

#include <stdint.h>

#include "eb_retry.h"

/*
 * Decides at the origin of a service which waiting requests get a second copy
 * at another upstream. It learns the response times of each kind of request and
 * size of request body, and keeps the budget of copies. Pure: no socket, clock
 * or lock; the caller passes the monotonic time. All functions accept NULL,
 * which stands for a service without copies.
 */
struct eb_hedge;

/* Copies that 1,000 requests may get at most. */
#define EB_HEDGE_PERMILLE_MAX 100

/* A request that waits at its first upstream. */
struct eb_hedge_request {
	uint32_t kind;	     /* class of similar service time; 0: unknown */
	uint64_t body_bytes; /* of the request */
	uint8_t idempotent;
	uint8_t inline_body; /* it has no body, or one that can be resent */
	uint8_t attempts;    /* made so far */
	uint8_t runs;	     /* of them, ended ones that may have run */
	uint8_t runs_max;    /* limit on the runs of the request */
	int64_t sent_us;     /* when its first attempt was sent */
	int64_t deadline_us;
};

/* Whether a waiting request gets a copy now, and the reason if not. */
enum eb_hedge_verdict {
	EB_HEDGE_DUE = 0,
	EB_HEDGE_OFF,
	EB_HEDGE_EARLY,	     /* not slow for its kind, or nothing is known */
	EB_HEDGE_NOT_SAFE,   /* not idempotent, or cannot be sent again */
	EB_HEDGE_ATTEMPTS,   /* it has been retried, or may not run twice */
	EB_HEDGE_NO_TIME,    /* too little is left until its deadline */
	EB_HEDGE_OVERLOADED, /* the service refuses requests */
	EB_HEDGE_NO_BUDGET,  /* of copies, or of repeats in total */
};

struct eb_hedge *eb_hedge_new(uint32_t permille);
void eb_hedge_free(struct eb_hedge *hg);
void eb_hedge_attempt_ended(struct eb_hedge *hg, int refused);
void eb_hedge_call_refused(struct eb_hedge *hg, int64_t now_us);
void eb_hedge_answered(struct eb_hedge *hg, uint32_t kind, uint64_t body_bytes,
		       int64_t elapsed_us, int64_t now_us);
int64_t eb_hedge_delay_us(const struct eb_hedge *hg, uint32_t kind,
			  uint64_t body_bytes);
enum eb_hedge_verdict eb_hedge_check(const struct eb_hedge *hg,
				     const struct eb_retry *rb,
				     const struct eb_hedge_request *rq,
				     int64_t now_us);
void eb_hedge_sent(struct eb_hedge *hg, struct eb_retry *rb);

#endif
