#ifndef EB_RETRY_H
#define EB_RETRY_H

#include <stdint.h>

#include "eb_urgency.h"

/*
 * Retry budget of a daemon for one service, as two token buckets. A retry
 * follows a failed attempt; successes refill its bucket, so a service that is
 * down gets hardly any. A re-route sends a refused request, which has not run,
 * to another upstream; first attempts refill its bucket.
 */
struct eb_retry {
	uint32_t retry_permille;   /* retries for 1000 successes */
	uint32_t reroute_permille; /* re-routes for 1000 requests */
	int64_t tokens;		   /* thousandths of a retry */
	int64_t tokens_max;
	int64_t reroute_tokens; /* thousandths of a re-route */
};

struct eb_retry_attempt {
	uint8_t outcome; /* enum eb_outcome of the failed attempt */
	uint8_t reason;	 /* enum eb_reason */
	uint8_t idempotent;
	uint8_t attempts;  /* made so far */
	uint8_t mark;	   /* eb_retry_next_attempt() of the last one */
	uint8_t body_sent; /* a body that cannot be sent again has begun */
	uint8_t rank;	   /* enum eb_urgency_rank of the request */
	int64_t remaining_us;
};

void eb_retry_init(struct eb_retry *rb, uint32_t retry_permille);
void eb_retry_request(struct eb_retry *rb);
void eb_retry_success(struct eb_retry *rb);
void eb_retry_limit(struct eb_retry *rb, uint32_t retry_permille,
		    uint32_t burst);
uint8_t eb_retry_next_attempt(const struct eb_retry *rb, uint8_t attempts);
uint8_t eb_retry_next_attempt_of(const struct eb_retry *rb, uint8_t attempts,
				 enum eb_urgency_rank rank);
int64_t eb_retry_left(const struct eb_retry *rb);
int64_t eb_retry_reroutes_left(const struct eb_retry *rb);
int eb_retry_has_spare(const struct eb_retry *rb);
void eb_retry_take_spare(struct eb_retry *rb);
int eb_retry_allow(struct eb_retry *rb, const struct eb_retry_attempt *at);

#endif
